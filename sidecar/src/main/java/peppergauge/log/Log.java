package peppergauge.log;

import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Writes log lines for operators to standard error: one line per event, with a rate limit for each event name. Callers
 * do not wait for what reads them. Thread-safe.
 */
public final class Log {

    private static final int MAX_LINES_PER_EVENT_AND_S = 5;
    private static volatile boolean isLimitedToFirstLine;
    private static final int MAX_LINE_CHARS = 400;
    private static final long MAX_FLUSH_MS = 100;
    private static final Map<String, EventRate> RATES = new ConcurrentHashMap<>();
    private static final BackgroundWriter WRITER =
            new BackgroundWriter(lines -> event("log_lines_dropped", "lines", lines));
    /** Null for standard error, so that the sidecar without extensions loads no class for it. */
    private static volatile Sink sink;

    private Log() {}

    /** Receives log lines in place of standard error. Called from any thread; must not block. */
    public interface Sink {

        /**
         * @param event the name of the event
         * @param fields the fields of the event as text
         * @param dropped how many lines of this event were dropped since the last line written
         */
        void write(String event, String fields, int dropped);
    }

    /**
     * Replaces the sink of the whole process and resets the rate limits. Callers that set it temporarily have to
     * restore the previous one.
     *
     * @param newSink null for standard error
     * @return the previous sink, null for standard error
     */
    public static Sink setSink(Sink newSink) {
        Sink previous = sink;
        sink = newSink;
        // Cleared after the sink is set, so that lines written before do not count against the new sink's rate limits.
        RATES.clear();
        return previous;
    }

    /** Counts the lines of one event in the current second. */
    private static final class EventRate {

        private long second;
        private int lines;
        private int dropped;

        /** Returns the number of lines dropped before this one, or -1 if this one is to be dropped. */
        synchronized int admit(long nowS) {
            if (nowS != second) {
                second = nowS;
                lines = 0;
            }
            if (++lines > (isLimitedToFirstLine ? 1 : MAX_LINES_PER_EVENT_AND_S)) {
                dropped++;
                return -1;
            }
            int droppedBefore = dropped;
            dropped = 0;
            return droppedBefore;
        }
    }

    /** Limits each event to one line per second, or lifts this limit. A line takes as much CPU time as a request. */
    public static void limitToFirstLine(boolean isLimited) {
        isLimitedToFirstLine = isLimited;
    }

    /**
     * Logs an event as its name and {@code key=value} fields. Each event name has a rate limit of its own.
     *
     * @param event constant name in snake case, such as {@code endpoint_watch_lost}
     * @param fields alternating names and values; a value with spaces, quotes or {@code =} is quoted
     */
    public static void event(String event, Object... fields) {
        assert fields.length % 2 == 0 : "the last field of event " + event + " has no value";
        int dropped = admit(event);
        if (dropped < 0) {
            return;
        }
        StringBuilder text = new StringBuilder();
        for (int i = 0; i + 1 < fields.length; i += 2) {
            text.append(i > 0 ? " " : "").append(fields[i]).append('=').append(quoted(String.valueOf(fields[i + 1])));
        }
        write(event, " ", text.toString(), dropped);
    }

    private static String quoted(String value) {
        boolean isPlain = !value.isEmpty() && value.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=');
        return isPlain ? value : '"' + value.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    /**
     * Writes a line of text; {@code kind} is a fixed word with a rate limit of its own. For packages that do not log
     * events yet.
     */
    public static void line(String kind, String text) {
        int dropped = admit(kind);
        if (dropped >= 0) {
            write(kind, ": ", text, dropped);
        }
    }

    /** Returns the number of lines of this event dropped before this one, or -1 if this one is to be dropped. */
    private static int admit(String event) {
        return RATES.computeIfAbsent(event, key -> new EventRate()).admit(System.nanoTime() / 1_000_000_000L);
    }

    private static void write(String event, String separator, String text, int dropped) {
        String singleLine = text.replaceAll("\\p{Cntrl}+", " ");
        String truncated =
                singleLine.length() > MAX_LINE_CHARS ? singleLine.substring(0, MAX_LINE_CHARS) + "..." : singleLine;
        Sink current = sink;
        if (current != null) {
            current.write(event, truncated, dropped);
            return;
        }
        String line = Instant.now() + " " + event + separator + truncated
                + (dropped > 0 ? " (" + dropped + " such lines dropped)" : "");
        WRITER.submit(() -> System.err.println(line));
    }

    /** Returns a sink that passes its lines on from the log's own thread, so that no caller waits for it. */
    public static Sink inBackground(Sink blocking) {
        return (event, fields, dropped) -> WRITER.submit(() -> blocking.write(event, fields, dropped));
    }

    /** Waits until the lines so far are written, at most for a moment; called before the process ends. */
    public static void flush() {
        WRITER.flush(MAX_FLUSH_MS);
    }

    /**
     * Logs an unexpected exception as an event with the fields {@code exception} and {@code at}, the two innermost
     * frames of its stack trace.
     */
    public static void error(String event, Throwable thrown) {
        event(event, "exception", thrown, "at", innermostFrames(thrown));
    }

    /** Writes an unexpected exception and its location as a line of text. For packages that do not log events yet. */
    public static void bug(String kind, Throwable thrown) {
        String frames = innermostFrames(thrown);
        line(kind, thrown + (frames.isEmpty() ? "" : " at " + frames));
    }

    private static String innermostFrames(Throwable thrown) {
        StackTraceElement[] trace = thrown.getStackTrace();
        return (trace.length > 0 ? trace[0].toString() : "") + (trace.length > 1 ? ", " + trace[1] : "");
    }
}
