package peppergauge.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import peppergauge.settings.JsonTree;

/**
 * Splits a byte stream into JSON objects. There may be one or several objects on a line, and an object may span several
 * lines or end without a line break.
 *
 * <p>Objects are delimited by their brackets; a truncated object is an error. Not thread-safe.
 */
final class JsonObjectSplitter {

    private static final int MAX_OBJECT_BYTES = 4 << 20;
    /** An object may contain a blank line; two in a row include a heartbeat, so the object is truncated. */
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

    /** Receives the objects and heartbeats of the stream in order. */
    interface Sink {

        /**
         * An object with balanced brackets, or a line without brackets.
         *
         * @throws IOException if no more of the stream is to be processed
         */
        void onObject(byte[] text) throws IOException;

        /** A blank line between objects: a heartbeat. */
        void onBlankLine();
    }

    JsonObjectSplitter(Sink sink) {
        this.sink = sink;
    }

    /**
     * Processes the next bytes, which may begin and end anywhere in an object.
     *
     * @throws IOException if an object is truncated or too long, or from the sink
     */
    void write(ByteBuffer part) throws IOException {
        while (part.hasRemaining()) {
            byte next = part.get();
            if (next == '\n') {
                endLine();
            } else if (!isBlank(next) || object.size() > 0) {
                isLineBlank &= isBlank(next);
                object.write(next);
                trackBrackets(next);
            }
        }
        if (object.size() > MAX_OBJECT_BYTES) {
            throw new IOException("object is longer than " + MAX_OBJECT_BYTES + " bytes");
        }
    }

    private void endLine() throws IOException {
        if (isInString) {
            throw new IOException("truncated object: line break inside a string");
        }
        blankLines = isLineBlank ? blankLines + 1 : 0;
        if (depth > 0 && blankLines == MAX_BLANK_LINES_IN_OBJECT) {
            throw new IOException("truncated object: " + MAX_BLANK_LINES_IN_OBJECT + " blank lines inside it");
        }
        if (depth > 0) {
            if (isFirstLine && !JsonTree.isPrefixOfObject(object.toByteArray())) {
                throw new IOException("malformed: the first line is not the beginning of a JSON object");
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

    private void trackBrackets(byte next) throws IOException {
        if (isInString) {
            isInString = isEscaped || next != '"';
            isEscaped = !isEscaped && next == '\\';
        } else if (next == '"') {
            isInString = depth > 0;
        } else if (next == '{' || next == '[') {
            if (depth > 0 && lastNonBlank != '[' && lastNonBlank != ',' && lastNonBlank != ':') {
                throw new IOException("truncated object: another one begins inside it without a separator");
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
