package peppergauge.fleet.planning;

import static peppergauge.invariant.Loads.require;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import peppergauge.fleet.Samples;
import peppergauge.fleet.planner.FleetView;
import peppergauge.fleet.planner.ForecastAnswer;
import peppergauge.fleet.planner.ForecastScore;
import peppergauge.fleet.state.LatencyHistograms;
import peppergauge.fleet.state.ReportLimits;
import peppergauge.fleet.state.ReportValidator;
import peppergauge.fleet.state.ReportVerdict;
import peppergauge.fleet.state.TrafficTotals;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.DaemonReport.Server;
import peppergauge.fleet.wire.JsonCodec;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.cache.ServiceTimes;
import peppergauge.forecast.cache.ServiceTimes.Snapshot;
import peppergauge.forecast.cache.ServiceTimes.Sum;
import peppergauge.forecast.hitrate.HitRate;
import peppergauge.forecast.observation.ResponseTimes;
import peppergauge.invariant.Loads;
import peppergauge.promises.ServiceLevelObjective;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.ZoneWeights;
import peppergauge.promises.control.ControllerConfig;

/**
 * Random load on the planner: valid but implausible reports. Keys are counted more often than all requests or listed
 * twice; thresholds rise, and keys are above them; lists of gaps are long; hits take longer than misses; sums of
 * squares are impossible; servers are in two zones, and zones are reported by one daemon only. Daemons and the planner
 * restart, and clocks go back.
 */
public final class PlannerLoad {

    private static final int STEPS = Loads.steps(15);
    private static final int DAEMONS = 3;
    private static final long[] COUNTS = {0, 1, 2, 30, 1_000, 1L << 20, 1L << 40, 1L << 48};
    private static final String[] TENANTS = {"radio", "news", ""};
    private static final ServiceLevelObjective OBJECTIVE =
            new ServiceLevelObjective("radio", "a", 0.9, 300, List.of(600_000L), 1, List.of());

    private final SplittableRandom random;
    private final ReportValidator validator =
            new ReportValidator(Samples.SITE, new ReportLimits(30_000, 5_000, 3_600_000, 100, 50, 1 << 20));
    private final Map<String, FleetView.DaemonView> daemonViews = new HashMap<>();
    private final long[] incarnations = new long[DAEMONS];
    private final long[] requests = new long[DAEMONS];
    private final Map<TrafficKey, TrafficTotals.Total> totals = new HashMap<>();
    /** How often daemons report wrong values, from 0 to 1; depends on the seed. */
    private final double wrongShare;

    private HitRateForecasts forecasts = new HitRateForecasts();
    private ObjectivePlanner planner = planner();
    private List<Server> servers;
    private long nowMs = 1_700_000_000_000L;

    private PlannerLoad(long seed) {
        random = new SplittableRandom(seed);
        wrongShare = seed % 3 / 2.0;
        servers = servers(false);
    }

    private ObjectivePlanner planner() {
        return new ObjectivePlanner(List.of(OBJECTIVE), ControllerConfig.withPeriod(5_000), forecasts);
    }

    /** @throws AssertionError if an invariant or a requirement of this load is violated */
    public static void run(long seed) {
        PlannerLoad load = new PlannerLoad(seed);
        for (int i = 0; i < STEPS; i++) {
            load.step();
        }
    }

    private boolean isWrong() {
        return random.nextDouble() < 0.5 * wrongShare;
    }

    private long count(long correct) {
        return isWrong() ? COUNTS[random.nextInt(COUNTS.length)] : correct;
    }

    private void step() {
        nowMs += random.nextInt(25) == 0 ? random.nextInt(400_000) - 100_000 : 1_000 + random.nextInt(9_000);
        if (random.nextInt(20) == 0) {
            servers = servers(false);
        }
        for (int i = 0; i < DAEMONS; i++) {
            if (random.nextInt(5) > 0) {
                report(i);
            }
        }
        for (String zone : List.of("z0", "z1")) {
            Histogram latency = LatencyHistograms.empty();
            latency.recordValueWithCount(zone.equals("z0") ? 500 : 100, 1 + nowMs / 1_000 % 100_000);
            totals.put(
                    new TrafficKey("radio", "a", zone),
                    new TrafficTotals.Total(latency.getTotalCount(), 0, 0, latency));
        }
        FleetView view = new FleetView(nowMs, totals, daemonViews, daemonViews.size());
        ZoneWeights weights = planner.plan(nowMs, view);
        weights.weights()
                .values()
                .forEach(zones -> zones.values()
                        .forEach(weight -> require(
                                weight >= ZoneWeights.MIN_WEIGHT && weight <= 1,
                                "expected a weight from " + ZoneWeights.MIN_WEIGHT + " to 1, got " + weight)));
        check(planner.forecasts(nowMs, view));
        if (random.nextInt(15) == 0) {
            restart();
        }
    }

    private void restart() {
        byte[] stored = planner.exportForecastState();
        forecasts = new HitRateForecasts();
        planner = planner();
        planner.importForecastState(stored);
        require(
                read(stored).equals(read(planner.exportForecastState())),
                "expected the same forecast state after a restart");
    }

    private static PersistedScores read(byte[] stored) {
        return JsonCodec.read(stored, PersistedScores.class);
    }

    private void report(int daemon) {
        if (incarnations[daemon] == 0 || random.nextInt(40) == 0) {
            incarnations[daemon] = nowMs - random.nextInt(5_000);
            requests[daemon] = 0;
        }
        requests[daemon] = Math.min(1L << 48, count(requests[daemon] + random.nextInt(2_000)));
        DaemonReport report = new DaemonReport(
                Samples.SITE,
                "d" + daemon,
                incarnations[daemon],
                1 + nowMs / 1_000,
                nowMs - random.nextInt(4_000),
                List.of(),
                keys(daemon),
                isWrong() ? servers(true) : servers,
                Map.of("0", serviceTimes(), isWrong() ? "9" : "1", serviceTimes()),
                responseTimes(daemon));
        ReportVerdict verdict = validator.validate(report, nowMs, null, new ReportValidator.StoreSize(0, 0));
        require(verdict == ReportVerdict.TAKEN, "expected the reports of this load to be valid, got " + verdict);
        daemonViews.put(
                report.daemon(),
                new FleetView.DaemonView(
                        report.incarnation(),
                        report.sentMs(),
                        report.keys(),
                        report.servers(),
                        report.serviceTimes(),
                        report.levels()));
    }

    private List<Server> servers(boolean wrong) {
        int zones = 1 + random.nextInt(wrong ? 40 : 3);
        int count = random.nextInt(wrong ? 2 : 1, 30);
        return IntStream.range(wrong && random.nextBoolean() ? 1 : 0, count)
                .mapToObj(i -> new Server("s" + (wrong ? i / 2 : i), "z" + i % zones, wrong ? random.nextInt() : i % 2))
                .toList();
    }

    private KeyReport keys(int daemon) {
        List<KeyReport.Key> keys = new ArrayList<>();
        int keyCount = 1 + random.nextInt(60);
        for (int i = 0; i < keyCount; i++) {
            // Wrong reports contain the same key twice, and keys above the threshold.
            long hash = isWrong() ? random.nextLong() : (long) i / (isWrong() ? 2 : 1) << 40;
            List<Long> gaps = isWrong()
                    ? Stream.generate(() -> count(1)).limit(random.nextInt(64)).toList()
                    : List.of(1L);
            keys.add(new KeyReport.Key(
                    hash, TENANTS[isWrong() ? random.nextInt(3) : 0], count(requests[daemon] / (i + 2)), gaps));
        }
        long threshold =
                isWrong() ? Math.max(2, random.nextLong() >>> 1 + random.nextInt(61)) : wrongShare > 0 ? 1L << 50 : -1;
        return new KeyReport(threshold, requests[daemon], keys, random.nextBoolean() ? null : heavy(daemon));
    }

    private KeyReport.Heavy heavy(int daemon) {
        long floor = count(requests[daemon] / 50);
        return new KeyReport.Heavy(
                Math.min(floor, count(0)),
                floor,
                IntStream.range(0, random.nextInt(80))
                        .mapToObj(i -> new KeyReport.Heavy.Count(
                                (long) i / (isWrong() ? 2 : 1) << 40,
                                TENANTS[isWrong() ? random.nextInt(3) : 0],
                                count(requests[daemon] / (i + 2))))
                        .toList());
    }

    private Sum sum(long answers, double mean) {
        long count = Math.max(1, count(answers));
        return new Sum(
                count,
                Math.min(1L << 48, count * (isWrong() ? random.nextInt(1_000) : mean)),
                isWrong() ? COUNTS[random.nextInt(COUNTS.length)] : Math.min(1L << 48, count * (mean * mean + 0.1)));
    }

    private Snapshot serviceTimes() {
        boolean inverted = isWrong();
        Map<Long, Sum> fresh = new HashMap<>();
        IntStream.range(0, random.nextInt(40)).forEach(i -> fresh.put((long) i << 40, sum(1 + i, inverted ? 0.5 : 1)));
        return new Snapshot(
                IntStream.range(0, ServiceTimes.BUCKETS)
                        .mapToObj(i -> isWrong() ? new Sum(0, count(0), 0) : sum(20, i < 30 == inverted ? 1 : 0.6))
                        .toList(),
                fresh);
    }

    private ResponseTimes responseTimes(int daemon) {
        long count = Math.max(1, requests[daemon]);
        Map<Long, Sum> keys = new HashMap<>();
        IntStream.range(0, random.nextInt(80)).forEach(i -> keys.put((long) i << 40, sum(count / 100 + i, 1.2)));
        Sum all = sum(count, 0.9);
        Sum near = sum(count / 10, isWrong() ? 2 : 0.7);
        return isWrong()
                ? null
                : new ResponseTimes(
                        isWrong() ? random.nextLong() : -1,
                        all,
                        near.count() > all.count() ? new Sum(all.count(), near.sum(), near.squares()) : near,
                        keys);
    }

    private void check(Map<String, ForecastAnswer> answers) {
        Map<String, Object> report = forecasts.report();
        require(report.get("failed").equals(0L), "expected no failed forecast, got " + report.get("last_failure"));
        require(answers.size() <= 5 + 2 * 32, "expected at most 69 answers, got " + answers.size());
        List<?> zones = (List<?>) report.get("zones");
        answers.forEach((change, answer) -> {
            for (HitRate rate : List.of(answer.now(), answer.soon(), answer.steady())) {
                require(
                        answer.trusted() || rate.equals(HitRate.UNKNOWN),
                        "expected no values without trust, got " + answer);
            }
            require(
                    change.startsWith("replaced:") || zones.contains(change.replaceFirst(".*:", "")),
                    "expected answers for present zones only, got " + change + " of " + zones);
        });
        ForecastScore score = (ForecastScore) report.get("score");
        score.last()
                .forEach(each -> require(
                        each.seen() >= 0
                                && each.seen() <= 1
                                && each.before() >= 0
                                && each.before() <= 1
                                && each.error() <= 0.06,
                        "expected rates from 0 to 1 and a small error, got " + each));
        for (int i = 0; i < 4; i++) {
            double work = forecasts.extraWork(
                    TENANTS[random.nextInt(3)], "z" + random.nextInt(4), random.nextDouble(), random.nextDouble());
            require(work >= 0 && work < 1e3, "expected extra work from 0 to 1000, got " + work);
        }
    }
}
