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
public final class Claims<C> {

    /** What idle connections have done, the least claim first, and how long they must have done nothing since, ms. */
    private enum Kind {
        SILENT(5),
        BROKEN_OFF(500),
        REFUSED(50),
        ONCE(100),
        SERVED(50);

        private static final Kind[] ALL = values();
        private final double graceMs;

        Kind(double graceMs) {
            this.graceMs = graceMs;
        }
    }

    /** What is known of a connection; {@code listed} is where it may be named from, null where it may not. */
    private static final class State {

        private boolean reading;
        private int served;
        private int sessions;
        private Kind listed;
    }

    private final Map<C, State> states = new HashMap<>();
    /** Since when each is as it is: put in at that time, so the longest is always first. */
    private final Map<Kind, LinkedHashMap<C, Double>> idle = new EnumMap<>(Kind.class);

    /** All of them are looked through at each sixty-fourth: it takes a while where there are thousands. */
    private int listings;

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
            list(connection, state, state.served > 0 || state.sessions > 0 ? null : Kind.BROKEN_OFF, nowMs);
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
        state.served += session ? 1 : 0;
        if (state.sessions == 0) {
            Kind waiting = state.served == 0 ? Kind.REFUSED : state.served == 1 ? Kind.ONCE : Kind.SERVED;
            Kind broken = state.served > 0 ? null : Kind.BROKEN_OFF;
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
     * The connection to close now; null if none may be. One that was served is not named while one with a lesser claim
     * may be in a moment: silent ones are waited for (5 ms), others if they outnumber the served ones (500 ms). To be
     * asked after the input of a round was read, not before: what came in during a pause has not been told yet. A
     * connection is named once; if it is not closed, it may be named again after its next byte or answer.
     */
    public C nextToClose(double nowMs) {
        for (Kind kind : Kind.ALL) {
            LinkedHashMap<C, Double> waiting = idle.get(kind);
            if (waiting.isEmpty()) {
                continue;
            }
            Map.Entry<C, Double> longest = waiting.entrySet().iterator().next();
            if (nowMs - longest.getValue() > kind.graceMs && (kind != Kind.SERVED || !lesserSoon())) {
                C connection = longest.getKey();
                list(connection, states.get(connection), null, nowMs);
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
    public C surplus(double nowMs, int most) {
        LinkedHashMap<C, Double> once = idle.get(Kind.ONCE);
        if (once.size() <= most) {
            return null;
        }
        Map.Entry<C, Double> longest = once.entrySet().iterator().next();
        if (nowMs - longest.getValue() <= Kind.ONCE.graceMs) {
            return null;
        }
        C connection = longest.getKey();
        list(connection, states.get(connection), null, nowMs);
        return connection;
    }

    /** Whether who is in its grace may go instead of a served one: a crowd that comes at once is so as a whole. */
    private boolean lesserSoon() {
        int served = idle.get(Kind.SERVED).size();
        return !idle.get(Kind.SILENT).isEmpty()
                || idle.get(Kind.BROKEN_OFF).size() > served
                || idle.get(Kind.REFUSED).size() > served
                || idle.get(Kind.ONCE).size() > served;
    }

    /** Whether a connection that was never served may be closed now, and so whether more room costs no usual client. */
    public boolean crowded(double nowMs) {
        for (Kind kind : Kind.ALL) {
            var waiting = idle.get(kind).values().iterator();
            if (kind != Kind.SERVED && waiting.hasNext() && nowMs - waiting.next() > kind.graceMs) {
                return true;
            }
        }
        return false;
    }

    private void list(C connection, State state, Kind kind, double nowMs) {
        if (state.listed != null) {
            idle.get(state.listed).remove(connection);
        }
        state.listed = kind;
        if (kind != null) {
            idle.get(kind).put(connection, nowMs);
        }
        assert (++listings & 63) != 0 || sound() : "connections by what they have done do not add up";
    }

    /** Each idle connection is named in one place, no busy one in any, and none that is closed. */
    boolean sound() {
        int named = 0;
        for (Map.Entry<Kind, LinkedHashMap<C, Double>> each : idle.entrySet()) {
            double beforeMs = Double.NEGATIVE_INFINITY;
            for (Map.Entry<C, Double> waiting : each.getValue().entrySet()) {
                State state = states.get(waiting.getKey());
                if (state == null
                        || state.listed != each.getKey()
                        || state.sessions > 0
                        || waiting.getValue() < beforeMs) {
                    return false;
                }
                beforeMs = waiting.getValue();
                named++;
            }
        }
        return named
                        == states.values().stream()
                                .filter(state -> state.listed != null)
                                .count()
                && states.values().stream().allMatch(state -> state.sessions >= 0);
    }
}
