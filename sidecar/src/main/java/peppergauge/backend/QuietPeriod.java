package peppergauge.backend;

import java.util.ArrayDeque;
import java.util.Queue;
import org.apache.hc.core5.pool.PoolEntry;
import peppergauge.request.Backend;
import peppergauge.request.Clock;

/**
 * Keeps a pooled connection from being leased until some time after its last response. HTTP/1.1 responses name no
 * request: what a server sends on top of a response, such as a late second copy, would be read as the response to the
 * next request if that one were already written. During the quiet period no request is on its way, so that such input
 * is recognized and ends the connection. Only the event loop's thread uses it.
 *
 * <p>A connection in its quiet period is available in the pool with a state, which leases without a state pass over. It
 * can be closed to make room, like any idle connection.
 */
final class QuietPeriod {

    private enum State {
        QUIET
    }

    private record QuietConnection(PoolEntry<Backend.Server, ServerConnection> entry, double endMs) {}

    private final Clock clock;
    private final double durationMs;
    /** In the order in which their quiet periods end. */
    private final Queue<QuietConnection> quietConnections = new ArrayDeque<>();

    QuietPeriod(Clock clock, double durationMs) {
        this.clock = clock;
        this.durationMs = durationMs;
    }

    /** Starts the quiet period of a connection that is about to be returned to the pool. */
    void begin(PoolEntry<Backend.Server, ServerConnection> entry) {
        endExpired();
        entry.updateState(State.QUIET);
        quietConnections.add(new QuietConnection(entry, clock.nowMs() + durationMs));
    }

    /** Ends the quiet periods that are over; to be called before each lease. */
    void endExpired() {
        double nowMs = clock.nowMs();
        while (!quietConnections.isEmpty() && quietConnections.peek().endMs() <= nowMs) {
            quietConnections.remove().entry().updateState(null);
        }
    }
}
