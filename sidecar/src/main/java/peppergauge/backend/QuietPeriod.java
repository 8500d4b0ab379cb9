package peppergauge.backend;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import org.apache.hc.core5.pool.PoolEntry;
import peppergauge.request.Backend;
import peppergauge.request.Clock;

/**
 * Keeps a pooled connection from being used until some time after its last response. HTTP/1.1 responses name no
 * request: what a server sends on top of a response, such as a late second copy, would be read as the response to the
 * next request if that one were already written. During the quiet period no request is on its way, so that such input
 * is recognized and ends the connection. Only the event loop's thread uses it.
 *
 * <p>Unexpected input shows that servers send more than responses, and on a busy machine some of it may come later than
 * the usual duration. For a time after it the quiet periods of all connections are longer.
 *
 * <p>A connection in its quiet period is available in the pool with a state of its own. Leases without a state pass it
 * over, and it can be closed to make room, like any idle connection.
 */
final class QuietPeriod {

    /** Duration after unexpected input, in usual durations. */
    static final double EXTENDED_MULTIPLE = 5;
    /** Time after unexpected input for which quiet periods are longer. */
    static final double EXTENSION_MS = 60_000;

    /** The state of a connection in its quiet period, by which it can be leased. */
    static final class Quiet {

        private final PoolEntry<Backend.Server, ServerConnection> entry;
        private final double sinceMs;

        private Quiet(PoolEntry<Backend.Server, ServerConnection> entry, double sinceMs) {
            this.entry = entry;
            this.sinceMs = sinceMs;
        }
    }

    private final Clock clock;
    private final double usualMs;
    /** All that may be in their quiet periods, in the order in which these end. */
    private final Queue<Quiet> all = new ArrayDeque<>();
    /** The same by server, without those that have been leased. */
    private final Map<Backend.Server, Queue<Quiet>> available = new HashMap<>();

    private double extendedUntilMs = Double.NEGATIVE_INFINITY;

    /** @param usualMs the duration while no server sends unexpected input */
    QuietPeriod(Clock clock, double usualMs) {
        this.clock = clock;
        this.usualMs = usualMs;
    }

    /** Extends the quiet periods of all connections, those that have begun included. */
    void onUnexpectedInput() {
        extendedUntilMs = clock.nowMs() + EXTENSION_MS;
    }

    private double durationMs() {
        return clock.nowMs() < extendedUntilMs ? EXTENDED_MULTIPLE * usualMs : usualMs;
    }

    /** Starts the quiet period of a connection that is about to be returned to the pool. */
    void begin(PoolEntry<Backend.Server, ServerConnection> entry) {
        endExpired();
        Quiet quiet = new Quiet(entry, clock.nowMs());
        entry.updateState(quiet);
        all.add(quiet);
        available
                .computeIfAbsent(entry.getRoute(), server -> new ArrayDeque<>())
                .add(quiet);
    }

    /** Ends the quiet periods that are over; to be called before each lease. */
    void endExpired() {
        while (!all.isEmpty() && remainingMs(all.peek()) <= 0) {
            end(all.remove());
        }
    }

    /** Ends a quiet period; the connection can be leased without a state from now on. */
    void end(Quiet quiet) {
        if (quiet.entry.getState() == quiet) {
            quiet.entry.updateState(null);
        }
        forget(quiet);
    }

    private void forget(Quiet quiet) {
        Queue<Quiet> ofServer = available.get(quiet.entry.getRoute());
        if (ofServer != null && ofServer.remove(quiet) && ofServer.isEmpty()) {
            available.remove(quiet.entry.getRoute());
        }
    }

    /** Number of connections to a server that are in their quiet periods and not leased. */
    int count(Backend.Server server) {
        Queue<Quiet> ofServer = available.get(server);
        return ofServer == null ? 0 : ofServer.size();
    }

    /** Returns the open connection to a server whose quiet period ends first and that is not leased; null if none. */
    Quiet first(Backend.Server server) {
        while (count(server) > 0) {
            Quiet oldest = available.get(server).peek();
            if (oldest.entry.hasConnection() && oldest.entry.getConnection().isOpen()) {
                return oldest;
            }
            forget(oldest);
        }
        return null;
    }

    /** Marks a connection as leased; to be called before it is leased by its state. */
    void onLeased(Quiet quiet) {
        forget(quiet);
    }

    /** Time until the quiet period ends. */
    double remainingMs(Quiet quiet) {
        return Math.max(0, quiet.sinceMs + durationMs() - clock.nowMs());
    }

    /**
     * Whether an attempt should wait for the connection rather than open another: only if the wait is shorter than a
     * response takes. Servers that respond sooner would be held up by the wait more than by a new connection.
     */
    boolean isWorthWaiting(Quiet quiet) {
        return remainingMs(quiet) <= quiet.entry.getConnection().recentLatencyMs();
    }
}
