package peppergauge.lab.history;

import java.util.ArrayList;
import java.util.List;

/**
 * For how long one thread or process waited, and when. A crowded machine makes tens of thousands of these, and each
 * late session asks for a few: looking through all of them took minutes of a core after a run.
 */
final class Waits {

    private record Wait(long fromNs, long toNs, long ms) {}

    private final List<Wait> all = new ArrayList<>();
    private long longestNs;

    /** In the order of their ends. */
    void add(long fromNs, long toNs, long ms) {
        assert all.isEmpty() || all.get(all.size() - 1).toNs <= toNs : "waits are told in the order of their ends";
        all.add(new Wait(fromNs, toNs, ms));
        longestNs = Math.max(longestNs, toNs - fromNs);
    }

    /** Sum of those that meet a span, whole. */
    double meetingMs(long fromNs, long toNs) {
        long sum = 0;
        for (int i = firstEndingFrom(fromNs); i < all.size() && all.get(i).toNs - longestNs <= toNs; i++) {
            sum += all.get(i).fromNs <= toNs ? all.get(i).ms : 0;
        }
        return sum;
    }

    private int firstEndingFrom(long fromNs) {
        int low = 0;
        int high = all.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (all.get(middle).toNs < fromNs) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
