package peppergauge.fleet.state;

import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.zip.DataFormatException;
import java.util.zip.Inflater;
import org.HdrHistogram.Histogram;

/** Encodes and decodes histograms of latencies in ms, as they are sent and stored. */
public final class LatencyHistograms {

    /** Longest latency, ms; longer latencies are counted as this one. */
    public static final long MAX_LATENCY_MS = 600_000;

    /** Significant decimal digits of the histograms. */
    public static final int DIGITS = 2;

    private static final int MAX_TEXT_LENGTH = 32 << 10;
    /** Size of the outer header, which holds cookie and length. */
    private static final int OUTER_HEADER_BYTES = 8;

    /** Size of the compressed header, which holds cookie, length, offset, digits, lowest and highest value, ratio. */
    private static final int INNER_HEADER_BYTES = 40;

    private LatencyHistograms() {}

    /** Returns an empty histogram. */
    public static Histogram empty() {
        return new Histogram(MAX_LATENCY_MS, DIGITS);
    }

    /** Returns a histogram as compressed (V2) Base64 text. */
    public static String encode(Histogram histogram) {
        ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
        int length = histogram.encodeIntoCompressedByteBuffer(buffer);
        return Base64.getEncoder().encodeToString(java.util.Arrays.copyOf(buffer.array(), length));
    }

    /**
     * Returns the histogram of a text.
     *
     * @param text null for an empty histogram
     * @throws IllegalArgumentException if it is malformed, or of another range
     */
    public static Histogram decode(String text) {
        if (text == null) {
            return empty();
        }
        if (text.length() > MAX_TEXT_LENGTH) {
            throw new IllegalArgumentException(
                    "expected a histogram of at most " + MAX_TEXT_LENGTH + " characters, got " + text.length());
        }
        byte[] bytes = Base64.getDecoder().decode(text);
        try {
            checkHeader(bytes);
            return Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(bytes), 0);
        } catch (DataFormatException | RuntimeException malformed) {
            throw new IllegalArgumentException("malformed histogram: " + malformed.getMessage(), malformed);
        }
    }

    /** Validates the sizes in the header before decoding, since the library allocates memory by them. */
    private static void checkHeader(byte[] bytes) throws DataFormatException {
        Inflater inflater = new Inflater();
        try {
            if (bytes.length <= OUTER_HEADER_BYTES) {
                throw new IllegalArgumentException(
                        "expected more than " + OUTER_HEADER_BYTES + " bytes, got " + bytes.length);
            }
            inflater.setInput(bytes, OUTER_HEADER_BYTES, bytes.length - OUTER_HEADER_BYTES);
            byte[] head = new byte[INNER_HEADER_BYTES];
            if (inflater.inflate(head) < INNER_HEADER_BYTES) {
                throw new IllegalArgumentException("compressed header is truncated");
            }
            ByteBuffer fields = ByteBuffer.wrap(head);
            if (fields.getInt(4) < 0
                    || fields.getInt(4) > MAX_TEXT_LENGTH
                    || fields.getInt(12) != DIGITS
                    || fields.getLong(16) != 1
                    || fields.getLong(24) != MAX_LATENCY_MS) {
                throw new IllegalArgumentException(
                        "expected " + DIGITS + " digits and latencies of 1 to " + MAX_LATENCY_MS + " ms in the header");
            }
        } finally {
            inflater.end();
        }
    }

    static boolean isUsable(String text) {
        try {
            return hasPlausibleCounts(decode(text));
        } catch (IllegalArgumentException malformed) {
            return false;
        }
    }

    /** Returns whether all counts are in range, so that their sums do not overflow. */
    private static boolean hasPlausibleCounts(Histogram histogram) {
        boolean counted = true;
        for (long ms = 0; ms <= histogram.getMaxValue() && counted; ms = histogram.nextNonEquivalentValue(ms)) {
            counted = KeyReportValidator.isCount(histogram.getCountAtValue(ms));
        }
        return counted && KeyReportValidator.isCount(histogram.getTotalCount());
    }
}
