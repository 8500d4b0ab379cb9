package peppergauge;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A backend server to which connections come up late: its queue of connections is full until {@link #accept}, so the
 * kernel drops what asks for one, which asks again a second after its first try. It echoes ids, as {@link FleetCluster#ECHO}.
 */
public final class LateAcceptServer implements Closeable {

    private static final int QUEUE = 1;
    private static final int QUEUE_IS_FULL_MS = 200;

    public final List<ScriptedServer.Request> requests = new CopyOnWriteArrayList<>();
    /** Those of others than {@link #fillers}. */
    public final List<Socket> connections = new CopyOnWriteArrayList<>();

    private final ServerSocket listener;
    private final List<Socket> fillers = new ArrayList<>();

    public LateAcceptServer() throws IOException {
        listener = new ServerSocket(0, QUEUE, InetAddress.getLoopbackAddress());
        boolean full = false;
        while (!full) {
            Socket filler = new Socket();
            try {
                filler.connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort()),
                        QUEUE_IS_FULL_MS);
                fillers.add(filler);
            } catch (SocketTimeoutException dropped) {
                filler.close();
                full = true;
            }
        }
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** From now on connections come up. */
    public void accept() throws IOException {
        for (Socket filler : fillers) {
            listener.accept().close();
            filler.close();
        }
        ScriptedServer.startDaemonThread(() -> {
            while (true) {
                Socket connection = listener.accept();
                connections.add(connection);
                ScriptedServer.startDaemonThread(() -> serve(connection));
            }
        });
    }

    private void serve(Socket connection) throws IOException {
        InputStream in = new BufferedInputStream(connection.getInputStream());
        for (ScriptedServer.Request request = ScriptedServer.readRequest(in); request != null; request = ScriptedServer.readRequest(in)) {
            requests.add(request);
            connection.getOutputStream().write(ScriptedServer.okResponse(request.header("X-Txn")).getBytes(ISO_8859_1));
        }
        connection.close();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
