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
 * Discovery's stand-in: tells the whole list to who asks, and to a watch the whole list, then each change, and an
 * empty line every 2 s while nothing changes. All methods are for the loop's thread only, but for the constructor.
 */
public final class Discovery implements Closeable {

    private static final long HEARTBEAT_NS = 2_000_000_000L;

    private final Loop loop;
    private final Turns turns;
    private final long heartbeatNs;
    private final Listener listener;
    private final Map<String, ServerRow> rows = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long version;
    private boolean silent;
    private boolean empty;
    private ServerList heard;

    /**
     * Opens a free port.
     *
     * @param first what is told from the start on; its version is 1
     * @throws IOException if none can be had
     */
    public Discovery(Loop loop, List<ServerRow> first) throws IOException {
        this(loop, first, HEARTBEAT_NS);
    }

    Discovery(Loop loop, List<ServerRow> first, long heartbeatNs) throws IOException {
        this(loop, first, heartbeatNs, Turns.FREE, 1);
    }

    /**
     * One whose calls wait in turn.
     *
     * @param turns shared by all stand-ins of one list service
     * @param version of the first list; a list service that is back begins where none of its readers has been
     * @throws IOException if no port can be had
     */
    public Discovery(Loop loop, List<ServerRow> first, Turns turns, long version) throws IOException {
        this(loop, first, HEARTBEAT_NS, turns, version);
    }

    private Discovery(Loop loop, List<ServerRow> first, long heartbeatNs, Turns turns, long version)
            throws IOException {
        this.loop = loop;
        this.turns = turns;
        this.heartbeatNs = heartbeatNs;
        listener = new Listener(loop, Watch::new);
        this.version = version;
        first.forEach(row -> rows.put(row.id(), row));
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** What who watched all the time has heard. */
    public ServerList known() {
        return heard == null ? list() : heard;
    }

    /** What it would tell now. */
    public ServerList list() {
        return new ServerList(version, true, empty ? List.of() : List.copyOf(rows.values()));
    }

    /** Tells changes, at once; {@code left} ones are forgotten. While it is silent they are told at its end. */
    public void tell(List<ServerRow> changes) {
        version++;
        for (ServerRow row : changes) {
            if (row.state().equals("left")) {
                rows.remove(row.id());
            } else {
                rows.put(row.id(), row);
            }
        }
        if (!empty) {
            toWatches(new ServerList(version, false, changes).json());
        }
    }

    /** While silent it answers nobody, and open watches hear nothing; at the end they hear the whole list. */
    public void silent(boolean now) {
        heard = now ? known() : null;
        silent = now;
        if (!now) {
            toWatches(list().json());
        }
    }

    /** While empty it says that there are no servers. */
    public void empty(boolean now) {
        version++;
        empty = now;
        toWatches(list().json());
    }

    /** Ends all watches by a reset, and refuses connections. */
    @Override
    public void close() throws IOException {
        List.copyOf(watches).forEach(Watch::reset);
        watches.clear();
        listener.close();
    }

    /** Listens again, under the same address. */
    public void reopen() throws IOException {
        listener.reopen();
    }

    private interface Words {
        void say() throws IOException;
    }

    /** One watch: its head goes out before the first thing that it is told. */
    private final class Watch extends Peer {

        private boolean watching;
        private boolean headed;

        Watch(SocketChannel channel) throws IOException {
            super(channel);
        }

        @Override
        protected void received(Message message) {
            turns.wait(
                    () -> {
                        if (isOpen()) {
                            orClosed(() -> answer(message));
                        }
                    },
                    () -> {
                        close();
                        broken();
                    });
        }

        private void answer(Message message) throws IOException {
            if (message.word(1).contains("watch=1")) {
                watching = true;
                watches.add(this);
                beatAt(System.nanoTime() + heartbeatNs);
                tell(list().json());
            } else if (!silent) {
                String text = list().json();
                write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text));
            }
        }

        void tell(String line) throws IOException {
            if (silent) {
                return;
            }
            String text = line + "\n";
            write(ascii((headed ? "" : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    + Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            headed = true;
        }

        private void beatAt(long atNs) {
            loop.at(atNs, () -> {
                if (isOpen() && watching) {
                    toldOrClosed(headed ? "" : list().json());
                    beatAt(atNs + heartbeatNs);
                }
            });
        }

        void toldOrClosed(String line) {
            orClosed(() -> tell(line));
        }

        private void orClosed(Words words) {
            try {
                words.say();
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

    private void toWatches(String line) {
        List.copyOf(watches).forEach(watch -> watch.toldOrClosed(line));
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
