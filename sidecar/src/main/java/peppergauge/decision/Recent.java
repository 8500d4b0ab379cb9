package peppergauge.decision;

import java.util.ArrayDeque;

/** Times of what happened within a sliding window. */
final class Recent {

    private final ArrayDeque<Double> times = new ArrayDeque<>();

    void add(double nowMs) {
        times.addLast(nowMs);
    }

    /** Takes back one that turned out not to have happened. */
    void remove(double atMs) {
        times.removeLastOccurrence(atMs);
    }

    /** How many since {@code fromMs}, those at that very time included if {@code closed}. */
    int since(double fromMs, boolean closed) {
        while (!times.isEmpty() && (closed ? times.peekFirst() < fromMs : times.peekFirst() <= fromMs)) {
            times.removeFirst();
        }
        return times.size();
    }
}
