package peppergauge.plugin.rules;

import java.util.List;

/** The decision of a plug-in on a request. */
public sealed interface Verdict {

    /** The request may continue unchanged. */
    record Pass() implements Verdict {}

    /** The request may continue with changed headers. */
    record Tag(List<HeaderChange> changes) implements Verdict {

        public Tag {
            changes = List.copyOf(changes);
        }
    }

    /**
     * The request is rejected without being executed.
     *
     * @param reason for the log; printable ASCII
     * @param retryAfterMs Retry-After for the client, ms; 0 for none
     */
    record Deny(String reason, double retryAfterMs) implements Verdict {}

    /**
     * A change of one header.
     *
     * @param isSet true replaces all fields of this name by one with this value; false removes all of them
     */
    record HeaderChange(boolean isSet, String name, String value) {}

    Verdict PASS = new Pass();
}
