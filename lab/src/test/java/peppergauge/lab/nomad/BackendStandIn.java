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

/** A backend server that serves everything at once, and notes when each request's first byte came. */
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
                } catch (IOException oneConnection) {
                    // Whoever connected has gone again; the next one is to be served.
                    System.out.println(listener.isClosed() ? "" : "a stand-in did not accept: " + oneConnection);
                }
            }
        });
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Requests that began at this time or later. */
    long since(long ns) {
        return arrivedNs.stream().filter(at -> at - ns >= 0).count();
    }

    long all() {
        return arrivedNs.size();
    }

    private void serve(Socket connection) throws IOException {
        connection.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(connection.getInputStream());
        int ends = 0;
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (ends == 0 && next == 'G') {
                arrivedNs.add(System.nanoTime());
                ends = 1;
            }
            ends = next == '\n' ? ends + 1 : next == '\r' ? ends : Math.min(ends, 1);
            if (ends == 3) {
                connection
                        .getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody".getBytes(StandardCharsets.US_ASCII));
                ends = 0;
            }
        }
    }

    /** Dies: refuses and resets. */
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
