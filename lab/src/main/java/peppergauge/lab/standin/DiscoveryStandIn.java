package peppergauge.lab.standin;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import peppergauge.lab.wire.Listener;
import peppergauge.lab.wire.Loop;
import peppergauge.lab.wire.Message;
import peppergauge.lab.wire.Peer;

/**
 * A stand-in for discovery. A poll is answered with the whole endpoint list. A watch gets the whole list, then each
 * change, and an empty line every 2 s as a heartbeat. All methods but the constructors are for the loop's thread only.
 */
public final class DiscoveryStandIn implements Closeable {

    private static final long HEARTBEAT_NS = 2_000_000_000L;

    private final Loop loop;
    private final ServiceCapacity capacity;
    private final long heartbeatNs;
    private final Listener listener;
    private final Map<String, EndpointEntry> rows = new LinkedHashMap<>();
    private final List<Client> watches = new ArrayList<>();
    private long version;
    private boolean silent;
    private boolean empty;
    /** The list that watches know while discovery is silent; null otherwise. */
    private EndpointListMessage listBeforeSilence;

    /**
     * Opens a free port.
     *
     * @param first the initial list; its version is 1
     * @throws IOException if no port can be opened
     */
    public DiscoveryStandIn(Loop loop, List<EndpointEntry> first) throws IOException {
        this(loop, first, HEARTBEAT_NS);
    }

    DiscoveryStandIn(Loop loop, List<EndpointEntry> first, long heartbeatNs) throws IOException {
        this(loop, first, heartbeatNs, ServiceCapacity.UNLIMITED, 1);
    }

    /**
     * Opens a free port. Each call waits until the shared list service has capacity for it.
     *
     * @param capacity the capacity that all stand-ins of one list service share
     * @param version version of the initial list; a restarted list service starts at one that no client has seen
     * @throws IOException if no port can be opened
     */
    public DiscoveryStandIn(Loop loop, List<EndpointEntry> first, ServiceCapacity capacity, long version)
            throws IOException {
        this(loop, first, HEARTBEAT_NS, capacity, version);
    }

    private DiscoveryStandIn(
            Loop loop, List<EndpointEntry> first, long heartbeatNs, ServiceCapacity capacity, long version)
            throws IOException {
        this.loop = loop;
        this.capacity = capacity;
        this.heartbeatNs = heartbeatNs;
        listener = new Listener(loop, Client::new);
        this.version = version;
        first.forEach(row -> rows.put(row.id(), row));
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** Returns the list as a watch from the start knows it, which is out of date while discovery is silent. */
    public EndpointListMessage known() {
        return listBeforeSilence == null ? list() : listBeforeSilence;
    }

    /** Returns the current list. */
    public EndpointListMessage list() {
        return new EndpointListMessage(version, true, empty ? List.of() : List.copyOf(rows.values()));
    }

    /** Applies changes and sends them to watches; servers in state {@code left} are removed. */
    public void publish(List<EndpointEntry> changes) {
        version++;
        for (EndpointEntry row : changes) {
            if (row.state().equals("left")) {
                rows.remove(row.id());
            } else {
                rows.put(row.id(), row);
            }
        }
        if (!empty) {
            sendToWatches(new EndpointListMessage(version, false, changes).json());
        }
    }

    /** While silent, discovery answers no call and sends nothing to watches; afterwards watches get the whole list. */
    public void silent(boolean now) {
        listBeforeSilence = now ? known() : null;
        silent = now;
        if (!now) {
            sendToWatches(list().json());
        }
    }

    /** While empty, discovery returns a list without servers. */
    public void empty(boolean now) {
        version++;
        empty = now;
        sendToWatches(list().json());
    }

    /** Resets all watches and refuses connections. */
    @Override
    public void close() throws IOException {
        List.copyOf(watches).forEach(Client::reset);
        watches.clear();
        listener.close();
    }

    /** Listens again under the same address. */
    public void reopen() throws IOException {
        listener.reopen();
    }

    private interface Write {
        void run() throws IOException;
    }

    /** One connection, of a poll or a watch. The head of a watch's response is sent with its first line. */
    private final class Client extends Peer {

        private boolean watching;
        private boolean headSent;

        Client(SocketChannel channel) throws IOException {
            super(channel);
        }

        @Override
        protected void received(Message message) {
            capacity.wait(
                    () -> {
                        if (isOpen()) {
                            writeOrClose(() -> answer(message));
                        }
                    },
                    () -> {
                        close();
                        broken();
                    });
        }

        private void answer(Message message) throws IOException {
            if (message.startLineToken(1).contains("watch=1")) {
                watching = true;
                watches.add(this);
                sendHeartbeatAt(System.nanoTime() + heartbeatNs);
                send(list().json());
            } else if (!silent) {
                String text = list().json();
                write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text));
            }
        }

        void send(String line) throws IOException {
            if (silent) {
                return;
            }
            String text = line + "\n";
            write(ascii((headSent ? "" : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    + Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            headSent = true;
        }

        private void sendHeartbeatAt(long atNs) {
            loop.at(atNs, () -> {
                if (isOpen() && watching) {
                    sendOrClose(headSent ? "" : list().json());
                    sendHeartbeatAt(atNs + heartbeatNs);
                }
            });
        }

        void sendOrClose(String line) {
            writeOrClose(() -> send(line));
        }

        private void writeOrClose(Write write) {
            try {
                write.run();
            } catch (IOException gone) {
                close();
                broken();
            }
        }

        @Override
        public void broken() {
            watching = false;
            watches.remove(this);
        }
    }

    private void sendToWatches(String line) {
        List.copyOf(watches).forEach(watch -> watch.sendOrClose(line));
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
