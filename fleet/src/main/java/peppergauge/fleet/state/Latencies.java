package peppergauge.fleet.state;

import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.zip.DataFormatException;
import java.util.zip.Inflater;
import org.HdrHistogram.Histogram;

/** Histograms of answers in ms, as they travel. */
public final class Latencies {

    /** ms; what took longer counts as this. */
    public static final long MOST_MS = 600_000;

    public static final int DIGITS = 2;
    private static final int LONGEST_TEXT = 32 << 10;
    /** Of the text: cookie and length; of what is packed: cookie, length, offset, digits, least, most, ratio. */
    private static final int OUTER = 8;

    private static final int INNER = 40;

    private Latencies() {}

    public static Histogram empty() {
        return new Histogram(MOST_MS, DIGITS);
    }

    public static String encode(Histogram histogram) {
        ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
        int length = histogram.encodeIntoCompressedByteBuffer(buffer);
        return Base64.getEncoder().encodeToString(java.util.Arrays.copyOf(buffer.array(), length));
    }

    /**
     * @param text null for none
     * @throws IllegalArgumentException if it is no such histogram
     */
    public static Histogram decode(String text) {
        if (text == null) {
            return empty();
        }
        if (text.length() > LONGEST_TEXT) {
            throw new IllegalArgumentException("a histogram is longer than " + LONGEST_TEXT);
        }
        byte[] bytes = Base64.getDecoder().decode(text);
        try {
            boundsChecked(bytes);
            return Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(bytes), 0);
        } catch (DataFormatException | RuntimeException garbage) {
            throw new IllegalArgumentException("no histogram: " + garbage.getMessage(), garbage);
        }
    }

    /** What it says of its size is believed by the library, which then takes that much memory. */
    private static void boundsChecked(byte[] bytes) throws DataFormatException {
        Inflater inflater = new Inflater();
        try {
            if (bytes.length <= OUTER) {
                throw new IllegalArgumentException("cut off");
            }
            inflater.setInput(bytes, OUTER, bytes.length - OUTER);
            byte[] head = new byte[INNER];
            if (inflater.inflate(head) < INNER) {
                throw new IllegalArgumentException("cut off");
            }
            ByteBuffer fields = ByteBuffer.wrap(head);
            if (fields.getInt(4) < 0
                    || fields.getInt(4) > LONGEST_TEXT
                    || fields.getInt(12) != DIGITS
                    || fields.getLong(16) != 1
                    || fields.getLong(24) != MOST_MS) {
                throw new IllegalArgumentException("of another shape");
            }
        } finally {
            inflater.end();
        }
    }

    static boolean usable(String text) {
        try {
            return counted(decode(text));
        } catch (IllegalArgumentException garbage) {
            return false;
        }
    }

    /** Counts beyond all belief would make sums of them fall under 0. */
    private static boolean counted(Histogram histogram) {
        boolean counted = true;
        for (long ms = 0; ms <= histogram.getMaxValue() && counted; ms = histogram.nextNonEquivalentValue(ms)) {
            counted = KeyChecks.counted(histogram.getCountAtValue(ms));
        }
        return counted && KeyChecks.counted(histogram.getTotalCount());
    }
}
