package peppergauge.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Clients that say nothing, and clients that stop in the middle of a request and stay. */
final class MisbehavingClients {

    private static final int CONNECT_MS = 1_000;
    /** Longer than they may be left waiting, so that the record has by how much. */
    private static final int LONGEST_WAIT_MS = 6_000;

    private static final List<String> HALVES = List.of(
            "G",
            "GET /read/k HT",
            "GET /read/k HTTP/1.1\r\nHost: h\r\nX-Txn: half-%s\r\n",
            "POST /pay/k HTTP/1.1\r\nHost: h\r\nX-Txn: half-%s\r\nX-Org: acme\r\nX-Remaining-Ms: 900\r\n"
                    + "Content-Length: 20\r\n\r\nxxx");

    private final InetSocketAddress sidecar;
    private final RunRecord journal;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    MisbehavingClients(InetSocketAddress sidecar, RunRecord journal) {
        this.sidecar = sidecar;
        this.journal = journal;
    }

    /** So many connections on which nothing is ever said, each until the sidecar ends it. */
    void crowd(long count) {
        for (int i = 0; i < count; i++) {
            DaemonThreads.start("idle client", () -> {
                Socket socket = connect();
                try {
                    socket.getInputStream().read();
                } finally {
                    end(socket);
                }
            });
        }
    }

    /** Those that say nothing go. */
    void leave() {
        open.forEach(this::end);
    }

    void halfRequests(long count) {
        for (int i = 0; i < count; i++) {
            String text = HALVES.get(i % HALVES.size()).formatted(System.nanoTime());
            DaemonThreads.start("half a request", () -> {
                Socket socket = connect();
                // Another client's end is not this one's.
                open.remove(socket);
                RunRecord.HalfRequest half = new RunRecord.HalfRequest();
                try {
                    BlockingHttp.write(socket, text);
                    half.stoppedNs = System.nanoTime();
                    journal.halfRequests.add(half);
                    socket.setSoTimeout(LONGEST_WAIT_MS);
                    socket.getInputStream().read();
                    half.endedNs = System.nanoTime();
                } catch (java.net.SocketTimeoutException waiting) {
                    // Nothing came: the record says so.
                } catch (IOException reset) {
                    half.endedNs = System.nanoTime();
                } finally {
                    end(socket);
                }
            });
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(sidecar, CONNECT_MS);
        open.add(socket);
        return socket;
    }

    private void end(Socket socket) {
        open.remove(socket);
        BlockingHttp.close(socket);
        journal.clientEndsNs.add(System.nanoTime());
    }
}
