package peppergauge.promises.outcome;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Sliding-window counter of one key's outcomes: {@value #SLOTS} slots of equal length, aligned to the clock. Slots
 * outside the window do not count, whether or not anything was added since. Not thread-safe.
 */
final class SlidingWindow {

    static final int SLOTS = 60;
    /** Number of newest slots that determine the current burn rate: a tenth of the window. */
    static final int RECENT_SLOTS = SLOTS / 10;

    private final long slotMs;
    private final long[] met = new long[SLOTS];
    private final long[] missed = new long[SLOTS];
    /** Number of the slot at each index, counted from the Unix epoch. */
    private final long[] slotNumbers = new long[SLOTS];

    SlidingWindow(long windowMs) {
        slotMs = Math.max(1, windowMs / SLOTS);
        Arrays.fill(slotNumbers, Long.MIN_VALUE);
    }

    /** Adds outcomes to the slot of a time. Outcomes of a slot that is already overwritten are dropped. */
    void add(long nowMs, long metNow, long missedNow) {
        put(Math.floorDiv(nowMs, slotMs), metNow, missedNow, false);
    }

    private void put(long slot, long metNow, long missedNow, boolean maximum) {
        int index = (int) Math.floorMod(slot, (long) SLOTS);
        if (slotNumbers[index] > slot) {
            return;
        }
        if (slotNumbers[index] < slot) {
            slotNumbers[index] = slot;
            met[index] = 0;
            missed[index] = 0;
        }
        met[index] = maximum ? Math.max(met[index], metNow) : met[index] + metNow;
        missed[index] = maximum ? Math.max(missed[index], missedNow) : missed[index] + missedNow;
        assert met[index] >= metNow && missed[index] >= missedNow
                : "expected the counts of slot " + slot + " to include the added ones";
        assert Math.floorMod(slotNumbers[index], (long) SLOTS) == index
                : "slot " + slotNumbers[index] + " is stored at index " + index;
    }

    /** Returns the outcomes of the whole window that ends now. */
    OutcomeCounts sum(long nowMs) {
        return sumOfLatest(nowMs, SLOTS);
    }

    /** Returns the outcomes of the newest tenth of the window. */
    OutcomeCounts sumRecent(long nowMs) {
        return sumOfLatest(nowMs, RECENT_SLOTS);
    }

    private OutcomeCounts sumOfLatest(long nowMs, int slots) {
        long now = Math.floorDiv(nowMs, slotMs);
        long metSum = 0;
        long missedSum = 0;
        for (int i = 0; i < SLOTS; i++) {
            if (slotNumbers[i] > now - slots && slotNumbers[i] <= now) {
                metSum += met[i];
                missedSum += missed[i];
            }
        }
        return new OutcomeCounts(metSum, missedSum);
    }

    /** Returns all slots that hold outcomes, by slot number. */
    Map<Long, OutcomeCounts> slots() {
        Map<Long, OutcomeCounts> slots = new TreeMap<>();
        for (int i = 0; i < SLOTS; i++) {
            if (slotNumbers[i] != Long.MIN_VALUE) {
                slots.put(slotNumbers[i], new OutcomeCounts(met[i], missed[i]));
            }
        }
        return slots;
    }

    /** Merges slots of another window by the maximum of each count. Idempotent. */
    void merge(Map<Long, OutcomeCounts> slots) {
        slots.forEach((slot, counts) -> put(slot, counts.met(), counts.missed(), true));
    }
}
