package peppergauge.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import peppergauge.settings.JsonTree;

/**
 * Splits a byte stream into JSON objects, which may stand one a line, span several lines, or end without a line break.
 *
 * <p>Objects are found by their brackets; a stream in which an object was cut off is an error. Not thread-safe.
 */
final class JsonObjectSplitter {

    private static final int MAX_OBJECT_BYTES = 4 << 20;
    /** An object may contain one blank line; a second one is a heartbeat, so that the object was cut off. */
    private static final int MAX_BLANK_LINES_IN_OBJECT = 2;

    private final Sink sink;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private int blankLines;
    private boolean isFirstLine = true;
    private boolean isLineBlank = true;
    private boolean isInString;
    private boolean isEscaped;
    private byte lastNonBlank;

    /** Receives the parts of the stream in order. */
    interface Sink {

        /**
         * An object with even brackets, or a line without any.
         *
         * @throws IOException if the stream is to be given up
         */
        void onObject(byte[] text) throws IOException;

        /** A blank line between objects: a heartbeat. */
        void onBlankLine();
    }

    JsonObjectSplitter(Sink sink) {
        this.sink = sink;
    }

    /**
     * Processes the next bytes, wherever the stream was cut.
     *
     * @throws IOException if an object was cut off or is too long, or from the sink
     */
    void write(ByteBuffer part) throws IOException {
        while (part.hasRemaining()) {
            byte next = part.get();
            if (next == '\n') {
                endLine();
            } else if (!isBlank(next) || object.size() > 0) {
                isLineBlank &= isBlank(next);
                object.write(next);
                track(next);
            }
        }
        if (object.size() > MAX_OBJECT_BYTES) {
            throw new IOException("an object over " + MAX_OBJECT_BYTES + " bytes");
        }
    }

    private void endLine() throws IOException {
        if (isInString) {
            throw new IOException("a line ends within a text");
        }
        blankLines = isLineBlank ? blankLines + 1 : 0;
        if (depth > 0 && blankLines == MAX_BLANK_LINES_IN_OBJECT) {
            throw new IOException("an object broke off");
        }
        if (depth > 0) {
            if (isFirstLine && !JsonTree.isPrefixOfObject(object.toByteArray())) {
                throw new IOException("malformed: a line that no object begins with");
            }
            isFirstLine = false;
            object.write('\n');
        } else if (object.size() > 0) {
            emit();
        } else if (isLineBlank) {
            sink.onBlankLine();
        }
        isLineBlank = true;
    }

    private void track(byte next) throws IOException {
        if (isInString) {
            isInString = isEscaped || next != '"';
            isEscaped = !isEscaped && next == '\\';
        } else if (next == '"') {
            isInString = depth > 0;
        } else if (next == '{' || next == '[') {
            if (depth > 0 && lastNonBlank != '[' && lastNonBlank != ',' && lastNonBlank != ':') {
                throw new IOException("an object broke off, and another begins");
            }
            depth++;
        } else if ((next == '}' || next == ']') && depth > 0 && --depth == 0) {
            emit();
        }
        lastNonBlank = isBlank(next) ? lastNonBlank : next;
    }

    private void emit() throws IOException {
        byte[] text = object.toByteArray();
        object.reset();
        depth = 0;
        isFirstLine = true;
        blankLines = 0;
        sink.onObject(text);
    }

    private static boolean isBlank(byte next) {
        return next == ' ' || next == '\t' || next == '\r';
    }
}
