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
import peppergauge.fleet.decide.MergedView;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.DaemonReport.CellCounts;
import peppergauge.invariant.Loads;
import peppergauge.promises.TrafficKey;

/**
 * Instances that daemons, sound and broken ones, report to, and that tell each other what changed; reports and answers
 * are lost, repeated and late, daemons start anew, clocks go on and accounts are forgotten.
 */
public final class StateLoad {

    private static final int STEPS = Loads.steps(400);
    private static final int INSTANCES = 3;
    private static final long FORGET_MS = 60_000;
    private static final Limits LIMITS = new Limits(30_000, 5_000, FORGET_MS, 20, 4, 1 << 20);
    private static final long[] COUNTS = {0, 1, 1_000, 1L << 40, KeyChecks.MOST, 1L << 59, Long.MAX_VALUE, -1};

    private final SplittableRandom random;
    private final Intake intake = new Intake(Samples.SITE, LIMITS);
    private final List<Instance> instances =
            Stream.generate(Instance::new).limit(INSTANCES).toList();
    private final List<DaemonReport> sent = new ArrayList<>();
    private long nowMs = 1_700_000_000_000L;

    private static final class Instance {
        private final FleetState state = new FleetState();
        private final Tally tally = new Tally(3);
        private final long[] since = new long[INSTANCES];
        private Map<TrafficKey, Tally.Total> before = new HashMap<>();
    }

    private StateLoad(long seed) {
        random = new SplittableRandom(seed);
    }

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) {
        new StateLoad(seed).whole();
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
                case 10 -> any.state.forget(nowMs, FORGET_MS);
                default -> nowMs += random.nextInt(20) == 0 ? 40_000 : 0;
            }
            looked(any);
        }
        instances.forEach(each -> each.state.forget(nowMs, FORGET_MS));
        for (int round = 0; round < 2; round++) {
            for (Instance each : instances) {
                for (int other = 0; other < INSTANCES; other++) {
                    gossip(each, other, Long.MAX_VALUE);
                }
            }
        }
        Map<String, Map<Long, DaemonReport>> all = instances.get(0).state.accounts();
        instances.forEach(each -> require(each.state.accounts().equals(all), "instances hold unlike accounts"));
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
        Histogram latency = Latencies.empty();
        latency.recordValueWithCount(random.nextInt(700), Math.max(1, COUNTS[random.nextInt(COUNTS.length)]));
        latency.recordValueWithCount(random.nextInt(700_000) % Latencies.MOST_MS, 1 + random.nextInt(9));
        DaemonReport broken = new DaemonReport(
                sound.site(),
                sound.daemon(),
                sound.incarnation(),
                sound.sequence() + random.nextInt(2),
                sound.sentMs(),
                List.of(new CellCounts(
                        "radio",
                        "listen",
                        "z" + random.nextInt(3),
                        count(),
                        count(),
                        count(),
                        Latencies.encode(latency))));
        sent.add(broken);
        return broken;
    }

    private long count() {
        return COUNTS[random.nextInt(COUNTS.length)];
    }

    private void reported(Instance at, DaemonReport report) {
        DaemonReport newest = at.state.newest(report.daemon());
        Verdict verdict = intake.judge(
                report,
                nowMs,
                newest == null ? null : new Intake.Newest(newest.incarnation(), newest.sequence()),
                new Intake.Held(at.state.size(), at.state.bytes()));
        if (verdict == Verdict.TAKEN) {
            taken(at, report, true);
        }
    }

    private void taken(Instance at, DaemonReport report, boolean firstHand) {
        // As the merge does: what is older would come back as often as it is forgotten.
        FleetState.Change change = nowMs - report.sentMs() > FORGET_MS ? null : at.state.take(report, firstHand);
        if (change != null) {
            at.tally.count(change, nowMs, FORGET_MS);
            require(at.state.take(report, firstHand) == null, "the same is taken twice");
        }
    }

    /** Each asks for what it does not have; the answer may be lost. */
    private void gossip(Instance asking, int asked, long mostBytes) {
        FleetState.Changes changes = instances.get(asked).state.since(asking.since[asked], mostBytes, true);
        require(changes.through() >= asking.since[asked], "stamps go back");
        if (mostBytes == Long.MAX_VALUE || random.nextInt(4) > 0) {
            asking.since[asked] = changes.through();
            changes.reports().stream()
                    .filter(report -> intake.mayJoin(report, nowMs))
                    .forEach(report -> taken(asking, report, false));
        }
    }

    /** What those see who decide: totals that never fall, and evidence that can be reckoned with. */
    private void looked(Instance at) {
        Map<TrafficKey, Tally.Total> now = at.tally.totals();
        require(now.size() <= 3, "cells without bound");
        at.before.forEach((cell, was) -> {
            Tally.Total is = now.get(cell);
            require(
                    is != null
                            && is.answered() >= was.answered()
                            && is.denied() >= was.denied()
                            && is.failed() >= was.failed()
                            && is.within(Latencies.MOST_MS) >= was.within(Latencies.MOST_MS),
                    "totals fell in " + cell);
        });
        at.before = now;
        new MergedView(nowMs, now, Map.of(), at.state.size()).evidence(cell -> 100);
    }

    /** Any order, any grouping, and repetition: the same; and what all forget alike does not come back. */
    private void joins() {
        List<DaemonReport> few = sent.subList(0, Math.min(sent.size(), 60));
        FleetState one = new FleetState();
        FleetState[] parts = {new FleetState(), new FleetState(), new FleetState()};
        few.forEach(one::take);
        few.forEach(parts[0]::take);
        for (int i = 0; i < 3 * few.size(); i++) {
            parts[random.nextInt(3)].take(few.get(random.nextInt(few.size())));
        }
        FleetState left = joined(joined(parts[0], parts[1]), parts[2]);
        FleetState right = joined(parts[2], joined(parts[1], parts[0], parts[1]));
        require(one.accounts().equals(left.accounts()), "another order, another state");
        require(left.accounts().equals(right.accounts()), "another grouping, another state");
        one.join(right);
        require(one.accounts().equals(right.accounts()), "a join with itself changes a state");
        require(
                one.bytes()
                        == one.reports().stream()
                                .mapToLong(each -> 300
                                        + each.cells().stream()
                                                .mapToLong(cell ->
                                                        130 + cell.latency().length())
                                                .sum())
                                .sum(),
                one.bytes() + " bytes are held");
        left.forget(nowMs, FORGET_MS / 2);
        right.forget(nowMs, FORGET_MS / 2);
        right.join(left);
        require(right.accounts().equals(left.accounts()), "what is forgotten comes back");
    }

    private static FleetState joined(FleetState... states) {
        FleetState all = new FleetState();
        for (FleetState state : states) {
            all.join(state);
        }
        return all;
    }

    /** Of daemons that tell the truth, repeated and in any order: each answer is counted once, and is in its place. */
    private void counts() {
        FleetState state = new FleetState();
        Tally tally = new Tally(2);
        Map<String, Long> newest = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            int daemon = random.nextInt(3);
            long incarnation = nowMs - random.nextInt(FleetState.INCARNATIONS);
            long sequence = 1 + random.nextInt(5);
            FleetState.Change change = state.take(Samples.report(daemon, incarnation, sequence, nowMs + sequence));
            if (change != null) {
                tally.count(change, nowMs, FORGET_MS);
            }
            newest.merge(daemon + " " + incarnation, Samples.answered(daemon, incarnation, sequence), Math::max);
            long answered = newest.values().stream().mapToLong(Long::longValue).sum();
            tally.totals()
                    .forEach((cell, total) -> require(
                            total.answered() == answered && total.within(1_000) == answered,
                            "counted " + total + " of " + answered));
            require(tally.totals().size() == 2, "cells " + tally.totals().keySet());
        }
    }
}
