package peppergauge.promises.evidence;

import java.util.Map;
import java.util.TreeMap;

/**
 * The tallies of one cell over one window, in sixty slots by the clock. What is older than the window counts no more,
 * whether anything came since or not: a state from an old disk brings nothing back.
 */
final class Ring {

    static final int SLOTS = 60;
    /** Of these, the latest, which say whether it burns now: a tenth of the window. */
    static final int QUICK = SLOTS / 10;

    private final long slotMs;
    private final long[] kept = new long[SLOTS];
    private final long[] missed = new long[SLOTS];
    private final long[] number = new long[SLOTS];

    Ring(long windowMs) {
        slotMs = Math.max(1, windowMs / SLOTS);
        java.util.Arrays.fill(number, Long.MIN_VALUE);
    }

    void add(long nowMs, long keptNow, long missedNow) {
        put(Math.floorDiv(nowMs, slotMs), keptNow, missedNow, false);
    }

    private void put(long slot, long keptNow, long missedNow, boolean most) {
        int at = (int) Math.floorMod(slot, (long) SLOTS);
        if (number[at] > slot) {
            return;
        }
        if (number[at] < slot) {
            number[at] = slot;
            kept[at] = 0;
            missed[at] = 0;
        }
        kept[at] = most ? Math.max(kept[at], keptNow) : kept[at] + keptNow;
        missed[at] = most ? Math.max(missed[at], missedNow) : missed[at] + missedNow;
        assert kept[at] >= keptNow && missed[at] >= missedNow : "slot " + slot + " lost what came";
        assert Math.floorMod(number[at], (long) SLOTS) == at : "slot " + number[at] + " stands at " + at;
    }

    Tally window(long nowMs) {
        return latest(nowMs, SLOTS);
    }

    Tally quick(long nowMs) {
        return latest(nowMs, QUICK);
    }

    private Tally latest(long nowMs, int slots) {
        long now = Math.floorDiv(nowMs, slotMs);
        long keptSum = 0;
        long missedSum = 0;
        for (int i = 0; i < SLOTS; i++) {
            if (number[i] > now - slots && number[i] <= now) {
                keptSum += kept[i];
                missedSum += missed[i];
            }
        }
        return new Tally(keptSum, missedSum);
    }

    /** By number of the slot since the clock's origin. */
    Map<Long, Tally> slots() {
        Map<Long, Tally> slots = new TreeMap<>();
        for (int i = 0; i < SLOTS; i++) {
            if (number[i] != Long.MIN_VALUE) {
                slots.put(number[i], new Tally(kept[i], missed[i]));
            }
        }
        return slots;
    }

    /** Takes in slots that were kept: of what both know the greater, so that nothing counts twice. */
    void join(Map<Long, Tally> slots) {
        slots.forEach((slot, tally) -> put(slot, tally.kept(), tally.missed(), true));
    }
}
