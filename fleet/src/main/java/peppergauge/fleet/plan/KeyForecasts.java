package peppergauge.fleet.plan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import peppergauge.fleet.decide.ForecastAnswer;
import peppergauge.fleet.decide.MergedView;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.Json;
import peppergauge.forecast.answers.Answers;
import peppergauge.forecast.hits.Forecast;
import peppergauge.forecast.hits.HitRate;
import peppergauge.forecast.placement.Placement;
import peppergauge.forecast.placement.Placement.Server;
import peppergauge.forecast.placement.PlacementChange;
import peppergauge.forecast.trust.TrackRecord;
import peppergauge.promises.MigrationCost;
import peppergauge.promises.ZoneWeights;

/**
 * What daemons sampled, as answers to a fixed set of questions and as a cost of moving. One thread steps it; others may
 * ask meanwhile.
 *
 * <p>Reckoning can take seconds of a core, and tables must not wait for it: so a step reckons one answer and one cost,
 * and all else is handed out as it was last reckoned, with its age.
 */
public final class KeyForecasts implements MigrationCost {

    static final long WINDOW_MS = 240_000;
    /** A daemon that was silent for so long tells nothing of now; the longest interval may be minutes. */
    static final long FORGET_MS = 900_000;
    /** Placement and memory are inferred anew after that. */
    static final long FRESH_MS = 60_000;

    private static final int MOST_ZONES = 32;
    /** Shares move by tenths here: else each step of a search for a share would be another question. */
    private static final int GRID = 10;

    private static final int MOST_COSTS = 4_096;
    private static final double REPLACED_IN_MS = 7_000;

    private final Answers answers = new Answers(WINDOW_MS, FORGET_MS, FRESH_MS);
    private final Scores scores = new Scores(answers.record());
    private final Map<String, Long> fedMs = new HashMap<>();
    private final Map<String, ForecastAnswer> given = new LinkedHashMap<>();
    private final Map<Move, Cost> costs = new ConcurrentHashMap<>();
    private final Set<Move> wanted = ConcurrentHashMap.newKeySet();
    private Placement placement;
    private Map<String, Double> parts = Map.of();
    private Set<String> zones = Set.of();
    private volatile long placedMs;
    private volatile boolean trusted = true;
    private volatile Map<String, Object> report = Map.of();
    /** Until the first step, for only then it is known how old it is. */
    private KeptScores before;

    private int next;
    private long failures;
    private String lastFailure = "";

    /** Tenths. */
    private record Move(String station, String zone, int from, int to) {}

    private record Cost(double work, long atMs) {}

    /**
     * Takes in what is new, and reckons one answer and one cost. It never throws: steering goes on without it.
     *
     * @param steering in force
     */
    public void step(long nowMs, MergedView merged, ZoneWeights steering) {
        if (before != null) {
            scores.restore(before, nowMs);
            before = null;
        }
        try {
            feed(nowMs, merged);
            scores.step(nowMs, merged, steering);
            if (placement == null || nowMs - placedMs >= FRESH_MS || nowMs < placedMs) {
                place(nowMs, merged, steering);
            }
            if (placement != null) {
                answer(nowMs);
                cost(nowMs);
            }
        } catch (RuntimeException unusable) {
            failures++;
            lastFailure = unusable.toString();
        }
        // What can no longer be reckoned again is no longer known.
        given.values().removeIf(answer -> nowMs - answer.atMs() > FORGET_MS);
        costs.values().removeIf(cost -> nowMs - cost.atMs() > FORGET_MS);
        trusted = answers.record().trusted();
        assert costs.values().stream().allMatch(cost -> cost.work() >= 0 && cost.work() < Double.POSITIVE_INFINITY)
                : "moves make " + costs.values();
        report = account();
    }

    private void feed(long nowMs, MergedView merged) {
        merged.accounts().forEach((daemon, account) -> {
            // Of an old account the gap to the next would be taken for the time between two looks at it.
            boolean recent = nowMs - account.sentMs() <= FORGET_MS;
            if (account.keys() != null && recent && account.sentMs() > fedMs.getOrDefault(daemon, 0L)) {
                fedMs.put(daemon, account.sentMs());
                answers.accept(
                        daemon,
                        account.incarnation(),
                        Math.min(nowMs, account.sentMs()),
                        account.keys(),
                        account.serviceTimes() == null ? Map.of() : account.serviceTimes());
            }
        });
        fedMs.keySet().retainAll(merged.accounts().keySet());
    }

    /** Weights and members are not told: servers count as alike, and each sidecar as working with all of them. */
    private void place(long nowMs, MergedView merged, ZoneWeights steering) {
        Map<String, DaemonReport.Server> union = new TreeMap<>();
        merged.accounts().values().stream()
                .filter(account -> account.servers() != null && nowMs - account.sentMs() <= FORGET_MS)
                .sorted(Comparator.comparingLong(MergedView.Account::sentMs))
                .forEach(account -> account.servers().forEach(server -> union.put(server.id(), server)));
        placedMs = nowMs;
        if (union.isEmpty()) {
            placement = null;
            return;
        }
        List<Server> servers = new ArrayList<>();
        Map<String, Double> shares = new HashMap<>();
        Set<String> named = new TreeSet<>();
        union.values().forEach(server -> {
            servers.add(new Server(server.id(), server.zone(), 1));
            shares.put(Integer.toString(server.kind()), 1.0 / union.size());
            named.add(server.zone());
        });
        int sidecars = Math.max(1, fedMs.size());
        placement = new Placement(
                servers, new Placement.Draws(), 0, Collections.nCopies(sidecars, 1.0 / sidecars), steering.weights());
        parts = shares;
        zones = named;
    }

    // ---- Answers ----

    private void answer(long nowMs) {
        List<Question> questions = Question.all(zones.stream().limit(MOST_ZONES).toList());
        given.keySet().retainAll(questions.stream().map(Question::text).toList());
        if (questions.isEmpty()) {
            return;
        }
        next = (next + 1) % questions.size();
        Question question = questions.get(next);
        Optional<Forecast> said = answers.forecast(placement, parts, change(question), nowMs);
        if (said.isEmpty()) {
            given.remove(question.text());
            return;
        }
        scores.said(
                question.text(),
                nowMs,
                said.get().soon().fleet(),
                said.get().steady().fleet());
        given.put(
                question.text(),
                new ForecastAnswer(
                        question.text(),
                        nowMs,
                        answers.record().trusted(),
                        heard(said.get().now().fleet()),
                        heard(said.get().soon().fleet()),
                        heard(said.get().steady().fleet()),
                        scores.score()));
    }

    private HitRate heard(HitRate said) {
        return answers.record().heard(said);
    }

    private PlacementChange change(Question question) {
        return switch (question.kind()) {
            case ZONE_LOST -> new PlacementChange.ZoneLost(question.zone());
            case ZONE_SHUNNED -> new PlacementChange.ZoneShunned(question.zone(), ZoneWeights.MIN_WEIGHT);
            case REPLACED -> new PlacementChange.Replace(spread(question.share()), REPLACED_IN_MS);
        };
    }

    /** So many of the servers, evenly through the list by id, so that no zone is taken whole first. */
    private List<String> spread(double share) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < placement.servers().size(); i++) {
            if (Math.floor((i + 1) * share + 1e-9) > Math.floor(i * share + 1e-9)) {
                ids.add(placement.servers().get(i).id());
            }
        }
        return ids;
    }

    /** Trust and scores, to go on from after a restart; the stepping thread. */
    public byte[] kept() {
        return Json.write(before != null ? before : scores.kept());
    }

    /**
     * Goes on from there, before the first step.
     *
     * @throws IllegalArgumentException if it is of no use: then it starts unproved
     */
    public void restore(byte[] kept) {
        before = Json.read(kept, KeptScores.class);
    }

    /** What followed one of the answers; the stepping thread. */
    TrackRecord record() {
        return answers.record();
    }

    /** The last ones, by what was asked; the stepping thread. */
    public Map<String, ForecastAnswer> answers() {
        return Map.copyOf(given);
    }

    /** For people, as of the last step; any thread. */
    public Map<String, Object> report() {
        return report;
    }

    private Map<String, Object> account() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("daemons", fedMs.size());
        report.put("servers", placement == null ? 0 : placement.servers().size());
        report.put("zones", List.copyOf(zones));
        report.put("trusted", trusted);
        report.put("score", scores.score());
        report.put("failed", failures);
        report.put("last_failure", lastFailure);
        report.put("answers", List.copyOf(given.values()));
        return Collections.unmodifiableMap(report);
    }

    // ---- The cost of moving ----

    private void cost(long nowMs) {
        Move due = wanted.stream().findFirst().orElse(null);
        if (due == null) {
            return;
        }
        wanted.remove(due);
        if (zones.contains(due.zone())) {
            costs.put(
                    due,
                    new Cost(
                            answers.extraWork(
                                    placement,
                                    parts,
                                    due.station(),
                                    due.zone(),
                                    (double) due.from() / GRID,
                                    (double) due.to() / GRID,
                                    nowMs),
                            nowMs));
        }
    }

    /** As last reckoned up to the next tenth, in proportion; 0 until then, or without trust. Any thread. */
    @Override
    public double extraWork(String station, String zone, double fromShare, double toShare) {
        double growth = toShare - fromShare;
        if (!trusted || !(growth > 0)) {
            return 0;
        }
        int steps = Math.max(1, (int) Math.ceil(growth * GRID - 1e-9));
        int from = Math.max(0, Math.min(GRID - steps, (int) Math.round(fromShare * GRID)));
        Move move = new Move(station, zone, from, Math.min(GRID, from + steps));
        Cost cost = costs.get(move);
        if (cost == null || placedMs - cost.atMs() >= FRESH_MS) {
            want(move);
        }
        return cost == null ? 0 : cost.work() * Math.min(1, growth * GRID / (move.to() - move.from()));
    }

    private void want(Move move) {
        if (costs.size() + wanted.size() < MOST_COSTS) {
            wanted.add(move);
        }
    }
}
