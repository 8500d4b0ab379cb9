package peppergauge;

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

/**
 * A backend server or discovery server on a real socket that answers each request by a script, byte by byte if needed:
 * with truncated responses, wrong lengths or no response. The stand-ins in {@code lab.standin} behave as real servers
 * do; the sidecar's tests cannot use them, since the lab depends on these tests.
 */
public final class ScriptedServer implements Closeable {

    /** Writes the response to a request. */
    public interface Script {
        void answer(Request request, Socket connection) throws Exception;
    }

    /** A request or response: its head including the empty line, and its body. */
    public record Request(String head, byte[] body) {

        /** Returns the first line. */
        public String line() {
            return head.substring(0, head.indexOf("\r\n"));
        }

        /** Returns the value of the first header of this name; null if there is none. */
        public String header(String name) {
            return head.lines()
                    .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                    .map(line -> line.substring(name.length() + 1).trim())
                    .findFirst()
                    .orElse(null);
        }
    }

    private static final double AWAIT_TIMEOUT_S = 30;
    private static final long POLL_INTERVAL_MS = 5;
    private static final int BACKLOG = 50;

    public final List<Request> requests = new CopyOnWriteArrayList<>();
    public final List<Socket> connections = new CopyOnWriteArrayList<>();
    volatile Script script;
    private final ServerSocket listener;
    private final Thread accepting;

    public ScriptedServer(Script script) throws IOException {
        this.script = script;
        this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        accepting = startDaemonThread(() -> {
            while (true) {
                Socket connection = listener.accept();
                // Without this, the second write of a script would wait for an acknowledgement.
                connection.setTcpNoDelay(true);
                connections.add(connection);
                startDaemonThread(() -> serve(connection));
            }
        });
    }

    /** Starts a server that writes the same response to each request. */
    public static ScriptedServer respondingWith(String response) throws IOException {
        return new ScriptedServer((request, connection) -> write(connection, response));
    }

    /** Returns a response with status 200 and this body. */
    public static String okResponse(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Writes a text to a connection. */
    public static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void serve(Socket connection) throws Exception {
        InputStream in = new BufferedInputStream(connection.getInputStream());
        for (Request request = readRequest(in); request != null; request = readRequest(in)) {
            requests.add(request);
            script.answer(request, connection);
        }
        connection.close();
    }

    /** Reads a message with a body of the length in Content-Length; returns null at the end of the stream. */
    public static Request readRequest(InputStream in) throws IOException {
        String head = readHead(in);
        if (head == null) {
            return null;
        }
        String length = new Request(head, null).header("Content-Length");
        return new Request(head, in.readNBytes(length == null ? 0 : Integer.parseInt(length)));
    }

    /** Reads a message's head including the empty line; returns null at the end of the stream. */
    public static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        return head.toString();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        try {
            // The thread can accept one more connection until it has returned from the system call.
            accepting.join(1_000);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        for (Socket connection : connections) {
            connection.close();
        }
    }

    /** A condition that a test waits for. */
    public interface Condition {
        boolean holds() throws Exception;
    }

    /** Waits far longer than the condition should take, since the machine may be busy. */
    public static void await(Condition condition) throws Exception {
        await("the condition", AWAIT_TIMEOUT_S, condition);
    }

    /**
     * Waits for a condition.
     *
     * @param what describes the condition in the error message
     * @throws AssertionError if the condition does not hold within {@code seconds}
     */
    public static void await(String what, double seconds, Condition condition) throws Exception {
        long deadlineNs = System.nanoTime() + (long) (seconds * 1e9);
        while (!condition.holds()) {
            if (System.nanoTime() > deadlineNs) {
                throw new AssertionError("timed out after " + seconds + " s waiting for: " + what);
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /** Sleeps; returns early if the thread is interrupted. */
    public static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** The task of a test's thread. */
    public interface Task {
        void run() throws Exception;
    }

    /** Starts a daemon thread; exceptions of the task end it silently. */
    public static Thread startDaemonThread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception closed) {
                // The test has closed a socket that the task uses.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
