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
 * A backend server or discovery on a real socket, answering each request by a script, byte by byte if need be. It is
 * the raw one of the stand-ins: what breaks off, lies about its length or says nothing is written here, while
 * {@code lab.standin} behaves as real servers do. The sidecar's tests cannot use the lab, which depends on them.
 */
public final class ScriptedServer implements Closeable {

    /** What a request is answered with. */
    public interface Script {
        void answer(Request request, Socket connection) throws Exception;
    }

    /** A message: its head with the empty line, and its body. */
    public record Request(String head, byte[] body) {

        public String line() {
            return head.substring(0, head.indexOf("\r\n"));
        }

        public String header(String name) {
            return head.lines()
                    .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                    .map(line -> line.substring(name.length() + 1).trim())
                    .findFirst()
                    .orElse(null);
        }
    }

    public final List<Request> requests = new CopyOnWriteArrayList<>();
    public final List<Socket> connections = new CopyOnWriteArrayList<>();
    volatile Script script;
    private final ServerSocket listener;
    private final Thread accepting;

    public ScriptedServer(Script script) throws IOException {
        this.script = script;
        this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        accepting = startDaemonThread(() -> {
            while (true) {
                Socket connection = listener.accept();
                // What a script writes second is to come at once, not after an acknowledgement.
                connection.setTcpNoDelay(true);
                connections.add(connection);
                startDaemonThread(() -> serve(connection));
            }
        });
    }

    public static ScriptedServer respondingWith(String answer) throws IOException {
        return new ScriptedServer((request, connection) -> write(connection, answer));
    }

    public static String okResponse(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

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

    /** One message: its head and a body of its Content-Length; null at the end of the stream. */
    public static Request readRequest(InputStream in) throws IOException {
        String head = readHead(in);
        if (head == null) {
            return null;
        }
        String length = new Request(head, null).header("Content-Length");
        return new Request(head, in.readNBytes(length == null ? 0 : Integer.parseInt(length)));
    }

    /** A message's head with the empty line; null at the end of the stream. */
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
            // Until it has returned from the system call, the thread could still accept one more.
            accepting.join(1_000);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        for (Socket connection : connections) {
            connection.close();
        }
    }

    /** What is to come about. */
    public interface Condition {
        boolean holds() throws Exception;
    }

    /** Far longer than it should take: the machine may be busy with other things. */
    public static void await(Condition condition) throws Exception {
        await("what is waited for", 30, condition);
    }

    public static void await(String what, double seconds, Condition condition) throws Exception {
        long until = System.nanoTime() + (long) (seconds * 1e9);
        while (!condition.holds()) {
            if (System.nanoTime() > until) {
                throw new AssertionError(what + " did not come about within " + seconds + " s");
            }
            Thread.sleep(5);
        }
    }

    public static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** What a thread of a test does until the test is over. */
    public interface Task {
        void run() throws Exception;
    }

    /** Starts a thread that ends with the test, or silently when what it uses is closed. */
    public static Thread startDaemonThread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception closed) {
                // The test is over, or wanted this.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
