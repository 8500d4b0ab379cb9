package peppergauge.overload;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Whose connection is closed when there is no room for a new one.
 *
 * <p>A connection has a claim by what it has done: less if it never sent a byte, more if it sent a part of a request,
 * or only what was refused, most if it asked for a session before. Within a kind the longest idle goes first. By
 * idleness alone, 500 clients that connect and say nothing drive out every usual client that pauses: each of them is
 * fresher. Never named is a connection with an open session or in the middle of a request, or one that was accepted
 * or answered in the last 50 ms, whose request may be under way.
 *
 * <p>All calls are O(1) but for {@link #nextToClose}, which looks at four connections. Times are ms and never go
 * backwards. Calls for connections that were never opened or are closed do nothing. One thread only.
 *
 * @param <C> a connection, by identity or with a stable {@code equals}
 */
public final class Claims<C> {

    /** What idle connections have done, the least claim first, and how long they must have done nothing since, ms. */
    private enum Kind {
        SILENT(50), BROKEN_OFF(500), REFUSED(50), SERVED(50);

        private static final Kind[] ALL = values();
        private final double graceMs;

        Kind(double graceMs) {
            this.graceMs = graceMs;
        }
    }

    /** What is known of a connection; {@code listed} is where it may be named from, null where it may not. */
    private static final class State {

        private boolean reading;
        private boolean served;
        private int sessions;
        private Kind listed;
    }

    private final Map<C, State> states = new HashMap<>();
    /** Since when each is as it is: put in at that time, so the longest is always first. */
    private final Map<Kind, LinkedHashMap<C, Double>> idle = new EnumMap<>(Kind.class);

    public Claims() {
        for (Kind kind : Kind.ALL) {
            idle.put(kind, new LinkedHashMap<>());
        }
    }

    /** A connection was accepted; it has the least claim until its first byte. */
    public void opened(C connection, double nowMs) {
        State state = new State();
        if (states.putIfAbsent(connection, state) == null) {
            list(connection, state, Kind.SILENT, nowMs);
        }
    }

    /** Bytes of a request came in on the connection, the first or further ones. */
    public void reading(C connection, double nowMs) {
        State state = states.get(connection);
        if (state != null && !state.reading) {
            state.reading = true;
            // From the first byte on: who drips a byte now and then does not stay for it.
            list(connection, state, state.served || state.sessions > 0 ? null : Kind.BROKEN_OFF, nowMs);
        }
    }

    /**
     * A request is whole, and its answer is owed, whether it opens a session or is refused. Several may be owed on one
     * connection; {@link #reading} need not have been called.
     */
    public void whole(C connection) {
        State state = states.get(connection);
        if (state != null) {
            state.reading = false;
            state.sessions++;
            list(connection, state, null, 0);
        }
    }

    /**
     * An answer was written, and one less is owed; nothing happens if none was.
     *
     * @param session whether it was a session's, served, denied or failed; false if the request could not be used.
     *     Only the first is a claim: who sends what cannot be used is no usual client
     */
    public void answered(C connection, double nowMs, boolean session) {
        State state = states.get(connection);
        if (state == null || state.sessions == 0) {
            return;
        }
        state.sessions--;
        state.served |= session;
        if (state.sessions == 0) {
            Kind waiting = state.served ? Kind.SERVED : Kind.REFUSED;
            Kind broken = state.served ? null : Kind.BROKEN_OFF;
            list(connection, state, state.reading ? broken : waiting, nowMs);
        }
    }

    /** The connection is closed, by whichever side. */
    public void closed(C connection) {
        State state = states.remove(connection);
        if (state != null) {
            list(connection, state, null, 0);
        }
    }

    /**
     * The connection to close now; null if none may be, or if one with a lesser claim may be in a moment: silent ones
     * are waited for (50 ms), others if they outnumber the served ones (500 ms). To be asked after the input of a round
     * was read, not before: what came in during a pause has not been told yet. A connection is named once; if it is
     * not closed, it may be named again after its next byte or answer.
     */
    public C nextToClose(double nowMs) {
        for (Kind kind : Kind.ALL) {
            LinkedHashMap<C, Double> waiting = idle.get(kind);
            if (waiting.isEmpty()) {
                continue;
            }
            Map.Entry<C, Double> longest = waiting.entrySet().iterator().next();
            if (nowMs - longest.getValue() > kind.graceMs) {
                C connection = longest.getKey();
                list(connection, states.get(connection), null, nowMs);
                return connection;
            }
            // A crowd that comes at once is in its grace as a whole: it would be let through to those it drives out.
            if (kind == Kind.SILENT || waiting.size() > idle.get(Kind.SERVED).size()) {
                return null;
            }
        }
        return null;
    }

    private void list(C connection, State state, Kind kind, double nowMs) {
        if (state.listed != null) {
            idle.get(state.listed).remove(connection);
        }
        state.listed = kind;
        if (kind != null) {
            idle.get(kind).put(connection, nowMs);
        }
    }
}
