package peppergauge.sockets;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Ends sessions on which nothing was read or written for their socket timeout, by the monotonic clock. HttpCore's own
 * check uses the wall clock: if that is set back, a silent connection is never noticed. Event-loop thread only, except
 * for {@link #add}.
 */
final class SessionTimeouts {

    /** Checks are rarer than rounds, since each looks at all sessions. */
    private static final long CHECK_INTERVAL_NANOS = 5_000_000;

    /** A longer time between two rounds shows that the process was held up. */
    private static final long HELD_UP_NANOS = (long) (2 * EventLoop.SELECT_INTERVAL_MS * 1e6);

    private final Queue<EventLoopSession> added = new ConcurrentLinkedQueue<>();
    private final List<EventLoopSession> open = new ArrayList<>();
    private long checkedNanos = System.nanoTime();
    private boolean isPostponed;

    /** Adds a new session; may be called from any thread. */
    void add(EventLoopSession session) {
        added.add(session);
    }

    /** Called in each round; checks the sessions if the last check was some time ago. */
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
        for (EventLoopSession session = added.poll(); session != null; session = added.poll()) {
            open.add(session);
        }
        Iterator<EventLoopSession> sessions = open.iterator();
        while (sessions.hasNext()) {
            if (!sessions.next().checkTimeout(nowNanos)) {
                sessions.remove();
            }
        }
    }
}
