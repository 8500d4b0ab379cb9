package peppergauge.plugin.rules;

import java.util.List;

/** What a plug-in says of a session. */
public sealed interface Verdict {

    /** Nothing against it. */
    record Pass() implements Verdict {}

    /** Nothing against it, with headers added or removed. */
    record Tag(List<Change> changes) implements Verdict {

        public Tag {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Not served; nothing ran.
     *
     * @param reason for the log and the counters, printable ASCII
     * @param retryAfterMs when to come back, ms; 0 gives no advice
     */
    record Deny(String reason, double retryAfterMs) implements Verdict {}

    /** One header: with {@code adds}, set in place of all of that name; else all of that name are removed. */
    record Change(boolean adds, String name, String value) {}

    Verdict PASS = new Pass();
}
