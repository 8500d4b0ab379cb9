package peppergauge.fleet.planning;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import peppergauge.fleet.planner.ChangeQuery;
import peppergauge.fleet.planner.FleetView;
import peppergauge.fleet.planner.ForecastOutcome;
import peppergauge.fleet.planner.ForecastScore;
import peppergauge.forecast.accuracy.ForecastAccuracy;
import peppergauge.forecast.hitrate.HitRate;
import peppergauge.forecast.observation.HitRateObserver;
import peppergauge.forecast.observation.ObservedHitRate;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.ZoneWeights;

/**
 * Scores forecasts: recognizes a change that a forecast was made for, and compares the forecast with what is observed
 * after it, once. Not thread-safe.
 */
final class ForecastScorer {

    /** Time before a change in which no other change may occur, ms. */
    static final long BASELINE_MS = 120_000;

    private static final long SOON_WINDOW_MS = 30_000;
    /** Longest duration of one change of endpoint lists; a later difference is another change. */
    static final long MAX_LIST_CHANGE_MS = 20_000;
    /** Longest duration of one change of weights, which sidecars follow in steps. */
    private static final long MAX_WEIGHT_CHANGE_MS = 60_000;

    private static final long WARM_UP_MS = 60_000;
    private static final long STEADY_WINDOW_MS = 120_000;
    /** Longest delay of the reports that cover the end of a window. */
    private static final long REPORT_DELAY_MS = 60_000;
    /** Age after which a forecast is not scored. */
    private static final long FORECAST_LIFETIME_MS = 600_000;
    /** Standard error above which an observation is not used. */
    static final double MAX_STANDARD_ERROR = 0.05;
    /** Standard error of the estimate in addition to the sampling error; see docs/FORECAST.md. */
    private static final double MODEL_ERROR = 0.01;

    static final int MAX_OUTCOMES = 20;

    private final ForecastAccuracy accuracy;
    private final HitRateObserver observedHits = new HitRateObserver();
    private final EndpointListTracker endpointLists = new EndpointListTracker();
    private final Map<String, Deque<PendingForecast>> forecasts = new HashMap<>();
    private final Map<UnscoredReason, Long> unscored = new TreeMap<>();
    private final Deque<ForecastOutcome> outcomes = new ArrayDeque<>();
    private long scored;
    private FleetPlacement stable;
    private long stableMs;
    private OngoingChange ongoing;

    private record PendingForecast(long atMs, HitRate soon, HitRate steady) {}

    /** A change that is being observed. */
    private static final class OngoingChange {
        private final FleetPlacement from;
        private final long beganMs;
        private final boolean settled;
        private final Map<String, Long> daemons;
        private final Map<String, PendingForecast> pendingForecasts;
        private FleetPlacement to;
        private long toMs;

        private OngoingChange(
                FleetPlacement from,
                long beganMs,
                boolean settled,
                Map<String, Long> daemons,
                Map<String, PendingForecast> pendingForecasts) {
            this.from = from;
            this.beganMs = beganMs;
            this.settled = settled;
            this.daemons = daemons;
            this.pendingForecasts = pendingForecasts;
        }

        private long maxDurationMs() {
            return from.servers().equals(to.servers()) ? MAX_WEIGHT_CHANGE_MS : MAX_LIST_CHANGE_MS;
        }
    }

    ForecastScorer(ForecastAccuracy accuracy) {
        this.accuracy = accuracy;
    }

    /** Records a forecast, trusted or not. */
    void onForecast(String change, long nowMs, HitRate soon, HitRate steady) {
        Deque<PendingForecast> latestTwo = forecasts.computeIfAbsent(change, key -> new ArrayDeque<>());
        latestTwo.addLast(new PendingForecast(nowMs, soon, steady));
        // The former one is retained: the newest may be later than the start of a change that is not recognized yet.
        if (latestTwo.size() > 2) {
            latestTwo.removeFirst();
        }
        assert latestTwo.size() <= 2 : "expected at most 2 forecasts of a query, got " + latestTwo.size();
    }

    /** Observes the newest reports. To be called before the forecasts of a step are recorded. */
    void step(long nowMs, FleetView view, ZoneWeights weights) {
        view.daemonViews().forEach((daemon, daemonView) -> {
            if (daemonView.responseTimes() != null && daemonView.sentMs() <= nowMs + REPORT_DELAY_MS) {
                observedHits.accept(daemon, daemonView.incarnation(), daemonView.sentMs(), daemonView.responseTimes());
            }
        });
        forecasts.values().removeIf(latestTwo -> nowMs - latestTwo.getLast().atMs() > FORECAST_LIFETIME_MS);
        endpointLists.update(nowMs, view.daemonViews());
        FleetPlacement now = new FleetPlacement(endpointLists.servers(), weights);
        if (now.servers().isEmpty()) {
            return;
        }
        if (stable == null) {
            stable = now;
            stableMs = nowMs;
        }
        Set<String> tenants =
                view.totals().keySet().stream().map(TrafficKey::tenant).collect(Collectors.toSet());
        if (ongoing == null) {
            begin(nowMs, now);
        } else if (!now.isSimilarTo(ongoing.to)) {
            extend(nowMs, now, tenants);
        } else if (nowMs >= endMs()
                && (endpointLists.allReportedSince(endMs()) || nowMs >= endMs() + REPORT_DELAY_MS)) {
            finish(Long.MAX_VALUE, tenants);
        }
    }

    private long endMs() {
        return ongoing.beganMs + ongoing.maxDurationMs() + WARM_UP_MS + STEADY_WINDOW_MS;
    }

    private void begin(long nowMs, FleetPlacement now) {
        if (now.isSimilarTo(stable)) {
            return;
        }
        long beganMs = Math.min(
                nowMs,
                endpointLists
                        .firstChangeAfter(Math.max(stableMs, nowMs - REPORT_DELAY_MS))
                        .orElse(nowMs));
        Map<String, PendingForecast> pendingForecasts = new HashMap<>();
        forecasts.forEach((change, latestTwo) -> latestTwo.stream()
                .filter(each -> each.atMs() <= beganMs)
                .forEach(each -> pendingForecasts.put(change, each)));
        ongoing = new OngoingChange(
                stable, beganMs, beganMs - stableMs >= BASELINE_MS, endpointLists.daemons(), pendingForecasts);
        ongoing.to = now;
        ongoing.toMs = nowMs;
    }

    private void extend(long nowMs, FleetPlacement now, Set<String> tenants) {
        long changedMs =
                Math.min(nowMs, endpointLists.firstChangeAfter(ongoing.toMs).orElse(nowMs));
        if (changedMs > ongoing.beganMs + ongoing.maxDurationMs()) {
            finish(changedMs, tenants);
            begin(nowMs, now);
        } else {
            ongoing.to = now;
            ongoing.toMs = nowMs;
        }
    }

    /**
     * Ends the observation of a change and scores its forecast.
     *
     * @param untilMs start of the next change
     */
    private void finish(long untilMs, Set<String> tenants) {
        FleetPlacement.RecognizedChange change = ongoing.from.changeTo(ongoing.to, tenants);
        UnscoredReason reason = reasonAgainst(change);
        if (reason == null) {
            score(change.query(), untilMs);
        } else {
            countUnscored(reason);
        }
        stable = ongoing.to;
        stableMs = ongoing.toMs;
        ongoing = null;
    }

    /** Returns why a change is not scored, null if it is. */
    private UnscoredReason reasonAgainst(FleetPlacement.RecognizedChange change) {
        if (change.unscored() != null) {
            return change.unscored();
        }
        if (!ongoing.settled) {
            return UnscoredReason.NOT_SETTLED;
        }
        if (!ongoing.daemons.equals(endpointLists.daemons())) {
            return UnscoredReason.DAEMONS_CHANGED;
        }
        if (!endpointLists.allHaveResponseTimes()) {
            return UnscoredReason.DAEMONS_WITHOUT_LEVELS;
        }
        return ongoing.pendingForecasts.containsKey(change.query().text()) ? null : UnscoredReason.NO_ANSWER;
    }

    private void score(ChangeQuery query, long untilMs) {
        PendingForecast forecast = ongoing.pendingForecasts.get(query.text());
        ObservedHitRate before = observedHits.between(
                ongoing.beganMs - BASELINE_MS,
                ongoing.beganMs,
                ongoing.from.servers().size());
        if (query.kind() == ChangeQuery.Kind.ZONE_SHUNNED) {
            countUnscored(UnscoredReason.STEERED_BY_STEPS);
        } else {
            score(query, "soon", forecast.soon(), before, ongoing.beganMs, ongoing.beganMs + SOON_WINDOW_MS, untilMs);
        }
        long warmMs = ongoing.beganMs + ongoing.maxDurationMs() + WARM_UP_MS;
        score(query, "steady", forecast.steady(), before, warmMs, warmMs + STEADY_WINDOW_MS, untilMs);
    }

    private void score(
            ChangeQuery query,
            String part,
            HitRate forecast,
            ObservedHitRate before,
            long fromMs,
            long toMs,
            long untilMs) {
        ObservedHitRate observed =
                observedHits.between(fromMs, toMs, ongoing.to.servers().size());
        if (untilMs < toMs || !endpointLists.allReportedSince(toMs)) {
            countUnscored(untilMs < toMs ? UnscoredReason.CHANGED_AGAIN : UnscoredReason.DAEMONS_CHANGED);
        } else if (!isUsable(before) || !isUsable(observed)) {
            countUnscored(UnscoredReason.of(isUsable(before) ? observed.missing() : before.missing()));
        } else {
            double error = StrictMath.hypot(MODEL_ERROR, observed.error());
            double rate = clamp(observed.rate());
            boolean held = accuracy.record(forecast, clamp(before.rate()), rate, error);
            scored++;
            outcomes.addLast(new ForecastOutcome(
                    query.text(), part, ongoing.beganMs, forecast, clamp(before.rate()), rate, error, held));
            if (outcomes.size() > MAX_OUTCOMES) {
                outcomes.removeFirst();
            }
            assert outcomes.size() <= MAX_OUTCOMES && scored >= outcomes.size()
                    : "expected at most " + Math.min(MAX_OUTCOMES, scored) + " outcomes, got " + outcomes.size();
        }
    }

    private static boolean isUsable(ObservedHitRate observed) {
        return observed.isKnown() && observed.error() <= MAX_STANDARD_ERROR;
    }

    private static double clamp(double rate) {
        return Math.max(0, Math.min(1, rate));
    }

    private void countUnscored(UnscoredReason reason) {
        unscored.merge(reason, 1L, Long::sum);
    }

    /** Returns the score for the status page. */
    ForecastScore score() {
        Map<String, Long> counts = new HashMap<>();
        unscored.forEach((reason, count) -> counts.put(reason.text(), count));
        return new ForecastScore(scored, counts, List.copyOf(outcomes));
    }

    /** Returns the scores for storage. A change that is being observed is not part of them. */
    PersistedScores exportState() {
        ForecastScore now = score();
        return new PersistedScores(
                PersistedScores.FORECASTER_VERSION,
                accuracy.exportState().newest(outcomes.size()),
                now.scored(),
                now.unscored(),
                now.last());
    }

    /** Restores stored scores, before the first step. Outcomes beyond the retention time are dropped. */
    void importState(PersistedScores stored, long nowMs) {
        int recent = stored.countRecent(nowMs);
        scored = stored.scored();
        for (UnscoredReason reason : UnscoredReason.values()) {
            unscored.merge(reason, stored.unscored().getOrDefault(reason.text(), 0L), Long::sum);
        }
        unscored.values().removeIf(count -> count == 0);
        outcomes.addAll(stored.last()
                .subList(stored.last().size() - recent, stored.last().size()));
        if (recent > 0) {
            accuracy.importState(stored.record().newest(recent));
        }
    }
}
