package peppergauge.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** Splits a stream of bytes into lines; each line is a range of a buffer and valid until the next call. */
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

    /** Moves to the next line, of which the buffer holds all bytes but the line feed; false at the end of the input. */
    boolean next() throws IOException {
        int scan = start;
        while (true) {
            for (; scan < end; scan++) {
                if (buffer[scan] == '\n') {
                    return take(scan, scan + 1);
                }
            }
            scan -= start;
            makeCapacity();
            scan += start;
            int read = in.read(buffer, end, buffer.length - end);
            if (read < 0) {
                return end > start && take(end, end);
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

    private boolean take(int lineEnd, int nextStart) {
        lineStart = start;
        lineLength = lineEnd - start;
        start = nextStart;
        return true;
    }

    private void makeCapacity() {
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
