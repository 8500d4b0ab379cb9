package peppergauge.promises.outcome;

import static peppergauge.invariant.Loads.require;

import java.util.SplittableRandom;
import java.util.TreeMap;
import peppergauge.invariant.Loads;

/**
 * Random load on one window: the clock advances, stands still, jumps and is set back, and slots of another window are
 * merged in between. Compares the sums with an exact count.
 */
public final class SlidingWindowLoad {

    private static final int STEPS = Loads.steps(500);

    private SlidingWindowLoad() {}

    /** @throws AssertionError if a check fails */
    public static void run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long windowMs = 60_000L * (1 + random.nextInt(60));
        long slotMs = windowMs / SlidingWindow.SLOTS;
        SlidingWindow window = new SlidingWindow(windowMs);
        SlidingWindow other = new SlidingWindow(windowMs);
        TreeMap<Long, OutcomeCounts> all = new TreeMap<>();
        long nowMs = 1_700_000_000_000L;
        for (int i = 0; i < STEPS; i++) {
            nowMs += random.nextInt(50) == 0
                    ? random.nextLong(-3 * windowMs, 3 * windowMs)
                    : random.nextLong(2 * slotMs);
            OutcomeCounts added = new OutcomeCounts(random.nextInt(100), random.nextInt(10));
            if (random.nextInt(4) == 0) {
                other.add(nowMs, added.met(), added.missed());
            } else {
                window.add(nowMs, added.met(), added.missed());
                all.merge(Math.floorDiv(nowMs, slotMs), added, OutcomeCounts::plus);
            }
            if (random.nextInt(50) == 0) {
                window.merge(other.slots());
                other.slots()
                        .forEach((slot, counts) -> all.merge(
                                slot,
                                counts,
                                (one, two) -> new OutcomeCounts(
                                        Math.max(one.met(), two.met()), Math.max(one.missed(), two.missed()))));
            }
            if (random.nextInt(50) == 0) {
                var before = window.slots();
                window.merge(before);
                require(window.slots().equals(before), "expected a merge of a window with itself to change nothing");
            }
            long now = Math.floorDiv(nowMs, slotMs);
            checkSum(window.sum(nowMs), all, now, SlidingWindow.SLOTS);
            checkSum(window.sumRecent(nowMs), all, now, SlidingWindow.RECENT_SLOTS);
        }
    }

    /**
     * Checks that a sum contains no more than the exact count, and all of it unless the clock was set back: then later
     * slots may have overwritten some.
     */
    private static void checkSum(OutcomeCounts sum, TreeMap<Long, OutcomeCounts> all, long now, int slots) {
        OutcomeCounts exact = all.subMap(now - slots, false, now, true).values().stream()
                .reduce(OutcomeCounts.ZERO, OutcomeCounts::plus);
        require(
                sum.met() <= exact.met() && sum.missed() <= exact.missed(),
                "expected a sum of at most " + exact + " but was " + sum);
        require(
                all.isEmpty() || now < all.lastKey() || sum.equals(exact),
                "expected a sum of " + exact + " but was " + sum);
    }
}
