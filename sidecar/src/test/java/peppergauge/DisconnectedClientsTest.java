package peppergauge;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer;

/** No attempt starts for a client that has disconnected, wherever its request waits and however it disconnected. */
public class DisconnectedClientsTest extends RealTimeTestBase {

    private static final int SOCKETS = 256;
    private static final int SERVERS = 2;
    /** More than the sidecar remembers of those that never ran. */
    private static final int REJECTED_REQUESTS = 2_200;

    /** Long enough for a connection that is established at the second try. */
    private static final int LONG_TIMEOUT_MS = 8_000;
    /** Time between the disconnect and the continuation of the event loop. */
    private static final long DISCONNECTED_MS = 150;

    private static final String SLOW_CONNECTS =
            SidecarFixture.SETTINGS.replace("\"connectTimeoutMs\":200", "\"connectTimeoutMs\":2000");

    private static final String LONG_IDLE =
            SidecarFixture.SETTINGS.replace("\"connIdleMs\":800", "\"connIdleMs\":60000");

    /** How a client disconnects. */
    enum Disconnect {
        CLOSE {
            @Override
            void apply(Socket client) throws IOException {
                client.close();
            }
        },
        RESET {
            @Override
            void apply(Socket client) throws IOException {
                client.setSoLinger(true, 0);
                client.close();
            }
        },
        END_OF_SENDING {
            @Override
            void apply(Socket client) throws IOException {
                client.shutdownOutput();
            }
        };

        abstract void apply(Socket client) throws IOException;
    }

    private static String cancelling(String settings, boolean may) {
        return settings.replace("\"cancelling\":true", "\"cancelling\":" + may);
    }

    private static List<String> ids(List<ScriptedServer.Request> requests) {
        return requests.stream().map(request -> request.header("X-Txn")).toList();
    }

    @DataProvider
    public Object[][] disconnects() {
        return new Object[][] {
            {Disconnect.CLOSE, true},
            {Disconnect.CLOSE, false},
            {Disconnect.RESET, false},
            {Disconnect.END_OF_SENDING, false},
        };
    }

    /** Requests that were rejected made the sidecar forget the ids of requests that had run. */
    @Test
    public void runsNoIdAgainThatComesBackAfterItsClientLeftAndManyRequestsWereRejected() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        ScriptedServer.Script counts = (request, connection) -> {
            runs.addAndGet("again".equals(request.header("X-Txn")) ? 1 : 0);
            SidecarFixture.ECHO.answer(request, connection);
        };
        try (SidecarFixture fixture = new SidecarFixture(counts, SOCKETS, SERVERS);
                Socket rejected = fixture.client()) {
            Socket left = fixture.client();
            SidecarFixture.send(left, SidecarFixture.post("again", LONG_TIMEOUT_MS, "x"));
            ScriptedServer.await(() -> runs.get() == 1);
            left.close();
            for (int i = 0; i < REJECTED_REQUESTS; i++) {
                assertEquals(
                        SidecarFixture.status(SidecarFixture.exchange(rejected, SidecarFixture.get("r" + i, 0))), 503);
            }
            fixture.exchange(SidecarFixture.post("again", LONG_TIMEOUT_MS, "x"));
            assertEquals(runs.get(), 1, "runs of a request that must not run again");
        }
    }

    /** What follows a request that waits for its response, until the end of the connection. */
    @DataProvider
    public Object[][] unreadInput() {
        String invalidHead = "GET /list/k HTTP/1.1\r\nnot a field\r\n\r\n";
        String readinessChecks = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n".repeat(100);
        return new Object[][] {{"invalid head", invalidHead}, {"readiness checks", readinessChecks}};
    }

    /** The end of a connection was not seen behind input that was not read, and a further attempt began after it. */
    @Test(dataProvider = "unreadInput")
    public void startsNoFurtherAttemptForAClientThatLeftBehindUnreadInput(String name, String input) throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        ScriptedServer.Script rejectsLate = (request, connection) -> {
            attempts.incrementAndGet();
            Thread.sleep(2 * DISCONNECTED_MS);
            ScriptedServer.write(connection, "HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
        };
        try (SidecarFixture fixture = new SidecarFixture(rejectsLate, SOCKETS, 4)) {
            Socket client = fixture.client();
            SidecarFixture.send(client, SidecarFixture.get("left", LONG_TIMEOUT_MS) + input + "x".repeat(400_000));
            client.close();
            ScriptedServer.await(() -> attempts.get() > 0);
            Thread.sleep(6 * DISCONNECTED_MS);
            assertEquals(attempts.get(), 1, "attempts, the client's request having been followed by " + name);
        }
    }

    /** Settings that forbid cancellation apply to attempts that are written; others must not start. */
    @Test(dataProvider = "disconnects")
    public void startsNoAttemptOnAConnectionEstablishedAfterTheDisconnect(Disconnect disconnect, boolean mayCancel)
            throws Exception {
        try (LateAcceptServer server = new LateAcceptServer();
                PausableSidecarFixture fixture = new PausableSidecarFixture(
                        cancelling(SLOW_CONNECTS, mayCancel),
                        SOCKETS,
                        SidecarFixture.knownEndpoints(server.address(), 1));
                Socket client = fixture.client()) {
            CountDownLatch decided = new CountDownLatch(1);
            fixture.eventHook = event -> decided.countDown();
            SidecarFixture.send(client, SidecarFixture.post("left", LONG_TIMEOUT_MS, "x"));
            PausableSidecarFixture.await(decided);
            fixture.awaitInputHandled();
            disconnect.apply(client);
            fixture.awaitInputHandled();
            server.accept();
            ScriptedServer.await(() -> server.connections.size() == 1);
            fixture.awaitInputHandled();
            SidecarFixture.assertResponseId(
                    fixture.exchange(SidecarFixture.post("next", LONG_TIMEOUT_MS, "x")), "next");
            assertEquals(ids(server.requests), List.of("next"));
        }
    }

    /** How a client disconnects, and the event of its request before which the event loop is blocked meanwhile. */
    @DataProvider
    public Object[][] disconnectsInBlockedRounds() {
        return new Object[][] {
            {Disconnect.CLOSE, LoadBalancer.RequestArrived.class},
            {Disconnect.RESET, LoadBalancer.RequestArrived.class},
            {Disconnect.END_OF_SENDING, LoadBalancer.RequestArrived.class},
            {Disconnect.CLOSE, LoadBalancer.AttemptEnded.class},
            {Disconnect.RESET, LoadBalancer.AttemptEnded.class},
            {Disconnect.END_OF_SENDING, LoadBalancer.AttemptEnded.class},
        };
    }

    /**
     * Opens an idle connection to each server: a new one would be established only after the client's disconnect has
     * been read.
     */
    private static void openConnectionToEachServer(PausableSidecarFixture fixture, ScriptedServer server)
            throws Exception {
        AtomicInteger sent = new AtomicInteger();
        ScriptedServer.await(() -> {
            String id = "open" + sent.getAndIncrement();
            SidecarFixture.assertResponseId(fixture.exchange(SidecarFixture.get(id, LONG_TIMEOUT_MS)), id);
            return server.connections.size() == SERVERS;
        });
    }

    /** The round that starts the attempt began before the client disconnected, and has not read the disconnect. */
    @Test(dataProvider = "disconnectsInBlockedRounds")
    public void startsNoAttemptInARoundThatBeganBeforeTheDisconnect(Disconnect disconnect, Class<?> blockedBefore)
            throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch disconnected = new CountDownLatch(1);
        AtomicBoolean rejected = new AtomicBoolean(true);
        try (ScriptedServer server = new ScriptedServer((request, connection) -> {
                    if (blockedBefore == LoadBalancer.AttemptEnded.class && rejected.compareAndSet(false, true)) {
                        ScriptedServer.write(
                                connection, "HTTP/1.1 503 no\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
                    } else {
                        SidecarFixture.ECHO.answer(request, connection);
                    }
                });
                PausableSidecarFixture fixture = new PausableSidecarFixture(
                        LONG_IDLE, SOCKETS, SidecarFixture.knownEndpoints(server.address(), SERVERS))) {
            openConnectionToEachServer(fixture, server);
            server.requests.clear();
            // Connects only now, since an idle connection would be closed.
            Socket client = fixture.client();
            rejected.set(false);
            fixture.eventHook = event -> {
                if (event.getClass() == blockedBefore && blocked.getCount() > 0) {
                    blocked.countDown();
                    PausableSidecarFixture.await(disconnected);
                }
            };
            SidecarFixture.send(client, SidecarFixture.get("left", LONG_TIMEOUT_MS));
            PausableSidecarFixture.await(blocked);
            disconnect.apply(client);
            ScriptedServer.pause(DISCONNECTED_MS);
            disconnected.countDown();
            fixture.awaitInputHandled();
            SidecarFixture.assertResponseId(fixture.exchange(SidecarFixture.get("next", LONG_TIMEOUT_MS)), "next");
            List<String> expected =
                    blockedBefore == LoadBalancer.AttemptEnded.class ? List.of("left", "next") : List.of("next");
            assertEquals(ids(server.requests), expected);
        }
    }

    /** Bytes between the request and the disconnect, and whether the client uses a new connection. */
    @DataProvider
    public Object[][] bytesBeforeTheDisconnect() {
        String half = SidecarFixture.post("half", LONG_TIMEOUT_MS, "x".repeat(60_000));
        return new Object[][] {
            {half.substring(0, half.length() - 1), true},
            {half.substring(0, half.length() - 1), false},
            {half, true},
            {
                SidecarFixture.get("long", LONG_TIMEOUT_MS)
                        .replace("h\r\n", "h\r\nX-Long: " + "x".repeat(7_000) + "\r\n"),
                true
            },
            {SidecarFixture.get("more", LONG_TIMEOUT_MS).repeat(2) + half, false},
        };
    }

    /** HttpCore reads 4 KiB per round: the request would be forwarded many rounds before the disconnect is read. */
    @Test(dataProvider = "bytesBeforeTheDisconnect")
    public void startsNoAttemptIfTheDisconnectFollowsOtherBytes(String bytes, boolean newConnection) throws Exception {
        try (ScriptedServer server = new ScriptedServer(SidecarFixture.ECHO);
                PausableSidecarFixture fixture = new PausableSidecarFixture(
                        SidecarFixture.SETTINGS, SOCKETS, SidecarFixture.knownEndpoints(server.address(), SERVERS));
                Socket used = fixture.client()) {
            SidecarFixture.assertResponseId(
                    SidecarFixture.exchange(used, SidecarFixture.get("before", LONG_TIMEOUT_MS)), "before");
            CountDownLatch release = fixture.blockLoop();
            try (Socket client = newConnection ? fixture.client() : used) {
                SidecarFixture.send(client, SidecarFixture.get("left", LONG_TIMEOUT_MS) + bytes);
            }
            ScriptedServer.pause(DISCONNECTED_MS);
            release.countDown();
            fixture.awaitInputHandled();
            SidecarFixture.assertResponseId(fixture.exchange(SidecarFixture.get("next", LONG_TIMEOUT_MS)), "next");
            assertEquals(ids(server.requests), List.of("before", "next"));
        }
    }
}
