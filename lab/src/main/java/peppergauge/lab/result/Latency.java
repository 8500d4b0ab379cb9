package peppergauge.lab.result;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Base64;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;

/**
 * A distribution of latencies.
 *
 * @param count of samples
 * @param meanMs 0 without samples, as are all the others
 * @param histogram HdrHistogram's compressed form in base64, values in µs: what percentiles of several runs together
 *     are made from
 */
public record Latency(
        long count,
        double meanMs,
        double p50Ms,
        double p90Ms,
        double p99Ms,
        double p999Ms,
        double maxMs,
        String histogram) {

    private static final long MOST_US = 3_600_000_000L;
    private static final int DIGITS = 3;

    /** An empty histogram of µs that {@link #of} takes. */
    public static Histogram empty() {
        return new Histogram(1, MOST_US, DIGITS);
    }

    /** Notes one latency; what is over an hour counts as an hour. */
    public static void record(Histogram histogram, double ms) {
        histogram.recordValue(Math.max(0, Math.min(MOST_US, Math.round(ms * 1_000))));
    }

    public static Latency of(Histogram histogram) {
        ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
        int length = histogram.encodeIntoCompressedByteBuffer(buffer);
        return new Latency(
                histogram.getTotalCount(),
                histogram.getTotalCount() == 0 ? 0 : histogram.getMean() / 1e3,
                at(histogram, 50),
                at(histogram, 90),
                at(histogram, 99),
                at(histogram, 99.9),
                histogram.getMaxValue() / 1e3,
                Base64.getEncoder().encodeToString(Arrays.copyOf(buffer.array(), length)));
    }

    private static double at(Histogram histogram, double percent) {
        return histogram.getTotalCount() == 0 ? 0 : histogram.getValueAtPercentile(percent) / 1e3;
    }

    /** @throws IllegalArgumentException if the text is no histogram */
    public Histogram decoded() {
        try {
            return Histogram.decodeFromCompressedByteBuffer(
                    ByteBuffer.wrap(Base64.getDecoder().decode(histogram)), 0);
        } catch (DataFormatException | RuntimeException unusable) {
            throw new IllegalArgumentException("no histogram", unusable);
        }
    }
}
