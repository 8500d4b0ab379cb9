package peppergauge.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
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
 * A connection that is being established, with a timeout by the monotonic clock. Its callback is called once. Confined to the event loop's thread.
 */
final class PendingConnection implements SelectedChannel {

    private final EventLoop loop;
    private final NamedEndpoint name;
    private final InetSocketAddress address;
    private final Timeout timeout;
    private final ConnectionHandlerFactory factory;
    private final FutureCallback<IOSession> callback;
    private Scheduler.ScheduledTask timer;
    private SocketChannel channel;

    private SelectionKey key;
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
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            SocketOptions.disableDelay(channel);
            boolean isConnected = channel.connect(address);
            key = loop.register(channel, isConnected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
            if (isConnected) {
                onConnected();
            }
        } catch (IOException | RuntimeException failed) {
            end(failed);
        }
    }

    @Override
    public void onSelected(int readyOps) {
        try {
            // Returns false if the call was interrupted; the selector then reports the socket again.
            if (channel != null && channel.finishConnect()) {
                onConnected();
            }
        } catch (IOException | RuntimeException failed) {
            end(failed);
        }
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

    private void onTimeout() {
        end(new SocketTimeoutException(timeout.toString()));
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
