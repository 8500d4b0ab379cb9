package peppergauge.cost;

import java.util.Arrays;

/** Times in ns, all kept, so that percentiles are exact. */
final class Samples {

    private long[] values = new long[1024];
    private int size;

    void add(long ns) {
        if (size == values.length) {
            values = Arrays.copyOf(values, size * 2);
        }
        values[size++] = ns;
    }

    /** The least value that a share of all do not exceed, in ms; not a number where there are none. */
    double ms(double share) {
        if (size == 0) {
            return Double.NaN;
        }
        long[] sorted = Arrays.copyOf(values, size);
        Arrays.sort(sorted);
        return sorted[Math.max(0, (int) Math.ceil(share * size) - 1)] / 1e6;
    }
}
