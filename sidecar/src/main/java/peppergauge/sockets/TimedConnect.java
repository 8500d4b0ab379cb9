package peppergauge.sockets;

import java.net.SocketTimeoutException;
import java.util.concurrent.Future;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import peppergauge.request.Scheduler;

/**
 * A connection that is being established, with a timeout by the monotonic clock; HttpCore's own timeout uses the wall
 * clock. Its callback is called once, on the event loop's thread; {@link #start} may be called from any thread.
 */
final class TimedConnect implements FutureCallback<IOSession> {

    private final FutureCallback<IOSession> callback;
    private final Timeout timeout;
    private Future<IOSession> connecting;
    private Scheduler.ScheduledTask timer;
    private boolean ended;

    TimedConnect(Timeout timeout, FutureCallback<IOSession> callback) {
        this.timeout = timeout;
        this.callback = callback;
    }

    /** Starts the timeout, unless the connection has been established or has failed already. */
    synchronized void start(Future<IOSession> request, Scheduler scheduler) {
        connecting = request;
        if (!ended) {
            timer = scheduler.schedule(timeout.toMilliseconds(), this::onTimeout);
        }
    }

    @Override
    public void completed(IOSession session) {
        if (end()) {
            callback.completed(session);
        } else {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    @Override
    public void failed(Exception cause) {
        if (end()) {
            callback.failed(cause);
        }
    }

    @Override
    public void cancelled() {
        if (end()) {
            callback.cancelled();
        }
    }

    private void onTimeout() {
        if (end()) {
            cancelConnecting();
            callback.failed(new SocketTimeoutException(timeout.toString()));
        }
    }

    private synchronized void cancelConnecting() {
        connecting.cancel(true);
    }

    /** Returns whether the outcome is the first one. */
    private synchronized boolean end() {
        boolean isFirst = !ended;
        ended = true;
        if (timer != null) {
            timer.cancel();
        }
        return isFirst;
    }
}
