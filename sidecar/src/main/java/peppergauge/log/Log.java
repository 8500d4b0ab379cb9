package peppergauge.log;

import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Lines for the people on call, on standard error: one line an event, few of a kind a second. */
public final class Log {

    private static final int LINES_OF_A_KIND_PER_S = 5;
    private static volatile boolean fewer;
    private static final int LONGEST_LINE = 400;
    private static final Map<String, Kind> KINDS = new ConcurrentHashMap<>();
    /** Null means standard error: the plain sidecar loads no class for it. */
    private static volatile Sink sink;

    private Log() {}

    /** Takes lines in place of standard error; from any thread, and must not wait. */
    public interface Sink {

        /** @param passedOver lines of this kind that were not told since the last */
        void line(String kind, String text, int passedOver);
    }

    /**
     * From now on lines go there, and the limits begin anew: a new reader misses no line because of those that a
     * former one got in the same second, and hears nothing of how many that one missed. The sink is the whole
     * process's: whoever runs something in a larger one puts the former back, else its lines are lost for all that
     * comes after.
     *
     * @param other null for standard error
     * @return where lines went until now, null for standard error
     */
    public static Sink to(Sink other) {
        Sink former = sink;
        sink = other;
        // Only then: a line of the time between counts for neither.
        KINDS.clear();
        return former;
    }

    /** Counts the lines of one kind in the present second. */
    private static final class Kind {

        private long second;
        private int lines;
        private int passedOver;

        /** How many lines were passed over before this one; -1 if this one is to be passed over too. */
        synchronized int admit(long nowS) {
            if (nowS != second) {
                second = nowS;
                lines = 0;
            }
            if (++lines > (fewer ? 1 : LINES_OF_A_KIND_PER_S)) {
                passedOver++;
                return -1;
            }
            int before = passedOver;
            passedOver = 0;
            return before;
        }
    }

    /** From now on one line of a kind a second, or the usual number again: lines cost what a session costs. */
    public static void fewer(boolean only) {
        fewer = only;
    }

    /**
     * Logs an event as its name and {@code key=value} fields. Each event name has a rate limit of its own.
     *
     * @param event fixed name in snake case, such as {@code endpoint_watch_lost}
     * @param fields names and values in turn; a value with blanks, quotes or {@code =} is quoted
     */
    public static void event(String event, Object... fields) {
        assert fields.length % 2 == 0 : "a field of " + event + " has no value";
        StringBuilder text = new StringBuilder();
        for (int i = 0; i + 1 < fields.length; i += 2) {
            text.append(i > 0 ? " " : "").append(fields[i]).append('=').append(quoted(String.valueOf(fields[i + 1])));
        }
        write(event, " ", text.toString());
    }

    private static String quoted(String value) {
        boolean plain = !value.isEmpty() && value.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=');
        return plain ? value : '"' + value.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    /** Writes a line; {@code kind} is a fixed word, since each kind has a rate limit of its own. */
    public static void line(String kind, String text) {
        write(kind, ": ", text);
    }

    private static void write(String kind, String separator, String text) {
        int passedOver = KINDS.computeIfAbsent(kind, fresh -> new Kind()).admit(System.nanoTime() / 1_000_000_000L);
        if (passedOver >= 0) {
            String all = text.replaceAll("\\p{Cntrl}+", " ");
            String one = all.length() > LONGEST_LINE ? all.substring(0, LONGEST_LINE) + "..." : all;
            Sink other = sink;
            if (other != null) {
                other.line(kind, one, passedOver);
                return;
            }
            System.err.println(Instant.now() + " " + kind + separator + one
                    + (passedOver > 0 ? " (" + passedOver + " such lines passed over)" : ""));
        }
    }

    /**
     * Logs an unexpected exception as an event with the fields {@code exception} and {@code at}, the two innermost
     * places of its stack trace.
     */
    public static void error(String event, Throwable thrown) {
        event(event, "exception", thrown, "at", places(thrown));
    }

    /** The same as a line of a kind. */
    public static void bug(String kind, Throwable thrown) {
        String places = places(thrown);
        line(kind, thrown + (places.isEmpty() ? "" : " at " + places));
    }

    private static String places(Throwable thrown) {
        StackTraceElement[] trace = thrown.getStackTrace();
        return (trace.length > 0 ? trace[0].toString() : "") + (trace.length > 1 ? ", " + trace[1] : "");
    }
}
