package peppergauge.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import peppergauge.log.Log;

/**
 * Accepts the connections of all listeners, on a thread of its own that the accept gate may block. A failing accept
 * leaves its connection in the kernel's queue and is tried again after a pause; nothing but {@link #close} ends it.
 */
final class Acceptor implements Runnable {

    private static final int ACCEPT_BACKLOG = 511;
    /** Interval at which accept is tried even if the selector reports nothing: a registration may have failed. */
    private static final long SELECT_TIMEOUT_MS = 100;

    private static final long FIRST_PAUSE_MS = 1;
    /** Clients in the kernel's queue wait as long once accept works again. */
    private static final long MAX_PAUSE_MS = 5;
    /** Failures in a row after which the gate is asked to release descriptors, if none is left. */
    private static final int FAILURES_BEFORE_EVICTION = 2;

    private final Selector selector;
    private final LoopCounters counters;
    private final BiConsumer<SocketChannel, ConnectionHandlerFactory> accepted;
    private final List<Listener> listeners = new CopyOnWriteArrayList<>();
    private final Backoff backoff = new Backoff(FIRST_PAUSE_MS, MAX_PAUSE_MS);
    private EventLoop.AcceptGate gate = () -> {};
    private volatile boolean closed;

    /** @param accepted receives each connection that has passed the gate, on the acceptor's thread */
    Acceptor(Selector selector, LoopCounters counters, BiConsumer<SocketChannel, ConnectionHandlerFactory> accepted) {
        this.selector = selector;
        this.counters = counters;
        this.accepted = accepted;
    }

    /** Sets the gate; to be called before the thread starts. */
    void setGate(EventLoop.AcceptGate newGate) {
        gate = newGate;
    }

    /**
     * Listens on this address only; may be called from any thread.
     *
     * @throws IOException if the address cannot be bound
     */
    ListenerEndpoint listen(InetSocketAddress address, ConnectionHandlerFactory factory) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.bind(address, ACCEPT_BACKLOG);
            Listener listener = new Listener(channel, factory, channel.getLocalAddress());
            channel.register(selector, SelectionKey.OP_ACCEPT);
            listeners.add(listener);
            selector.wakeup();
            return listener;
        } catch (IOException | RuntimeException failed) {
            channel.close();
            throw failed;
        }
    }

    /** A listening socket. */
    private final class Listener implements ListenerEndpoint {

        private final ServerSocketChannel channel;
        private final ConnectionHandlerFactory factory;
        private final SocketAddress address;

        Listener(ServerSocketChannel channel, ConnectionHandlerFactory factory, SocketAddress address) {
            this.channel = channel;
            this.factory = factory;
            this.address = address;
        }

        @Override
        public SocketAddress getAddress() {
            return address;
        }

        @Override
        public boolean isClosed() {
            return !channel.isOpen();
        }

        @Override
        public void close() throws IOException {
            listeners.remove(this);
            try {
                channel.close();
            } finally {
                // The descriptor is released by the next select.
                selector.wakeup();
            }
        }

        @Override
        public void close(CloseMode mode) {
            try {
                close();
            } catch (IOException failed) {
                Log.event("listener_close_failed", "error", failed.getMessage());
            }
        }
    }

    @Override
    public void run() {
        while (!closed) {
            try {
                selector.select(SELECT_TIMEOUT_MS);
                selector.selectedKeys().clear();
                for (Listener listener : listeners) {
                    acceptAll(listener);
                }
            } catch (ClosedSelectorException ended) {
                return;
            } catch (InterruptedException ending) {
                if (closed) {
                    return;
                }
            } catch (IOException | RuntimeException failed) {
                onFailure("listener_select_failed", failed);
            }
        }
    }

    private void acceptAll(Listener listener) throws InterruptedException {
        while (!closed) {
            SocketChannel connection;
            try {
                connection = listener.channel.accept();
            } catch (ClosedChannelException stopped) {
                return;
            } catch (IOException | RuntimeException failed) {
                counters.onAcceptFailed();
                onFailure("accept_failed", failed);
                return;
            }
            if (connection == null) {
                return;
            }
            backoff.onSuccess();
            gate.awaitCapacity();
            accepted.accept(connection, listener.factory);
        }
    }

    /** Waits before the next try, so that a failure that lasts does not take a core. */
    private void onFailure(String event, Exception failed) {
        long pauseMs = backoff.onFailure();
        Log.event(
                event,
                "error",
                String.valueOf(failed.getMessage()),
                "failures_in_a_row",
                backoff.failures(),
                "retry_in_ms",
                pauseMs);
        if (backoff.failures() >= FAILURES_BEFORE_EVICTION && !canOpenSocket()) {
            gate.onAcceptFailed();
        }
        try {
            Thread.sleep(pauseMs);
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether descriptors are left, so that closing idle connections would not help. */
    private static boolean canOpenSocket() {
        try {
            SocketChannel.open().close();
            return true;
        } catch (IOException failed) {
            return false;
        }
    }

    /** Ends the thread and closes all listeners. */
    void close() {
        closed = true;
        for (Listener listener : listeners) {
            listener.close(CloseMode.IMMEDIATE);
        }
        try {
            selector.close();
        } catch (IOException failed) {
            Log.event("listener_close_failed", "error", failed.getMessage());
        }
    }
}
