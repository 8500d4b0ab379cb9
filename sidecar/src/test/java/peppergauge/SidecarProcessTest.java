package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that need a separate process: stopping it, terminating it, and running out of descriptors. */
public class SidecarProcessTest extends RealTimeTestBase {

    private static final Executor POOL = Executors.newCachedThreadPool();

    // ---- Kinds of clients, by their number ----

    /** State of a client's request at the end of the pause. */
    private enum RequestState {
        DISCONNECTED,
        COMPLETE,
        PARTIAL
    }

    private static final int CLIENTS = 48;

    private static RequestState state(int client) {
        return RequestState.values()[client / 4 % 3];
    }

    private static boolean hasSentRequestBefore(int client) {
        return client % 4 < 2;
    }

    /** Number of bytes of its request that a client sends before the pause. */
    private static int bytesBeforePause(int client) {
        return client % 2 * 20;
    }

    private static String request(int client) {
        return client < CLIENTS / 2
                ? SidecarFixture.get("p" + client, 900)
                : SidecarFixture.post("p" + client, 900, "body");
    }

    @DataProvider(parallel = true)
    public Object[][] pauses() {
        return new Object[][] {{100}, {1_000}, {3_000}};
    }

    @Test(dataProvider = "pauses")
    public void respondsOnceToEachCompleteRequestAfterAPause(int pauseMs) throws Exception {
        try (SidecarProcessFixture fixture = new SidecarProcessFixture(SidecarFixture.ECHO, 256, 20)) {
            Socket[] clients = new Socket[CLIENTS];
            // Start of the receive timeout: connecting, or the first byte on a connection in use.
            long[] startedNs = new long[CLIENTS];
            for (int i = 0; i < CLIENTS; i++) {
                clients[i] = fixture.client();
                startedNs[i] = System.nanoTime();
                if (hasSentRequestBefore(i)) {
                    SidecarFixture.exchangeAndAssertId(clients[i], "before" + i);
                    startedNs[i] = bytesBeforePause(i) > 0 ? System.nanoTime() : 0;
                }
                SidecarFixture.send(clients[i], request(i).substring(0, bytesBeforePause(i)));
            }
            Thread.sleep(50);
            fixture.signal("STOP");
            long stoppedNs = System.nanoTime();
            for (int i = 0; i < CLIENTS; i++) {
                SidecarFixture.send(
                        clients[i],
                        state(i) == RequestState.PARTIAL ? "" : request(i).substring(bytesBeforePause(i)));
                if (state(i) == RequestState.DISCONNECTED) {
                    clients[i].close();
                }
            }
            long writtenNs = System.nanoTime();
            Thread.sleep(Math.max(0, pauseMs - (writtenNs - stoppedNs) / 1_000_000));
            for (int i = 0; i < CLIENTS; i++) {
                if (state(i) == RequestState.PARTIAL) {
                    startedNs[i] = startedNs[i] == 0 ? System.nanoTime() : startedNs[i];
                    SidecarFixture.send(clients[i], request(i).substring(bytesBeforePause(i), 40));
                }
            }
            double remainingMs = 900 - (System.nanoTime() - writtenNs) / 1e6;
            fixture.signal("CONT");
            for (int i = 0; i < CLIENTS; i++) {
                if (state(i) == RequestState.COMPLETE) {
                    ScriptedServer.Request response = ScriptedServer.readRequest(clients[i].getInputStream());
                    assertNotNull(response, "request " + i + " gets a response");
                    assertTrue(
                            SidecarFixture.status(response) != 200 || new String(response.body()).equals("p" + i),
                            "request " + i + " gets its own response");
                    int after = SidecarFixture.status(
                            SidecarFixture.exchange(clients[i], SidecarFixture.get("after" + i, 900)));
                    assertTrue(after == 200 || after == 503, "status of request after" + i + ": " + after);
                }
            }
            for (int i = 0; i < CLIENTS; i++) {
                if (state(i) == RequestState.PARTIAL) {
                    assertEquals(clients[i].getInputStream().read(), -1);
                    double afterMs = (System.nanoTime() - startedNs[i]) / 1e6;
                    assertTrue(
                            afterMs > 2_290 && afterMs < 7_000 + pauseMs,
                            "connection " + i + " was closed after " + afterMs + " ms");
                }
                String id = "p" + i;
                List<ScriptedServer.Request> runs = fixture.backend.requests.stream()
                        .filter(request -> id.equals(request.header("X-Txn")))
                        .toList();
                assertTrue(
                        runs.size() <= (state(i) == RequestState.COMPLETE ? 1 : 0),
                        id + " ran " + runs.size() + " times");
                // The time until a connection is accepted is not known.
                assertTrue(
                        !hasSentRequestBefore(i)
                                || runs.stream()
                                        .allMatch(run -> Integer.parseInt(run.header("X-Remaining-Ms")) <= remainingMs),
                        runs + " with " + remainingMs + " ms remaining");
            }
        }
    }

    /**
     * Time until the response that is pending at SIGTERM, ms. Several values, since a shutdown that hung did so only
     * every second time.
     */
    @DataProvider(parallel = true)
    public Object[][] pendingResponsesMs() {
        return new Object[][] {{0}, {300}, {650}, {900}, {1_400}};
    }

    @Test(dataProvider = "pendingResponsesMs")
    public void losesNoRequestAtSighupAndSigtermAndEndsInTime(int pendingMs) throws Exception {
        try (SidecarProcessFixture fixture = new SidecarProcessFixture(
                        (request, connection) -> {
                            Thread.sleep(request.line().contains("gift") ? pendingMs : 5);
                            SidecarFixture.ECHO.answer(request, connection);
                        },
                        256,
                        20);
                ScriptedServer moved = SidecarProcessFixture.discoveryServer();
                Socket idle = fixture.client();
                Socket slow = fixture.client()) {
            AtomicLong lastConnectNs = new AtomicLong(Long.MAX_VALUE);
            List<CompletableFuture<RequestCounts>> clients = IntStream.range(0, 8)
                    .mapToObj(i -> CompletableFuture.supplyAsync(
                            () -> sendRequests(fixture, "s" + i + "-", lastConnectNs), POOL))
                    .toList();
            ScriptedServer.await(() -> fixture.backend.requests.size() > 100);
            fixture.configure(moved, 256, 20);
            fixture.signal("HUP");
            ScriptedServer.await(() -> moved.requests.size() > 0);
            SidecarFixture.send(slow, SidecarFixture.post("open", 3_000, "x"));
            ScriptedServer.await(() -> fixture.backend.requests.stream()
                    .anyMatch(request -> request.line().contains("gift")));
            fixture.signal("TERM");
            long terminatedNs = System.nanoTime();
            lastConnectNs.set(terminatedNs + 400_000_000L);
            SidecarFixture.assertResponseId(ScriptedServer.readRequest(slow.getInputStream()), "open");
            assertEquals(idle.getInputStream().read(), -1);
            assertTrue(fixture.sidecar.waitFor(10, TimeUnit.SECONDS));
            double tookMs = (System.nanoTime() - terminatedNs) / 1e6;
            assertTrue(tookMs < Math.max(700, pendingMs) + 1_500, "ended after " + tookMs + " ms");
            assertEquals(fixture.sidecar.exitValue(), 143);
            for (CompletableFuture<RequestCounts> client : clients) {
                RequestCounts counted = client.get();
                assertTrue(
                        counted.served > counted.sent / 2, counted + ": more than half of the requests are successful");
            }
        }
    }

    private record RequestCounts(int served, int sent) {}

    /**
     * Sends requests on one connection, and on a new one after Connection: close; fails if a request is lost. A
     * rejected or timed out request is not lost: some are rejected when the machine is stalled or gives the process no
     * CPU for most of a second.
     */
    private static RequestCounts sendRequests(SidecarProcessFixture fixture, String name, AtomicLong lastConnectNs) {
        int sent = 0;
        int served = 0;
        while (System.nanoTime() < lastConnectNs.get()) {
            try (Socket client = fixture.client()) {
                for (boolean open = true; open; sent++) {
                    ScriptedServer.Request response =
                            SidecarFixture.exchange(client, SidecarFixture.get(name + sent, 900));
                    assertNotNull(response, name + sent + " gets a response");
                    int status = SidecarFixture.status(response);
                    if (status != 503 && status != 504) {
                        SidecarFixture.assertResponseId(response, name + sent);
                        served++;
                    }
                    open = !"close".equals(response.header("Connection"));
                }
            } catch (IOException lost) {
                throw new AssertionError(name + sent + " was lost: " + lost, lost);
            }
        }
        return new RequestCounts(served, sent);
    }

    @Test
    public void reloadsAfterAPauseIfSighupArrivesDuringIt() throws Exception {
        try (SidecarProcessFixture fixture = new SidecarProcessFixture(SidecarFixture.ECHO, 256, 1);
                Socket client = fixture.client();
                ScriptedServer moved = SidecarProcessFixture.discoveryServer()) {
            fixture.configure(moved, 256, 1);
            fixture.signal("STOP");
            fixture.signal("HUP");
            SidecarFixture.send(client, SidecarFixture.get("t1", 900));
            Thread.sleep(300);
            fixture.signal("CONT");
            SidecarFixture.assertResponseId(ScriptedServer.readRequest(client.getInputStream()), "t1");
            ScriptedServer.await(() -> moved.requests.size() > 0);
            SidecarFixture.exchangeAndAssertId(client, "t2");
        }
    }

    /** HttpCore's listener accepts without limit, and ends permanently when the process runs out of descriptors. */
    @Test
    public void servesAgainAfterAllDescriptorsWereInUse() throws Exception {
        try (SidecarProcessFixture fixture = new SidecarProcessFixture(SidecarFixture.ECHO, 64, 20)) {
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 80; i++) {
                clients.add(fixture.client());
                SidecarFixture.send(clients.get(i), SidecarFixture.get("c" + i, 5_000));
            }
            for (int i = 0; i < 80; i++) {
                int status = SidecarFixture.status(
                        ScriptedServer.readRequest(clients.get(i).getInputStream()));
                assertTrue(status == 200 || status == 503, "status of request c" + i + ": " + status);
            }
            AtomicInteger sent = new AtomicInteger();
            ScriptedServer.await(() -> {
                try (Socket client = fixture.client()) {
                    String request = SidecarFixture.get("after" + sent.incrementAndGet(), 900);
                    return SidecarFixture.status(SidecarFixture.exchange(client, request)) == 200;
                }
            });
            for (Socket client : clients) {
                client.close();
            }
        }
    }

    /** Accepting fails then, since the configured limit is never reached. */
    @Test
    public void servesNewClientsWhereIdleClientsHaveTakenAllDescriptors() throws Exception {
        try (SidecarProcessFixture fixture = new SidecarProcessFixture(SidecarFixture.ECHO, 256, 1, "", 64)) {
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 80; i++) {
                clients.add(fixture.client());
            }
            for (int i = 0; i < 5; i++) {
                try (Socket client = fixture.client()) {
                    SidecarFixture.exchangeAndAssertId(client, "new" + i);
                }
            }
            for (Socket client : clients) {
                client.close();
            }
        }
    }
}
