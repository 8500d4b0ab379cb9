package peppergauge.forecast.sample;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.apache.datasketches.frequencies.ErrorType;
import org.apache.datasketches.frequencies.LongsSketch;
import peppergauge.forecast.KeyReport.Heavy;

/**
 * The keys that come most often at one daemon, sampled or not, in memory that is fixed: a sketch of frequent items
 * (Misra and Gries 1982; Anderson and others, IMC 2017, as in DataSketches). A count is never too low; one of a key
 * that was kept all the time between two reports grew by just its sessions. Not for several threads.
 */
public final class HeavyKeys {

    /** Keys in a report, at most. */
    public static final int MOST_TOLD = 1_024;

    /** Three fourths of them hold a key at most, at 18 bytes each. */
    private static final int COUNTERS = 8_192;

    private static final int STATION_BITS = 9;
    private static final long STATIONS = (1L << STATION_BITS) - 1;

    private final LongsSketch sketch = new LongsSketch(COUNTERS);

    /** Bytes taken at most. */
    public static long bytes() {
        return COUNTERS * 18L;
    }

    /** A key's hash as it is told: the lowest bits give way to the station's number. */
    public static long masked(long hash) {
        return hash & ~STATIONS;
    }

    /** @param station number from 0 to 511 */
    void seen(long hash, int station) {
        sketch.update(masked(hash) | station);
    }

    /** @param stations by their number */
    Heavy report(List<String> stations) {
        LongsSketch.Row[] rows = sketch.getFrequentItems(0, ErrorType.NO_FALSE_NEGATIVES);
        // Ties are cut by hash, so that daemons with the same counts tell of the same keys.
        Arrays.sort(
                rows,
                (a, b) -> a.getEstimate() != b.getEstimate()
                        ? Long.compare(b.getEstimate(), a.getEstimate())
                        : Long.compareUnsigned(a.getItem(), b.getItem()));
        List<Heavy.Count> told = new ArrayList<>();
        for (int i = 0; i < Math.min(MOST_TOLD, rows.length); i++) {
            long item = rows[i].getItem();
            told.add(new Heavy.Count(masked(item), stations.get((int) (item & STATIONS)), rows[i].getEstimate()));
        }
        long floor = rows.length > MOST_TOLD ? rows[MOST_TOLD].getEstimate() : 0;
        return new Heavy(sketch.getMaximumError(), Math.max(floor, sketch.getMaximumError()), told);
    }
}
