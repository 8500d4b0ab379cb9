package peppergauge.promises.outcome;

import static peppergauge.invariant.Loads.require;

import java.util.SplittableRandom;
import java.util.TreeMap;
import peppergauge.invariant.Loads;

/** One window, under a clock that goes on, stands, leaps and goes back, joined with what another side kept. */
public final class SlidingWindowLoad {

    private static final int STEPS = Loads.steps(500);

    private SlidingWindowLoad() {}

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long windowMs = 60_000L * (1 + random.nextInt(60));
        long slotMs = windowMs / SlidingWindow.SLOTS;
        SlidingWindow ring = new SlidingWindow(windowMs);
        SlidingWindow other = new SlidingWindow(windowMs);
        TreeMap<Long, OutcomeCounts> all = new TreeMap<>();
        long nowMs = 1_700_000_000_000L;
        for (int i = 0; i < STEPS; i++) {
            nowMs += random.nextInt(50) == 0
                    ? random.nextLong(-3 * windowMs, 3 * windowMs)
                    : random.nextLong(2 * slotMs);
            OutcomeCounts came = new OutcomeCounts(random.nextInt(100), random.nextInt(10));
            if (random.nextInt(4) == 0) {
                other.add(nowMs, came.met(), came.missed());
            } else {
                ring.add(nowMs, came.met(), came.missed());
                all.merge(Math.floorDiv(nowMs, slotMs), came, OutcomeCounts::plus);
            }
            if (random.nextInt(50) == 0) {
                ring.merge(other.slots());
                other.slots()
                        .forEach((slot, tally) -> all.merge(
                                slot,
                                tally,
                                (one, two) -> new OutcomeCounts(
                                        Math.max(one.met(), two.met()), Math.max(one.missed(), two.missed()))));
            }
            if (random.nextInt(50) == 0) {
                var before = ring.slots();
                ring.merge(before);
                require(ring.slots().equals(before), "a window joined with itself counts more");
            }
            long now = Math.floorDiv(nowMs, slotMs);
            expect(ring.sum(nowMs), all, now, SlidingWindow.SLOTS);
            expect(ring.sumRecent(nowMs), all, now, SlidingWindow.RECENT_SLOTS);
        }
    }

    /** All that came within; where the clock went back some slots are overwritten by what is to come. */
    private static void expect(OutcomeCounts seen, TreeMap<Long, OutcomeCounts> all, long now, int slots) {
        OutcomeCounts came = all.subMap(now - slots, false, now, true).values().stream()
                .reduce(OutcomeCounts.ZERO, OutcomeCounts::plus);
        require(seen.met() <= came.met() && seen.missed() <= came.missed(), "a window counts " + seen + " of " + came);
        require(
                all.isEmpty() || now < all.lastKey() || seen.equals(came),
                "a window lost some of " + came + ": " + seen);
    }
}
