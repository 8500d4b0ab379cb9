package peppergauge.fleet.table;

import static peppergauge.invariant.Loads.require;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import peppergauge.fleet.wire.FleetTable;
import peppergauge.invariant.Loads;
import peppergauge.promises.ZoneWeights;

/**
 * Random load on tables: two issuers and a daemon, each with a clock of its own that is slightly wrong. Tables are lost
 * and late, issuers crash at any point and restart from stored reservations, and the daemon's clock may be set back by
 * an hour. With every third seed the issuers are partitioned and plan opposite weights.
 */
public final class LeasedTableLoad {

    private static final int STEPS = Loads.steps(600);
    private static final long CLOCK_SKEW_MS = 2_000;
    private static final long LEASE_MS = 20_000;
    private static final double MAX_STEP = 0.1;
    private static final LeasedTable.Limits LIMITS =
            new LeasedTable.Limits("north", CLOCK_SKEW_MS, MAX_STEP, 1_000, 60_000);

    private final SplittableRandom random;
    private final long[] reserved = new long[2];
    private final VersionClock[] versions = {new VersionClock(1, 0), new VersionClock(2, 0)};
    private final FleetTable[] last = new FleetTable[2];
    private final Set<Long> issuedVersions = new HashSet<>();
    private final long[] highest = new long[2];
    private final Map<FleetTable, Long> issuedAtMs = new HashMap<>();
    private final LeasedTable leasedTable = new LeasedTable(LIMITS);
    /** True time, from which the clocks differ. */
    private long nowMs = 1_700_000_000_000L;

    private long clockOffsetMs;
    private ZoneWeights before = ZoneWeights.NEUTRAL;
    private final boolean partitioned;
    private int accepted;

    private LeasedTableLoad(long seed) {
        random = new SplittableRandom(seed);
        partitioned = seed % 3 == 0;
    }

    /** @throws AssertionError if an invariant or a requirement of this load is violated */
    public static void run(long seed) {
        LeasedTableLoad load = new LeasedTableLoad(seed);
        for (int i = 0; i < STEPS; i++) {
            load.step();
        }
        require(load.accepted > 0, "expected at least one accepted table");
    }

    private void step() {
        nowMs += random.nextInt(60) == 0 ? random.nextInt(2 * (int) LEASE_MS) : 1 + random.nextInt(1_500);
        if (random.nextInt(3) > 0) {
            issue(random.nextInt(2));
        }
        if (random.nextInt(40) == 0) {
            // Rarely the clock is set back by an hour, and corrected by a later change.
            clockOffsetMs = random.nextInt(8) == 0 ? -3_600_000 : random.nextInt(-900, 900);
        }
        if (random.nextInt(3) > 0) {
            offer(last[random.nextInt(2)]);
        }
        check();
    }

    private void issue(int at) {
        long clock = nowMs + random.nextInt(-500, 500) - (random.nextInt(50) == 0 ? 20_000 : 0);
        if (!partitioned && random.nextBoolean() && last[1 - at] != null) {
            adopt(at, last[1 - at], clock);
        }
        long next = versions[at].next(clock);
        long reserve = versions[at].requiredReservation(next, clock);
        if (reserve > 0) {
            reserved[at] = Math.max(reserved[at], reserve);
            versions[at].onReserved(reserve);
        }
        if (random.nextInt(10) == 0) {
            // The issuer crashes here, and restarts from its reservation without a table.
            versions[at] = new VersionClock(at + 1, reserved[at]);
            last[at] = null;
            return;
        }
        versions[at].onIssued(next);
        require(issuedVersions.add(next), "version " + next + " was issued twice");
        require(next > highest[at], "version " + next + " was issued after " + highest[at]);
        highest[at] = next;
        ZoneWeights target = partitioned
                ? weights(at == 0 ? ZoneWeights.MIN_WEIGHT : 1)
                : random.nextInt(4) == 0
                        ? ZoneWeights.NEUTRAL
                        : weights(ZoneWeights.MIN_WEIGHT + (1 - ZoneWeights.MIN_WEIGHT) * random.nextDouble());
        last[at] = new TableIssuer("north", "i" + at, LEASE_MS, MAX_STEP).issue(next, clock, last[at], target);
        issuedAtMs.put(last[at], nowMs);
    }

    private static ZoneWeights weights(double weight) {
        return new ZoneWeights(Map.of("radio", Map.of("east", weight), "press", Map.of("west", 0.5)));
    }

    private void adopt(int at, FleetTable observed, long clock) {
        if (versions[at].observe(observed.version(), clock)) {
            require(versions[at].next(clock) > observed.version(), "expected next() to exceed the observed value");
            last[at] = last[at] == null || observed.version() > last[at].version() ? observed : last[at];
        }
    }

    private void offer(FleetTable table) {
        long version = leasedTable.version();
        if (table != null) {
            TableVerdict verdict = leasedTable.offer(table, nowMs + clockOffsetMs);
            require(
                    verdict != TableVerdict.TAKEN || table.version() > version,
                    "expected only newer tables to be accepted");
            accepted += verdict == TableVerdict.TAKEN ? 1 : 0;
        }
        require(
                leasedTable.version() >= version,
                "expected no version below " + version + ", got " + leasedTable.version());
    }

    private void check() {
        ZoneWeights now = leasedTable.effectiveWeights(nowMs + clockOffsetMs);
        now.weights()
                .values()
                .forEach(zones -> zones.values()
                        .forEach(weight -> require(
                                weight >= ZoneWeights.MIN_WEIGHT && weight <= 1,
                                "expected a weight from " + ZoneWeights.MIN_WEIGHT + " to 1, got " + weight)));
        require(
                now.equals(ZoneWeights.NEUTRAL) || ZoneWeightMath.distance(before, now) <= MAX_STEP + 1e-9,
                "expected at most one step of the weights from " + before + " to " + now);
        FleetTable table = leasedTable.table();
        // A lease ends earlier if its issuer's clock is late, and later by the difference of clocks at most.
        boolean expired = table == null || nowMs - issuedAtMs.get(table) >= LEASE_MS + 2 * CLOCK_SKEW_MS;
        require(!expired || now.equals(ZoneWeights.NEUTRAL), "expected neutral weights after the lease, got " + now);
        before = now;
    }
}
