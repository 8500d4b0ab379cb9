package peppergauge.sockets;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.SocketTimeoutException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import peppergauge.log.Log;
import peppergauge.request.Scheduler;

/**
 * A connection that is being established, with a timeout by the monotonic clock. If a system call fails on this
 * machine, it is tried again with pauses until the timeout; a failure that comes from the peer ends it at once. Its
 * callback is called once. Confined to the event loop's thread.
 */
final class PendingConnection implements SelectedChannel {

    private static final long FIRST_PAUSE_MS = 0;
    private static final long MAX_PAUSE_MS = 32;
    /**
     * The system's text for ENOTCONN: connect was interrupted before it began. The JDK has the same exception for it as
     * for a refusal by the peer.
     */
    private static final String NOT_CONNECTED = "Transport endpoint is not connected";

    private final EventLoop loop;
    private final NamedEndpoint name;
    private final InetSocketAddress address;
    private final Timeout timeout;
    private final ConnectionHandlerFactory factory;
    private final FutureCallback<IOSession> callback;
    private final Backoff backoff = new Backoff(FIRST_PAUSE_MS, MAX_PAUSE_MS);
    private Scheduler.ScheduledTask timer;
    /** Null between two tries. */
    private SocketChannel channel;

    private SelectionKey key;
    private Exception localFailure;
    private long checkedNanos;
    private boolean ended;

    PendingConnection(
            EventLoop loop,
            NamedEndpoint name,
            InetSocketAddress address,
            Timeout timeout,
            ConnectionHandlerFactory factory,
            FutureCallback<IOSession> callback) {
        this.loop = loop;
        this.name = name;
        this.address = address;
        this.timeout = timeout;
        this.factory = factory;
        this.callback = callback;
    }

    /** Starts the timeout and the first try. */
    void start() {
        timer = loop.schedule(timeout.toMilliseconds(), this::onTimeout);
        connect();
    }

    private void connect() {
        if (ended) {
            return;
        }
        try {
            checkedNanos = System.nanoTime();
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            SocketOptions.disableDelay(channel);
            boolean isConnected = channel.connect(address);
            key = loop.selector().register(channel, isConnected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
            if (isConnected) {
                onConnected();
            }
        } catch (ConnectException refused) {
            onRefused(refused);
        } catch (IOException failed) {
            onLocalFailure(failed);
        } catch (RuntimeException unusable) {
            end(unusable);
        }
    }

    @Override
    public void onSelected(int readyOps) {
        checkedNanos = System.nanoTime();
        try {
            // Returns false if the call was interrupted; the selector then reports the socket again.
            if (channel != null && channel.finishConnect()) {
                onConnected();
            }
        } catch (ConnectException refused) {
            onRefused(refused);
        } catch (NoRouteToHostException unreachable) {
            end(unreachable);
        } catch (IOException failed) {
            onLocalFailure(failed);
        } catch (RuntimeException unusable) {
            end(unusable);
        }
    }

    /** Checks the state if the selector has not reported the socket for some time: its registration may have failed. */
    void recheck(long nowNanos, long recheckNanos) {
        if (channel != null && nowNanos - checkedNanos >= recheckNanos) {
            onSelected(0);
            if (ended) {
                loop.selector().onEventMissed();
            }
        }
    }

    boolean isEnded() {
        return ended;
    }

    private void onConnected() {
        if (!end()) {
            return;
        }
        EventLoopSession session = loop.openSession(channel, key, name, factory);
        if (session == null) {
            callback.failed(new IOException("the connection to " + address + " could not be set up"));
            return;
        }
        try {
            callback.completed(session);
            session.onConnected();
        } catch (RuntimeException unexpected) {
            Log.error("connection_open_failed", unexpected);
            session.close(CloseMode.IMMEDIATE);
        }
    }

    private void onRefused(ConnectException refused) {
        if (NOT_CONNECTED.equals(refused.getMessage())) {
            onLocalFailure(refused);
        } else {
            end(refused);
        }
    }

    /** Tries again, at once the first time; there is no other pending call meanwhile. */
    private void onLocalFailure(IOException failed) {
        closeChannel();
        localFailure = failed;
        long pauseMs = backoff.onFailure();
        loop.counters().onConnectFailed();
        Log.event(
                "connect_failed_locally",
                "address",
                address,
                "error",
                failed.getMessage(),
                "try",
                backoff.failures(),
                "retry_in_ms",
                pauseMs);
        if (pauseMs == 0) {
            loop.execute(this::connect);
        } else {
            loop.schedule(pauseMs, this::connect);
        }
    }

    private void onTimeout() {
        end(
                localFailure == null
                        ? new SocketTimeoutException(timeout.toString())
                        : new LocalConnectException(
                                "no connection to " + address + " after " + backoff.failures() + " tries: "
                                        + localFailure.getMessage(),
                                localFailure));
    }

    private void end(Exception cause) {
        if (end()) {
            closeChannel();
            callback.failed(cause);
        }
    }

    /** Returns whether the outcome is the first one. */
    private boolean end() {
        boolean isFirst = !ended;
        ended = true;
        timer.cancel();
        return isFirst;
    }

    private void closeChannel() {
        SocketChannel open = channel;
        channel = null;
        if (open != null) {
            loop.closeQuietly(open);
        }
    }
}
