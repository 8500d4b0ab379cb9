package peppergauge.sockets;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Looks at all sockets now and then, and ends sessions on which nothing was read or written for their socket timeout, by
 * the monotonic clock. Event-loop thread only.
 */
final class SocketChecks {

    /** Checks are rarer than rounds, since each looks at all sockets. */
    private static final long CHECK_INTERVAL_NANOS = 5_000_000;

    /** A longer time between two rounds shows that the process was held up. */
    private static final long HELD_UP_NANOS = (long) (2 * EventLoop.SELECT_INTERVAL_MS * 1e6);

    private final List<EventLoopSession> sessions = new ArrayList<>();
    private long checkedNanos = System.nanoTime();
    private boolean isPostponed;

    /** Adds a new session. */
    void add(EventLoopSession session) {
        sessions.add(session);
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
        checkSessions(nowNanos);
    }

    private void checkSessions(long nowNanos) {
        Iterator<EventLoopSession> each = sessions.iterator();
        while (each.hasNext()) {
            if (!each.next().checkTimeout(nowNanos)) {
                each.remove();
            }
        }
    }
}
