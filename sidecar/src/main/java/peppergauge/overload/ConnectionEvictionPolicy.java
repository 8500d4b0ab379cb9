package peppergauge.overload;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which client connection is closed when the limit of connections is reached.
 *
 * <p>Idle connections are classified by the requests received on them; the lowest class is evicted first, and within a
 * class the connection that has been idle longest. A connection is never evicted while a response is pending or a
 * request is being received by a client that was served before, nor within the grace period of its class, in which its
 * next request may be on its way. A connection of a client that was served is not evicted while one that was not may be
 * evicted soon.
 *
 * <p>All methods are O(1); {@link #nextToEvict} checks one connection of each class. Times are in ms and
 * never go backwards. Calls for connections that were never opened or are closed do nothing. One thread only.
 *
 * @param <C> a connection, compared by identity or a stable {@code equals}
 */
public final class ConnectionEvictionPolicy<C> {

    /** Classes of idle connections in the order of their eviction, each with its grace period in ms. */
    public enum IdleClass {
        /**
         * Nothing was received. If the limit was reached, its request was in the kernel's queue when it was accepted.
         */
        NO_BYTES(5),
        /** A part of its first request was received. */
        PARTIAL_REQUEST(500),
        /** Only invalid requests were received. */
        INVALID_REQUESTS(50),
        /** One request was served. */
        SINGLE_REQUEST(100),
        /** Several requests were served. */
        RECURRING(50);

        private static final IdleClass[] ALL = values();
        private final double graceMs;

        IdleClass(double graceMs) {
            this.graceMs = graceMs;
        }

        /** Whether a request was served on the connection. */
        public boolean isServed() {
            return this == SINGLE_REQUEST || this == RECURRING;
        }
    }

    /**
     * How a connection was last idle.
     *
     * @param sinceMs when it entered the class, ms
     */
    public record IdleState(IdleClass idleClass, double sinceMs) {}

    /** The state of a connection; {@code idleClass} is null while it must not be evicted. */
    private static final class State {

        private boolean isReading;
        private int requestsServed;
        private int pendingResponses;
        private IdleClass idleClass;
        private IdleClass lastIdleClass;
        private double idleSinceMs;
    }

    /** Consistency is asserted at one of this many changes, since the check is linear in the number of connections. */
    private static final int CHANGES_PER_CHECK = 64;

    private final Map<C, State> states = new HashMap<>();
    /** When each connection entered its class, in ms, the longest idle first. */
    private final Map<IdleClass, LinkedHashMap<C, Double>> idleByClass = new EnumMap<>(IdleClass.class);

    private int changes;

    public ConnectionEvictionPolicy() {
        for (IdleClass idleClass : IdleClass.ALL) {
            idleByClass.put(idleClass, new LinkedHashMap<>());
        }
    }

    /** A connection was accepted. */
    public void onOpened(C connection, double nowMs) {
        State state = new State();
        if (states.putIfAbsent(connection, state) == null) {
            reclassify(connection, state, IdleClass.NO_BYTES, nowMs);
        }
    }

    /**
     * Bytes of a request were read, the first or further ones. The grace period of a partial request starts at its
     * first byte.
     */
    public void onBytesRead(C connection, double nowMs) {
        State state = states.get(connection);
        if (state != null && !state.isReading) {
            state.isReading = true;
            reclassify(
                    connection,
                    state,
                    state.requestsServed > 0 || state.pendingResponses > 0 ? null : IdleClass.PARTIAL_REQUEST,
                    nowMs);
        }
    }

    /**
     * A complete request was received, valid or not, and its response is pending. Several responses may be pending on
     * a connection; {@link #onBytesRead} need not have been called.
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
     * A response was written. Ignored if none was pending.
     *
     * @param isValidRequest false if the request was invalid, which does not count as served
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

    /** A connection was closed, by either side. */
    public void onClosed(C connection) {
        State state = states.remove(connection);
        if (state != null) {
            reclassify(connection, state, null, 0);
        }
    }

    /**
     * Selects the connection to close for a new one. A connection of a client that was served is selected only if no
     * lower class may supply one soon. To be called after the input of a round was read. Each connection is selected
     * once, until bytes or a response are reported for it.
     *
     * @return null if no connection may be closed now
     */
    public C nextToEvict(double nowMs) {
        C unserved = nextUnservedToEvict(nowMs);
        if (unserved != null) {
            return unserved;
        }
        for (IdleClass idleClass : IdleClass.ALL) {
            if (idleClass.isServed() && !mayEvictLowerClassSoon(idleClass)) {
                C connection = longestIdleAfterGrace(idleClass, nowMs);
                if (connection != null) {
                    return connection;
                }
            }
        }
        return null;
    }

    /** Like {@link #nextToEvict}, but selects only connections on which no request was served. */
    public C nextUnservedToEvict(double nowMs) {
        for (IdleClass idleClass : IdleClass.ALL) {
            C connection = idleClass.isServed() ? null : longestIdleAfterGrace(idleClass, nowMs);
            if (connection != null) {
                return connection;
            }
        }
        return null;
    }

    /** Selects the longest idle connection of a class; null if there is none or it is in its grace period. */
    private C longestIdleAfterGrace(IdleClass idleClass, double nowMs) {
        LinkedHashMap<C, Double> connections = idleByClass.get(idleClass);
        if (connections.isEmpty()) {
            return null;
        }
        Map.Entry<C, Double> longestIdle = connections.entrySet().iterator().next();
        if (nowMs - longestIdle.getValue() <= idleClass.graceMs) {
            return null;
        }
        C connection = longestIdle.getKey();
        reclassify(connection, states.get(connection), null, nowMs);
        return connection;
    }

    /**
     * Selects a connection to close before the limit is reached: the longest idle of those that served a single
     * request, if there are more than {@code maxConnections}. Otherwise clients that open a connection for each request
     * and never close it would run out of connections.
     *
     * @return null if no connection is to be closed
     */
    public C nextSurplus(double nowMs, int maxConnections) {
        int connections = idleByClass.get(IdleClass.SINGLE_REQUEST).size();
        return connections > maxConnections ? longestIdleAfterGrace(IdleClass.SINGLE_REQUEST, nowMs) : null;
    }

    /**
     * Whether a connection of a lower class, now in its grace period, should be evicted instead of one of this class:
     * any that has received nothing, or one of a class with more connections.
     */
    private boolean mayEvictLowerClassSoon(IdleClass idleClass) {
        int connections = idleByClass.get(idleClass).size();
        for (IdleClass lower : IdleClass.ALL) {
            int sufficient = lower == IdleClass.NO_BYTES ? 0 : connections;
            if (lower.compareTo(idleClass) < 0 && idleByClass.get(lower).size() > sufficient) {
                return true;
            }
        }
        return false;
    }

    /** How an open connection was last idle, also after it was selected; null if it is not open. */
    public IdleState lastIdle(C connection) {
        State state = states.get(connection);
        return state == null ? null : new IdleState(state.lastIdleClass, state.idleSinceMs);
    }

    private void reclassify(C connection, State state, IdleClass idleClass, double nowMs) {
        if (state.idleClass != null) {
            idleByClass.get(state.idleClass).remove(connection);
        }
        state.idleClass = idleClass;
        if (idleClass != null) {
            state.lastIdleClass = idleClass;
            state.idleSinceMs = nowMs;
            idleByClass.get(idleClass).put(connection, nowMs);
        }
        assert ++changes % CHANGES_PER_CHECK != 0 || isConsistent() : "the classes of connections do not add up";
    }

    /**
     * Whether each idle connection is in exactly one class, and no class contains a connection that is closed or has a
     * pending response.
     */
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
