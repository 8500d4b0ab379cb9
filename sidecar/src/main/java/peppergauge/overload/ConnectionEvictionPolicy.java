package peppergauge.overload;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Whose connection is closed when there is no room for a new one.
 *
 * <p>A connection has a claim by what it has done: less if it never sent a byte, more if it sent a part of a request,
 * or only what was refused, more if it asked for one session, and most if it came back for another: clients that ask
 * once and keep their connection for good would hold all places against those that come. Within a kind the longest
 * idle goes first. By idleness alone, 500 clients that connect and say nothing drive out every usual client that
 * pauses: each of them is fresher. Never named is a connection with an open session or in the middle of a request, or
 * one that was answered in the last 50 ms or accepted in the last 5, whose request may be under way. Who asks sends at
 * once, and where there is no room has waited in the kernel's queue: what it sent is there when it is accepted. With a
 * longer grace a few silent connections that come one after the other keep all others waiting in that queue.
 *
 * <p>All calls are O(1) but for {@link #nextToClose}, which looks at five connections. Times are ms and never go
 * backwards. Calls for connections that were never opened or are closed do nothing. One thread only.
 *
 * @param <C> a connection, by identity or with a stable {@code equals}
 */
public final class ConnectionEvictionPolicy<C> {

    /** What idle connections have done, the least claim first, and how long they must have done nothing since, ms. */
    private enum IdleClass {
        NO_BYTES(5),
        PARTIAL_REQUEST(500),
        INVALID_REQUESTS(50),
        SINGLE_REQUEST(100),
        RECURRING(50);

        private static final IdleClass[] ALL = values();
        private final double graceMs;

        IdleClass(double graceMs) {
            this.graceMs = graceMs;
        }
    }

    /** What is known of a connection; {@code listed} is where it may be named from, null where it may not. */
    private static final class State {

        private boolean isReading;
        private int requestsServed;
        private int pendingResponses;
        private IdleClass idleClass;
    }

    private final Map<C, State> states = new HashMap<>();
    /** Since when each is as it is: put in at that time, so the longest is always first. */
    private final Map<IdleClass, LinkedHashMap<C, Double>> idleByClass = new EnumMap<>(IdleClass.class);

    /** All of them are looked through at each sixty-fourth: it takes a while where there are thousands. */
    private int changes;

    public ConnectionEvictionPolicy() {
        for (IdleClass kind : IdleClass.ALL) {
            idleByClass.put(kind, new LinkedHashMap<>());
        }
    }

    /** A connection was accepted; it has the least claim until its first byte. */
    public void onOpened(C connection, double nowMs) {
        State state = new State();
        if (states.putIfAbsent(connection, state) == null) {
            reclassify(connection, state, IdleClass.NO_BYTES, nowMs);
        }
    }

    /** Bytes of a request came in on the connection, the first or further ones. */
    public void onBytesRead(C connection, double nowMs) {
        State state = states.get(connection);
        if (state != null && !state.isReading) {
            state.isReading = true;
            // From the first byte on: who drips a byte now and then does not stay for it.
            reclassify(
                    connection,
                    state,
                    state.requestsServed > 0 || state.pendingResponses > 0 ? null : IdleClass.PARTIAL_REQUEST,
                    nowMs);
        }
    }

    /**
     * A request is whole, and its answer is owed, whether it opens a session or is refused. Several may be owed on one
     * connection; {@link #reading} need not have been called.
     */
    public void onRequestReceived(C connection) {
        State state = states.get(connection);
        if (state != null) {
            state.isReading = false;
            state.pendingResponses++;
            reclassify(connection, state, null, 0);
        }
    }

    /**
     * An answer was written, and one less is owed; nothing happens if none was.
     *
     * @param session whether it was a session's, served, denied or failed; false if the request could not be used.
     *     Only the first is a claim: who sends what cannot be used is no usual client
     */
    public void onResponseSent(C connection, double nowMs, boolean isValidRequest) {
        State state = states.get(connection);
        if (state == null || state.pendingResponses == 0) {
            return;
        }
        state.pendingResponses--;
        state.requestsServed += isValidRequest ? 1 : 0;
        if (state.pendingResponses == 0) {
            IdleClass idleClass = state.requestsServed == 0
                    ? IdleClass.INVALID_REQUESTS
                    : state.requestsServed == 1 ? IdleClass.SINGLE_REQUEST : IdleClass.RECURRING;
            IdleClass partialClass = state.requestsServed > 0 ? null : IdleClass.PARTIAL_REQUEST;
            reclassify(connection, state, state.isReading ? partialClass : idleClass, nowMs);
        }
    }

    /** The connection is closed, by whichever side. */
    public void onClosed(C connection) {
        State state = states.remove(connection);
        if (state != null) {
            reclassify(connection, state, null, 0);
        }
    }

    /**
     * The connection to close now; null if none may be. One that was served is not named while one with a lesser claim
     * may be in a moment: silent ones are waited for (5 ms), others if they outnumber the served ones (500 ms). To be
     * asked after the input of a round was read, not before: what came in during a pause has not been told yet. A
     * connection is named once; if it is not closed, it may be named again after its next byte or answer.
     */
    public C nextToEvict(double nowMs) {
        for (IdleClass idleClass : IdleClass.ALL) {
            LinkedHashMap<C, Double> connections = idleByClass.get(idleClass);
            if (connections.isEmpty()) {
                continue;
            }
            Map.Entry<C, Double> longestIdle = connections.entrySet().iterator().next();
            if (nowMs - longestIdle.getValue() > idleClass.graceMs
                    && (idleClass != IdleClass.RECURRING || !mayEvictLowerClassSoon())) {
                C connection = longestIdle.getKey();
                reclassify(connection, states.get(connection), null, nowMs);
                return connection;
            }
        }
        return null;
    }

    /**
     * The connection to close although there is room, null if none is: of those that asked once and are kept for
     * nothing, the longest idle when there are more than {@code most}. Where each request comes on a connection of its
     * own that is never closed, clients run out of theirs long before the sidecar does.
     */
    public C nextSurplus(double nowMs, int maxConnections) {
        LinkedHashMap<C, Double> connections = idleByClass.get(IdleClass.SINGLE_REQUEST);
        if (connections.size() <= maxConnections) {
            return null;
        }
        Map.Entry<C, Double> longestIdle = connections.entrySet().iterator().next();
        if (nowMs - longestIdle.getValue() <= IdleClass.SINGLE_REQUEST.graceMs) {
            return null;
        }
        C connection = longestIdle.getKey();
        reclassify(connection, states.get(connection), null, nowMs);
        return connection;
    }

    /** Whether who is in its grace may go instead of a served one: a crowd that comes at once is so as a whole. */
    private boolean mayEvictLowerClassSoon() {
        int recurring = idleByClass.get(IdleClass.RECURRING).size();
        return !idleByClass.get(IdleClass.NO_BYTES).isEmpty()
                || idleByClass.get(IdleClass.PARTIAL_REQUEST).size() > recurring
                || idleByClass.get(IdleClass.INVALID_REQUESTS).size() > recurring
                || idleByClass.get(IdleClass.SINGLE_REQUEST).size() > recurring;
    }

    /** Whether a connection that was never served may be closed now, and so whether more room costs no usual client. */
    public boolean hasLowPriorityConnection(double nowMs) {
        for (IdleClass idleClass : IdleClass.ALL) {
            var idleSinceMs = idleByClass.get(idleClass).values().iterator();
            if (idleClass != IdleClass.RECURRING
                    && idleSinceMs.hasNext()
                    && nowMs - idleSinceMs.next() > idleClass.graceMs) {
                return true;
            }
        }
        return false;
    }

    private void reclassify(C connection, State state, IdleClass idleClass, double nowMs) {
        if (state.idleClass != null) {
            idleByClass.get(state.idleClass).remove(connection);
        }
        state.idleClass = idleClass;
        if (idleClass != null) {
            idleByClass.get(idleClass).put(connection, nowMs);
        }
        assert (++changes & 63) != 0 || isConsistent() : "connections by what they have done do not add up";
    }

    /** Each idle connection is named in one place, no busy one in any, and none that is closed. */
    boolean isConsistent() {
        int listed = 0;
        for (Map.Entry<IdleClass, LinkedHashMap<C, Double>> byClass : idleByClass.entrySet()) {
            double previousMs = Double.NEGATIVE_INFINITY;
            for (Map.Entry<C, Double> connection : byClass.getValue().entrySet()) {
                State state = states.get(connection.getKey());
                if (state == null
                        || state.idleClass != byClass.getKey()
                        || state.pendingResponses > 0
                        || connection.getValue() < previousMs) {
                    return false;
                }
                previousMs = connection.getValue();
                listed++;
            }
        }
        return listed
                        == states.values().stream()
                                .filter(state -> state.idleClass != null)
                                .count()
                && states.values().stream().allMatch(state -> state.pendingResponses >= 0);
    }
}
