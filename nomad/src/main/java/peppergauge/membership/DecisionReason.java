package peppergauge.membership;

import java.util.Locale;

/**
 * Reason of a decision, for operators.
 *
 * @param source name of the source that the decision is about; empty if none
 * @param server id of the server that the decision is about; empty if none
 * @param text the reason in words
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
        /** A list with a lower version than an earlier list was ignored, or is accepted after confirmation. */
        OLDER,
        /** The return of a flapping server is suppressed. */
        HELD_UP,
        /** A server stays ready despite the reports, because it responds or no other server is left. */
        KEPT,
        /** A source is silent, responds again, or takes over from another source. */
        SOURCE
    }

    /** Returns the kind as it is written in log lines. */
    public String label() {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    @Override
    public String toString() {
        return label().replace('_', ' ') + (source.isEmpty() ? "" : ", by " + source)
                + (server.isEmpty() ? "" : ", " + server) + ": " + text;
    }
}
