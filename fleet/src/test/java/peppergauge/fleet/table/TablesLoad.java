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
 * Two issuers and a reader, each with a clock of its own that goes a little wrong; tables are lost and late, issuers
 * end at any point and start from their disk, and the reader's clock may go back by an hour. In every third course the
 * two never hear of each other, and want opposite things.
 */
public final class TablesLoad {

    private static final int STEPS = Loads.steps(600);
    private static final long FUTURE_MS = 2_000;
    private static final long LEASE_MS = 20_000;
    private static final double STEP = 0.1;
    private static final TableReader.Bounds BOUNDS = new TableReader.Bounds("north", FUTURE_MS, STEP, 1_000, 60_000);

    private final SplittableRandom random;
    private final long[] disk = new long[2];
    private final Versions[] versions = {new Versions(1, 0), new Versions(2, 0)};
    private final FleetTable[] last = new FleetTable[2];
    private final Set<Long> handedOut = new HashSet<>();
    private final long[] highest = new long[2];
    private final Map<FleetTable, Long> issuedAtMs = new HashMap<>();
    private final TableReader reader = new TableReader(BOUNDS);
    /** True time; what clocks tell differs from it. */
    private long nowMs = 1_700_000_000_000L;

    private long readerOffMs;
    private ZoneWeights before = ZoneWeights.NEUTRAL;
    private final boolean parted;
    private int taken;

    private TablesLoad(long seed) {
        random = new SplittableRandom(seed);
        parted = seed % 3 == 0;
    }

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) {
        TablesLoad load = new TablesLoad(seed);
        for (int i = 0; i < STEPS; i++) {
            load.step();
        }
        require(load.taken > 0, "no table is taken");
    }

    private void step() {
        nowMs += random.nextInt(60) == 0 ? random.nextInt(2 * (int) LEASE_MS) : 1 + random.nextInt(1_500);
        if (random.nextInt(3) > 0) {
            issue(random.nextInt(2));
        }
        if (random.nextInt(40) == 0) {
            // A leap of an hour comes to a few; it is set right in the end.
            readerOffMs = random.nextInt(8) == 0 ? -3_600_000 : random.nextInt(-900, 900);
        }
        if (random.nextInt(3) > 0) {
            offer(last[random.nextInt(2)]);
        }
        look();
    }

    private void issue(int at) {
        long clock = nowMs + random.nextInt(-500, 500) - (random.nextInt(50) == 0 ? 20_000 : 0);
        if (!parted && random.nextBoolean() && last[1 - at] != null) {
            adopt(at, last[1 - at], clock);
        }
        long next = versions[at].next(clock);
        long reserve = versions[at].toReserve(next, clock);
        if (reserve > 0) {
            disk[at] = Math.max(disk[at], reserve);
            versions[at].reserved(reserve);
        }
        if (random.nextInt(10) == 0) {
            // It ends here, and starts from what its disk says, knowing no table.
            versions[at] = new Versions(at + 1, disk[at]);
            last[at] = null;
            return;
        }
        versions[at].issued(next);
        require(handedOut.add(next), "version " + next + " twice");
        require(next > highest[at], "version " + next + " after " + highest[at]);
        highest[at] = next;
        ZoneWeights wanted = parted
                ? leaning(at == 0 ? ZoneWeights.MIN_WEIGHT : 1)
                : random.nextInt(4) == 0
                        ? ZoneWeights.NEUTRAL
                        : leaning(ZoneWeights.MIN_WEIGHT + (1 - ZoneWeights.MIN_WEIGHT) * random.nextDouble());
        last[at] = new Publishing("north", "i" + at, LEASE_MS, STEP).issue(next, clock, last[at], wanted);
        issuedAtMs.put(last[at], nowMs);
    }

    private static ZoneWeights leaning(double factor) {
        return new ZoneWeights(Map.of("radio", Map.of("east", factor), "press", Map.of("west", 0.5)));
    }

    private void adopt(int at, FleetTable told, long clock) {
        if (versions[at].seen(told.version(), clock)) {
            require(versions[at].next(clock) > told.version(), "what is seen is not gone beyond");
            last[at] = last[at] == null || told.version() > last[at].version() ? told : last[at];
        }
    }

    private void offer(FleetTable table) {
        long version = reader.version();
        if (table != null) {
            Acceptance answer = reader.offer(table, nowMs + readerOffMs);
            require(answer != Acceptance.TAKEN || table.version() > version, "a table that is not newer is taken");
            taken += answer == Acceptance.TAKEN ? 1 : 0;
        }
        require(reader.version() >= version, "the reader went back to version " + reader.version());
    }

    private void look() {
        ZoneWeights now = reader.steering(nowMs + readerOffMs);
        now.weights()
                .values()
                .forEach(zones -> zones.values()
                        .forEach(factor ->
                                require(factor >= ZoneWeights.MIN_WEIGHT && factor <= 1, "a factor of " + factor)));
        require(now.equals(ZoneWeights.NEUTRAL) || Factors.distance(before, now) <= STEP + 1e-9, before + " to " + now);
        FleetTable held = reader.table();
        // Issuers' clocks may be 20 s late, which ends a lease sooner; never later than clocks differ.
        boolean over = held == null || nowMs - issuedAtMs.get(held) >= LEASE_MS + 2 * FUTURE_MS;
        require(!over || now.equals(ZoneWeights.NEUTRAL), "it leans after the lease: " + now);
        before = now;
    }
}
