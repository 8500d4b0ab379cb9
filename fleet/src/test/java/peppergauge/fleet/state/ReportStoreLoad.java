package peppergauge.fleet.state;

import static peppergauge.invariant.Loads.require;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import peppergauge.fleet.Samples;
import peppergauge.fleet.planner.FleetView;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.DaemonReport.TrafficCounts;
import peppergauge.invariant.Loads;
import peppergauge.promises.TrafficKey;

/**
 * Random load on report store and totals: instances receive reports of correct and faulty daemons and exchange changes.
 * Reports and responses are lost, repeated and late, daemons restart, time passes and reports expire.
 */
public final class ReportStoreLoad {

    private static final int STEPS = Loads.steps(400);
    private static final int INSTANCES = 3;
    private static final long RETENTION_MS = 60_000;
    private static final ReportLimits LIMITS = new ReportLimits(30_000, 5_000, RETENTION_MS, 20, 4, 1 << 20);
    private static final long[] COUNTS = {
        0, 1, 1_000, 1L << 40, KeyReportValidator.MAX_COUNT, 1L << 59, Long.MAX_VALUE, -1
    };

    private final SplittableRandom random;
    private final ReportValidator validator = new ReportValidator(Samples.SITE, LIMITS);
    private final List<Instance> instances =
            Stream.generate(Instance::new).limit(INSTANCES).toList();
    private final List<DaemonReport> sent = new ArrayList<>();
    private long nowMs = 1_700_000_000_000L;

    private static final class Instance {
        private final ReportStore store = new ReportStore();
        private final TrafficTotals totals = new TrafficTotals(3);
        private final long[] since = new long[INSTANCES];
        private Map<TrafficKey, TrafficTotals.Total> before = new HashMap<>();
    }

    private ReportStoreLoad(long seed) {
        random = new SplittableRandom(seed);
    }

    /** @throws AssertionError if an invariant or a requirement of this load is violated */
    public static void run(long seed) {
        new ReportStoreLoad(seed).runAll();
    }

    private void runAll() {
        for (int i = 0; i < STEPS; i++) {
            nowMs += random.nextInt(200);
            Instance any = instances.get(random.nextInt(INSTANCES));
            switch (random.nextInt(12)) {
                case 0, 1, 2, 3, 4 ->
                    receive(
                            any,
                            random.nextInt(5) > 0 || sent.isEmpty() ? report() : sent.get(random.nextInt(sent.size())));
                case 5 -> receive(any, faulty(report()));
                case 6, 7, 8, 9 -> gossip(any, random.nextInt(INSTANCES), 1 + random.nextInt(4_000));
                case 10 -> any.store.removeOlderThan(nowMs, RETENTION_MS);
                default -> nowMs += random.nextInt(20) == 0 ? 40_000 : 0;
            }
            check(any);
        }
        instances.forEach(each -> each.store.removeOlderThan(nowMs, RETENTION_MS));
        for (int round = 0; round < 2; round++) {
            for (Instance each : instances) {
                for (int other = 0; other < INSTANCES; other++) {
                    gossip(each, other, Long.MAX_VALUE);
                }
            }
        }
        Map<String, Map<Long, DaemonReport>> all = instances.get(0).store.reportsByDaemon();
        instances.forEach(each ->
                require(each.store.reportsByDaemon().equals(all), "expected the same reports in all instances"));
        checkMerges();
        checkCounts();
    }

    private DaemonReport report() {
        int daemon = random.nextInt(6);
        // The daemon restarts every few seconds, while reports of its former incarnations are still sent.
        long incarnation = nowMs - nowMs % (1_000 * (daemon + 1));
        long sequence = 1 + (nowMs - incarnation) / 100;
        DaemonReport report = Samples.report(daemon, incarnation, sequence, nowMs - random.nextInt(3_000));
        sent.add(report);
        return report;
    }

    private DaemonReport faulty(DaemonReport correct) {
        Histogram latency = LatencyHistograms.empty();
        latency.recordValueWithCount(random.nextInt(700), Math.max(1, COUNTS[random.nextInt(COUNTS.length)]));
        latency.recordValueWithCount(random.nextInt(700_000) % LatencyHistograms.MAX_LATENCY_MS, 1 + random.nextInt(9));
        DaemonReport faulty = new DaemonReport(
                correct.site(),
                correct.daemon(),
                correct.incarnation(),
                correct.sequence() + random.nextInt(2),
                correct.sentMs(),
                List.of(new TrafficCounts(
                        "radio",
                        "listen",
                        "z" + random.nextInt(3),
                        count(),
                        count(),
                        count(),
                        LatencyHistograms.encode(latency))));
        sent.add(faulty);
        return faulty;
    }

    private long count() {
        return COUNTS[random.nextInt(COUNTS.length)];
    }

    private void receive(Instance at, DaemonReport report) {
        DaemonReport newest = at.store.newest(report.daemon());
        ReportVerdict verdict = validator.validate(
                report,
                nowMs,
                newest == null ? null : new ReportValidator.NewestReport(newest.incarnation(), newest.sequence()),
                new ReportValidator.StoreSize(at.store.size(), at.store.bytes()));
        if (verdict == ReportVerdict.TAKEN) {
            add(at, report, true);
        }
    }

    private void add(Instance at, DaemonReport report, boolean fromDaemon) {
        // Ignores expired reports like the merge worker: other instances would send them again after each removal.
        ReportStore.Change change = nowMs - report.sentMs() > RETENTION_MS ? null : at.store.add(report, fromDaemon);
        if (change != null) {
            at.totals.count(change, nowMs, RETENTION_MS);
            require(at.store.add(report, fromDaemon) == null, "expected a repeated report to change nothing");
        }
    }

    /** One instance polls another for changes; the response may be lost. */
    private void gossip(Instance poller, int polled, long maxBytes) {
        ReportStore.Changes changes = instances.get(polled).store.changesSince(poller.since[polled], maxBytes, true);
        require(changes.through() >= poller.since[polled], "expected stamps not to go back");
        if (maxBytes == Long.MAX_VALUE || random.nextInt(4) > 0) {
            poller.since[polled] = changes.through();
            changes.reports().stream()
                    .filter(report -> validator.isMergeable(report, nowMs))
                    .forEach(report -> add(poller, report, false));
        }
    }

    /** Checks that totals do not fall, and that outcomes can be computed from them. */
    private void check(Instance at) {
        Map<TrafficKey, TrafficTotals.Total> now = at.totals.totals();
        require(now.size() <= 3, "expected at most 3 traffic keys, got " + now.size());
        at.before.forEach((key, was) -> {
            TrafficTotals.Total is = now.get(key);
            require(
                    is != null
                            && is.answered() >= was.answered()
                            && is.rejected() >= was.rejected()
                            && is.failed() >= was.failed()
                            && is.answeredWithin(LatencyHistograms.MAX_LATENCY_MS)
                                    >= was.answeredWithin(LatencyHistograms.MAX_LATENCY_MS),
                    "expected totals of " + key + " not to fall");
        });
        at.before = now;
        new FleetView(nowMs, now, Map.of(), at.store.size()).outcomes(key -> 100);
    }

    /** Merges in any order and grouping, and repeated ones, result in the same state; removed reports do not return. */
    private void checkMerges() {
        List<DaemonReport> reports = sent.subList(0, Math.min(sent.size(), 60));
        ReportStore one = new ReportStore();
        ReportStore[] parts = {new ReportStore(), new ReportStore(), new ReportStore()};
        reports.forEach(one::add);
        reports.forEach(parts[0]::add);
        for (int i = 0; i < 3 * reports.size(); i++) {
            parts[random.nextInt(3)].add(reports.get(random.nextInt(reports.size())));
        }
        ReportStore leftFirst = merged(merged(parts[0], parts[1]), parts[2]);
        ReportStore rightFirst = merged(parts[2], merged(parts[1], parts[0], parts[1]));
        require(
                one.reportsByDaemon().equals(leftFirst.reportsByDaemon()),
                "expected the same state after merges in another order");
        require(
                leftFirst.reportsByDaemon().equals(rightFirst.reportsByDaemon()),
                "expected the same state after merges in another grouping");
        one.merge(rightFirst);
        require(
                one.reportsByDaemon().equals(rightFirst.reportsByDaemon()),
                "expected a merge with an equal store to change nothing");
        require(
                one.bytes()
                        == one.reports().stream()
                                .mapToLong(each -> 300
                                        + each.counts().stream()
                                                .mapToLong(key ->
                                                        130 + key.latency().length())
                                                .sum())
                                .sum(),
                "expected the sum of the sizes of all reports, got " + one.bytes());
        leftFirst.removeOlderThan(nowMs, RETENTION_MS / 2);
        rightFirst.removeOlderThan(nowMs, RETENTION_MS / 2);
        rightFirst.merge(leftFirst);
        require(
                rightFirst.reportsByDaemon().equals(leftFirst.reportsByDaemon()),
                "expected removed reports not to return");
    }

    private static ReportStore merged(ReportStore... states) {
        ReportStore all = new ReportStore();
        for (ReportStore store : states) {
            all.merge(store);
        }
        return all;
    }

    /** With reports of correct daemons, in any order and repeated, each request is counted once and by its key. */
    private void checkCounts() {
        ReportStore store = new ReportStore();
        TrafficTotals totals = new TrafficTotals(2);
        Map<String, Long> newest = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            int daemon = random.nextInt(3);
            long incarnation = nowMs - random.nextInt(ReportStore.MAX_INCARNATIONS);
            long sequence = 1 + random.nextInt(5);
            ReportStore.Change change = store.add(Samples.report(daemon, incarnation, sequence, nowMs + sequence));
            if (change != null) {
                totals.count(change, nowMs, RETENTION_MS);
            }
            newest.merge(daemon + " " + incarnation, Samples.answered(daemon, incarnation, sequence), Math::max);
            long answered = newest.values().stream().mapToLong(Long::longValue).sum();
            totals.totals()
                    .forEach((key, total) -> require(
                            total.answered() == answered && total.answeredWithin(1_000) == answered,
                            "expected " + answered + " requests, got " + total));
            require(
                    totals.totals().size() == 2,
                    "expected 2 traffic keys, got " + totals.totals().keySet());
        }
    }
}
