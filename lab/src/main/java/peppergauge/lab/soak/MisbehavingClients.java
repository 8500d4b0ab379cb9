package peppergauge.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Clients that never send a request, and clients that stop in the middle of a request and keep the connection open. */
final class MisbehavingClients {

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** Longer than the sidecar may let them wait, so that the record contains by how much it did. */
    private static final int MAX_WAIT_MS = 6_000;

    private static final List<String> PARTIAL_REQUESTS = List.of(
            "G",
            "GET /read/k HT",
            "GET /read/k HTTP/1.1\r\nHost: h\r\nX-Txn: half-%s\r\n",
            "POST /pay/k HTTP/1.1\r\nHost: h\r\nX-Txn: half-%s\r\nX-Org: acme\r\nX-Remaining-Ms: 900\r\n"
                    + "Content-Length: 20\r\n\r\nxxx");

    private final InetSocketAddress sidecar;
    private final RunRecord runRecord;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    MisbehavingClients(InetSocketAddress sidecar, RunRecord runRecord) {
        this.sidecar = sidecar;
        this.runRecord = runRecord;
    }

    /** Opens connections without a request, each until the sidecar closes it. */
    void openIdleConnections(long count) {
        for (int i = 0; i < count; i++) {
            DaemonThreads.start("idle client", () -> {
                Socket socket = connect();
                try {
                    socket.getInputStream().read();
                } finally {
                    closeConnection(socket);
                }
            });
        }
    }

    /** Closes the idle connections. */
    void closeIdleConnections() {
        open.forEach(this::closeConnection);
    }

    void sendPartialRequests(long count) {
        for (int i = 0; i < count; i++) {
            String text = PARTIAL_REQUESTS.get(i % PARTIAL_REQUESTS.size()).formatted(System.nanoTime());
            DaemonThreads.start("half a request", () -> {
                Socket socket = connect();
                // closeIdleConnections() must not close this connection.
                open.remove(socket);
                RunRecord.PartialRequest request = new RunRecord.PartialRequest();
                try {
                    BlockingHttp.write(socket, text);
                    request.lastByteNs = System.nanoTime();
                    runRecord.partialRequests.add(request);
                    socket.setSoTimeout(MAX_WAIT_MS);
                    socket.getInputStream().read();
                    request.endedNs = System.nanoTime();
                } catch (java.net.SocketTimeoutException waiting) {
                    // The sidecar did nothing; the end of the record stays 0.
                } catch (IOException reset) {
                    request.endedNs = System.nanoTime();
                } finally {
                    closeConnection(socket);
                }
            });
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(sidecar, CONNECT_TIMEOUT_MS);
        open.add(socket);
        return socket;
    }

    private void closeConnection(Socket socket) {
        open.remove(socket);
        BlockingHttp.close(socket);
        runRecord.clientEndsNs.add(System.nanoTime());
    }
}
