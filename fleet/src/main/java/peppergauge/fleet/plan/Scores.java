package peppergauge.fleet.plan;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import peppergauge.fleet.decide.Asked;
import peppergauge.fleet.decide.ForecastOutcome;
import peppergauge.fleet.decide.ForecastScore;
import peppergauge.fleet.decide.MergedView;
import peppergauge.forecast.hits.HitRate;
import peppergauge.forecast.seen.Seen;
import peppergauge.forecast.seen.SeenHits;
import peppergauge.forecast.trust.TrackRecord;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.ZoneWeights;

/**
 * Recognises that a change took place that was asked about, and holds the answer that stood before it against what was
 * seen after it, once. One thread's; it reckons little.
 */
final class Scores {

    static final long BEFORE_MS = 120_000;
    private static final long SOON_MS = 30_000;
    /** A change that goes on for longer is another one. */
    static final long GROW_MS = 20_000;
    /** Sidecars take steps of a tenth each 5 s by preset. */
    private static final long STEPS_MS = 60_000;

    private static final long WARM_MS = 60_000;
    private static final long STEADY_MS = 120_000;
    /** For reports of a window's end. */
    private static final long PATIENCE_MS = 60_000;
    /** An answer that is older says nothing of now. */
    private static final long ANSWER_MS = 600_000;
    /** What is seen with a greater standard error neither takes a say nor gives one back. */
    static final double MOST_ERROR = 0.05;
    /** What the estimate is off by beside chance, as tried; see docs/FORECAST.md. */
    private static final double MODEL_ERROR = 0.01;

    static final int LAST = 20;

    private final TrackRecord record;
    private final SeenHits hits = new SeenHits();
    private final TableWatch watch = new TableWatch();
    private final Map<String, Deque<Said>> said = new HashMap<>();
    private final Map<Unscored, Long> unscored = new TreeMap<>();
    private final Deque<ForecastOutcome> last = new ArrayDeque<>();
    private long scored;
    private Placed stable;
    private long stableMs;
    private Under under;

    private record Said(long atMs, HitRate soon, HitRate steady) {}

    /** A change under way. */
    private static final class Under {
        private final Placed from;
        private final long beganMs;
        private final boolean settled;
        private final Map<String, Long> daemons;
        private final Map<String, Said> answers;
        private Placed to;
        private long toMs;

        private Under(
                Placed from, long beganMs, boolean settled, Map<String, Long> daemons, Map<String, Said> answers) {
            this.from = from;
            this.beganMs = beganMs;
            this.settled = settled;
            this.daemons = daemons;
            this.answers = answers;
        }

        private long growMs() {
            return from.servers().equals(to.servers()) ? STEPS_MS : GROW_MS;
        }
    }

    Scores(TrackRecord record) {
        this.record = record;
    }

    /** An answer was given; what is said counts whether or not it is listened to. */
    void said(String change, long nowMs, HitRate soon, HitRate steady) {
        Deque<Said> both = said.computeIfAbsent(change, key -> new ArrayDeque<>());
        both.addLast(new Said(nowMs, soon, steady));
        // What was reckoned after a change began and before that was noticed is no forecast of it.
        if (both.size() > 2) {
            both.removeFirst();
        }
        assert both.size() <= 2 : both.size() + " answers stand";
    }

    /** Before this step's answers are given. */
    void step(long nowMs, MergedView merged, ZoneWeights steering) {
        merged.accounts().forEach((daemon, account) -> {
            if (account.levels() != null && account.sentMs() <= nowMs + PATIENCE_MS) {
                hits.accept(daemon, account.incarnation(), account.sentMs(), account.levels());
            }
        });
        said.values().removeIf(both -> nowMs - both.getLast().atMs() > ANSWER_MS);
        watch.look(nowMs, merged.accounts());
        Placed now = new Placed(watch.servers(), steering);
        if (now.servers().isEmpty()) {
            return;
        }
        if (stable == null) {
            stable = now;
            stableMs = nowMs;
        }
        Set<String> stations =
                merged.totals().keySet().stream().map(TrafficKey::tenant).collect(Collectors.toSet());
        if (under == null) {
            begin(nowMs, now);
        } else if (!now.like(under.to)) {
            grow(nowMs, now, stations);
        } else if (nowMs >= endMs() && (watch.heardOf(endMs()) || nowMs >= endMs() + PATIENCE_MS)) {
            finish(Long.MAX_VALUE, stations);
        }
    }

    private long endMs() {
        return under.beganMs + under.growMs() + WARM_MS + STEADY_MS;
    }

    private void begin(long nowMs, Placed now) {
        if (now.like(stable)) {
            return;
        }
        long beganMs = Math.min(
                nowMs,
                watch.firstChangeAfter(Math.max(stableMs, nowMs - PATIENCE_MS)).orElse(nowMs));
        Map<String, Said> answers = new HashMap<>();
        said.forEach((change, both) ->
                both.stream().filter(each -> each.atMs() <= beganMs).forEach(each -> answers.put(change, each)));
        under = new Under(stable, beganMs, beganMs - stableMs >= BEFORE_MS, watch.daemons(), answers);
        under.to = now;
        under.toMs = nowMs;
    }

    private void grow(long nowMs, Placed now, Set<String> stations) {
        long changedMs = Math.min(nowMs, watch.firstChangeAfter(under.toMs).orElse(nowMs));
        if (changedMs > under.beganMs + under.growMs()) {
            finish(changedMs, stations);
            begin(nowMs, now);
        } else {
            under.to = now;
            under.toMs = nowMs;
        }
    }

    /** @param untilMs when the next change began */
    private void finish(long untilMs, Set<String> stations) {
        Placed.Change change = under.from.to(under.to, stations);
        Unscored not = change.not() != null
                ? change.not()
                : !under.settled
                        ? Unscored.NOT_SETTLED
                        : !under.daemons.equals(watch.daemons())
                                ? Unscored.DAEMONS_CHANGED
                                : !watch.levelled()
                                        ? Unscored.DAEMONS_WITHOUT_LEVELS
                                        : under.answers.containsKey(
                                                        change.asked().text())
                                                ? null
                                                : Unscored.NO_ANSWER;
        if (not == null) {
            score(change.asked(), untilMs);
        } else {
            not(not);
        }
        stable = under.to;
        stableMs = under.toMs;
        under = null;
    }

    private void score(Asked asked, long untilMs) {
        Said answer = under.answers.get(asked.text());
        Seen before = hits.between(
                under.beganMs - BEFORE_MS, under.beganMs, under.from.servers().size());
        if (asked.kind() == Asked.Kind.ZONE_SHUNNED) {
            not(Unscored.STEERED_BY_STEPS);
        } else {
            score(asked, "soon", answer.soon(), before, under.beganMs, under.beganMs + SOON_MS, untilMs);
        }
        long warmMs = under.beganMs + under.growMs() + WARM_MS;
        score(asked, "steady", answer.steady(), before, warmMs, warmMs + STEADY_MS, untilMs);
    }

    private void score(Asked asked, String part, HitRate answer, Seen before, long fromMs, long toMs, long untilMs) {
        Seen seen = hits.between(fromMs, toMs, under.to.servers().size());
        if (untilMs < toMs || !watch.heardOf(toMs)) {
            not(untilMs < toMs ? Unscored.CHANGED_AGAIN : Unscored.DAEMONS_CHANGED);
        } else if (!usable(before) || !usable(seen)) {
            not(Unscored.of(usable(before) ? seen.lack() : before.lack()));
        } else {
            double error = Math.hypot(MODEL_ERROR, seen.error());
            double rate = inside(seen.rate());
            boolean held = record.followed(answer, inside(before.rate()), rate, error);
            scored++;
            last.addLast(new ForecastOutcome(
                    asked.text(), part, under.beganMs, answer, inside(before.rate()), rate, error, held));
            if (last.size() > LAST) {
                last.removeFirst();
            }
            assert last.size() <= LAST && scored >= last.size() : last.size() + " of " + scored + " outcomes are told";
        }
    }

    private static boolean usable(Seen seen) {
        return seen.known() && seen.error() <= MOST_ERROR;
    }

    private static double inside(double rate) {
        return Math.max(0, Math.min(1, rate));
    }

    private void not(Unscored why) {
        unscored.merge(why, 1L, Long::sum);
    }

    /** For people. */
    ForecastScore score() {
        Map<String, Long> counts = new HashMap<>();
        unscored.forEach((why, count) -> counts.put(why.text(), count));
        return new ForecastScore(scored, counts, List.copyOf(last));
    }

    /** A change that is under way is not in it: who was not there throughout cannot score it. */
    KeptScores kept() {
        ForecastScore now = score();
        return new KeptScores(
                KeptScores.FORECASTER, record.kept().newest(last.size()), now.scored(), now.unscored(), now.last());
    }

    /** Goes on from there, before the first step; a say that was lost longer ago is given back. */
    void restore(KeptScores kept, long nowMs) {
        int fresh = kept.fresh(nowMs);
        scored = kept.scored();
        for (Unscored why : Unscored.values()) {
            unscored.merge(why, kept.unscored().getOrDefault(why.text(), 0L), Long::sum);
        }
        unscored.values().removeIf(count -> count == 0);
        last.addAll(kept.last().subList(kept.last().size() - fresh, kept.last().size()));
        if (fresh > 0) {
            record.restore(kept.record().newest(fresh));
        }
    }
}
