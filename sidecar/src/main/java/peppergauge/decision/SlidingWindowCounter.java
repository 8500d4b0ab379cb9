package peppergauge.decision;

import java.util.ArrayDeque;

/** Counts events in a sliding time window. */
final class SlidingWindowCounter {

    private final ArrayDeque<Double> timesMs = new ArrayDeque<>();

    void add(double nowMs) {
        timesMs.addLast(nowMs);
    }

    /** Removes an event that was counted but did not take place. */
    void remove(double atMs) {
        timesMs.removeLastOccurrence(atMs);
    }

    /**
     * The number of events since {@code fromMs}. Discards earlier events.
     *
     * @param inclusive whether an event at {@code fromMs} itself counts
     */
    int countSince(double fromMs, boolean inclusive) {
        while (!timesMs.isEmpty() && (inclusive ? timesMs.peekFirst() < fromMs : timesMs.peekFirst() <= fromMs)) {
            timesMs.removeFirst();
        }
        return timesMs.size();
    }
}
