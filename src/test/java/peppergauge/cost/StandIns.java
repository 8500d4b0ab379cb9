package peppergauge.cost;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.ToLongFunction;

/** All that a sidecar talks to, on loopback and on one thread: its backend servers and discovery. */
final class StandIns implements Closeable {

    /** What came in at the backend servers so far. */
    record Counts(long requests, long probes, long connections) {

        Counts since(Counts before) {
            return new Counts(requests - before.requests, probes - before.probes, connections - before.connections);
        }
    }

    private interface Door {
        Peer accepted(SocketChannel channel) throws IOException;
    }

    private static final int BACKLOG = 1024;

    private final Loop loop = new Loop("stand-ins");
    private final List<StandIn> servers = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final InetSocketAddress discovery;

    StandIns(int count, Delay delay, String zone, long seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < count; i++) {
            StandIn server = new StandIn(loop, delay, random.split());
            servers.add(server);
            addresses.add(listen(server::accepted));
        }
        discovery = listen(new Discovery(loop, Json.text(table(zone)))::accepted);
        loop.start();
    }

    private InetSocketAddress listen(Door door) throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        loop.register(listener, SelectionKey.OP_ACCEPT, new Loop.Handler() {
            @Override
            public void ready(SelectionKey key) throws IOException {
                SocketChannel channel = listener.accept();
                try {
                    loop.register(channel, SelectionKey.OP_READ, door.accepted(channel));
                } catch (IOException gone) {
                    // A client that left at once must not close the listener.
                    channel.close();
                }
            }

            @Override
            public void broken() {
                throw new IllegalStateException("a stand-in cannot listen any longer");
            }
        });
        return (InetSocketAddress) listener.getLocalAddress();
    }

    /** The server table in discovery's form. */
    Map<String, Object> table(String zone) {
        List<Object> rows = new ArrayList<>();
        for (InetSocketAddress address : addresses) {
            rows.add(Map.of("id", "s-" + rows.size(), "addr", text(address), "zone", zone, "cell", 0,
                    "state", "active", "weight", 1.0, "started_ms", 0));
        }
        return Map.of("version", 1, "full", true, "servers", rows);
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    InetSocketAddress address(int server) {
        return addresses.get(server);
    }

    InetSocketAddress discovery() {
        return discovery;
    }

    Counts counts() {
        return new Counts(sum(server -> server.requests.get()), sum(server -> server.probes.get()),
                sum(server -> server.connections.get()));
    }

    private long sum(ToLongFunction<StandIn> count) {
        return servers.stream().mapToLong(count).sum();
    }

    @Override
    public void close() throws IOException {
        loop.close();
    }
}
