package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Fills each kind of memory that clients can claim to its limit, on nearly all connections that the descriptors allow,
 * in a process with the heap of the deploy file: the process must live on and respond to the clients beside.
 */
public class MemoryLimitTest extends RealTimeTestBase {

    private static final int DESCRIPTORS = 1_024;
    /** Half of the descriptors without the reserved ones is 492; the rest is for the usual clients. */
    private static final int CONNECTIONS = 480;

    private static final int BODY_BYTES = 64 * 1024;
    private static final int MAX_HEAD_BYTES = 8 * 1024;
    private static final int MAX_FIELDS = 128;
    private static final int MAX_PIPELINED = 16;
    private static final int USUAL_CLIENTS = 6;
    private static final int USUAL_REQUESTS = 20;
    private static final long USUAL_PAUSE_MS = 25;
    private static final long LOAD_MS = 1_500;
    private static final int SERVERS = 20;
    private static final String LARGE_RESPONSE_KEY = "large";

    /** What each of the many connections sends. */
    private enum Load {
        /** A body that misses its last byte. */
        UNFINISHED_BODY {
            @Override
            void send(OutputStream out, int client) throws IOException {
                out.write(post(client, 0), 0, post(client, 0).length - 1);
            }
        },
        /** Bodies of the largest size, as many as may be pipelined. */
        PIPELINED_BODIES {
            @Override
            void send(OutputStream out, int client) throws IOException {
                for (int i = 0; i < MAX_PIPELINED; i++) {
                    out.write(post(client, i));
                }
            }
        },
        /** A head of nearly the largest size that does not end. */
        UNFINISHED_HEAD {
            @Override
            void send(OutputStream out, int client) throws IOException {
                out.write(get("k", client, 0, MAX_HEAD_BYTES - 10), 0, MAX_HEAD_BYTES - 20);
            }
        },
        /** A head of as many fields as it may have and of nearly the largest size, which does not end. */
        UNFINISHED_FIELDS {
            @Override
            void send(OutputStream out, int client) throws IOException {
                String fields = ("X-Fill: " + "f".repeat(50) + "\r\n").repeat(MAX_FIELDS);
                out.write(("GET /list/k HTTP/1.1\r\n" + fields).getBytes(StandardCharsets.ISO_8859_1));
            }
        },
        /** Requests with heads of nearly the largest size, as many as may be pipelined. */
        PIPELINED_HEADS {
            @Override
            void send(OutputStream out, int client) throws IOException {
                for (int i = 0; i < MAX_PIPELINED; i++) {
                    out.write(get("k", client, i, MAX_HEAD_BYTES - 10));
                }
            }
        },
        /** Requests for the largest responses, which the client does not read. */
        UNREAD_RESPONSES {
            @Override
            void send(OutputStream out, int client) throws IOException {
                for (int i = 0; i < MAX_PIPELINED; i++) {
                    out.write(get(LARGE_RESPONSE_KEY, client, i, 0));
                }
            }
        };

        abstract void send(OutputStream out, int client) throws IOException;
    }

    private static byte[] post(int client, int number) {
        String head = "POST /gift/k HTTP/1.1\r\nX-Txn: c" + client + "-" + number
                + "\r\nX-Org: acme\r\nX-Remaining-Ms: 900\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
        byte[] request = Arrays.copyOf(head.getBytes(StandardCharsets.ISO_8859_1), head.length() + BODY_BYTES);
        Arrays.fill(request, head.length(), request.length, (byte) 'x');
        return request;
    }

    private static byte[] get(String key, int client, int number, int headBytes) {
        String start = "GET /list/" + key + " HTTP/1.1\r\nX-Txn: c" + client + "-" + number
                + "\r\nX-Org: acme\r\nX-Remaining-Ms: 900\r\nX-Fill: ";
        return (start + "f".repeat(Math.max(1, headBytes - start.length() - 4)) + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Responds after a while, so that many requests are held at once. */
    private static final ScriptedServer.Script SLOW_ECHO = (request, connection) -> {
        Thread.sleep(100);
        boolean large = request.line().contains(LARGE_RESPONSE_KEY);
        ScriptedServer.write(
                connection, ScriptedServer.okResponse(large ? "y".repeat(BODY_BYTES) : request.header("X-Txn")));
    };

    @DataProvider
    public Object[][] loads() {
        return Arrays.stream(Load.values()).map(load -> new Object[] {load}).toArray(Object[][]::new);
    }

    /** Large bodies on many connections at once ended the process by an OutOfMemoryError (review/2). */
    @Test(dataProvider = "loads")
    public void respondsToUsualClientsBesideAsMuchDataAsManyConnectionsCanSend(Load load) throws Exception {
        try (SidecarProcessFixture fixture = new SidecarProcessFixture(SLOW_ECHO, DESCRIPTORS, SERVERS)) {
            ScriptedServer.startDaemonThread(
                    () -> fixture.sidecar.getInputStream().transferTo(OutputStream.nullOutputStream()));
            List<Socket> clients = new ArrayList<>();
            CountDownLatch sent = new CountDownLatch(CONNECTIONS);
            for (int i = 0; i < CONNECTIONS; i++) {
                Socket client = fixture.client();
                clients.add(client);
                int number = i;
                ScriptedServer.startDaemonThread(() -> {
                    sent.countDown();
                    sent.await();
                    load.send(client.getOutputStream(), number);
                });
            }
            AtomicInteger answered = new AtomicInteger();
            List<Thread> usual = new ArrayList<>();
            for (int i = 0; i < USUAL_CLIENTS; i++) {
                int number = i;
                Thread thread = new Thread(() -> sendUsualRequests(fixture, number, answered));
                thread.start();
                usual.add(thread);
            }
            Thread.sleep(LOAD_MS);
            for (Socket client : clients) {
                client.close();
            }
            for (Thread thread : usual) {
                thread.join();
            }
            assertTrue(fixture.sidecar.isAlive(), "the process has ended");
            assertEquals(answered.get(), USUAL_CLIENTS * USUAL_REQUESTS, "answered requests of usual clients");
        }
    }

    /** Sends requests one after the other; each may use a second connection if the first one is closed unread. */
    private static void sendUsualRequests(SidecarProcessFixture fixture, int client, AtomicInteger answered) {
        Socket connection = null;
        for (int i = 0; i < USUAL_REQUESTS; i++) {
            boolean isAnswered = false;
            for (int tries = 0; tries < 2 && !isAnswered; tries++) {
                try {
                    connection = connection == null ? fixture.client() : connection;
                    SidecarFixture.send(connection, SidecarFixture.get("usual" + client + "-" + i, 900));
                    ScriptedServer.Request response = ScriptedServer.readRequest(connection.getInputStream());
                    isAnswered = response != null;
                    connection = isAnswered && !"close".equals(response.header("Connection")) ? connection : null;
                } catch (IOException | UncheckedIOException closed) {
                    connection = null;
                }
            }
            answered.addAndGet(isAnswered ? 1 : 0);
            ScriptedServer.pause(USUAL_PAUSE_MS);
        }
    }
}
