package peppergauge.lab.nomad;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import peppergauge.ScriptedServer;

/** A backend server that responds to each request at once and records the arrival time of its first byte. */
final class BackendStandIn implements Closeable {

    final String id;
    final int port;
    private final ServerSocket listener;
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final List<Long> arrivedNs = new CopyOnWriteArrayList<>();

    BackendStandIn(String id) throws IOException {
        this.id = id;
        listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        port = listener.getLocalPort();
        ScriptedServer.startDaemonThread(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket connection = listener.accept();
                    open.add(connection);
                    ScriptedServer.startDaemonThread(() -> serve(connection));
                } catch (IOException acceptFailed) {
                    // The client has disconnected already; further connections are accepted.
                    System.out.println(listener.isClosed() ? "" : "backend stand-in failed to accept: " + acceptFailed);
                }
            }
        });
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Returns the number of requests that arrived at this time or later. */
    long requestsSince(long ns) {
        return arrivedNs.stream().filter(at -> at - ns >= 0).count();
    }

    /** Returns the number of all requests. */
    long requestCount() {
        return arrivedNs.size();
    }

    private void serve(Socket connection) throws IOException {
        connection.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(connection.getInputStream());
        int lineEnds = 0;
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (lineEnds == 0 && next == 'G') {
                arrivedNs.add(System.nanoTime());
                lineEnds = 1;
            }
            lineEnds = next == '\n' ? lineEnds + 1 : next == '\r' ? lineEnds : Math.min(lineEnds, 1);
            if (lineEnds == 3) {
                connection
                        .getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody".getBytes(StandardCharsets.US_ASCII));
                lineEnds = 0;
            }
        }
    }

    /** Simulates a crash: refuses new connections and resets open ones. */
    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket each : open) {
            if (!each.isClosed()) {
                each.setSoLinger(true, 0);
                each.close();
            }
        }
    }
}
