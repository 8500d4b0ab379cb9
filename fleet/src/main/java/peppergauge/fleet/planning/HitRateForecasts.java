package peppergauge.fleet.planning;

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
import peppergauge.fleet.planner.ChangeQuery;
import peppergauge.fleet.planner.FleetView;
import peppergauge.fleet.planner.ForecastAnswer;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.JsonCodec;
import peppergauge.forecast.accuracy.ForecastAccuracy;
import peppergauge.forecast.hitrate.Forecast;
import peppergauge.forecast.hitrate.HitRate;
import peppergauge.forecast.model.ForecastModel;
import peppergauge.forecast.placement.Placement;
import peppergauge.forecast.placement.Placement.Server;
import peppergauge.forecast.placement.PlacementChange;
import peppergauge.promises.MigrationCost;
import peppergauge.promises.ZoneWeights;

/**
 * Forecasts hit rates from the key samples of daemons: answers to a fixed set of queries, and the cost of migration.
 *
 * <p>A forecast can take seconds of CPU, so each step updates one answer and one cost; all others keep their values and
 * timestamps. One thread calls {@link #step}; {@link #extraWork} and {@link #report} may be called from any thread.
 */
public final class HitRateForecasts implements MigrationCost {

    /** Time window of the requests that forecasts are based on, ms. */
    static final long WINDOW_MS = 240_000;
    /** Time without a report after which a daemon is ignored, ms; report intervals may be minutes. */
    static final long DAEMON_TIMEOUT_MS = 900_000;
    /** Age after which placement and cache model are inferred again. */
    static final long MODEL_LIFETIME_MS = 60_000;

    private static final int MAX_ZONES = 32;
    /** Number of steps that shares are rounded to, so that the number of costs is bounded. */
    private static final int SHARE_STEPS = 10;

    private static final int MAX_COSTS = 4_096;
    private static final double REPLACEMENT_MS = 7_000;

    private final ForecastModel forecaster = new ForecastModel(WINDOW_MS, DAEMON_TIMEOUT_MS, MODEL_LIFETIME_MS);
    private final ForecastScorer scorer = new ForecastScorer(forecaster.accuracy());
    private final Map<String, Long> lastReportMs = new HashMap<>();
    private final Map<String, ForecastAnswer> answers = new LinkedHashMap<>();
    private final Map<Migration, Cost> costs = new ConcurrentHashMap<>();
    private final Set<Migration> requestedCosts = ConcurrentHashMap.newKeySet();
    private Placement placement;
    private Map<String, Double> sharesByKind = Map.of();
    private Set<String> zones = Set.of();
    private volatile long placementInferredMs;
    private volatile boolean trusted = true;
    private volatile Map<String, Object> report = Map.of();
    /** Stored scores to apply at the first step, when their age is known; null afterwards. */
    private PersistedScores restoredScores;

    private int nextQuery;
    private long failures;
    private String lastFailure = "";

    /** An increase of a tenant's share in a zone; shares are in units of 1 / {@link #SHARE_STEPS}. */
    private record Migration(String tenant, String zone, int from, int to) {}

    private record Cost(double work, long atMs) {}

    /**
     * Accepts new reports and updates one answer and one cost. Handles all exceptions, so that planning
     * continues without forecasts.
     *
     * @param weights published weights
     */
    public void step(long nowMs, FleetView view, ZoneWeights weights) {
        if (restoredScores != null) {
            scorer.importState(restoredScores, nowMs);
            restoredScores = null;
        }
        try {
            acceptReports(nowMs, view);
            scorer.step(nowMs, view, weights);
            if (placement == null || nowMs - placementInferredMs >= MODEL_LIFETIME_MS || nowMs < placementInferredMs) {
                updatePlacement(nowMs, view, weights);
            }
            if (placement != null) {
                updateNextAnswer(nowMs);
                updateNextCost(nowMs);
            }
        } catch (RuntimeException unusable) {
            failures++;
            lastFailure = unusable.toString();
        }
        // Forecasts that could not be updated for long are dropped.
        answers.values().removeIf(answer -> nowMs - answer.atMs() > DAEMON_TIMEOUT_MS);
        costs.values().removeIf(cost -> nowMs - cost.atMs() > DAEMON_TIMEOUT_MS);
        trusted = forecaster.accuracy().isTrusted();
        assert costs.values().stream().allMatch(cost -> cost.work() >= 0 && cost.work() < Double.POSITIVE_INFINITY)
                : "expected finite costs of 0 or more, got " + costs.values();
        report = buildReport();
    }

    private void acceptReports(long nowMs, FleetView view) {
        view.daemonViews().forEach((daemon, daemonView) -> {
            // Old reports are ignored, since the gap after one would be taken for a report interval.
            boolean recent = nowMs - daemonView.sentMs() <= DAEMON_TIMEOUT_MS;
            if (daemonView.keys() != null && recent && daemonView.sentMs() > lastReportMs.getOrDefault(daemon, 0L)) {
                lastReportMs.put(daemon, daemonView.sentMs());
                forecaster.accept(
                        daemon,
                        daemonView.incarnation(),
                        Math.min(nowMs, daemonView.sentMs()),
                        daemonView.keys(),
                        daemonView.serviceTimes() == null ? Map.of() : daemonView.serviceTimes());
            }
        });
        lastReportMs.keySet().retainAll(view.daemonViews().keySet());
    }

    /** Infers the placement. Weights and subsets of servers are not reported, so all count as equal and used by all. */
    private void updatePlacement(long nowMs, FleetView view, ZoneWeights weights) {
        Map<String, DaemonReport.Server> union = new TreeMap<>();
        view.daemonViews().values().stream()
                .filter(daemonView -> daemonView.servers() != null && nowMs - daemonView.sentMs() <= DAEMON_TIMEOUT_MS)
                .sorted(Comparator.comparingLong(FleetView.DaemonView::sentMs))
                .forEach(daemonView -> daemonView.servers().forEach(server -> union.put(server.id(), server)));
        placementInferredMs = nowMs;
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
        int sidecars = Math.max(1, lastReportMs.size());
        placement = new Placement(
                servers,
                new Placement.WeightedRandom(),
                0,
                Collections.nCopies(sidecars, 1.0 / sidecars),
                weights.weights());
        sharesByKind = shares;
        zones = named;
    }

    // ---- Answers ----

    private void updateNextAnswer(long nowMs) {
        List<ChangeQuery> queries =
                ChangeQuery.all(zones.stream().limit(MAX_ZONES).toList());
        answers.keySet().retainAll(queries.stream().map(ChangeQuery::text).toList());
        if (queries.isEmpty()) {
            return;
        }
        nextQuery = (nextQuery + 1) % queries.size();
        ChangeQuery query = queries.get(nextQuery);
        Optional<Forecast> forecast = forecaster.forecast(placement, sharesByKind, change(query), nowMs);
        if (forecast.isEmpty()) {
            answers.remove(query.text());
            return;
        }
        scorer.onForecast(
                query.text(),
                nowMs,
                forecast.get().soon().fleet(),
                forecast.get().steady().fleet());
        answers.put(
                query.text(),
                new ForecastAnswer(
                        query.text(),
                        nowMs,
                        forecaster.accuracy().isTrusted(),
                        ifTrusted(forecast.get().now().fleet()),
                        ifTrusted(forecast.get().soon().fleet()),
                        ifTrusted(forecast.get().steady().fleet()),
                        scorer.score()));
    }

    private HitRate ifTrusted(HitRate forecast) {
        return forecaster.accuracy().ifTrusted(forecast);
    }

    private PlacementChange change(ChangeQuery query) {
        return switch (query.kind()) {
            case ZONE_LOST -> new PlacementChange.ZoneLost(query.zone());
            case ZONE_SHUNNED -> new PlacementChange.ZoneShunned(query.zone(), ZoneWeights.MIN_WEIGHT);
            case REPLACED -> new PlacementChange.ServersReplaced(spreadOverServers(query.share()), REPLACEMENT_MS);
        };
    }

    /** Returns a share of the servers, spread evenly over the list, so that all zones are affected alike. */
    private List<String> spreadOverServers(double share) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < placement.servers().size(); i++) {
            if (Math.floor((i + 1) * share + 1e-9) > Math.floor(i * share + 1e-9)) {
                ids.add(placement.servers().get(i).id());
            }
        }
        return ids;
    }

    /** Returns trust and scores for storage. Only for the thread that calls {@link #step}. */
    public byte[] exportState() {
        return JsonCodec.write(restoredScores != null ? restoredScores : scorer.exportState());
    }

    /**
     * Restores trust and scores, before the first step.
     *
     * @throws IllegalArgumentException if they are unusable; trust and scores then start from their initial values
     */
    public void importState(byte[] stored) {
        restoredScores = JsonCodec.read(stored, PersistedScores.class);
    }

    /** Returns the accuracy that trust follows from. Only for the thread that calls {@link #step}. */
    ForecastAccuracy record() {
        return forecaster.accuracy();
    }

    /** Returns the latest answers by text of the query. Only for the thread that calls {@link #step}. */
    public Map<String, ForecastAnswer> answers() {
        return Map.copyOf(answers);
    }

    /** Returns the report for the status page as of the last step. Any thread. */
    public Map<String, Object> report() {
        return report;
    }

    private Map<String, Object> buildReport() {
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("daemons", lastReportMs.size());
        report.put("servers", placement == null ? 0 : placement.servers().size());
        report.put("zones", List.copyOf(zones));
        report.put("trusted", trusted);
        report.put("score", scorer.score());
        report.put("failed", failures);
        report.put("last_failure", lastFailure);
        report.put("answers", List.copyOf(answers.values()));
        return Collections.unmodifiableMap(report);
    }

    // ---- Cost of migration ----

    private void updateNextCost(long nowMs) {
        Migration due = requestedCosts.stream().findFirst().orElse(null);
        if (due == null) {
            return;
        }
        requestedCosts.remove(due);
        if (zones.contains(due.zone())) {
            costs.put(
                    due,
                    new Cost(
                            forecaster.extraWork(
                                    placement,
                                    sharesByKind,
                                    due.tenant(),
                                    due.zone(),
                                    (double) due.from() / SHARE_STEPS,
                                    (double) due.to() / SHARE_STEPS,
                                    nowMs),
                            nowMs));
        }
    }

    /**
     * Returns the last computed cost of the next larger step of share, scaled to the increase; 0 if it is not computed
     * yet or forecasts are not trusted. Any thread.
     */
    @Override
    public double extraWork(String tenant, String zone, double fromShare, double toShare) {
        double growth = toShare - fromShare;
        if (!trusted || !(growth > 0)) {
            return 0;
        }
        int steps = Math.max(1, (int) Math.ceil(growth * SHARE_STEPS - 1e-9));
        int from = Math.max(0, Math.min(SHARE_STEPS - steps, (int) Math.round(fromShare * SHARE_STEPS)));
        Migration migration = new Migration(tenant, zone, from, Math.min(SHARE_STEPS, from + steps));
        Cost cost = costs.get(migration);
        if (cost == null || placementInferredMs - cost.atMs() >= MODEL_LIFETIME_MS) {
            requestCost(migration);
        }
        return cost == null ? 0 : cost.work() * Math.min(1, growth * SHARE_STEPS / (migration.to() - migration.from()));
    }

    private void requestCost(Migration migration) {
        if (costs.size() + requestedCosts.size() < MAX_COSTS) {
            requestedCosts.add(migration);
        }
    }
}
