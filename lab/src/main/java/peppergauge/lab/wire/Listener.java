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

/** A loopback port on a loop, which can be shut, fall silent, and open again under the same number. */
public final class Listener implements Closeable {

    /** Makes this end of a connection that was accepted; on the loop's thread. */
    public interface Door {

        /** @throws IOException if the client has left already */
        Loop.Handler accepted(SocketChannel channel) throws IOException;
    }

    private static final int BACKLOG = 1024;
    /** The kernel completes one connection more than the backlog says; all beyond get no answer. */
    private static final int SILENT_BACKLOG = 1;

    private static final int FILLERS = 3;

    private static final long PAUSE_NS = 1_000_000;
    private static final int MOST_TRIES = 100;

    private final Loop loop;
    private final Door door;
    private final InetSocketAddress address;
    private final List<SocketChannel> fillers = new ArrayList<>();
    private ServerSocketChannel channel;
    /** Raised by each change, so that of two in a row only the last one happens. */
    private int state;

    /**
     * Opens a free port.
     *
     * @throws IOException if none can be had
     */
    public Listener(Loop loop, Door door) throws IOException {
        this(loop, InetAddress.getLoopbackAddress(), door);
    }

    /**
     * Opens a free port of a loopback address. One that is opened again is safe only where nothing else is bound: on
     * the usual address its port may meanwhile be the near end of anybody's connection.
     *
     * @throws IOException if none can be had
     */
    public Listener(Loop loop, InetAddress host, Door door) throws IOException {
        this.loop = loop;
        this.door = door;
        channel = bound(new InetSocketAddress(host, 0), BACKLOG);
        address = (InetSocketAddress) channel.getLocalAddress();
        accept();
    }

    private static ServerSocketChannel bound(InetSocketAddress address, int backlog) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        return channel.bind(address, backlog);
    }

    private void accept() throws IOException {
        ServerSocketChannel current = channel;
        loop.register(current, SelectionKey.OP_ACCEPT, new Loop.Handler() {
            @Override
            public void ready(SelectionKey key) throws IOException {
                for (SocketChannel next = current.accept(); next != null; next = current.accept()) {
                    welcome(next);
                }
            }

            @Override
            public void broken() {
                throw new IllegalStateException("a stand-in cannot listen any longer");
            }
        });
    }

    private void welcome(SocketChannel next) throws IOException {
        try {
            loop.register(next, SelectionKey.OP_READ, door.accepted(next));
        } catch (IOException gone) {
            // A client that left at once must not close the listener.
            next.close();
        }
    }

    public InetSocketAddress address() {
        return address;
    }

    /** As {@code host:port}. */
    public String text() {
        return text(address);
    }

    /** As {@code host:port}. */
    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** From now on connections are refused; for the loop's thread only. */
    @Override
    public void close() throws IOException {
        state++;
        shut();
    }

    private void shut() throws IOException {
        channel.close();
        for (SocketChannel filler : fillers) {
            filler.close();
        }
        fillers.clear();
    }

    /** From now on connections never come up. Loopback has no way to drop packets; a queue that is full does it. */
    public void silence() throws IOException {
        close();
        bindSoon(state, 0, () -> {
            channel = bound(address, SILENT_BACKLOG);
            for (int i = 0; i < FILLERS; i++) {
                SocketChannel filler = SocketChannel.open();
                fillers.add(filler);
                filler.configureBlocking(false);
                filler.connect(address);
            }
        });
    }

    /** Listens again, after {@link #close} or {@link #silence}; for the loop's thread only. */
    public void reopen() throws IOException {
        close();
        bindSoon(state, 0, () -> {
            channel = bound(address, BACKLOG);
            accept();
        });
    }

    private interface Opening {
        void open() throws IOException;
    }

    /** A channel that a selector knew lets its port go at the next select only. */
    private void bindSoon(int wanted, int tries, Opening opening) {
        loop.at(System.nanoTime() + PAUSE_NS, () -> {
            try {
                if (state == wanted) {
                    opening.open();
                }
            } catch (IOException taken) {
                if (tries == MOST_TRIES) {
                    throw new UncheckedIOException(taken);
                }
                bindSoon(wanted, tries + 1, opening);
            }
        });
    }
}
