package peppergauge.lab.soak;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Discovery at two addresses, with the troubles that it has. What it has counts as told at once. What it gets while it
 * is down counts once that is over: watches that are still open are told it then, and calls that begin from then on;
 * calls in flight are never answered. A watch that falls silent for good is broken: what it misses counts 6 s after
 * that.
 */
final class DiscoveryService implements Closeable {

    private static final Pattern FROM = Pattern.compile("from=(\\d+)");
    private static final int BOTH = -1;
    private static final long KEEP_ALIVE_MS = 2_000;
    private static final long RESPONSE_DELAY_MS = 500;
    /** Whatever becomes of calls, a change counts as told so long after discovery had it and could be reached. */
    private static final long MAX_NOTIFICATION_DELAY_NS = 6_000_000_000L;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String OVERLOADED_RESPONSE = "HTTP/1.1 503 Crowded\r\nContent-Length: 0\r\n\r\n";

    /** A row, and the version in which it came to be so. */
    private record EndpointRow(String server, String address, String state, long version) {

        String json() {
            return "{\"id\":\"" + server + "\",\"addr\":\"" + address + "\",\"zone\":\"z0\",\"cell\":0,\"state\":\""
                    + state + "\",\"started_ms\":0}";
        }
    }

    private final List<ServerSocket> listeners = new ArrayList<>();
    private final Map<Socket, Integer> watches = new ConcurrentHashMap<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Map<String, EndpointRow> rows = new LinkedHashMap<>();
    private long version = 1;
    private volatile long silentUntilNs;
    /** When all watches that were open fell silent for good; 0: they never did. */
    private long watchesBrokenNs;

    private volatile boolean silent;
    private volatile boolean slow;
    private volatile boolean overloaded;
    /** The one address that is answered; {@link #BOTH} until discovery has moved. */
    private volatile int activeAddress = BOTH;

    DiscoveryService() throws IOException {
        for (int i = 0; i < 2; i++) {
            ServerSocket listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
            listeners.add(listener);
            int address = i;
            DaemonThreads.start("discovery " + i, () -> accept(listener, address));
        }
        DaemonThreads.start("discovery keep-alive", this::sendKeepAlives);
    }

    String address(int which) {
        return "127.0.0.1:" + listeners.get(which).getLocalPort();
    }

    // ---- Calls ----

    private void accept(ServerSocket listener, int address) throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            connections.add(socket);
            DaemonThreads.start("call of discovery", () -> call(socket, address));
        }
    }

    private void call(Socket socket, int address) throws IOException, InterruptedException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String head = BlockingHttp.head(in);
        if (head == null || silent) {
            return;
        }
        if (activeAddress != BOTH && activeAddress != address) {
            BlockingHttp.close(socket);
            return;
        }
        if (slow) {
            Thread.sleep(RESPONSE_DELAY_MS);
        }
        if (overloaded) {
            BlockingHttp.write(socket, OVERLOADED_RESPONSE);
            BlockingHttp.close(socket);
            return;
        }
        Matcher from = FROM.matcher(head);
        open(socket, address, from.find() ? Long.parseLong(from.group(1)) : 0);
        while (in.read() >= 0) {
            // Nothing more is asked on a watch.
            continue;
        }
        watches.remove(socket);
        BlockingHttp.close(socket);
    }

    private synchronized void open(Socket socket, int address, long from) throws IOException {
        if (silent) {
            return;
        }
        watches.put(socket, address);
        List<EndpointRow> changed =
                rows.values().stream().filter(row -> row.version() > from).toList();
        // Whoever knows nothing gets all that there is; what drains is left out of it.
        String text = from == 0 ? list(true, active()) : changed.isEmpty() ? "\n" : list(false, changed);
        BlockingHttp.write(socket, HEAD + chunk(text));
    }

    private String list(boolean whole, List<EndpointRow> some) {
        return "{\"version\":" + version + ",\"full\":" + whole + ",\"servers\":["
                + some.stream().map(EndpointRow::json).collect(Collectors.joining(",")) + "]}\n";
    }

    /** For a configuration: what a sidecar that starts knows. */
    synchronized String knownEndpoints() {
        return list(true, active()).trim();
    }

    private List<EndpointRow> active() {
        return rows.values().stream()
                .filter(row -> row.state().equals("active"))
                .toList();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private void sendKeepAlives() throws InterruptedException {
        while (true) {
            Thread.sleep(KEEP_ALIVE_MS);
            synchronized (this) {
                send("\n");
            }
        }
    }

    private void send(String text) {
        if (silent) {
            return;
        }
        for (Socket watch : watches.keySet()) {
            try {
                BlockingHttp.write(watch, chunk(text));
            } catch (IOException gone) {
                watches.remove(watch);
            }
        }
    }

    // ---- Changes ----

    /**
     * A server's state.
     *
     * @return from when on it counts as told to a sidecar that watches, by {@link System#nanoTime}
     */
    synchronized long update(String server, String address, String state) {
        version++;
        EndpointRow row = new EndpointRow(server, address, state, version);
        rows.put(server, row);
        send(list(false, List.of(row)));
        long nowNs = System.nanoTime();
        boolean isNotified = !watches.isEmpty() && !silent;
        long reachableNs = silent ? silentUntilNs : nowNs;
        boolean isBroken =
                watches.isEmpty() && watchesBrokenNs != 0 && nowNs - watchesBrokenNs < MAX_NOTIFICATION_DELAY_NS;
        if (isBroken) {
            return Math.max(reachableNs, watchesBrokenNs + MAX_NOTIFICATION_DELAY_NS);
        }
        return isNotified || !slow && !overloaded ? reachableNs : nowNs + MAX_NOTIFICATION_DELAY_NS;
    }

    // ---- Troubles ----

    /**
     * Takes connections and says nothing for so long; then tells what it got meanwhile on watches that are still open.
     */
    void silence(long ms) throws InterruptedException {
        long knownVersion;
        synchronized (this) {
            silentUntilNs = System.nanoTime() + ms * 1_000_000;
            silent = true;
            knownVersion = version;
        }
        DaemonThreads.sleepUntil(silentUntilNs);
        synchronized (this) {
            silent = false;
            List<EndpointRow> missed = rows.values().stream()
                    .filter(row -> row.version() > knownVersion)
                    .toList();
            if (!missed.isEmpty()) {
                send(list(false, missed));
            }
        }
    }

    /** Open watches stay open and are never written to again. */
    synchronized void breakWatches() {
        watchesBrokenNs = System.nanoTime();
        watches.clear();
    }

    void setSlow(boolean now) {
        slow = now;
    }

    void setOverloaded(boolean now) {
        overloaded = now;
    }

    void resetWatches() {
        watches.keySet().forEach(BlockingHttp::reset);
        watches.clear();
    }

    /** The other addresses' watches are closed, as the former discovery's are some time after a move. */
    void retireAllBut(int address) {
        activeAddress = address;
        watches.forEach((watch, at) -> {
            if (at != address) {
                watches.remove(watch);
                BlockingHttp.close(watch);
            }
        });
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket listener : listeners) {
            listener.close();
        }
        connections.forEach(BlockingHttp::close);
    }
}
