package peppergauge.lab.relay;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import peppergauge.lab.fault.FaultKind;
import peppergauge.lab.wire.Loop;

/** One connection through a link: two sockets and two directions. Confined to the loop's thread. */
final class RelayConnection {

    private final Loop loop;
    private final Link link;
    private final ConnectionObserver observer;
    private final long openedNs = System.nanoTime();
    private final End clientEnd;
    private final End serverEnd;
    /** From the client to the server. */
    private final RelayDirection toServer;
    /** From the server to the client. */
    private final RelayDirection toClient;

    private boolean closed;
    private boolean clientEnded;
    private boolean serverClosed;

    RelayConnection(Loop loop, Link link, SocketChannel accepted, ConnectionObserver observer) throws IOException {
        this.loop = loop;
        this.link = link;
        this.observer = observer;
        accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
        SocketChannel server = SocketChannel.open();
        server.configureBlocking(false);
        server.setOption(StandardSocketOptions.TCP_NODELAY, true);
        clientEnd = new End(accepted, true);
        serverEnd = new End(server, false);
        toServer = new RelayDirection(this, clientEnd, serverEnd);
        toClient = new RelayDirection(this, serverEnd, clientEnd);
        double acceptDelayMs = link.size(FaultKind.ACCEPT_LATE, openedNs);
        if (link.holds(FaultKind.ACCEPT_MUTE, openedNs)) {
            toServer.markLost();
        } else if (acceptDelayMs > 0) {
            loop.at(openedNs + (long) (acceptDelayMs * 1e6), this::connect);
        } else {
            // Deferred, since the client's socket is registered only after the listener's callback has returned.
            loop.at(openedNs, this::connect);
        }
    }

    Loop.Handler clientEnd() {
        return clientEnd;
    }

    Loop loop() {
        return loop;
    }

    private void connect() {
        if (closed) {
            return;
        }
        try {
            if (link.target() == null) {
                reset();
                return;
            }
            serverEnd.channel.connect(link.target());
            loop.register(serverEnd.channel, SelectionKey.OP_CONNECT, serverEnd);
        } catch (IOException refused) {
            reset();
        }
    }

    // ---- Faults in effect ----

    boolean loses(RelayDirection direction) {
        return holds(FaultKind.DROP)
                || holds(FaultKind.CUT_OPEN)
                || holds(FaultKind.ACCEPT_MUTE)
                || holds(direction == toServer ? FaultKind.DROP_OUT : FaultKind.DROP_BACK);
    }

    boolean stalled() {
        return holds(FaultKind.STALL);
    }

    private boolean holds(FaultKind what) {
        return link.holds(what, openedNs);
    }

    double size(FaultKind what) {
        return link.size(what, openedNs);
    }

    /** Resumes the connection, or resets it if bytes were lost, since a stream cannot go on with a gap. */
    void endFault() {
        if (toServer.hasLost() && !loses(toServer) || toClient.hasLost() && !loses(toClient)) {
            reset();
        } else if (!closed) {
            toServer.forward();
            toClient.forward();
        }
    }

    // ---- Sockets ----

    void read(RelayDirection direction, byte[] bytes, int count) {
        if (direction == toServer) {
            observer.onClientBytesRead(bytes, count);
        } else {
            observer.onServerBytesRead(bytes, count);
        }
    }

    void written(RelayDirection direction, byte[] bytes, int count) {
        if (direction == toClient) {
            observer.onClientBytesWritten(bytes, count);
        } else {
            observer.onServerBytesWritten(bytes, count);
        }
    }

    /** The sender of a direction has closed its output. */
    void ended(RelayDirection direction) {
        if (direction == toServer) {
            clientEnded(true);
        } else {
            serverClosed();
        }
        if (toServer.isDone() && toClient.isDone()) {
            close();
        }
    }

    private void serverClosed() {
        if (!clientEnded && !serverClosed) {
            serverClosed = true;
            observer.onServerClosed();
        }
    }

    private void clientEnded(boolean byCaller) {
        if (!clientEnded) {
            clientEnded = true;
            observer.onClientEnded(byCaller);
        }
    }

    void reset() {
        clientEnd.resetOnClose();
        serverEnd.resetOnClose();
        close();
    }

    private void close() {
        closed = true;
        clientEnded(false);
        clientEnd.close();
        serverEnd.close();
        link.remove(this);
    }

    /** One of the two sockets. */
    final class End implements Loop.Handler {

        private final SocketChannel channel;
        private final boolean isClient;
        private boolean waitsForRoom;

        End(SocketChannel channel, boolean isClient) {
            this.channel = channel;
            this.isClient = isClient;
        }

        SocketChannel channel() {
            return channel;
        }

        /** Returns the direction whose bytes are read from this socket. */
        private RelayDirection inbound() {
            return isClient ? toServer : toClient;
        }

        /** Returns the direction whose bytes are written to this socket. */
        private RelayDirection outbound() {
            return isClient ? toClient : toServer;
        }

        @Override
        public void ready(SelectionKey key) throws IOException {
            if (key.isConnectable() && channel.finishConnect()) {
                interest(key);
                outbound().forward();
                return;
            }
            if (key.isWritable()) {
                waitsForRoom = false;
                outbound().forward();
            }
            if (key.isValid() && key.isReadable()) {
                inbound().readAvailable();
            }
            if (key.isValid()) {
                interest(key);
            }
        }

        private void interest(SelectionKey key) {
            int read = inbound().acceptsInput() ? SelectionKey.OP_READ : 0;
            key.interestOps(read | (waitsForRoom ? SelectionKey.OP_WRITE : 0));
        }

        /** Updates the interest set; {@code room}: also wait until the socket can be written to. */
        void updateInterest(boolean room) {
            waitsForRoom |= room;
            SelectionKey key = loop.key(channel);
            if (key != null && key.isValid() && channel.isConnected()) {
                interest(key);
            }
        }

        /** This end's connection has failed. The other end is not told while a fault drops the bytes from this end. */
        @Override
        public void broken() {
            if (isClient) {
                clientEnded(true);
            } else {
                serverClosed();
            }
            if (closed) {
                return;
            }
            if (loses(inbound())) {
                inbound().markLost();
            } else {
                reset();
            }
        }

        private void resetOnClose() {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException gone) {
                // The socket is closed already.
            }
        }

        private void close() {
            try {
                channel.close();
            } catch (IOException failed) {
                // The channel is closed even if close() fails.
            }
        }
    }
}
