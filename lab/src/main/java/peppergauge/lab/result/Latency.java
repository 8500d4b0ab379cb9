package peppergauge.lab.result;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Base64;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;

/**
 * A distribution of latencies. Without samples all values are 0.
 *
 * @param count number of samples
 * @param histogram the compressed form of the HdrHistogram in base64, with values in µs, from which percentiles over
 *     several runs are computed
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

    private static final long MAX_US = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    /** Returns an empty histogram in µs, as {@link #of} takes it. */
    public static Histogram empty() {
        return new Histogram(1, MAX_US, SIGNIFICANT_DIGITS);
    }

    /** Adds one latency to a histogram; latencies above one hour count as one hour. */
    public static void record(Histogram histogram, double ms) {
        histogram.recordValue(Math.max(0, Math.min(MAX_US, Math.round(ms * 1_000))));
    }

    /** Returns the distribution in a histogram that {@link #empty} made. */
    public static Latency of(Histogram histogram) {
        ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
        int length = histogram.encodeIntoCompressedByteBuffer(buffer);
        return new Latency(
                histogram.getTotalCount(),
                histogram.getTotalCount() == 0 ? 0 : histogram.getMean() / 1e3,
                percentileMs(histogram, 50),
                percentileMs(histogram, 90),
                percentileMs(histogram, 99),
                percentileMs(histogram, 99.9),
                histogram.getMaxValue() / 1e3,
                Base64.getEncoder().encodeToString(Arrays.copyOf(buffer.array(), length)));
    }

    private static double percentileMs(Histogram histogram, double percent) {
        return histogram.getTotalCount() == 0 ? 0 : histogram.getValueAtPercentile(percent) / 1e3;
    }

    /** @throws IllegalArgumentException if the text is not an encoded histogram */
    public Histogram decoded() {
        try {
            return Histogram.decodeFromCompressedByteBuffer(
                    ByteBuffer.wrap(Base64.getDecoder().decode(histogram)), 0);
        } catch (DataFormatException | RuntimeException unusable) {
            throw new IllegalArgumentException(
                    "expected a compressed histogram in base64, found: " + histogram, unusable);
        }
    }
}
