package peppergauge.fleet.plan;

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
import peppergauge.fleet.decide.ForecastAnswer;
import peppergauge.fleet.decide.ForecastScore;
import peppergauge.fleet.decide.MergedView;
import peppergauge.fleet.state.Intake;
import peppergauge.fleet.state.Latencies;
import peppergauge.fleet.state.Limits;
import peppergauge.fleet.state.Tally;
import peppergauge.fleet.state.Verdict;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.DaemonReport.Server;
import peppergauge.fleet.wire.Json;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.hits.HitRate;
import peppergauge.forecast.memory.ServiceTimes;
import peppergauge.forecast.memory.ServiceTimes.Seen;
import peppergauge.forecast.memory.ServiceTimes.Sum;
import peppergauge.forecast.seen.AnswerLevels;
import peppergauge.invariant.Loads;
import peppergauge.promises.ServiceLevelObjective;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.ZoneWeights;
import peppergauge.promises.control.ControllerConfig;

/**
 * Reports that pass the intake and cannot be true: keys that came more often than all sessions, or twice in one list;
 * thresholds that rise, and keys above them; gaps without end; hits that take longer than misses, squares that no
 * numbers have; servers in two zones, zones nobody else has. Daemons and the planner start anew, clocks go back.
 */
public final class PlanLoad {

    private static final int STEPS = Loads.steps(15);
    private static final int DAEMONS = 3;
    private static final long[] COUNTS = {0, 1, 2, 30, 1_000, 1L << 20, 1L << 40, 1L << 48};
    private static final String[] STATIONS = {"radio", "news", ""};
    private static final ServiceLevelObjective PROMISE =
            new ServiceLevelObjective("radio", "a", 0.9, 300, List.of(600_000L), 1, List.of());

    private final SplittableRandom random;
    private final Intake intake = new Intake(Samples.SITE, new Limits(30_000, 5_000, 3_600_000, 100, 50, 1 << 20));
    private final Map<String, MergedView.Account> accounts = new HashMap<>();
    private final long[] incarnations = new long[DAEMONS];
    private final long[] sessions = new long[DAEMONS];
    private final Map<TrafficKey, Tally.Total> totals = new HashMap<>();
    /** Of one seed: how often a daemon lies. */
    private final double lies;

    private KeyForecasts forecasts = new KeyForecasts();
    private PromisePlanner planner = planner();
    private List<Server> servers;
    private long nowMs = 1_700_000_000_000L;

    private PlanLoad(long seed) {
        random = new SplittableRandom(seed);
        lies = seed % 3 / 2.0;
        servers = servers(false);
    }

    private PromisePlanner planner() {
        return new PromisePlanner(List.of(PROMISE), ControllerConfig.withPeriod(5_000), forecasts);
    }

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) {
        PlanLoad load = new PlanLoad(seed);
        for (int i = 0; i < STEPS; i++) {
            load.step();
        }
    }

    private boolean lie() {
        return random.nextDouble() < 0.5 * lies;
    }

    private long count(long sound) {
        return lie() ? COUNTS[random.nextInt(COUNTS.length)] : sound;
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
            Histogram latency = Latencies.empty();
            latency.recordValueWithCount(zone.equals("z0") ? 500 : 100, 1 + nowMs / 1_000 % 100_000);
            totals.put(new TrafficKey("radio", "a", zone), new Tally.Total(latency.getTotalCount(), 0, 0, latency));
        }
        MergedView view = new MergedView(nowMs, totals, accounts, accounts.size());
        ZoneWeights told = planner.plan(nowMs, view);
        told.weights()
                .values()
                .forEach(zones -> zones.values()
                        .forEach(factor ->
                                require(factor >= ZoneWeights.MIN_WEIGHT && factor <= 1, "leans by " + factor)));
        check(planner.forecasts(nowMs, view));
        if (random.nextInt(15) == 0) {
            restart();
        }
    }

    private void restart() {
        byte[] kept = planner.forecastState();
        forecasts = new KeyForecasts();
        planner = planner();
        planner.restoreForecasts(kept);
        require(read(kept).equals(read(planner.forecastState())), "a restart keeps something else");
    }

    private static KeptScores read(byte[] kept) {
        return Json.read(kept, KeptScores.class);
    }

    private void report(int daemon) {
        if (incarnations[daemon] == 0 || random.nextInt(40) == 0) {
            incarnations[daemon] = nowMs - random.nextInt(5_000);
            sessions[daemon] = 0;
        }
        sessions[daemon] = Math.min(1L << 48, count(sessions[daemon] + random.nextInt(2_000)));
        DaemonReport report = new DaemonReport(
                Samples.SITE,
                "d" + daemon,
                incarnations[daemon],
                1 + nowMs / 1_000,
                nowMs - random.nextInt(4_000),
                List.of(),
                keys(daemon),
                lie() ? servers(true) : servers,
                Map.of("0", seen(), lie() ? "9" : "1", seen()),
                levels(daemon));
        Verdict verdict = intake.judge(report, nowMs, null, new Intake.Held(0, 0));
        require(verdict == Verdict.TAKEN, "the load's own reports are " + verdict);
        accounts.put(
                report.daemon(),
                new MergedView.Account(
                        report.incarnation(),
                        report.sentMs(),
                        report.keys(),
                        report.servers(),
                        report.serviceTimes(),
                        report.levels()));
    }

    private List<Server> servers(boolean untrue) {
        int zones = 1 + random.nextInt(untrue ? 40 : 3);
        int count = random.nextInt(untrue ? 2 : 1, 30);
        return IntStream.range(untrue && random.nextBoolean() ? 1 : 0, count)
                .mapToObj(
                        i -> new Server("s" + (untrue ? i / 2 : i), "z" + i % zones, untrue ? random.nextInt() : i % 2))
                .toList();
    }

    private KeyReport keys(int daemon) {
        List<KeyReport.Key> keys = new ArrayList<>();
        int many = 1 + random.nextInt(60);
        for (int i = 0; i < many; i++) {
            // Twice the same key, and keys above the threshold.
            long hash = lie() ? random.nextLong() : (long) i / (lie() ? 2 : 1) << 40;
            List<Long> gaps = lie()
                    ? Stream.generate(() -> count(1)).limit(random.nextInt(64)).toList()
                    : List.of(1L);
            keys.add(new KeyReport.Key(
                    hash, STATIONS[lie() ? random.nextInt(3) : 0], count(sessions[daemon] / (i + 2)), gaps));
        }
        long threshold = lie() ? Math.max(2, random.nextLong() >>> 1 + random.nextInt(61)) : lies > 0 ? 1L << 50 : -1;
        return new KeyReport(threshold, sessions[daemon], keys, random.nextBoolean() ? null : heavy(daemon));
    }

    private KeyReport.Heavy heavy(int daemon) {
        long floor = count(sessions[daemon] / 50);
        return new KeyReport.Heavy(
                Math.min(floor, count(0)),
                floor,
                IntStream.range(0, random.nextInt(80))
                        .mapToObj(i -> new KeyReport.Heavy.Count(
                                (long) i / (lie() ? 2 : 1) << 40,
                                STATIONS[lie() ? random.nextInt(3) : 0],
                                count(sessions[daemon] / (i + 2))))
                        .toList());
    }

    private Sum sum(long answers, double mean) {
        long count = Math.max(1, count(answers));
        return new Sum(
                count,
                Math.min(1L << 48, count * (lie() ? random.nextInt(1_000) : mean)),
                lie() ? COUNTS[random.nextInt(COUNTS.length)] : Math.min(1L << 48, count * (mean * mean + 0.1)));
    }

    private Seen seen() {
        boolean upsideDown = lie();
        Map<Long, Sum> fresh = new HashMap<>();
        IntStream.range(0, random.nextInt(40))
                .forEach(i -> fresh.put((long) i << 40, sum(1 + i, upsideDown ? 0.5 : 1)));
        return new Seen(
                IntStream.range(0, ServiceTimes.BUCKETS)
                        .mapToObj(i -> lie() ? new Sum(0, count(0), 0) : sum(20, i < 30 == upsideDown ? 1 : 0.6))
                        .toList(),
                fresh);
    }

    private AnswerLevels levels(int daemon) {
        long grown = Math.max(1, sessions[daemon]);
        Map<Long, Sum> keys = new HashMap<>();
        IntStream.range(0, random.nextInt(80)).forEach(i -> keys.put((long) i << 40, sum(grown / 100 + i, 1.2)));
        Sum all = sum(grown, 0.9);
        Sum near = sum(grown / 10, lie() ? 2 : 0.7);
        return lie()
                ? null
                : new AnswerLevels(
                        lie() ? random.nextLong() : -1,
                        all,
                        near.count() > all.count() ? new Sum(all.count(), near.sum(), near.squares()) : near,
                        keys);
    }

    private void check(Map<String, ForecastAnswer> answers) {
        Map<String, Object> report = forecasts.report();
        require(report.get("failed").equals(0L), "no forecast: " + report.get("last_failure"));
        require(answers.size() <= 5 + 2 * 32, answers.size() + " answers");
        List<?> zones = (List<?>) report.get("zones");
        answers.forEach((change, answer) -> {
            for (HitRate rate : List.of(answer.now(), answer.soon(), answer.steady())) {
                require(answer.trusted() || rate.equals(HitRate.UNKNOWN), "heard without trust: " + answer);
            }
            require(
                    change.startsWith("replaced:") || zones.contains(change.replaceFirst(".*:", "")),
                    change + " is answered, of " + zones);
        });
        ForecastScore score = (ForecastScore) report.get("score");
        score.last()
                .forEach(each -> require(
                        each.seen() >= 0
                                && each.seen() <= 1
                                && each.before() >= 0
                                && each.before() <= 1
                                && each.error() <= 0.06,
                        "scored by " + each));
        for (int i = 0; i < 4; i++) {
            double work = forecasts.extraWork(
                    STATIONS[random.nextInt(3)], "z" + random.nextInt(4), random.nextDouble(), random.nextDouble());
            require(work >= 0 && work < 1e3, "a move makes work of " + work);
        }
    }
}
