package peppergauge.lab.history;

import java.util.ArrayList;
import java.util.List;

/**
 * The scheduling delays of one thread or process. An overloaded machine produces tens of thousands of them and each
 * late request queries a few, so that a linear search took minutes of one core after a run.
 */
final class Delays {

    private record Delay(long fromNs, long toNs, long ms) {}

    private final List<Delay> delays = new ArrayList<>();
    private long longestNs;

    /** Adds a delay; must be called in the order of their ends. */
    void add(long fromNs, long toNs, long ms) {
        assert delays.isEmpty() || delays.get(delays.size() - 1).toNs <= toNs
                : "delays must be added in the order of their ends";
        delays.add(new Delay(fromNs, toNs, ms));
        longestNs = Math.max(longestNs, toNs - fromNs);
    }

    /** Returns the sum of the delays that overlap a span, in ms; each of them counts in full. */
    double overlappingMs(long fromNs, long toNs) {
        long sum = 0;
        for (int i = firstEndingFrom(fromNs); i < delays.size() && delays.get(i).toNs - longestNs <= toNs; i++) {
            sum += delays.get(i).fromNs <= toNs ? delays.get(i).ms : 0;
        }
        return sum;
    }

    private int firstEndingFrom(long fromNs) {
        int low = 0;
        int high = delays.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (delays.get(middle).toNs < fromNs) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
