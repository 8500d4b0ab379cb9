package peppergauge.forecast.sample;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.datasketches.frequencies.ErrorType;
import org.apache.datasketches.frequencies.LongsSketch;
import peppergauge.forecast.KeyReport.Heavy;

/**
 * The most frequent keys at one daemon, sampled or not, in fixed memory: a sketch of frequent items (Misra and Gries
 * 1982; Anderson and others, IMC 2017, as in DataSketches). Counts are never too low. Not thread-safe.
 */
public final class FrequentKeys {

    /** Maximum number of keys in a report. */
    public static final int MAX_REPORTED = 1_024;

    /** Number of counters of the sketch; at most three fourths are used, 18 bytes each. */
    private static final int COUNTERS = 8_192;

    private static final int TENANT_BITS = 9;
    private static final long TENANT_MASK = (1L << TENANT_BITS) - 1;

    private final LongsSketch sketch = new LongsSketch(COUNTERS);

    /** Returns the maximum memory use, bytes. */
    public static long maxBytes() {
        return COUNTERS * 18L;
    }

    /** Returns a hash as it is reported: its lowest bits are replaced by the number of the tenant. */
    public static long masked(long hash) {
        return hash & ~TENANT_MASK;
    }

    /**
     * Counts a request.
     *
     * @param tenant number of the tenant, 0 to 511
     */
    void onRequest(long hash, int tenant) {
        sketch.update(masked(hash) | tenant);
    }

    /**
     * Returns the report.
     *
     * @param tenants names by number
     */
    Heavy report(List<String> tenants) {
        LongsSketch.Row[] rows = sketch.getFrequentItems(0, ErrorType.NO_FALSE_NEGATIVES);
        // Ties are broken by hash, so that daemons with equal counts report the same keys.
        Arrays.sort(
                rows,
                (a, b) -> a.getEstimate() != b.getEstimate()
                        ? Long.compare(b.getEstimate(), a.getEstimate())
                        : Long.compareUnsigned(a.getItem(), b.getItem()));
        List<Heavy.Count> reported = new ArrayList<>();
        for (int i = 0; i < Math.min(MAX_REPORTED, rows.length); i++) {
            long item = rows[i].getItem();
            reported.add(new Heavy.Count(masked(item), tenants.get((int) (item & TENANT_MASK)), rows[i].getEstimate()));
        }
        long floor = rows.length > MAX_REPORTED ? rows[MAX_REPORTED].getEstimate() : 0;
        return new Heavy(sketch.getMaximumError(), Math.max(floor, sketch.getMaximumError()), reported);
    }
}
