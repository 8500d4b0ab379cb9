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
import peppergauge.bodies.limits.StallDetector;
import peppergauge.bodies.limits.WindowAllocator;

/** A random load on the ledger, the receive windows and the stall detector. */
public final class LedgerLoad {

    private static final int STEPS = 400;

    private LedgerLoad() {}

    /** @throws AssertionError if an invariant is violated */
    public static void run(long seed) {
        checkLedgerAccounts(seed);
        SplittableRandom random = new SplittableRandom(seed);
        long maxWindowBytes = WindowAllocator.MIN_WINDOW_BYTES * (1L + random.nextInt(8));
        WindowAllocator windows = new WindowAllocator(maxWindowBytes, WindowAllocator.MIN_WINDOW_BYTES * 16L);
        StallDetector stallDetector = new StallDetector(1_000, 800);
        double nowMs = 0;
        for (int i = 0; i < STEPS; i++) {
            nowMs += random.nextInt(50);
            if (windows.openFlows() == 0 || random.nextInt(20) < 11) {
                windows.onFlowOpened();
            } else {
                windows.onFlowClosed();
            }
            windows.windowBytes();
            // The clock may be read slightly earlier than the previous reading, by another thread.
            stallDetector.setAwaited(nowMs - random.nextInt(3), random.nextBoolean());
            stallDetector.onBytesMoved(nowMs, random.nextInt(200));
            stallDetector.isStalled(nowMs);
        }
    }

    /** The accounts match the bodies and are within the limits at each step, and are zero at the end. */
    private static void checkLedgerAccounts(long seed) {
        Random random = new Random(seed);
        long memory = 1 + random.nextInt(2_000);
        long files = 1 + random.nextInt(5_000);
        StorageLimits limits = new StorageLimits(
                3_000,
                1 + random.nextInt((int) memory),
                memory,
                1 + random.nextInt((int) files),
                files,
                1 + random.nextInt(12),
                0.2 + 0.8 * random.nextDouble());
        Ledger ledger = new Ledger(limits);
        Map<Long, Long> receivedById = new HashMap<>();
        List<Long> moving = new ArrayList<>();
        Set<Long> full = new HashSet<>();
        Set<Long> unneeded = new HashSet<>();
        for (int step = 0; step < STEPS; step++) {
            long id = random.nextInt(30);
            if (!receivedById.containsKey(id)) {
                BodyOwner owner = new BodyOwner(random.nextInt(3), random.nextInt(2), 1 + random.nextInt(10));
                long declared = random.nextBoolean() ? -1 : random.nextInt(3_500);
                if (ledger.admit(id, owner, declared, random.nextBoolean()) == Admission.BUFFERED) {
                    receivedById.put(id, 0L);
                }
            } else if (random.nextInt(4) > 0 && !full.contains(id)) {
                long more = Math.min(random.nextInt(400), 3_000 - receivedById.get(id));
                receivedById.merge(id, more, Long::sum);
                for (TierChange change : ledger.grow(id, more)) {
                    if (change.target() == Tier.FILE) {
                        moving.add(change.id());
                    } else {
                        full.add(change.id());
                        if (change.id() == id) {
                            receivedById.merge(id, -more, Long::sum);
                        } else {
                            assertTrue(unneeded.remove(change.id()), "only a body that is not needed may be discarded");
                            receivedById.put(change.id(), 0L);
                            moving.remove(change.id());
                        }
                    }
                }
            } else if (random.nextInt(8) == 0) {
                ledger.onFileFailed(id);
                full.add(id);
            } else if (random.nextInt(3) == 0) {
                ledger.setNeeded(id, false);
                unneeded.add(id);
            } else {
                ledger.release(id);
                receivedById.remove(id);
                moving.remove(id);
                full.remove(id);
                unneeded.remove(id);
            }
            while (!moving.isEmpty() && random.nextInt(3) > 0) {
                ledger.onMoved(moving.remove(random.nextInt(moving.size())));
            }
            check(ledger, limits, receivedById, moving);
        }
        List.copyOf(receivedById.keySet()).forEach(ledger::release);
        assertEquals(ledger.usedBytes(Tier.MEMORY) + ledger.usedBytes(Tier.FILE) + ledger.size(), 0);
        for (int tenant = 0; tenant < 3; tenant++) {
            assertEquals(ledger.usedBytes(Tier.MEMORY, tenant) + ledger.usedBytes(Tier.FILE, tenant), 0);
        }
    }

    private static void check(Ledger ledger, StorageLimits limits, Map<Long, Long> receivedById, List<Long> moving) {
        assertTrue(ledger.usedBytes(Tier.MEMORY) <= limits.memoryBytes()
                && ledger.usedBytes(Tier.FILE) <= limits.fileBytes());
        assertEquals(ledger.size(), receivedById.size());
        long memory = 0;
        long files = 0;
        for (Map.Entry<Long, Long> entry : receivedById.entrySet()) {
            Tier tier = ledger.tier(entry.getKey());
            if (moving.contains(entry.getKey())) {
                assertEquals(tier, Tier.MEMORY);
            } else {
                memory += tier == Tier.MEMORY ? entry.getValue() : 0;
                assertTrue(tier != Tier.MEMORY || entry.getValue() <= limits.maxBodyMemoryBytes());
            }
            files += tier == Tier.FILE || moving.contains(entry.getKey()) ? entry.getValue() : 0;
            assertTrue(tier != Tier.FILE || entry.getValue() <= limits.maxBodyFileBytes());
        }
        assertEquals(ledger.usedBytes(Tier.FILE), files);
        assertTrue(memory <= ledger.usedBytes(Tier.MEMORY));
        assertTrue(!moving.isEmpty() || memory == ledger.usedBytes(Tier.MEMORY));
    }
}
