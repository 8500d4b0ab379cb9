package peppergauge.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** Splits a byte stream into lines. A line is a range of the buffer and valid until the next call of {@link #next}. */
final class LineReader {

    private final InputStream in;
    private byte[] buffer = new byte[1 << 16];
    private int start;
    private int end;
    private int lineStart;
    private int lineLength;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** Reads the next line, without its line feed. Returns false at the end of the input. */
    boolean next() throws IOException {
        int position = start;
        while (true) {
            for (; position < end; position++) {
                if (buffer[position] == '\n') {
                    return setLine(position, position + 1);
                }
            }
            position -= start;
            ensureCapacity();
            position += start;
            int read = in.read(buffer, end, buffer.length - end);
            if (read < 0) {
                return end > start && setLine(end, end);
            }
            end += read;
        }
    }

    byte[] bytes() {
        return buffer;
    }

    int offset() {
        return lineStart;
    }

    int length() {
        return lineLength;
    }

    private boolean setLine(int lineEnd, int nextStart) {
        lineStart = start;
        lineLength = lineEnd - start;
        start = nextStart;
        return true;
    }

    private void ensureCapacity() {
        if (start > 0) {
            System.arraycopy(buffer, start, buffer, 0, end - start);
            end -= start;
            start = 0;
        }
        if (end == buffer.length) {
            buffer = Arrays.copyOf(buffer, buffer.length * 2);
        }
    }
}
