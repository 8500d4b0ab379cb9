package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.config.Config;

/** One test for each rule of the HTTP frontend and backend, over real sockets. */
public class HttpRulesSocketTest extends RealTimeTestBase {

    private static final ScriptedServer.Script OK =
            (request, connection) -> ScriptedServer.write(connection, ScriptedServer.okResponse("body"));
    /** A loopback address that no other test uses, so that no other test takes a port that was released here. */
    private static final String OWN_HOST = "127.0.0.77";

    private static final ScriptedServer.Script SILENT = (request, connection) -> {};

    private static ScriptedServer.Script responding(String response) {
        return (request, connection) -> ScriptedServer.write(connection, response);
    }

    @Test
    public void forwardsRequestAndResponseUnchangedExceptHopByHopHeaders() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(
                responding("HTTP/1.1 200 OK\r\nX-Kept: 1\r\nKeep-Alive: 5\r\nContent-Length: 3\r\n\r\n\0\u00ff\n"))) {
            ScriptedServer.Request response = fixture.exchange(SidecarFixture.post("t1", 900, "\u00e9\0x")
                    .replace("Host: h", "Host: h\r\nX-Other: \u00e4\r\nConnection: X-Hop\r\nX-Hop: 1"));
            assertEquals(SidecarFixture.status(response), 200);
            assertEquals(response.body(), new byte[] {0, (byte) 0xff, '\n'});
            assertEquals(response.header("X-Kept"), "1");
            assertNull(response.header("Keep-Alive"));
            ScriptedServer.Request forwarded = fixture.backend.requests.get(0);
            assertEquals(forwarded.line(), "POST /gift/k?a=b%20c HTTP/1.1");
            assertEquals(forwarded.body(), "\u00e9\0x".getBytes(StandardCharsets.ISO_8859_1));
            assertEquals(forwarded.header("X-Txn"), "t1");
            assertEquals(forwarded.header("X-Other"), "\u00e4");
            assertNull(forwarded.header("X-Hop"));
            int remaining = Integer.parseInt(forwarded.header("X-Remaining-Ms"));
            assertTrue(remaining > 500 && remaining <= 900, "remaining " + remaining);
        }
    }

    @DataProvider
    public Object[][] invalidRequests() {
        String get = SidecarFixture.get("t", 900);
        return new Object[][] {
            {get.replace("X-Txn: t\r\n", ""), 400},
            {get.replace("X-Txn: t", "X-Txn: t\r\nX-Txn: u"), 400},
            {get.replace("X-Txn: t", "X-Txn: " + "t".repeat(200)), 400},
            {get.replace("X-Remaining-Ms: 900\r\n", ""), 400},
            {get.replace("900", "soon"), 400},
            {get.replace("900", "-1"), 400},
            {get.replace("900", "99999999999999999999"), 400},
            {get.replace("X-Org: acme\r\n", ""), 400},
            {get.replace("acme", "nobody"), 400},
            {get.replace("/list/k", "/"), 404},
            {get.replace("/list/k", "/nothing/k"), 404},
            {get.replace("GET", "POST"), 405},
            {SidecarFixture.post("t", 900, "").replace("POST", "GET"), 405},
            {SidecarFixture.post("t", 900, "x".repeat(65_537)), 413},
            {get.replace("\r\n\r\n", "\r\nX-Long: " + "x".repeat(9_000) + "\r\n\r\n"), 431},
            {"nonsense\r\n\r\n", 400},
            {get.replace("\r\n\r\n", ("\r\nX-Many: " + "x".repeat(1_000)).repeat(20) + "\r\n\r\n"), 431},
            {get.replace("GET", "GET /x GET"), 400},
            {get.replace("X-Org", "X-Or\u0001g"), 400},
            {get.replace("X-Org:", "X-Org :"), 400},
            {get.replace("X-Org: acme\r\n", "X-Org:\r\n acme\r\n"), 400},
            {get.replace("h\r\n", "h\n"), 400},
            {get.replace("h\r\n", "h\rX-A: b\r\n"), 400},
            {get.replace("\r\n\r\n", "\r\nContent-Length: 3\r\n\r\nabc"), 400},
            // The length of a body must be stated once; the bytes that follow are never parsed as a request.
            {length("5\r\nTransfer-Encoding: chunked") + "0\r\n\r\n" + get, 400},
            {length("5\r\nContent-Length: 6") + get, 400},
            {length("5\r\nContent-Length: 5") + "12345" + get, 400},
            {length("5, 5") + "12345" + get, 400},
            {length("-5") + get, 400},
            {length("+5") + "12345" + get, 400},
            {length("0x5") + get, 400},
            {length("99999999999999999999") + get, 400},
            {length("").replace("Content-Length: ", "Transfer-Encoding: gzip, chunked") + "0\r\n\r\n" + get, 400},
            {length("").replace("Content-Length: ", "Transfer-Encoding: chunked, chunked") + "0\r\n\r\n", 400},
            {
                length("")
                                .replace("Content-Length: ", "Transfer-Encoding: chunked")
                                .replace("1.1", "1.0")
                        + get,
                400
            },
            {length("3").replace("/gift", "/nothing") + "abc" + get, 404},
            {length("65537") + get, 413},
        };
    }

    private static String length(String value) {
        return SidecarFixture.post("t", 900, "").replace("Length: 0", "Length: " + value);
    }

    @DataProvider
    public Object[][] requests() {
        String post = SidecarFixture.post("t", 900, "abcd");
        return new Object[][] {
            {SidecarFixture.get("t", 900)},
            {post},
            {
                post.replace("Content-Length: 4", "Transfer-Encoding: chunked")
                        .replace("abcd", "02\r\nab\r\n02\r\ncd\r\n0\r\n\r\n")
            }
        };
    }

    @Test(dataProvider = "requests")
    public void neverForwardsATruncatedRequest(String request) throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(OK)) {
            for (int at = 0; at < request.length(); at++) {
                try (Socket client = fixture.client()) {
                    SidecarFixture.send(client, request.substring(0, at));
                    client.shutdownOutput();
                    assertEquals(
                            client.getInputStream().read(),
                            -1,
                            "no response to the first " + at + " bytes of " + request);
                }
            }
            assertEquals(fixture.backend.requests.size(), 0);
            assertEquals(SidecarFixture.status(fixture.exchange(request)), 200);
        }
    }

    @Test
    public void rejectsAFarTooLongBodyWithoutReadingAllOfIt() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(OK);
                Socket client = fixture.client()) {
            CompletableFuture<Integer> sent = CompletableFuture.supplyAsync(() -> {
                int megabytes = 0;
                try {
                    client.getOutputStream().write(length("60000000").getBytes(StandardCharsets.ISO_8859_1));
                    for (; megabytes < 60; megabytes++) {
                        client.getOutputStream().write(new byte[1_000_000]);
                    }
                } catch (IOException closed) {
                    // The sidecar has closed the connection, as expected.
                }
                return megabytes;
            });
            assertEquals(SidecarFixture.status(ScriptedServer.readRequest(client.getInputStream())), 413);
            assertTrue(sent.get() < 20, "read " + sent.get() + " MB");
        }
    }

    /** HttpCore would drop pending responses when a later response closes the connection. */
    @Test
    public void respondsToPipelinedRequestsInOrderBeforeAnInvalidOne() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture((request, connection) -> {
                    Thread.sleep(request.line().contains("slow") ? 300 : 0);
                    ScriptedServer.write(connection, ScriptedServer.okResponse(request.header("X-Txn")));
                });
                Socket client = fixture.client()) {
            client.getOutputStream()
                    .write((SidecarFixture.get("t1", 900).replace("/k", "/slow")
                                    + SidecarFixture.get("t2", 900)
                                    + SidecarFixture.get("t3", 900).replace("/list", "/nothing")
                                    + SidecarFixture.get("t4", 900))
                            .getBytes(StandardCharsets.ISO_8859_1));
            assertEquals(
                    new String(
                            ScriptedServer.readRequest(client.getInputStream()).body()),
                    "t1");
            assertEquals(
                    new String(
                            ScriptedServer.readRequest(client.getInputStream()).body()),
                    "t2");
            assertEquals(SidecarFixture.status(ScriptedServer.readRequest(client.getInputStream())), 404);
            assertEquals(client.getInputStream().read(), -1);
            assertEquals(fixture.backend.requests.size(), 2);
        }
    }

    @Test(dataProvider = "invalidRequests")
    public void rejectsInvalidRequestsAndNeverForwardsThem(String message, int status) throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(OK)) {
            assertEquals(SidecarFixture.status(fixture.exchange(message)), status);
            assertEquals(SidecarFixture.status(fixture.exchange(SidecarFixture.get("fine", 900))), 200);
            assertEquals(fixture.backend.requests.size(), 1);
        }
    }

    @Test
    public void reportsReadinessAtUp() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(OK)) {
            assertEquals(SidecarFixture.status(fixture.exchange("GET /up HTTP/1.1\r\nHost: h\r\n\r\n")), 200);
        }
    }

    /** A backend server's reaction to a request that must not run twice, and whether it proves that it did not run. */
    @DataProvider
    public Object[][] failures() {
        ScriptedServer.Script closing = (request, connection) -> connection.close();
        return new Object[][] {
            {responding("HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n"), false},
            {responding("HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n"), false},
            {responding("HTTP/1.1 204 no\r\n\r\n"), false},
            {responding("HTTP/1.1 200 OK\r\n\r\nno length"), false},
            {
                (ScriptedServer.Script) (request, connection) -> {
                    ScriptedServer.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort");
                    connection.close();
                },
                false
            },
            {responding("nonsense\r\n\r\n"), false},
            {responding("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + "x".repeat(70_000)), false},
            // Invalid responses: the request may have run, and the rest of the response is neither awaited nor
            // forwarded.
            {responding("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"), false},
            {responding("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody"), false},
            {responding("HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody"), false},
            {responding("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody"), false},
            {responding("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), false},
            {responding("HTTP/1.1 200 OK\nContent-Length: 4\n\nbody"), false},
            {responding("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n"), false},
            {responding("HTTP/1.1 101 Switching\r\n\r\n" + ScriptedServer.okResponse("body")), false},
            {responding("HTTP/1.1 102 Wait\r\n\r\n".repeat(50) + ScriptedServer.okResponse("body")), false},
            {responding("HTTP/1.1 200 OK\r\nX-Long: " + "x".repeat(20_000)), false},
            {responding("HTTP/1.1 500 no\r\n\r\nno length"), false},
            {
                (ScriptedServer.Script) (request, connection) -> {
                    ScriptedServer.write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4");
                    connection.close();
                },
                false
            },
            {closing, false},
            {SILENT, false},
            {responding("HTTP/1.1 503 no\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"), true},
            {responding("HTTP/1.1 504 no\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"), true},
        };
    }

    @Test(dataProvider = "failures")
    public void neitherRetriesNorRejectsARequestThatMayHaveRun(ScriptedServer.Script failure, boolean didNotRun)
            throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(failure, 256, 20)) {
            long start = System.nanoTime();
            int status = SidecarFixture.status(fixture.exchange(SidecarFixture.post("t", 1_200, "x")));
            double tookMs = (System.nanoTime() - start) / 1e6;
            assertTrue(tookMs < 1_300, "response after its deadline: " + tookMs + " ms");
            assertEquals(fixture.backend.requests.size() > 1, didNotRun);
            assertTrue(didNotRun ? status == 503 : status == 502 || status == 504, "status " + status);
            assertEquals(tookMs > 1_150, failure == SILENT, "waits only for a silent server: " + tookMs + " ms");
        }
    }

    /** Bytes after a valid response, which must not become the response to the next request, and their delay. */
    @DataProvider
    public Object[][] surplusBytes() {
        return new Object[][] {
            {ScriptedServer.okResponse("other"), 0},
            {ScriptedServer.okResponse("other"), 30},
            {"noise", 0},
            {"noise", 30},
            {"HTTP/1.1 200", 0},
            {"HTTP/1.1 200 OK\r\nContent-Length: 1", 30},
            {"\r\n\r\n\r\n", 0},
            {"\n", 30},
        };
    }

    @Test(dataProvider = "surplusBytes")
    public void doesNotReuseAConnectionWithSurplusBytes(String more, int afterMs) throws Exception {
        AtomicInteger written = new AtomicInteger();
        try (SidecarFixture fixture = new SidecarFixture((request, connection) -> {
            String response = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\n"
                    + ScriptedServer.okResponse(request.header("X-Txn"));
            ScriptedServer.write(connection, response + (afterMs == 0 ? more : ""));
            Thread.sleep(afterMs);
            ScriptedServer.write(connection, afterMs > 0 ? more : "");
            written.incrementAndGet();
        })) {
            int sent = 0;
            for (String id : new String[] {"t1", "t2", "t3"}) {
                ScriptedServer.Request response = fixture.exchange(SidecarFixture.post(id, 900, "x"));
                assertEquals(new String(response.body()), id);
                int expectedWrites = ++sent;
                ScriptedServer.await(() -> written.get() == expectedWrites);
                Thread.sleep(20);
            }
            assertTrue(fixture.backend.connections.size() >= 3, "each request uses a new connection");
        }
    }

    @Test
    public void doesNotReuseConnectionsOfAnotherServerAtTheSameAddress() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(OK)) {
            assertEquals(SidecarFixture.status(fixture.exchange(SidecarFixture.get("t1", 900))), 200);
            fixture.sendFromDiscovery(fixture.endpointUpdate(2, true, "active").replace("\"s\"", "\"successor\""));
            Thread.sleep(50);
            assertEquals(SidecarFixture.status(fixture.exchange(SidecarFixture.get("t2", 900))), 200);
            assertEquals(fixture.backend.connections.size(), 2);
        }
    }

    @Test
    public void rejectionHasRetryAfterAndKeepsTheConnection() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(OK);
                Socket client = fixture.client()) {
            fixture.backend.close();
            ScriptedServer.Request rejection = SidecarFixture.exchange(client, SidecarFixture.get("t1", 500));
            assertEquals(SidecarFixture.status(rejection), 503);
            assertTrue(Double.parseDouble(rejection.header("Retry-After")) > 0, rejection.head());
            assertEquals(SidecarFixture.status(SidecarFixture.exchange(client, SidecarFixture.get("t2", 500))), 503);
        }
    }

    /** A duplicate id is rejected at any time, and does not affect the first request with this id. */
    @Test
    public void rejectsADuplicateIdAndCompletesTheFirstRequest() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture((request, connection) -> {
                    Thread.sleep(300);
                    ScriptedServer.write(connection, ScriptedServer.okResponse("own"));
                });
                Socket first = fixture.client()) {
            first.getOutputStream().write(SidecarFixture.post("t", 900, "x").getBytes(StandardCharsets.ISO_8859_1));
            ScriptedServer.await(() -> fixture.backend.requests.size() == 1);
            assertEquals(SidecarFixture.status(fixture.exchange(SidecarFixture.post("t", 900, "x"))), 409);
            assertEquals(
                    new String(
                            ScriptedServer.readRequest(first.getInputStream()).body()),
                    "own");
            assertEquals(SidecarFixture.status(fixture.exchange(SidecarFixture.post("t", 900, "x"))), 409);
            assertEquals(fixture.backend.requests.size(), 1);
        }
    }

    /** HttpCore does not report a client's disconnect to the exchange; its attempts must be cancelled nevertheless. */
    @Test
    public void cancelsTheAttemptsOfADisconnectedClient() throws Exception {
        CompletableFuture<Integer> backendRead = new CompletableFuture<>();
        try (SidecarFixture fixture = new SidecarFixture((request, connection) ->
                backendRead.complete(connection.getInputStream().read()))) {
            Socket client = fixture.client();
            client.setSoTimeout(1_000);
            client.getOutputStream().write(SidecarFixture.get("t", 5_000).getBytes(StandardCharsets.ISO_8859_1));
            ScriptedServer.await(() -> fixture.backend.requests.size() == 1);
            client.shutdownOutput();
            assertEquals(client.getInputStream().read(), -1, "the sidecar closes the connection");
            assertEquals((int) backendRead.get(1, TimeUnit.SECONDS), -1);
        }
    }

    @Test
    public void sendsNoNewRequestToADrainingServerAndReopensTheWatch() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(OK)) {
            assertEquals(SidecarFixture.status(fixture.exchange(SidecarFixture.get("t1", 500))), 200);
            fixture.sendFromDiscovery(fixture.endpointUpdate(7, false, "leaving"));
            Thread.sleep(50);
            assertEquals(SidecarFixture.status(fixture.exchange(SidecarFixture.get("t2", 500))), 503);
            assertEquals(fixture.backend.requests.size(), 1);
            fixture.discovery.connections.get(0).close();
            ScriptedServer.await(() -> fixture.discovery.requests.size() == 2);
            assertEquals(fixture.discovery.requests.get(1).line(), "GET /discovery/hosts?watch=1&from=7 HTTP/1.1");
            Thread.sleep(50);
            // The update that could not be read is requested again, before a newer one can hide it.
            fixture.sendFromDiscovery("{ malformed, requested again");
            ScriptedServer.await(() -> fixture.discovery.requests.size() == 3);
            assertEquals(fixture.discovery.requests.get(2).line(), "GET /discovery/hosts?watch=1&from=7 HTTP/1.1");
            Thread.sleep(50);
            fixture.sendFromDiscovery(fixture.endpointUpdate(8, true, "active"));
            Thread.sleep(50);
            assertEquals(SidecarFixture.status(fixture.exchange(SidecarFixture.get("t3", 500))), 200);
        }
    }

    @Test
    public void reusesAConnectionUntilItsServerMayCloseItAsIdle() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(OK)) {
            fixture.exchange(SidecarFixture.get("t1", 900));
            // Within its quiet period, a connection to a server that responds sooner is not used.
            ScriptedServer.pause((long) (2 * Sidecar.QUIET_PERIOD_MS));
            fixture.exchange(SidecarFixture.get("t2", 900));
            assertEquals(fixture.backend.connections.size(), 1);
            Thread.sleep(700);
            fixture.exchange(SidecarFixture.get("t3", 900));
            assertEquals(fixture.backend.connections.size(), 2);
        }
    }

    /** HttpCore's listener accepts without limit, and ends when the process runs out of descriptors. */
    @Test
    public void idleClientsNeitherBlockActiveClientsNorExhaustDescriptors() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(OK, 40 + 2 * 8)) {
            List<Socket> idleClients = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                idleClients.add(fixture.client());
            }
            long start = System.nanoTime();
            assertEquals(SidecarFixture.status(fixture.exchange(SidecarFixture.get("t", 900))), 200);
            int closed = 0;
            for (Socket silent : idleClients) {
                closed += silent.getInputStream().read() < 0 ? 1 : 0;
                silent.close();
            }
            assertEquals(closed, idleClients.size());
            assertTrue((System.nanoTime() - start) / 1e6 < 3_000, "all idle connections are closed within 3 s");
        }
    }

    @Test
    public void closesAnIdleConnectionButNotDuringARequest() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture((request, connection) -> {
                    Thread.sleep(2_800);
                    ScriptedServer.write(connection, ScriptedServer.okResponse("body"));
                });
                Socket client = fixture.client()) {
            Thread.sleep(1_000);
            assertEquals(
                    SidecarFixture.status(SidecarFixture.exchange(client, SidecarFixture.post("t", 4_000, "x"))), 200);
            long start = System.nanoTime();
            assertEquals(client.getInputStream().read(), -1);
            double idleMs = (System.nanoTime() - start) / 1e6;
            assertTrue(idleMs > 1_900 && idleMs < 3_500, "closed after " + idleMs + " ms");
        }
    }

    @Test
    public void disconnectsASlowSenderWithin3SecondsOfConnecting() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(OK);
                Socket client = fixture.client()) {
            Thread.sleep(1_000);
            client.getOutputStream().write("GET /list/k HT".getBytes(StandardCharsets.ISO_8859_1));
            assertThrows(IOException.class, () -> {
                for (int i = 0; i < 10; i++) {
                    Thread.sleep(200);
                    client.getOutputStream().write('x');
                }
            });
        }
    }

    @Test
    public void gracefulShutdownCompletesAcceptedRequests() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture((request, connection) -> {
                    Thread.sleep(request.line().contains("gift") ? 900 : 0);
                    ScriptedServer.write(connection, ScriptedServer.okResponse("late"));
                });
                Socket idle = fixture.client()) {
            CompletableFuture<Integer> slow = CompletableFuture.supplyAsync(() -> {
                try {
                    return SidecarFixture.status(fixture.exchange(SidecarFixture.post("slow", 3_000, "x")));
                } catch (IOException failed) {
                    throw new IllegalStateException(failed);
                }
            });
            ScriptedServer.await(() -> fixture.backend.requests.size() == 1);
            CompletableFuture<Void> shutdown = CompletableFuture.runAsync(fixture.sidecar::shutDownGracefully);
            Thread.sleep(300);
            ScriptedServer.Request response = fixture.exchange(SidecarFixture.get("new", 900));
            assertEquals(SidecarFixture.status(response), 200);
            assertEquals(response.header("Connection"), "close");
            assertEquals((int) slow.get(), 200);
            shutdown.get();
            assertEquals(idle.getInputStream().read(), -1);
            assertThrows(IOException.class, () -> fixture.client().close());
        }
    }

    /** The configured list may be outdated: after a restart, the first requests went to a server that was draining. */
    @Test
    public void sendsNoRequestByTheConfiguredListBeforeTheFirstUpdate() throws Exception {
        Path file = Files.createTempFile("start", ".json");
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(OWN_HOST))) {
            port = free.getLocalPort();
        }
        try (ScriptedServer leaving = new ScriptedServer(SidecarFixture.ECHO);
                ScriptedServer discovery = new ScriptedServer((request, connection) -> {
                    ScriptedServer.write(connection, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    Thread.sleep(150);
                    String update = SidecarFixture.endpointUpdate(leaving.address(), 2, false, "leaving") + "\n";
                    ScriptedServer.write(connection, Integer.toHexString(update.length()) + "\r\n" + update + "\r\n");
                })) {
            Files.writeString(
                    file,
                    SidecarFixture.configJson(
                                    discovery.address(), 256, SidecarFixture.knownEndpoints(leaving.address(), 1))
                            .replace("127.0.0.1:0", OWN_HOST + ":" + port));
            Sidecar sidecar = new Sidecar(Config.read(Map.of("GW_CONFIG", file.toString())));
            CompletableFuture<Integer> first = CompletableFuture.supplyAsync(() -> firstResponseStatus(port));
            sidecar.start();
            assertEquals((int) first.get(5, TimeUnit.SECONDS), 503);
            assertEquals(leaving.requests.size(), 0);
            sidecar.stop();
        }
        Files.delete(file);
    }

    /** Connects as soon as the sidecar listens, sends a request at once, and returns the status of the response. */
    private static int firstResponseStatus(int port) {
        while (true) {
            try (Socket client = new Socket(OWN_HOST, port)) {
                return SidecarFixture.status(SidecarFixture.exchange(client, SidecarFixture.get("t1", 900)));
            } catch (IOException notListening) {
                ScriptedServer.pause(1);
            }
        }
    }
}
