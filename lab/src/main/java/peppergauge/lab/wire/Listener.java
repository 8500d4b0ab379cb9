package peppergauge.lab.wire;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

/** A listening loopback port on an event loop, which can be closed, silenced and reopened under the same number. */
public final class Listener implements Closeable {

    /** Creates the handler of an accepted connection; called on the loop's thread. */
    public interface ConnectionFactory {

        /** @throws IOException if the client has closed the connection already */
        Loop.Handler accepted(SocketChannel channel) throws IOException;
    }

    private static final int BACKLOG = 1024;
    /** The kernel completes one connection more than the backlog; it does not answer further ones. */
    private static final int SILENT_BACKLOG = 1;

    /** Number of connections that fill the backlog of a silent port. */
    private static final int FILLERS = 3;

    private static final long BIND_RETRY_NS = 1_000_000;
    private static final int MAX_BIND_RETRIES = 100;

    private final Loop loop;
    private final ConnectionFactory connections;
    private final InetSocketAddress address;
    private final List<SocketChannel> fillers = new ArrayList<>();
    private ServerSocketChannel channel;
    /** Incremented by each change, so that a change that is still pending is superseded by a later one. */
    private int changes;

    /**
     * Opens a free port.
     *
     * @throws IOException if no port can be opened
     */
    public Listener(Loop loop, ConnectionFactory connections) throws IOException {
        this(loop, InetAddress.getLoopbackAddress(), connections);
    }

    /**
     * Opens a free port of a loopback address. A port that is reopened needs an address that nothing else uses: on the
     * default loopback address it may meanwhile be the local port of another process's connection.
     *
     * @throws IOException if no port can be opened
     */
    public Listener(Loop loop, InetAddress host, ConnectionFactory connections) throws IOException {
        this.loop = loop;
        this.connections = connections;
        channel = bound(new InetSocketAddress(host, 0), BACKLOG);
        address = (InetSocketAddress) channel.getLocalAddress();
        startAccepting();
    }

    private static ServerSocketChannel bound(InetSocketAddress address, int backlog) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        return channel.bind(address, backlog);
    }

    private void startAccepting() throws IOException {
        ServerSocketChannel current = channel;
        loop.register(current, SelectionKey.OP_ACCEPT, new Loop.Handler() {
            @Override
            public void ready(SelectionKey key) throws IOException {
                for (SocketChannel next = current.accept(); next != null; next = current.accept()) {
                    accept(next);
                }
            }

            @Override
            public void broken() {
                throw new IllegalStateException("accepting connections failed on " + text());
            }
        });
    }

    private void accept(SocketChannel next) throws IOException {
        try {
            loop.register(next, SelectionKey.OP_READ, connections.accepted(next));
        } catch (IOException gone) {
            // A client that disconnects at once must not close the listener.
            next.close();
        }
    }

    public InetSocketAddress address() {
        return address;
    }

    /** Returns the address as {@code host:port}. */
    public String text() {
        return text(address);
    }

    /** Formats an address as {@code host:port}. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Closes the port, so that connections are refused. For the loop's thread only. */
    @Override
    public void close() throws IOException {
        changes++;
        closeSockets();
    }

    private void closeSockets() throws IOException {
        channel.close();
        for (SocketChannel filler : fillers) {
            filler.close();
        }
        fillers.clear();
    }

    /**
     * Keeps new connections from being established. Loopback cannot drop packets, so the backlog is kept full. For the
     * loop's thread only.
     */
    public void silence() throws IOException {
        close();
        bindSoon(changes, 0, () -> {
            channel = bound(address, SILENT_BACKLOG);
            for (int i = 0; i < FILLERS; i++) {
                SocketChannel filler = SocketChannel.open();
                fillers.add(filler);
                filler.configureBlocking(false);
                filler.connect(address);
            }
        });
    }

    /** Listens again after {@link #close} or {@link #silence}. For the loop's thread only. */
    public void reopen() throws IOException {
        close();
        bindSoon(changes, 0, () -> {
            channel = bound(address, BACKLOG);
            startAccepting();
        });
    }

    private interface Opening {
        void open() throws IOException;
    }

    /** Binds after a delay and retries, since a registered channel releases its port only at the next select. */
    private void bindSoon(int expectedChanges, int retries, Opening opening) {
        loop.at(System.nanoTime() + BIND_RETRY_NS, () -> {
            try {
                if (changes == expectedChanges) {
                    opening.open();
                }
            } catch (IOException failed) {
                if (retries == MAX_BIND_RETRIES) {
                    throw new UncheckedIOException(
                            "cannot bind " + text() + " after " + MAX_BIND_RETRIES + " retries", failed);
                }
                bindSoon(expectedChanges, retries + 1, opening);
            }
        });
    }
}
