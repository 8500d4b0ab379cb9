package peppergauge.lab.soak;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A backend server on blocking sockets with one thread per connection, which fails in the ways that servers do. The one
 * of package standin is event-driven and leaves its responses to a handler; the one of package emulator is a model.
 */
final class BackendServer implements Closeable {

    private static final String REJECTED_RESPONSE =
            "HTTP/1.1 503 Draining\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String ERROR_RESPONSE = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";
    private static final int MIN_WORK_MS = 2;
    private static final int WORK_SPREAD_MS = 25;
    private static final double ERROR_SHARE = 0.02;
    private static final double REJECTED_SHARE = 0.02;
    private static final double RESET_SHARE = 0.01;
    private static final double UNDELIMITED_SHARE = 0.04;

    /** Faults that all servers have at the moment. */
    static final class ServerFaults {
        volatile boolean hang;
        volatile boolean fail;
    }

    /** How the server ends an idle connection. */
    private enum IdleEnd {
        CLOSE,
        RESET,
        FORGET
    }

    /** A connection and whether it waits for a request. */
    private static final class Connection {

        private final Socket socket;
        private volatile boolean idle = true;
        /** Bytes are neither read nor answered, as behind a network device that has dropped the connection's state. */
        private volatile boolean forgotten;

        Connection(Socket socket) {
            this.socket = socket;
        }
    }

    private final String id;
    private final RunRecord runRecord;
    private final ServerFaults serverFaults;
    private final SplittableRandom random;
    private final ServerSocket listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

    BackendServer(String id, RunRecord runRecord, ServerFaults serverFaults, long seed) throws IOException {
        this.id = id;
        this.runRecord = runRecord;
        this.serverFaults = serverFaults;
        random = new SplittableRandom(seed);
        DaemonThreads.start("server " + id, this::accept);
    }

    String id() {
        return id;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            Connection connection = new Connection(socket);
            connections.add(connection);
            DaemonThreads.start("connection of " + id, () -> serve(connection));
        }
    }

    private void serve(Connection connection) {
        try {
            InputStream in = new BufferedInputStream(connection.socket.getInputStream());
            boolean open = true;
            while (open) {
                connection.socket.setSoTimeout(0);
                int first = in.read();
                if (connection.forgotten) {
                    return;
                }
                connection.idle = false;
                long firstByteNs = System.nanoTime();
                String head = BlockingHttp.head(in, first);
                open = head != null && answer(connection, in, head, firstByteNs);
                connection.idle = true;
            }
        } catch (IOException ended) {
            // The connection has ended.
        }
        connections.remove(connection);
        BlockingHttp.close(connection.socket);
    }

    /**
     * Answers a request.
     *
     * @return whether the connection stays open
     */
    private boolean answer(Connection connection, InputStream in, String head, long firstByteNs) throws IOException {
        String request = BlockingHttp.header(head, "X-Txn");
        if (request == null) {
            BlockingHttp.write(connection.socket, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        RunRecord.Attempt attempt = new RunRecord.Attempt(
                request, id, Double.parseDouble(BlockingHttp.header(head, "X-Remaining-Ms")), firstByteNs);
        runRecord.attempts.add(attempt);
        try {
            BlockingHttp.body(in, head);
            attempt.processingStartNs = System.nanoTime();
            return work(connection, in, attempt);
        } finally {
            attempt.finishedNs = System.nanoTime();
        }
    }

    private boolean work(Connection connection, InputStream in, RunRecord.Attempt attempt) throws IOException {
        Socket socket = connection.socket;
        double outcome = draw();
        if (serverFaults.fail) {
            outcome *= ERROR_SHARE + REJECTED_SHARE + RESET_SHARE;
        } else if (serverFaults.hang || !completesWork(socket, in, MIN_WORK_MS + (int) (draw() * WORK_SPREAD_MS))) {
            in.read();
            return false;
        }
        if (outcome < RESET_SHARE) {
            BlockingHttp.reset(socket);
            return false;
        } else if (outcome < RESET_SHARE + ERROR_SHARE) {
            BlockingHttp.write(socket, ERROR_RESPONSE);
        } else if (outcome < RESET_SHARE + ERROR_SHARE + REJECTED_SHARE) {
            attempt.rejected = true;
            BlockingHttp.write(socket, REJECTED_RESPONSE);
        } else if (outcome < RESET_SHARE + ERROR_SHARE + REJECTED_SHARE + UNDELIMITED_SHARE) {
            attempt.withoutLength = true;
            BlockingHttp.write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + attempt.id);
            return false;
        } else {
            BlockingHttp.write(
                    socket, "HTTP/1.1 200 OK\r\nContent-Length: " + attempt.id.length() + "\r\n\r\n" + attempt.id);
        }
        return true;
    }

    /**
     * Waits for the processing time.
     *
     * @return false if the connection ended meanwhile
     */
    private static boolean completesWork(Socket socket, InputStream in, int workMs) throws IOException {
        socket.setSoTimeout(workMs);
        try {
            return in.read() >= 0;
        } catch (SocketTimeoutException completed) {
            return true;
        } finally {
            socket.setSoTimeout(0);
        }
    }

    private synchronized double draw() {
        return random.nextDouble();
    }

    /** Closes, resets or ignores each idle connection. */
    void endIdleConnections() {
        for (Connection connection : connections) {
            if (connection.idle) {
                switch (IdleEnd.values()[(int) (draw() * IdleEnd.values().length)]) {
                    case CLOSE -> BlockingHttp.close(connection.socket);
                    case RESET -> BlockingHttp.reset(connection.socket);
                    default -> connection.forgotten = true;
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        connections.forEach(connection -> BlockingHttp.close(connection.socket));
    }
}
