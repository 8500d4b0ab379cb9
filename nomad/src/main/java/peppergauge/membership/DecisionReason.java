package peppergauge.membership;

import java.util.Locale;

/**
 * Reason of a decision, for operators.
 *
 * @param source that it is about; empty if none
 * @param server that it is about; empty if none
 * @param text in words
 */
public record DecisionReason(Kind kind, String source, String server, String text) {

    /** Kinds of decisions; their names are written to log lines. */
    public enum Kind {
        /** A server was added. */
        NEW,
        /** A server is draining. */
        LEAVING,
        /** A server was removed. */
        GONE,
        /** A loss is not accepted yet. */
        UNCONFIRMED,
        /** A loss was confirmed. */
        CONFIRMED,
        /** A list with a lower version than before was ignored, or is accepted from now on. */
        OLDER,
        /** A return is suppressed. */
        HELD_UP,
        /** A server stays listed against the reports, since it responds or no other is left. */
        KEPT,
        /** A source is silent, responds again, or takes over. */
        SOURCE
    }

    /** Returns the kind as written in log lines. */
    public String label() {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    @Override
    public String toString() {
        return label().replace('_', ' ') + (source.isEmpty() ? "" : ", by " + source)
                + (server.isEmpty() ? "" : ", " + server) + ": " + text;
    }
}
