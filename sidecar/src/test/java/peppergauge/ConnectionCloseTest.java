package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Closing of client connections and graceful shutdown: each request that has been read gets a response, whatever
 * happens at the same time as the close. Races are forced: the event loop's thread is blocked until both sides have
 * acted.
 */
public class ConnectionCloseTest extends RealTimeTestBase {

    /** Blocks the event loop's thread until the returned latch is released. */
    private static CountDownLatch blockLoop(SidecarFixture fixture) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        fixture.loop().execute(() -> {
            blocked.countDown();
            waitFor(release);
        });
        waitFor(blocked);
        return release;
    }

    private static void waitFor(CountDownLatch latch) {
        try {
            assertTrue(latch.await(30, TimeUnit.SECONDS), "the latch is released within 30 s");
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Starts a graceful shutdown; returns when it has submitted its tasks to the event loop and waits for them. */
    private static Thread startShutdown(SidecarFixture fixture) throws Exception {
        Thread shutdown = ScriptedServer.startDaemonThread(fixture.sidecar::shutDownGracefully);
        ScriptedServer.await(() -> Arrays.stream(shutdown.getStackTrace())
                        .anyMatch(frame -> frame.getMethodName().equals("shutDownGracefully"))
                && Arrays.stream(shutdown.getStackTrace())
                        .anyMatch(frame -> frame.getClassName().equals(CountDownLatch.class.getName())));
        return shutdown;
    }

    private static boolean reachedBackend(SidecarFixture fixture, String id) {
        return fixture.backend.requests.stream().anyMatch(request -> id.equals(request.header("X-Txn")));
    }

    /** Number of clients whose requests arrive immediately before the shutdown closes idle connections. */
    @DataProvider
    public Object[][] idleClients() {
        return new Object[][] {{1}, {5}};
    }

    @Test(dataProvider = "idleClients")
    public void respondsToRequestsThatArriveWhileIdleConnectionsAreClosed(int clients) throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(SidecarFixture.ECHO, 256, 20)) {
            List<Socket> idle = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                idle.add(fixture.client());
                SidecarFixture.exchangeAndAssertId(idle.get(i), "before" + i);
            }
            CountDownLatch loop = blockLoop(fixture);
            Thread shutdown = startShutdown(fixture);
            for (int i = 0; i < clients; i++) {
                SidecarFixture.send(idle.get(i), SidecarFixture.get("crossing" + i, 900));
            }
            loop.countDown();
            for (int i = 0; i < clients; i++) {
                SidecarFixture.assertResponseId(
                        ScriptedServer.readRequest(idle.get(i).getInputStream()), "crossing" + i);
                assertEquals(idle.get(i).getInputStream().read(), -1);
                idle.get(i).close();
            }
            shutdown.join(8_000);
            assertFalse(shutdown.isAlive(), "the shutdown ends after the last response");
        }
    }

    /** The timeout of a request that is partly received at the shutdown, and the status of its response. */
    @DataProvider
    public Object[][] partialRequests() {
        return new Object[][] {{900, 200}, {20_000, 503}};
    }

    @Test(dataProvider = "partialRequests")
    public void waitsForAPartialRequestAtShutdownAndRejectsALongerDeadline(int remainingMs, int status)
            throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(SidecarFixture.ECHO, 256, 20);
                Socket client = fixture.client()) {
            SidecarFixture.exchangeAndAssertId(client, "before");
            String request = SidecarFixture.get("half", remainingMs);
            CountDownLatch loop = blockLoop(fixture);
            SidecarFixture.send(client, request.substring(0, 30));
            Thread shutdown = startShutdown(fixture);
            loop.countDown();
            // Returns after the task that closes idle connections, and the end of its round.
            blockLoop(fixture).countDown();
            assertTrue(shutdown.isAlive(), "the shutdown waits for the partial request");
            SidecarFixture.send(client, request.substring(30));
            ScriptedServer.Request response = ScriptedServer.readRequest(client.getInputStream());
            assertEquals(SidecarFixture.status(response), status);
            assertEquals(client.getInputStream().read(), -1);
            assertEquals(reachedBackend(fixture, "half"), status == 200);
            client.shutdownOutput();
            shutdown.join(8_000);
            assertFalse(shutdown.isAlive(), "the shutdown ends after the last response");
        }
    }

    /** The first of two requests on a connection gets its response last: both must be written, in order. */
    @Test
    public void respondsToBothPipelinedRequestsAfterTheShutdownHasStarted() throws Exception {
        CountDownLatch first = new CountDownLatch(1);
        CountDownLatch secondAnswered = new CountDownLatch(1);
        ScriptedServer.Script script = (request, connection) -> {
            String id = request.header("X-Txn");
            if ("first".equals(id)) {
                waitFor(first);
            }
            SidecarFixture.ECHO.answer(request, connection);
            if ("second".equals(id)) {
                secondAnswered.countDown();
            }
        };
        try (SidecarFixture fixture = new SidecarFixture(script, 256, 20);
                Socket client = fixture.client();
                Socket other = fixture.client()) {
            SidecarFixture.exchangeAndAssertId(other, "before");
            SidecarFixture.send(client, SidecarFixture.get("first", 5_000) + SidecarFixture.get("second", 5_000));
            ScriptedServer.await(() -> reachedBackend(fixture, "first"));
            fixture.frontend().closeAfterResponses();
            waitFor(secondAnswered);
            // After another complete exchange, the event loop has read the second response.
            SidecarFixture.exchangeAndAssertId(other, "after");
            first.countDown();
            SidecarFixture.assertResponseId(ScriptedServer.readRequest(client.getInputStream()), "first");
            SidecarFixture.assertResponseId(ScriptedServer.readRequest(client.getInputStream()), "second");
            assertEquals(client.getInputStream().read(), -1);
        }
    }

    @Test
    public void ignoresRequestsAfterTheLastResponseAndSendsNoReset() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(SidecarFixture.ECHO, 256, 20);
                Socket client = fixture.client()) {
            String last = SidecarFixture.get("last", 900).replace("Host: h", "Host: h\r\nConnection: close");
            CountDownLatch loop = blockLoop(fixture);
            // More than one read: an immediate close would leave unread input and send a reset.
            StringBuilder behind = new StringBuilder();
            for (int i = 0; i < 1_000; i++) {
                behind.append(SidecarFixture.get("behind" + i, 900));
            }
            SidecarFixture.send(client, last + behind);
            loop.countDown();
            SidecarFixture.assertResponseId(ScriptedServer.readRequest(client.getInputStream()), "last");
            assertEquals(client.getInputStream().read(), -1);
            SidecarFixture.send(client, SidecarFixture.get("late", 900));
            CountDownLatch allClosed = new CountDownLatch(1);
            fixture.frontend().whenAllClosed(allClosed::countDown);
            waitFor(allClosed);
            assertFalse(reachedBackend(fixture, "late"), "a request after the end of sending is not forwarded");
            assertFalse(reachedBackend(fixture, "behind0"), "a request after the last one is not forwarded");
        }
    }

    /** Requests that are rejected by their heads, and the status of the response. */
    @DataProvider
    public Object[][] rejected() {
        return new Object[][] {
            {SidecarFixture.get("t", 900).replace("/list/k", "/nothing/k"), 404},
            {SidecarFixture.post("t", 900, "").replace("Content-Length: 0", "Content-Length: 200000"), 413},
            {"nonsense\r\n\r\n", 400},
        };
    }

    /** A reset must not destroy the last response while the client is still sending and reads it only later. */
    @Test(dataProvider = "rejected")
    public void aClientThatIsStillSendingReadsTheRejection(String head, int status) throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(SidecarFixture.ECHO, 256, 20);
                Socket client = fixture.client()) {
            CountDownLatch loop = blockLoop(fixture);
            SidecarFixture.send(client, head + "x".repeat(150_000));
            loop.countDown();
            String response = new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(response.startsWith("HTTP/1.1 " + status), response);
            client.shutdownOutput();
            CountDownLatch allClosed = new CountDownLatch(1);
            fixture.frontend().whenAllClosed(allClosed::countDown);
            waitFor(allClosed);
        }
    }

    /** An idle client keeps its connection, and thereby the process, only for a limited time. */
    @Test
    public void closesAConnectionWhoseClientNeverClosesIt() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(SidecarFixture.ECHO, 256, 20);
                Socket client = fixture.client()) {
            SidecarFixture.exchangeAndAssertId(client, "before");
            Thread shutdown = startShutdown(fixture);
            assertEquals(client.getInputStream().read(), -1);
            shutdown.join(8_000);
            assertFalse(shutdown.isAlive(), "the shutdown ends although the client stays connected");
            assertConnectionIsReset(client);
        }
    }

    /** Writes until a reset shows that the other side has closed the connection. */
    private static void assertConnectionIsReset(Socket client) throws Exception {
        ScriptedServer.await(() -> {
            try {
                ScriptedServer.write(client, "x");
                return false;
            } catch (IOException reset) {
                return true;
            }
        });
    }

    @Test
    public void shutsDownBeforeItListens() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(SidecarFixture.ECHO, 256, 1)) {
            Sidecar notStarted = new Sidecar(fixture.configuration());
            notStarted.shutDownGracefully();
            assertNull(fixture.backend.requests.stream().findAny().orElse(null));
        }
    }
}
