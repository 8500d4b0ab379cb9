package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static peppergauge.ScriptedServer.pause;
import static peppergauge.SidecarFixture.ECHO;
import static peppergauge.SidecarFixture.send;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.sockets.EventLoop;

/** Provokes failures that are rare in operation; each test fails without the code that guards against its failure. */
public class RareFailuresTest extends RealTimeTestBase {

    private static final Executor POOL = Executors.newCachedThreadPool();

    /** Blocks the event loop's thread for a time; returns as soon as it is blocked. */
    private static void blockLoop(SidecarFixture fixture, long ms) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        fixture.loop().execute(() -> {
            blocked.countDown();
            pause(ms);
        });
        blocked.await();
    }

    // ---- Responses ----

    /** The framing of a response, and whether it delimits the body; otherwise the body ends with the connection. */
    @DataProvider
    public Object[][] framings() {
        return new Object[][] {
            {"Content-Length: 4\r\n\r\nbody", true},
            {"Content-Length: 0\r\nX-Last: 1\r\n\r\n", true},
            {"Transfer-Encoding: chunked\r\n\r\n02\r\nbo\r\n2;x=0\r\ndy\r\n0\r\n\r\n", true},
            {"X-None: 1\r\n\r\nbody", false},
        };
    }

    /**
     * Responses without a length were rejected however they ended, although servers may send them and close (0 of 62
     * were forwarded in one run of the soak). An orderly close ends such a response, a reset does not.
     */
    @Test(dataProvider = "framings")
    public void neverForwardsATruncatedResponseAsComplete(String framing, boolean delimited) throws Exception {
        String response = "HTTP/1.1 200 OK\r\n" + framing;
        try (SidecarFixture fixture = new SidecarFixture(
                (request, connection) -> {
                    String[] parameters = request.header("X-Txn").split("-");
                    ScriptedServer.write(connection, response.substring(0, Integer.parseInt(parameters[0])));
                    connection.setSoLinger(parameters[1].equals("reset"), 0);
                    connection.close();
                },
                256,
                200)) {
            for (int at = 0; at <= response.length(); at++) {
                for (String end : new String[] {"-close", "-reset"}) {
                    ScriptedServer.Request received = fixture.exchange(SidecarFixture.post(at + end, 900, "x"));
                    int status = SidecarFixture.status(received);
                    int bodyAt = response.indexOf("\r\n\r\n") + 4;
                    boolean complete = delimited ? at == response.length() : at >= bodyAt && end.equals("-close");
                    if (complete && !delimited) {
                        assertEquals(new String(received.body()), response.substring(bodyAt, at));
                    }
                    // A reset may discard bytes that were received before it.
                    assertTrue(
                            status == (complete ? 200 : 502) || complete && end.equals("-reset"),
                            at + end + ": " + status);
                }
            }
            assertEquals(fixture.backend.requests.size(), 2 * response.length() + 2);
        }
    }

    /** Unsolicited bytes on a server's connection; null stands for a second copy of the response. */
    @DataProvider
    public Object[][] unsolicitedBytes() {
        return new Object[][] {
            {ScriptedServer.okResponse("stray")},
            {null},
            {"noise"},
            {"\r\n"},
            {"HTTP/1.1 200 OK\r\nX-Stray: "},
            {"HTTP/1.1 102 Wait\r\nX-Stray: 1\r\n\r\n".repeat(3)},
        };
    }

    /** The bytes arrive with the response or later, and once are still unread when the next request is sent. */
    @Test(dataProvider = "unsolicitedBytes")
    public void neverRespondsToTheNextRequestWithUnsolicitedBytes(String unsolicited) throws Exception {
        Semaphore written = new Semaphore(0);
        AtomicReference<Socket> server = new AtomicReference<>();
        AtomicReference<String> held = new AtomicReference<>();
        try (SidecarFixture fixture = new SidecarFixture((request, connection) -> {
                    String id = request.header("X-Txn");
                    String more = unsolicited == null ? ScriptedServer.okResponse(id) : unsolicited;
                    int afterMs = Integer.parseInt(id.substring(id.indexOf('-') + 1));
                    ScriptedServer.write(connection, ScriptedServer.okResponse(id) + (afterMs == 0 ? more : ""));
                    server.set(connection);
                    pause(Math.max(0, afterMs));
                    ScriptedServer.write(connection, afterMs > 0 ? more : "");
                    written.release();
                });
                Socket client = fixture.client()) {
            int sent = 0;
            for (int afterMs : new int[] {0, 0, 1, 2, 4, 8, 16, 30, 0}) {
                String id = sent++ + "-" + afterMs;
                assertOwnResponse(id, SidecarFixture.exchange(client, SidecarFixture.post(id, 900, "x")));
                written.acquire();
            }
            EventLoop loop = fixture.loop();
            loop.execute(() -> loop.runEachRound(() -> {
                if (held.get() != null) {
                    send(server.get(), held.getAndSet(null));
                    pause(5);
                }
            }));
            for (int i = 0; i < 5; i++) {
                String id = "calm" + i + "--1";
                assertOwnResponse(id, SidecarFixture.exchange(client, SidecarFixture.post(id, 900, "x")));
                blockLoop(fixture, 20);
                send(client, SidecarFixture.post("held" + id, 900, "x"));
                held.set(unsolicited == null ? ScriptedServer.okResponse(id) : unsolicited);
                assertOwnResponse("held" + id, ScriptedServer.readRequest(client.getInputStream()));
            }
        }
    }

    private static void assertOwnResponse(String id, ScriptedServer.Request response) {
        SidecarFixture.assertResponseId(response, id);
        assertNull(response.header("X-Stray"));
    }

    @DataProvider
    public Object[][] delaysMs() {
        return new Object[][] {{1}, {5}, {15}, {30}};
    }

    /**
     * The first request times out, the client of the second disconnects; both responses arrive during later requests.
     */
    @Test(dataProvider = "delaysMs")
    public void discardsAResponseThatArrivesAfterTheEndOfItsRequest(int lateMs) throws Exception {
        CountDownLatch ended = new CountDownLatch(2);
        try (SidecarFixture fixture = new SidecarFixture(
                (request, connection) -> {
                    if (request.line().contains("gift")) {
                        ended.await();
                        pause(lateMs);
                    }
                    ScriptedServer.write(connection, ScriptedServer.okResponse(request.header("X-Txn")));
                },
                256,
                20)) {
            assertEquals(SidecarFixture.status(fixture.exchange(SidecarFixture.post("over", 300, "x"))), 504);
            ended.countDown();
            // A rejected request does not count, and is replaced by another.
            for (int i = 0; fixture.backend.requests.size() < 2; i++) {
                assertTrue(i < 100, "one of 100 requests reaches the backend server");
                try (Socket leaving = fixture.client()) {
                    send(leaving, SidecarFixture.post("left" + i, 900, "x"));
                    for (int waited = 0; waited < 40 && fixture.backend.requests.size() < 2; waited++) {
                        pause(10);
                    }
                }
            }
            ended.countDown();
            for (int i = 0, served = 0; served < 40; i++) {
                assertTrue(i < 1_000, "40 of 1,000 requests are not rejected");
                ScriptedServer.Request response = fixture.exchange(SidecarFixture.get("next" + i, 900));
                if (SidecarFixture.status(response) != 503) {
                    assertOwnResponse("next" + i, response);
                    served++;
                }
            }
        }
    }

    // ---- Eviction of connections ----

    @Test
    public void evictsOnlyIdleConnections() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(
                        (request, connection) -> {
                            pause(request.header("X-Txn").equals("slow") ? 900 : 0);
                            ECHO.answer(request, connection);
                        },
                        40 + 2 * 4);
                Socket waiting = fixture.client();
                Socket half = fixture.client();
                Socket fresh = fixture.client()) {
            String post = SidecarFixture.post("half", 900, "body");
            assertOwnResponse("before", SidecarFixture.exchange(half, SidecarFixture.get("before", 900)));
            send(waiting, SidecarFixture.post("slow", 2_000, "x"));
            send(half, post.substring(0, 50));
            send(fresh, post.substring(0, 50));
            List<Socket> idleClients = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                idleClients.add(fixture.client());
            }
            assertOwnResponse("slow", ScriptedServer.readRequest(waiting.getInputStream()));
            send(half, post.substring(50));
            assertOwnResponse("half", ScriptedServer.readRequest(half.getInputStream()));
            // Part of a first request keeps its connection open for 0.5 s only.
            assertEquals(fresh.getInputStream().read(), -1);
            for (Socket silent : idleClients) {
                silent.close();
            }
        }
    }

    @Test
    public void evictsNoConnectionWithAnUnreadRequest() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(ECHO, 40 + 2 * 4)) {
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                clients.add(fixture.client());
                assertOwnResponse("a" + i, SidecarFixture.exchange(clients.get(i), SidecarFixture.get("a" + i, 900)));
            }
            // Only connections that have been idle for a moment are evicted.
            pause(100);
            blockLoop(fixture, 150);
            try (Socket newClient = fixture.client()) {
                for (int i = 0; i < 4; i++) {
                    send(clients.get(i), SidecarFixture.get("b" + i, 900));
                }
                for (int i = 0; i < 4; i++) {
                    ScriptedServer.Request response =
                            ScriptedServer.readRequest(clients.get(i).getInputStream());
                    assertTrue(response != null, "a connection with an unread request gets a response");
                }
                assertOwnResponse("new", SidecarFixture.exchange(newClient, SidecarFixture.get("new", 2_000)));
            }
        }
    }

    @Test(groups = "known-red")
    public void keepsConnectionsOfActiveClientsBesideManyIdleOnes() throws Exception {
        AtomicBoolean ended = new AtomicBoolean();
        ArrayDeque<Socket> idleClients = new ArrayDeque<>();
        try (SidecarFixture fixture = new SidecarFixture(ECHO, 384, 20)) {
            List<CompletableFuture<Integer>> activeClients = IntStream.range(0, 20)
                    .mapToObj(
                            i -> CompletableFuture.supplyAsync(() -> sendRequests(fixture, "u" + i + "-", ended), POOL))
                    .toList();
            for (int i = 0; i < 1_500; i++) {
                idleClients.add(fixture.client());
                if (idleClients.size() > 500) {
                    idleClients.remove().close();
                    pause(2);
                }
            }
            ended.set(true);
            for (CompletableFuture<Integer> client : activeClients) {
                assertTrue(client.get() > 3);
            }
        }
    }

    /**
     * Sends requests on one connection, with pauses between them; fails if the connection is closed or a request is not
     * successful.
     */
    private static int sendRequests(SidecarFixture fixture, String name, AtomicBoolean ended) {
        int sent = 0;
        try (Socket client = fixture.client()) {
            for (; !ended.get(); sent++) {
                assertOwnResponse(name + sent, SidecarFixture.exchange(client, SidecarFixture.get(name + sent, 900)));
                pause(100 + 37 * sent % 300);
            }
        } catch (IOException closed) {
            throw new AssertionError(name + sent + ": " + closed, closed);
        }
        return sent;
    }

    @Test
    public void disconnectsAClientThatNeverReadsAndServesOthers() throws Exception {
        String big = ScriptedServer.okResponse("x".repeat(65_536));
        AtomicBoolean ended = new AtomicBoolean();
        try (SidecarFixture fixture = new SidecarFixture(
                        (request, connection) -> ScriptedServer.write(
                                connection,
                                request.header("X-Txn").startsWith("big")
                                        ? big
                                        : ScriptedServer.okResponse(request.header("X-Txn"))),
                        256,
                        20);
                Socket client = fixture.client()) {
            CompletableFuture<Integer> activeClient =
                    CompletableFuture.supplyAsync(() -> sendRequests(fixture, "u", ended), POOL);
            long start = System.nanoTime();
            try {
                for (int i = 0; System.nanoTime() - start < 20_000_000_000L; i++) {
                    ScriptedServer.write(client, SidecarFixture.get("big" + i, 900));
                    pause(10);
                }
            } catch (IOException disconnected) {
                assertTrue(
                        fixture.backend.requests.size() < 400,
                        "requests before the disconnect: " + fixture.backend.requests.size());
            }
            ended.set(true);
            assertTrue(activeClient.get() > 10);
            double tookMs = (System.nanoTime() - start) / 1e6;
            assertTrue(tookMs < 16_000, "disconnected after " + tookMs + " ms");
        }
    }

    // ---- Delays of the event loop ----

    /**
     * The sidecar detects the delay by a select that returned immediately. Occasionally the machine hides this by
     * taking the CPU away at that moment, so there are three tries; a deadline counted from the read is 200 ms late
     * each time.
     */
    @Test
    public void meetsTheDeadlineOfARequestThatArrivedWhileTheLoopWasBlocked() throws Exception {
        double tookMs = 0;
        for (int tries = 0; tries < 3 && !(tookMs > 900 && tookMs < 1_400); tries++) {
            tookMs = responseTimeAcrossABlockedLoopMs();
        }
        assertTrue(tookMs > 900 && tookMs < 1_400, "response after " + tookMs + " ms");
    }

    private double responseTimeAcrossABlockedLoopMs() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture((request, connection) -> {});
                Socket patient = fixture.client();
                Socket hasty = fixture.client()) {
            for (Socket used : List.of(patient, hasty)) {
                assertEquals(
                        SidecarFixture.status(SidecarFixture.exchange(used, "GET /up HTTP/1.1\r\nHost: h\r\n\r\n")),
                        200);
            }
            blockLoop(fixture, 600);
            long start = System.nanoTime();
            send(patient, SidecarFixture.get("patient", 1_000));
            send(hasty, SidecarFixture.get("hasty", 300));
            int hastyStatus = SidecarFixture.status(ScriptedServer.readRequest(hasty.getInputStream()));
            assertNotNull(ScriptedServer.readRequest(patient.getInputStream()));
            double tookMs = (System.nanoTime() - start) / 1e6;
            if (tookMs < 1_400) {
                assertEquals(hastyStatus, 503);
                assertEquals(fixture.backend.requests.size(), 1);
            }
            return tookMs;
        }
    }

    /** HttpCore reads once per round, and would detect the disconnect only after the request has been forwarded. */
    @Test
    public void forwardsNoRequestOfAClientThatDisconnectedWhileTheLoopWasBlocked() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(ECHO);
                Socket used = fixture.client()) {
            assertEquals(SidecarFixture.status(SidecarFixture.exchange(used, SidecarFixture.get("before", 900))), 200);
            for (Socket client : new Socket[] {used, null}) {
                blockLoop(fixture, 200);
                try (Socket leaving = client == null ? fixture.client() : client) {
                    send(leaving, SidecarFixture.post(client == null ? "fresh" : "used", 900, "x"));
                }
                assertEquals(SidecarFixture.status(fixture.exchange(SidecarFixture.get("after" + client, 900))), 200);
            }
            assertTrue(fixture.backend.requests.stream()
                    .noneMatch(request -> request.line().contains("gift")));
        }
    }

    // ---- Overload ----

    /** The end of one try of a client; status 0 if there was no response in time. */
    private record Try(long endNs, int status) {}

    /**
     * Each request costs the event loop 8 ms, which allows 120 per second. 100 clients send a third of that, then ten
     * times as much, then a third again; they retry rejected and late requests immediately.
     */
    @Test
    public void recoversWithin2SecondsAfterABurstOfTenTimesTheRate() throws Exception {
        AtomicInteger thinkMs = new AtomicInteger(2_400);
        AtomicBoolean ended = new AtomicBoolean();
        try (SidecarFixture fixture = new SidecarFixture(ECHO, 1_024, 100)) {
            fixture.beforeEachRequest(() -> pause(5));
            List<CompletableFuture<List<Try>>> clients = IntStream.range(0, 100)
                    .mapToObj(i -> CompletableFuture.supplyAsync(
                            () -> sendAndRetry(fixture, "c" + i + "-", thinkMs, ended), POOL))
                    .toList();
            pause(1_000);
            thinkMs.set(240);
            pause(2_000);
            pause(1_000);
            thinkMs.set(2_400);
            long endNs = System.nanoTime();
            pause(3_500);
            ended.set(true);
            List<Try> tries = new ArrayList<>();
            for (CompletableFuture<List<Try>> client : clients) {
                tries.addAll(client.get());
            }
            List<Try> after = tries.stream()
                    .filter(one -> one.endNs > endNs + 2_000_000_000L)
                    .toList();
            long served = after.stream().filter(one -> one.status == 200).count();
            assertTrue(served > 0.8 * after.size(), served + " of " + after.size() + " successful after the burst");
        }
    }

    /** Sends requests after think times; retries each immediately until it is successful or late for the sixth time. */
    private static List<Try> sendAndRetry(
            SidecarFixture fixture, String name, AtomicInteger thinkMs, AtomicBoolean ended) {
        List<Try> tries = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(name.hashCode());
        Socket client = null;
        while (!ended.get()) {
            for (double left = random.nextDouble(); left > 0 && !ended.get(); left -= 20.0 / thinkMs.get()) {
                pause(20);
            }
            int status = 0;
            for (int late = 0; late < 6 && status != 200 && !ended.get(); ) {
                try {
                    client = client == null ? fixture.client() : client;
                    client.setSoTimeout(300);
                    status = SidecarFixture.status(
                            SidecarFixture.exchange(client, SidecarFixture.get(name + tries.size(), 300)));
                } catch (IOException tooLate) {
                    status = 0;
                }
                tries.add(new Try(System.nanoTime(), status));
                if (status == 0) {
                    late++;
                    close(client);
                    client = null;
                }
            }
        }
        close(client);
        return tries;
    }

    private static void close(Socket client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException closed) {
            throw new UncheckedIOException(closed);
        }
    }
}
