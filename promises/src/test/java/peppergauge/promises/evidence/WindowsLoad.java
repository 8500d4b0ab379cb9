package peppergauge.promises.evidence;

import static peppergauge.invariant.Loads.require;

import java.util.SplittableRandom;
import java.util.TreeMap;
import peppergauge.invariant.Loads;

/** One window, under a clock that goes on, stands, leaps and goes back, joined with what another side kept. */
public final class WindowsLoad {

    private static final int STEPS = Loads.steps(500);

    private WindowsLoad() {}

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long windowMs = 60_000L * (1 + random.nextInt(60));
        long slotMs = windowMs / Ring.SLOTS;
        Ring ring = new Ring(windowMs);
        Ring other = new Ring(windowMs);
        TreeMap<Long, Tally> all = new TreeMap<>();
        long nowMs = 1_700_000_000_000L;
        for (int i = 0; i < STEPS; i++) {
            nowMs += random.nextInt(50) == 0
                    ? random.nextLong(-3 * windowMs, 3 * windowMs)
                    : random.nextLong(2 * slotMs);
            Tally came = new Tally(random.nextInt(100), random.nextInt(10));
            if (random.nextInt(4) == 0) {
                other.add(nowMs, came.kept(), came.missed());
            } else {
                ring.add(nowMs, came.kept(), came.missed());
                all.merge(Math.floorDiv(nowMs, slotMs), came, Tally::plus);
            }
            if (random.nextInt(50) == 0) {
                ring.join(other.slots());
                other.slots()
                        .forEach((slot, tally) -> all.merge(
                                slot,
                                tally,
                                (one, two) -> new Tally(
                                        Math.max(one.kept(), two.kept()), Math.max(one.missed(), two.missed()))));
            }
            if (random.nextInt(50) == 0) {
                var before = ring.slots();
                ring.join(before);
                require(ring.slots().equals(before), "a window joined with itself counts more");
            }
            long now = Math.floorDiv(nowMs, slotMs);
            expect(ring.window(nowMs), all, now, Ring.SLOTS);
            expect(ring.quick(nowMs), all, now, Ring.QUICK);
        }
    }

    /** All that came within; where the clock went back some slots are overwritten by what is to come. */
    private static void expect(Tally seen, TreeMap<Long, Tally> all, long now, int slots) {
        Tally came = all.subMap(now - slots, false, now, true).values().stream().reduce(Tally.NONE, Tally::plus);
        require(
                seen.kept() <= came.kept() && seen.missed() <= came.missed(),
                "a window counts " + seen + " of " + came);
        require(
                all.isEmpty() || now < all.lastKey() || seen.equals(came),
                "a window lost some of " + came + ": " + seen);
    }
}
