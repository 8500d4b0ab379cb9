package peppergauge.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import peppergauge.settings.JsonTree;

/**
 * Cuts what discovery writes into objects: one a line, or indented over several, or the last with no line end. Guards
 * against a reader of lines, to which an indented list is nothing but malformed lines, so that its news never comes.
 */
final class NewsText {

    /** Bounds memory against an object that never ends. */
    private static final int LONGEST_OBJECT = 4 << 20;
    /** Within an object: one may be the way it is laid out, but with the next one discovery has gone on without it. */
    private static final int BLANK_LINES_TORN = 2;

    private final Sink sink;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private int blankLines;
    private boolean firstLine = true;
    private boolean lineBlank = true;
    private boolean inString;
    private boolean escaped;
    /** The last byte that is no white space. */
    private byte last;

    /** Told in the order of the text. */
    interface Sink {

        /** The text of an object whose brackets are even, or of a line that holds none. */
        void object(byte[] text) throws IOException;

        /** An empty line between objects: nothing has changed. */
        void blankLine();
    }

    NewsText(Sink sink) {
        this.sink = sink;
    }

    /** Takes the next bytes, wherever they were cut; fails where the text is torn and what follows cannot be told. */
    void take(ByteBuffer part) throws IOException {
        while (part.hasRemaining()) {
            byte next = part.get();
            if (next == '\n') {
                lineEnd();
            } else if (!isSpace(next) || object.size() > 0) {
                lineBlank &= isSpace(next);
                object.write(next);
                follow(next);
            }
        }
        if (object.size() > LONGEST_OBJECT) {
            throw new IOException("an object over " + LONGEST_OBJECT + " bytes");
        }
    }

    private void lineEnd() throws IOException {
        if (inString) {
            throw new IOException("a line ends within a text");
        }
        blankLines = lineBlank ? blankLines + 1 : 0;
        if (depth > 0 && blankLines == BLANK_LINES_TORN) {
            throw new IOException("an object broke off");
        }
        if (depth > 0) {
            if (firstLine && !JsonTree.canGoOn(object.toByteArray())) {
                throw new IOException("malformed: a line that no object begins with");
            }
            firstLine = false;
            object.write('\n');
        } else if (object.size() > 0) {
            cut();
        } else if (lineBlank) {
            sink.blankLine();
        }
        lineBlank = true;
    }

    private void follow(byte next) throws IOException {
        if (inString) {
            inString = escaped || next != '"';
            escaped = !escaped && next == '\\';
        } else if (next == '"') {
            inString = depth > 0;
        } else if (next == '{' || next == '[') {
            if (depth > 0 && last != '[' && last != ',' && last != ':') {
                throw new IOException("an object broke off, and another begins");
            }
            depth++;
        } else if ((next == '}' || next == ']') && depth > 0 && --depth == 0) {
            cut();
        }
        last = isSpace(next) ? last : next;
    }

    private void cut() throws IOException {
        byte[] text = object.toByteArray();
        object.reset();
        depth = 0;
        firstLine = true;
        blankLines = 0;
        sink.object(text);
    }

    private static boolean isSpace(byte next) {
        return next == ' ' || next == '\t' || next == '\r';
    }
}
