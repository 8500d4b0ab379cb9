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
 * Instances that daemons, sound and broken ones, report to, and that tell each other what changed; reports and answers
 * are lost, repeated and late, daemons start anew, clocks go on and accounts are forgotten.
 */
public final class ReportStoreLoad {

    private static final int STEPS = Loads.steps(400);
    private static final int INSTANCES = 3;
    private static final long FORGET_MS = 60_000;
    private static final ReportLimits LIMITS = new ReportLimits(30_000, 5_000, FORGET_MS, 20, 4, 1 << 20);
    private static final long[] COUNTS = {
        0, 1, 1_000, 1L << 40, KeyReportValidator.MAX_COUNT, 1L << 59, Long.MAX_VALUE, -1
    };

    private final SplittableRandom random;
    private final ReportValidator intake = new ReportValidator(Samples.SITE, LIMITS);
    private final List<Instance> instances =
            Stream.generate(Instance::new).limit(INSTANCES).toList();
    private final List<DaemonReport> sent = new ArrayList<>();
    private long nowMs = 1_700_000_000_000L;

    private static final class Instance {
        private final ReportStore state = new ReportStore();
        private final TrafficTotals tally = new TrafficTotals(3);
        private final long[] since = new long[INSTANCES];
        private Map<TrafficKey, TrafficTotals.Total> before = new HashMap<>();
    }

    private ReportStoreLoad(long seed) {
        random = new SplittableRandom(seed);
    }

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) {
        new ReportStoreLoad(seed).whole();
    }

    private void whole() {
        for (int i = 0; i < STEPS; i++) {
            nowMs += random.nextInt(200);
            Instance any = instances.get(random.nextInt(INSTANCES));
            switch (random.nextInt(12)) {
                case 0, 1, 2, 3, 4 ->
                    reported(
                            any,
                            random.nextInt(5) > 0 || sent.isEmpty() ? report() : sent.get(random.nextInt(sent.size())));
                case 5 -> reported(any, broken(report()));
                case 6, 7, 8, 9 -> gossip(any, random.nextInt(INSTANCES), 1 + random.nextInt(4_000));
                case 10 -> any.state.removeOlderThan(nowMs, FORGET_MS);
                default -> nowMs += random.nextInt(20) == 0 ? 40_000 : 0;
            }
            looked(any);
        }
        instances.forEach(each -> each.state.removeOlderThan(nowMs, FORGET_MS));
        for (int round = 0; round < 2; round++) {
            for (Instance each : instances) {
                for (int other = 0; other < INSTANCES; other++) {
                    gossip(each, other, Long.MAX_VALUE);
                }
            }
        }
        Map<String, Map<Long, DaemonReport>> all = instances.get(0).state.reportsByDaemon();
        instances.forEach(each -> require(each.state.reportsByDaemon().equals(all), "instances hold unlike accounts"));
        joins();
        counts();
    }

    private DaemonReport report() {
        int daemon = random.nextInt(6);
        // A daemon that started anew every few seconds: some reports of dead ones are still on their way.
        long incarnation = nowMs - nowMs % (1_000 * (daemon + 1));
        long sequence = 1 + (nowMs - incarnation) / 100;
        DaemonReport report = Samples.report(daemon, incarnation, sequence, nowMs - random.nextInt(3_000));
        sent.add(report);
        return report;
    }

    private DaemonReport broken(DaemonReport sound) {
        Histogram latency = LatencyHistograms.empty();
        latency.recordValueWithCount(random.nextInt(700), Math.max(1, COUNTS[random.nextInt(COUNTS.length)]));
        latency.recordValueWithCount(random.nextInt(700_000) % LatencyHistograms.MAX_LATENCY_MS, 1 + random.nextInt(9));
        DaemonReport broken = new DaemonReport(
                sound.site(),
                sound.daemon(),
                sound.incarnation(),
                sound.sequence() + random.nextInt(2),
                sound.sentMs(),
                List.of(new TrafficCounts(
                        "radio",
                        "listen",
                        "z" + random.nextInt(3),
                        count(),
                        count(),
                        count(),
                        LatencyHistograms.encode(latency))));
        sent.add(broken);
        return broken;
    }

    private long count() {
        return COUNTS[random.nextInt(COUNTS.length)];
    }

    private void reported(Instance at, DaemonReport report) {
        DaemonReport newest = at.state.newest(report.daemon());
        ReportVerdict verdict = intake.validate(
                report,
                nowMs,
                newest == null ? null : new ReportValidator.NewestReport(newest.incarnation(), newest.sequence()),
                new ReportValidator.StoreSize(at.state.size(), at.state.bytes()));
        if (verdict == ReportVerdict.TAKEN) {
            taken(at, report, true);
        }
    }

    private void taken(Instance at, DaemonReport report, boolean firstHand) {
        // As the merge does: what is older would come back as often as it is forgotten.
        ReportStore.Change change = nowMs - report.sentMs() > FORGET_MS ? null : at.state.add(report, firstHand);
        if (change != null) {
            at.tally.count(change, nowMs, FORGET_MS);
            require(at.state.add(report, firstHand) == null, "the same is taken twice");
        }
    }

    /** Each asks for what it does not have; the answer may be lost. */
    private void gossip(Instance asking, int asked, long mostBytes) {
        ReportStore.Changes changes = instances.get(asked).state.changesSince(asking.since[asked], mostBytes, true);
        require(changes.through() >= asking.since[asked], "stamps go back");
        if (mostBytes == Long.MAX_VALUE || random.nextInt(4) > 0) {
            asking.since[asked] = changes.through();
            changes.reports().stream()
                    .filter(report -> intake.isMergeable(report, nowMs))
                    .forEach(report -> taken(asking, report, false));
        }
    }

    /** What those see who decide: totals that never fall, and evidence that can be reckoned with. */
    private void looked(Instance at) {
        Map<TrafficKey, TrafficTotals.Total> now = at.tally.totals();
        require(now.size() <= 3, "cells without bound");
        at.before.forEach((cell, was) -> {
            TrafficTotals.Total is = now.get(cell);
            require(
                    is != null
                            && is.answered() >= was.answered()
                            && is.rejected() >= was.rejected()
                            && is.failed() >= was.failed()
                            && is.answeredWithin(LatencyHistograms.MAX_LATENCY_MS)
                                    >= was.answeredWithin(LatencyHistograms.MAX_LATENCY_MS),
                    "totals fell in " + cell);
        });
        at.before = now;
        new FleetView(nowMs, now, Map.of(), at.state.size()).outcomes(cell -> 100);
    }

    /** Any order, any grouping, and repetition: the same; and what all forget alike does not come back. */
    private void joins() {
        List<DaemonReport> few = sent.subList(0, Math.min(sent.size(), 60));
        ReportStore one = new ReportStore();
        ReportStore[] parts = {new ReportStore(), new ReportStore(), new ReportStore()};
        few.forEach(one::add);
        few.forEach(parts[0]::add);
        for (int i = 0; i < 3 * few.size(); i++) {
            parts[random.nextInt(3)].add(few.get(random.nextInt(few.size())));
        }
        ReportStore left = joined(joined(parts[0], parts[1]), parts[2]);
        ReportStore right = joined(parts[2], joined(parts[1], parts[0], parts[1]));
        require(one.reportsByDaemon().equals(left.reportsByDaemon()), "another order, another state");
        require(left.reportsByDaemon().equals(right.reportsByDaemon()), "another grouping, another state");
        one.merge(right);
        require(one.reportsByDaemon().equals(right.reportsByDaemon()), "a join with itself changes a state");
        require(
                one.bytes()
                        == one.reports().stream()
                                .mapToLong(each -> 300
                                        + each.counts().stream()
                                                .mapToLong(cell ->
                                                        130 + cell.latency().length())
                                                .sum())
                                .sum(),
                one.bytes() + " bytes are held");
        left.removeOlderThan(nowMs, FORGET_MS / 2);
        right.removeOlderThan(nowMs, FORGET_MS / 2);
        right.merge(left);
        require(right.reportsByDaemon().equals(left.reportsByDaemon()), "what is forgotten comes back");
    }

    private static ReportStore joined(ReportStore... states) {
        ReportStore all = new ReportStore();
        for (ReportStore state : states) {
            all.merge(state);
        }
        return all;
    }

    /** Of daemons that tell the truth, repeated and in any order: each answer is counted once, and is in its place. */
    private void counts() {
        ReportStore state = new ReportStore();
        TrafficTotals tally = new TrafficTotals(2);
        Map<String, Long> newest = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            int daemon = random.nextInt(3);
            long incarnation = nowMs - random.nextInt(ReportStore.MAX_INCARNATIONS);
            long sequence = 1 + random.nextInt(5);
            ReportStore.Change change = state.add(Samples.report(daemon, incarnation, sequence, nowMs + sequence));
            if (change != null) {
                tally.count(change, nowMs, FORGET_MS);
            }
            newest.merge(daemon + " " + incarnation, Samples.answered(daemon, incarnation, sequence), Math::max);
            long answered = newest.values().stream().mapToLong(Long::longValue).sum();
            tally.totals()
                    .forEach((cell, total) -> require(
                            total.answered() == answered && total.answeredWithin(1_000) == answered,
                            "counted " + total + " of " + answered));
            require(tally.totals().size() == 2, "cells " + tally.totals().keySet());
        }
    }
}
