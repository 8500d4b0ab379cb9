package peppergauge.membership;

/**
 * Why something was decided, for operators.
 *
 * @param kind of decision
 * @param source that it is about; empty if none
 * @param server that it is about; empty if none
 * @param text in words
 */
public record Reason(Kind kind, String source, String server, String text) {

    /** Kinds of decisions. */
    public enum Kind {
        /** A server was taken in. */
        NEW,
        /** A server is leaving: a sign of it was believed at once. */
        LEAVING,
        /** A server is out of the table. */
        GONE,
        /** A loss is not believed yet. */
        UNCONFIRMED,
        /** A loss was told often and long enough. */
        CONFIRMED,
        /** A list with a lower version than before was passed over, or counts from now on. */
        OLDER,
        /** A return is held up. */
        HELD_UP,
        /** A server is kept against what was told, since it answers or nothing else is left. */
        KEPT,
        /** A source fell silent, or speaks again. */
        SOURCE
    }

    @Override
    public String toString() {
        return kind.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ')
                + (source.isEmpty() ? "" : ", by " + source) + (server.isEmpty() ? "" : ", " + server) + ": " + text;
    }
}
