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
 * How a client's connection ends, and the process: who has been read is answered, whatever crosses the end. Each
 * crossing is forced: the loop's thread is held up until both sides have done what is to meet.
 */
public class ConnectionEndsTest extends RealTimeTestBase {

    /** Holds up the loop's thread, from when this returns until the latch is released. */
    private static CountDownLatch holdLoop(SidecarFixture bed) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        bed.loop().execute(() -> {
            held.countDown();
            waitFor(release);
        });
        waitFor(held);
        return release;
    }

    private static void waitFor(CountDownLatch latch) {
        try {
            assertTrue(latch.await(30, TimeUnit.SECONDS), "never released");
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Has the sidecar wind down; returns once it has handed in all that it does at its end and waits for that. */
    private static Thread startShutdown(SidecarFixture bed) throws Exception {
        Thread ending = ScriptedServer.startDaemonThread(bed.sidecar::shutDownGracefully);
        ScriptedServer.await(() -> Arrays.stream(ending.getStackTrace())
                        .anyMatch(frame -> frame.getMethodName().equals("shutDownGracefully"))
                && Arrays.stream(ending.getStackTrace())
                        .anyMatch(frame -> frame.getClassName().equals(CountDownLatch.class.getName())));
        return ending;
    }

    private static boolean reachedBackend(SidecarFixture bed, String id) {
        return bed.backend.requests.stream().anyMatch(request -> id.equals(request.header("X-Txn")));
    }

    /** Requests that come just before idle connections are looked at for the end. */
    @DataProvider
    public Object[][] idleClients() {
        return new Object[][] {{1}, {5}};
    }

    @Test(dataProvider = "idleClients")
    public void whoAsksAsIdleConnectionsAreClosedIsAnsweredBeforeTheEnd(int clients) throws Exception {
        try (SidecarFixture bed = new SidecarFixture(SidecarFixture.ECHO, 256, 20)) {
            List<Socket> idle = new ArrayList<>();
            for (int i = 0; i < clients; i++) {
                idle.add(bed.client());
                SidecarFixture.exchangeAndAssertId(idle.get(i), "before" + i);
            }
            CountDownLatch loop = holdLoop(bed);
            Thread ending = startShutdown(bed);
            for (int i = 0; i < clients; i++) {
                SidecarFixture.send(idle.get(i), SidecarFixture.get("crossing" + i, 900));
            }
            loop.countDown();
            for (int i = 0; i < clients; i++) {
                SidecarFixture.assertResponseId(ScriptedServer.readRequest(idle.get(i).getInputStream()), "crossing" + i);
                assertEquals(idle.get(i).getInputStream().read(), -1);
                idle.get(i).close();
            }
            ending.join(8_000);
            assertFalse(ending.isAlive(), "nothing is owed, and it goes on");
        }
    }

    /** What the rest of a request that was half there at the end is answered with. */
    @DataProvider
    public Object[][] halfRequests() {
        return new Object[][] {{900, 200}, {20_000, 503}};
    }

    @Test(dataProvider = "halfRequests")
    public void whatIsHalfThereAtTheEndIsWaitedForAndRefusedWhereItsTimeIsLonger(int remainingMs, int status)
            throws Exception {
        try (SidecarFixture bed = new SidecarFixture(SidecarFixture.ECHO, 256, 20);
                Socket client = bed.client()) {
            SidecarFixture.exchangeAndAssertId(client, "before");
            String request = SidecarFixture.get("half", remainingMs);
            CountDownLatch loop = holdLoop(bed);
            SidecarFixture.send(client, request.substring(0, 30));
            Thread ending = startShutdown(bed);
            loop.countDown();
            // The loop has run the task that closes what is idle, and its round's end.
            holdLoop(bed).countDown();
            assertTrue(ending.isAlive(), "the end was not put off");
            SidecarFixture.send(client, request.substring(30));
            ScriptedServer.Request answer = ScriptedServer.readRequest(client.getInputStream());
            assertEquals(SidecarFixture.status(answer), status);
            assertEquals(client.getInputStream().read(), -1);
            assertEquals(reachedBackend(bed, "half"), status == 200);
            client.shutdownOutput();
            ending.join(8_000);
            assertFalse(ending.isAlive(), "nothing is owed, and it goes on");
        }
    }

    /** The first of two requests on a connection is answered last: both answers have to come, in their order. */
    @Test
    public void ofTwoPipelinedRequestsBothAreAnsweredAfterTheOrderToEnd() throws Exception {
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
        try (SidecarFixture bed = new SidecarFixture(script, 256, 20);
                Socket client = bed.client();
                Socket other = bed.client()) {
            SidecarFixture.exchangeAndAssertId(other, "before");
            SidecarFixture.send(client, SidecarFixture.get("first", 5_000) + SidecarFixture.get("second", 5_000));
            ScriptedServer.await(() -> reachedBackend(bed, "first"));
            bed.frontend().closeAfterResponses();
            waitFor(secondAnswered);
            // A whole request and its answer later the loop has read the second one's answer.
            SidecarFixture.exchangeAndAssertId(other, "after");
            first.countDown();
            SidecarFixture.assertResponseId(ScriptedServer.readRequest(client.getInputStream()), "first");
            SidecarFixture.assertResponseId(ScriptedServer.readRequest(client.getInputStream()), "second");
            assertEquals(client.getInputStream().read(), -1);
        }
    }

    @Test
    public void whatComesAfterTheEndOfSendingIsNotTakenAndNoResetTakesTheLastAnswer() throws Exception {
        try (SidecarFixture bed = new SidecarFixture(SidecarFixture.ECHO, 256, 20);
                Socket client = bed.client()) {
            String last = SidecarFixture.get("last", 900).replace("Host: h", "Host: h\r\nConnection: close");
            CountDownLatch loop = holdLoop(bed);
            // More than is read at once: a close would leave some unread, and be a reset.
            StringBuilder behind = new StringBuilder();
            for (int i = 0; i < 1_000; i++) {
                behind.append(SidecarFixture.get("behind" + i, 900));
            }
            SidecarFixture.send(client, last + behind);
            loop.countDown();
            SidecarFixture.assertResponseId(ScriptedServer.readRequest(client.getInputStream()), "last");
            assertEquals(client.getInputStream().read(), -1);
            SidecarFixture.send(client, SidecarFixture.get("late", 900));
            CountDownLatch gone = new CountDownLatch(1);
            bed.frontend().whenAllClosed(gone::countDown);
            waitFor(gone);
            assertFalse(reachedBackend(bed, "late"), "taken after the end of sending");
            assertFalse(reachedBackend(bed, "behind0"), "taken after the last request");
        }
    }

    /** What is refused by its head, and the status of its answer. */
    @DataProvider
    public Object[][] refused() {
        return new Object[][] {
            {SidecarFixture.get("t", 900).replace("/list/k", "/nothing/k"), 404},
            {SidecarFixture.post("t", 900, "").replace("Content-Length: 0", "Content-Length: 200000"), 413},
            {"nonsense\r\n\r\n", 400},
        };
    }

    /** The last answer is not lost to a reset although its client was still sending, and reads only later. */
    @Test(dataProvider = "refused")
    public void aRefusedClientThatIsStillSendingReadsWhyLater(String head, int status) throws Exception {
        try (SidecarFixture bed = new SidecarFixture(SidecarFixture.ECHO, 256, 20);
                Socket client = bed.client()) {
            CountDownLatch loop = holdLoop(bed);
            SidecarFixture.send(client, head + "x".repeat(150_000));
            loop.countDown();
            String answer = new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
            client.shutdownOutput();
            CountDownLatch gone = new CountDownLatch(1);
            bed.frontend().whenAllClosed(gone::countDown);
            waitFor(gone);
        }
    }

    /** Who rests holds its connection, and with it the process, for a bounded time. */
    @Test
    public void whoNeverEndsItsSideIsClosed() throws Exception {
        try (SidecarFixture bed = new SidecarFixture(SidecarFixture.ECHO, 256, 20);
                Socket client = bed.client()) {
            SidecarFixture.exchangeAndAssertId(client, "before");
            Thread ending = startShutdown(bed);
            assertEquals(client.getInputStream().read(), -1);
            ending.join(8_000);
            assertFalse(ending.isAlive(), "it waits for a client that never ends");
            assertThrowsSoon(client);
        }
    }

    /** Writes until the other side's close is seen as a reset. */
    private static void assertThrowsSoon(Socket client) throws Exception {
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
    public void toldToEndBeforeItListensItEnds() throws Exception {
        try (SidecarFixture bed = new SidecarFixture(SidecarFixture.ECHO, 256, 1)) {
            Sidecar never = new Sidecar(bed.configuration());
            never.shutDownGracefully();
            assertNull(bed.backend.requests.stream().findAny().orElse(null));
        }
    }
}
