package peppergauge.sockets;

/** State of a client's connection as seen from this side. Only changes to a later constant. */
public enum ConnectionPhase {
    /** Requests are read, and each of them gets a response. */
    READING,
    /** No further request is read; pending responses are still written. */
    RESPONDING,
    /** All responses are written and the sending direction is closed; input is discarded, within limits. */
    LINGERING,
    /** Nothing is read or written; requests without a response have been cancelled. */
    CLOSED;

    /** Whether this phase is {@code other} or a later one. */
    public boolean isAtLeast(ConnectionPhase other) {
        return compareTo(other) >= 0;
    }
}
