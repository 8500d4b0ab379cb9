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
 * Discovery at two addresses, with its faults. A change counts as known to the sidecar at once. A change while
 * discovery is silent counts from the end of the silence: open watches and new calls get it then; calls in flight are
 * never answered. Watches that fell silent for good count as broken, and a change that they miss counts 6 s after they
 * broke.
 */
final class DiscoveryService implements Closeable {

    private static final Pattern FROM = Pattern.compile("from=(\\d+)");
    private static final int BOTH = -1;
    private static final long KEEP_ALIVE_MS = 2_000;
    private static final long RESPONSE_DELAY_MS = 500;
    /** Whatever happens to calls, a change counts as known this long after discovery had it and was reachable. */
    private static final long MAX_NOTIFICATION_DELAY_NS = 6_000_000_000L;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String OVERLOADED_RESPONSE = "HTTP/1.1 503 Crowded\r\nContent-Length: 0\r\n\r\n";

    /** An endpoint and the version in which it last changed. */
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
    /** When all open watches fell silent for good; 0: they did not. */
    private long watchesBrokenNs;

    private volatile boolean silent;
    private volatile boolean slow;
    private volatile boolean overloaded;
    /** The only address that responds; {@link #BOTH} until discovery has moved. */
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
            // No further request comes on a watch.
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
        // A sidecar without endpoints gets the full list, without draining servers.
        String text = from == 0 ? list(true, active()) : changed.isEmpty() ? "\n" : list(false, changed);
        BlockingHttp.write(socket, HEAD + chunk(text));
    }

    private String list(boolean whole, List<EndpointRow> some) {
        return "{\"version\":" + version + ",\"full\":" + whole + ",\"servers\":["
                + some.stream().map(EndpointRow::json).collect(Collectors.joining(",")) + "]}\n";
    }

    /** Returns the endpoint list for the configuration of a starting sidecar. */
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
     * Changes the state of a server.
     *
     * @return the time from which the change counts as known to a watching sidecar, by {@link System#nanoTime}
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

    // ---- Faults ----

    /**
     * Accepts connections without responding for some time; then sends the changes of that time on watches that are
     * still open.
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

    /** Open watches stay open but are never written to again. */
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

    /** Closes the watches of all other addresses, as a former discovery does some time after a move. */
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
