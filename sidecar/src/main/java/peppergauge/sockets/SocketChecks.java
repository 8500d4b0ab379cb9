package peppergauge.sockets;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Looks at all sockets now and then: ends sessions on which nothing was read or written for their socket timeout, by
 * the monotonic clock, and finds sockets that are ready although the selector does not report them. Event-loop thread
 * only.
 */
final class SocketChecks {

    /** Checks are rarer than rounds, since each looks at all sockets. */
    private static final long CHECK_INTERVAL_NANOS = 5_000_000;

    /** A longer time between two rounds shows that the process was held up. */
    private static final long HELD_UP_NANOS = (long) (2 * EventLoop.SELECT_INTERVAL_MS * 1e6);

    /** Time without an event of the selector after which a session's socket is tried all the same. */
    private static final long RECHECK_NANOS = 500_000_000;
    /** The same for a connection that is being established. */
    private static final long PENDING_RECHECK_NANOS = 50_000_000;
    /** Both, while registrations fail. */
    private static final long FREQUENT_RECHECK_NANOS = 20_000_000;
    /** How long after an event that the selector has not reported registrations count as failing. */
    private static final long FAILING_NANOS = 2_000_000_000;

    private final List<EventLoopSession> sessions = new ArrayList<>();
    private final List<PendingConnection> pendingConnections = new ArrayList<>();
    private long checkedNanos = System.nanoTime();
    private long missedNanos = checkedNanos - FAILING_NANOS;
    private boolean isPostponed;

    /** Adds a new session. */
    void add(EventLoopSession session) {
        sessions.add(session);
    }

    /** Adds a connection that is being established. */
    void add(PendingConnection pending) {
        pendingConnections.add(pending);
    }

    /** Called when the selector has not reported a socket that was ready, or reports one that is not. */
    void onEventMissed() {
        missedNanos = System.nanoTime();
    }

    /** Registers all sessions anew with the selector. */
    void registerAllAnew() {
        sessions.forEach(EventLoopSession::registerAnew);
    }

    /** Called in each round; checks the sockets if the last check was some time ago. */
    void check() {
        long nowNanos = System.nanoTime();
        if (nowNanos - checkedNanos < CHECK_INTERVAL_NANOS) {
            return;
        }
        isPostponed = !isPostponed && nowNanos - checkedNanos > HELD_UP_NANOS;
        checkedNanos = nowNanos;
        if (isPostponed) {
            // Input that arrived meanwhile is read first; closing sessions now would also delay it.
            return;
        }
        boolean isFailing = nowNanos - missedNanos < FAILING_NANOS;
        checkPendingConnections(nowNanos, isFailing ? FREQUENT_RECHECK_NANOS : PENDING_RECHECK_NANOS);
        checkSessions(nowNanos, isFailing ? FREQUENT_RECHECK_NANOS : RECHECK_NANOS);
    }

    private void checkPendingConnections(long nowNanos, long recheckNanos) {
        pendingConnections.removeIf(PendingConnection::isEnded);
        for (PendingConnection pending : List.copyOf(pendingConnections)) {
            EventLoop.runGuarded(() -> pending.recheck(nowNanos, recheckNanos));
        }
    }

    private void checkSessions(long nowNanos, long recheckNanos) {
        Iterator<EventLoopSession> each = sessions.iterator();
        List<EventLoopSession> silent = new ArrayList<>();
        while (each.hasNext()) {
            EventLoopSession session = each.next();
            if (!session.checkTimeout(nowNanos)) {
                each.remove();
            } else if (session.isRecheckDue(nowNanos, recheckNanos)) {
                silent.add(session);
            }
        }
        for (EventLoopSession session : silent) {
            EventLoop.runGuarded(() -> session.recheck(nowNanos));
        }
    }
}
