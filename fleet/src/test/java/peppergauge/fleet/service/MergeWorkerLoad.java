package peppergauge.fleet.service;

import static peppergauge.invariant.Loads.require;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import peppergauge.fleet.Samples;
import peppergauge.fleet.member.Membership;
import peppergauge.fleet.planner.FleetView;
import peppergauge.fleet.state.CallRate;
import peppergauge.fleet.state.ReportLimits;
import peppergauge.fleet.state.TrafficTotals;
import peppergauge.fleet.storage.PersistedState;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.invariant.Loads;
import peppergauge.promises.TrafficKey;

/** Random load on the merge worker, in virtual time: more reports than fit, and restarts from stored state. */
public final class MergeWorkerLoad {

    private static final int STEPS = Loads.steps(400);
    private static final int MAX_DAEMONS = 6;
    private static final long MAX_BYTES = 6_000;

    private final SplittableRandom random;
    private final FleetServiceConfig settings;
    private long nowMs = 1_700_000_000_000L;
    private MergeWorker merging;
    private PersistedState stored;
    private Map<TrafficKey, TrafficTotals.Total> lastTotals = new HashMap<>();
    private Map<TrafficKey, TrafficTotals.Total> storedTotals = new HashMap<>();

    private MergeWorkerLoad(long seed) {
        random = new SplittableRandom(seed);
        settings = new FleetServiceConfig(
                Samples.SITE,
                "a",
                1,
                new InetSocketAddress(0),
                List.of(),
                Path.of("."),
                new ReportLimits(30_000, 5_000, 60_000, MAX_DAEMONS, 10, MAX_BYTES),
                new CallRate(50, 100, 10_000),
                new CallRate(100, 50, 10_000),
                new Membership.Timeouts(600, 400),
                new FleetServiceConfig.Tables(100, 1_500, 0.1),
                new FleetServiceConfig.Times(50, 200, 300),
                new FleetServiceConfig.Sizes(100_000, 100, 50, 8));
        merging = new MergeWorker(settings, () -> nowMs, null);
    }

    /** @throws AssertionError if an invariant or a requirement of this load is violated */
    public static void run(long seed) {
        MergeWorkerLoad load = new MergeWorkerLoad(seed);
        for (int i = 0; i < STEPS; i++) {
            load.step();
        }
    }

    private void step() {
        nowMs += random.nextInt(40) == 0 ? 30_000 : random.nextInt(150);
        switch (random.nextInt(12)) {
            case 0 ->
                merging.offer(new MergeWorker.ChangesRequested(
                        random.nextInt(50),
                        random.nextBoolean(),
                        changes -> require(
                                changes.through() >= 0 && changes.reports().size() <= 2 * MAX_DAEMONS,
                                "expected at most 12 reports, got "
                                        + changes.reports().size())));
            case 1 -> restart();
            default -> merging.offer(new MergeWorker.ReportsReceived(reports(), random.nextBoolean()));
        }
        if (random.nextInt(3) > 0) {
            merging.step();
            check();
        }
    }

    private List<DaemonReport> reports() {
        List<DaemonReport> reports = new ArrayList<>();
        for (int i = random.nextInt(4); i >= 0; i--) {
            int daemon = random.nextInt(2 * MAX_DAEMONS);
            long incarnation = nowMs - nowMs % 7_000;
            reports.add(Samples.report(
                    daemon,
                    incarnation,
                    1 + (nowMs - incarnation) / 50,
                    nowMs - (random.nextInt(8) == 0 ? 70_000 : random.nextInt(3_000))));
        }
        return reports;
    }

    /** Simulates a crash: state that was not stored is lost, and stored totals must not fall. */
    private void restart() {
        Supplier<PersistedState> newest = merging.snapshots().poll();
        stored = newest == null ? stored : newest.get();
        storedTotals = stored == null ? Map.of() : stored.totalsByKey();
        if (random.nextInt(4) == 0) {
            merging = new MergeWorker(settings, () -> nowMs, stored);
            lastTotals = storedTotals;
        }
    }

    private void check() {
        long largest = 300 + 2 * (130 + 200);
        require(
                merging.storeSize().bytes() < MAX_BYTES + largest,
                "expected less than " + (MAX_BYTES + largest) + " bytes in the store, got " + merging.storeSize());
        require(
                merging.storeSize().daemons() <= MAX_DAEMONS,
                "expected at most " + MAX_DAEMONS + " daemons in the store, got " + merging.storeSize());
        require(
                merging.liveDaemons() <= MAX_DAEMONS && merging.expectedDaemons() <= MAX_DAEMONS,
                "expected at most " + MAX_DAEMONS + " live daemons");
        FleetView view = merging.views().poll();
        if (view != null) {
            lastTotals.forEach((key, was) -> require(
                    view.totals().get(key).answered() >= was.answered()
                            && view.totals().get(key).answeredWithin(1_000) >= was.answeredWithin(1_000),
                    "expected totals of " + key + " not to fall"));
            lastTotals = view.totals();
        }
    }
}
