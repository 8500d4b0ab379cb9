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
import peppergauge.fleet.decide.MergedView;
import peppergauge.fleet.disk.KeptState;
import peppergauge.fleet.member.Membership;
import peppergauge.fleet.state.Limits;
import peppergauge.fleet.state.Pace;
import peppergauge.fleet.state.Tally;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.invariant.Loads;
import peppergauge.promises.TrafficKey;

/** The duty that owns what is merged, in virtual time: more is handed in than fits, and it starts from its disk. */
public final class MergingLoad {

    private static final int STEPS = Loads.steps(400);
    private static final int DAEMONS = 6;
    private static final long BYTES = 6_000;

    private final SplittableRandom random;
    private final ServiceSettings settings;
    private long nowMs = 1_700_000_000_000L;
    private Merging merging;
    private KeptState disk;
    private Map<TrafficKey, Tally.Total> seen = new HashMap<>();
    private Map<TrafficKey, Tally.Total> onDisk = new HashMap<>();

    private MergingLoad(long seed) {
        random = new SplittableRandom(seed);
        settings = new ServiceSettings(
                Samples.SITE,
                "a",
                1,
                new InetSocketAddress(0),
                List.of(),
                Path.of("."),
                new Limits(30_000, 5_000, 60_000, DAEMONS, 10, BYTES),
                new Pace(50, 100, 10_000),
                new Pace(100, 50, 10_000),
                new Membership.Patience(600, 400),
                new ServiceSettings.Tables(100, 1_500, 0.1),
                new ServiceSettings.Times(50, 200, 300),
                new ServiceSettings.Sizes(100_000, 100, 50, 8));
        merging = new Merging(settings, () -> nowMs, null);
    }

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) {
        MergingLoad load = new MergingLoad(seed);
        for (int i = 0; i < STEPS; i++) {
            load.step();
        }
    }

    private void step() {
        nowMs += random.nextInt(40) == 0 ? 30_000 : random.nextInt(150);
        switch (random.nextInt(12)) {
            case 0 ->
                merging.offer(new Merging.Asked(
                        random.nextInt(50),
                        random.nextBoolean(),
                        changes -> require(
                                changes.through() >= 0 && changes.reports().size() <= 2 * DAEMONS,
                                "more than is held")));
            case 1 -> restart();
            default -> merging.offer(new Merging.Reported(reports(), random.nextBoolean()));
        }
        if (random.nextInt(3) > 0) {
            merging.step();
            look();
        }
    }

    private List<DaemonReport> reports() {
        List<DaemonReport> reports = new ArrayList<>();
        for (int i = random.nextInt(4); i >= 0; i--) {
            int daemon = random.nextInt(2 * DAEMONS);
            long incarnation = nowMs - nowMs % 7_000;
            reports.add(Samples.report(
                    daemon,
                    incarnation,
                    1 + (nowMs - incarnation) / 50,
                    nowMs - (random.nextInt(8) == 0 ? 70_000 : random.nextInt(3_000))));
        }
        return reports;
    }

    /** A crash: what is not on the disk is gone, and what is there never falls. */
    private void restart() {
        Supplier<KeptState> newest = merging.kept().take();
        disk = newest == null ? disk : newest.get();
        onDisk = disk == null ? Map.of() : disk.tally();
        if (random.nextInt(4) == 0) {
            merging = new Merging(settings, () -> nowMs, disk);
            seen = onDisk;
        }
    }

    private void look() {
        long largest = 300 + 2 * (130 + 200);
        require(merging.held().bytes() < BYTES + largest, merging.held() + " are held");
        require(merging.held().daemons() <= DAEMONS, merging.held() + " are held");
        require(merging.live() <= DAEMONS && merging.expected() <= DAEMONS, "more live than are held");
        MergedView view = merging.views().take();
        if (view != null) {
            seen.forEach((cell, was) -> require(
                    view.totals().get(cell).answered() >= was.answered()
                            && view.totals().get(cell).within(1_000) >= was.within(1_000),
                    "totals fell in " + cell));
            seen = view.totals();
        }
    }
}
