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
 * A backend server whose connections are established late: its accept queue is full until {@link #accept}, so the
 * kernel drops connection requests, which clients send again after one second. Responds with ids, as
 * {@link SidecarFixture#ECHO}.
 */
public final class LateAcceptServer implements Closeable {

    private static final int BACKLOG = 1;
    /** A connection that is not established within this time shows that the accept queue is full. */
    private static final int QUEUE_FULL_TIMEOUT_MS = 200;

    public final List<ScriptedServer.Request> requests = new CopyOnWriteArrayList<>();
    /** The accepted connections, without those that fill the queue. */
    public final List<Socket> connections = new CopyOnWriteArrayList<>();

    private final ServerSocket listener;
    private final List<Socket> fillers = new ArrayList<>();

    public LateAcceptServer() throws IOException {
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        boolean full = false;
        while (!full) {
            Socket filler = new Socket();
            try {
                filler.connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort()),
                        QUEUE_FULL_TIMEOUT_MS);
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

    /** Empties the accept queue and accepts connections from now on. */
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
        for (ScriptedServer.Request request = ScriptedServer.readRequest(in);
                request != null;
                request = ScriptedServer.readRequest(in)) {
            requests.add(request);
            connection
                    .getOutputStream()
                    .write(ScriptedServer.okResponse(request.header("X-Txn")).getBytes(ISO_8859_1));
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
