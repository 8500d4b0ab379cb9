package peppergauge.bodies.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import peppergauge.bodies.limits.Pace;
import peppergauge.bodies.limits.Windows;

/** Bodies of every kind, and the bounds that they share. */
public final class LedgerLoad {

    private static final int STEPS = 400;

    private LedgerLoad() {}

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) {
        theSumsAreWhatIsThereAndEndAtZero(seed);
        SplittableRandom random = new SplittableRandom(seed);
        Windows windows = new Windows(Windows.LEAST * (1L + random.nextInt(8)), Windows.LEAST * 16L);
        Pace pace = new Pace(1_000, 800);
        double nowMs = 0;
        for (int i = 0; i < STEPS; i++) {
            nowMs += random.nextInt(50);
            if (windows.size() == 0 || random.nextInt(20) < 11) {
                windows.open();
            } else {
                windows.close();
            }
            windows.share();
            // What two threads' clocks tell may lie a little before the last.
            pace.turn(nowMs - random.nextInt(3), random.nextBoolean());
            pace.moved(nowMs, random.nextInt(200));
            pace.stopped(nowMs);
        }
    }

    /** However bodies arrive, grow, move, fail and end: the bounds hold, and the sums come out at zero. */
    private static void theSumsAreWhatIsThereAndEndAtZero(long seed) {
        Random random = new Random(seed);
        long memory = 1 + random.nextInt(2_000);
        long files = 1 + random.nextInt(5_000);
        Bounds bounds = new Bounds(
                3_000,
                1 + random.nextInt((int) memory),
                memory,
                1 + random.nextInt((int) files),
                files,
                1 + random.nextInt(12),
                0.2 + 0.8 * random.nextDouble());
        Ledger ledger = new Ledger(bounds);
        Map<Long, Long> came = new HashMap<>();
        List<Long> moving = new ArrayList<>();
        Set<Long> full = new HashSet<>();
        Set<Long> unneeded = new HashSet<>();
        for (int step = 0; step < STEPS; step++) {
            long id = random.nextInt(30);
            if (!came.containsKey(id)) {
                Owner owner = new Owner(random.nextInt(3), random.nextInt(2), 1 + random.nextInt(10));
                long declared = random.nextBoolean() ? -1 : random.nextInt(3_500);
                if (ledger.open(id, owner, declared, random.nextBoolean()) == Letting.IN) {
                    came.put(id, 0L);
                }
            } else if (random.nextInt(4) > 0 && !full.contains(id)) {
                long more = Math.min(random.nextInt(400), 3_000 - came.get(id));
                came.merge(id, more, Long::sum);
                for (Move move : ledger.grow(id, more)) {
                    if (move.to() == Tier.FILE) {
                        moving.add(move.id());
                    } else {
                        full.add(move.id());
                        if (move.id() == id) {
                            came.merge(id, -more, Long::sum);
                        } else {
                            assertTrue(unneeded.remove(move.id()), "one that is still to be sent was dropped");
                            came.put(move.id(), 0L);
                            moving.remove(move.id());
                        }
                    }
                }
            } else if (random.nextInt(8) == 0) {
                ledger.failed(id);
                full.add(id);
            } else if (random.nextInt(3) == 0) {
                ledger.needed(id, false);
                unneeded.add(id);
            } else {
                ledger.release(id);
                came.remove(id);
                moving.remove(id);
                full.remove(id);
                unneeded.remove(id);
            }
            while (!moving.isEmpty() && random.nextInt(3) > 0) {
                ledger.moved(moving.remove(random.nextInt(moving.size())));
            }
            check(ledger, bounds, came, moving);
        }
        List.copyOf(came.keySet()).forEach(ledger::release);
        assertEquals(ledger.used(Tier.MEMORY) + ledger.used(Tier.FILE) + ledger.size(), 0);
        for (int tenant = 0; tenant < 3; tenant++) {
            assertEquals(ledger.usedBy(Tier.MEMORY, tenant) + ledger.usedBy(Tier.FILE, tenant), 0);
        }
    }

    private static void check(Ledger ledger, Bounds bounds, Map<Long, Long> came, List<Long> moving) {
        assertTrue(ledger.used(Tier.MEMORY) <= bounds.allMemory() && ledger.used(Tier.FILE) <= bounds.allFiles());
        assertEquals(ledger.size(), came.size());
        long memory = 0;
        long files = 0;
        for (Map.Entry<Long, Long> each : came.entrySet()) {
            Tier tier = ledger.tier(each.getKey());
            if (moving.contains(each.getKey())) {
                assertEquals(tier, Tier.MEMORY);
            } else {
                memory += tier == Tier.MEMORY ? each.getValue() : 0;
                assertTrue(tier != Tier.MEMORY || each.getValue() <= bounds.eachMemory());
            }
            files += tier == Tier.FILE || moving.contains(each.getKey()) ? each.getValue() : 0;
            assertTrue(tier != Tier.FILE || each.getValue() <= bounds.eachFile());
        }
        assertEquals(ledger.used(Tier.FILE), files);
        assertTrue(memory <= ledger.used(Tier.MEMORY));
        assertTrue(!moving.isEmpty() || memory == ledger.used(Tier.MEMORY));
    }
}
