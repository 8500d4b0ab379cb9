package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static peppergauge.ThriftSidecarFixture.request;
import static peppergauge.ThriftSidecarFixture.respondingWithId;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.ThriftSidecarFixture.ProtocolPair;
import peppergauge.thrift.wire.WireFormat;

/** Runs the same tests with HTTP, with each wire format of Thrift, and with different formats of client and server. */
public class ProtocolConformanceTest extends RealTimeTestBase {

    private static Stream<ProtocolPair> allPairs() {
        Stream<ProtocolPair> same = Stream.concat(
                        Stream.of((ProtocolCodec) new HttpProtocolCodec()),
                        Stream.of(WireFormat.values()).map(ThriftProtocolCodec::new))
                .map(codec -> new ProtocolPair(codec, codec));
        return Stream.concat(
                same,
                Stream.of(
                        mixed(WireFormat.COMPACT, WireFormat.FRAMED_BINARY),
                        mixed(WireFormat.FRAMED_OLD_BINARY, WireFormat.COMPACT),
                        mixed(WireFormat.BINARY, WireFormat.FRAMED_COMPACT)));
    }

    private static ProtocolPair mixed(WireFormat client, WireFormat server) {
        return new ProtocolPair(new ThriftProtocolCodec(client), new ThriftProtocolCodec(server));
    }

    @DataProvider(parallel = true)
    public Object[][] pairs() {
        return allPairs().map(protocols -> new Object[] {protocols}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "pairs")
    public void forwardsRequestAndResponseWithUpdatedRemainingTime(ProtocolPair protocols) throws Exception {
        try (ThriftSidecarFixture fixture = new ThriftSidecarFixture(
                protocols,
                (request, connection) ->
                        connection.getOutputStream().write(protocols.server().encodeResponse(request, "ko \0 body")))) {
            assertEquals(
                    fixture.exchange(new ProtocolCodec.Request("gift", "t1", 900, "a\0b", 7))
                            .body(),
                    "ko \0 body");
            ProtocolCodec.Request forwarded = fixture.requests.get(0);
            assertEquals(forwarded.method() + forwarded.id() + forwarded.body(), "giftt1a\0b");
            long remainingMs = forwarded.remainingMs();
            assertTrue(remainingMs > 300 && remainingMs <= 900, "remaining ms of 900 forwarded: " + remainingMs);
        }
    }

    /**
     * A client disconnects before the attempt of its request gets a connection, and the sidecar has not read the end of
     * its stream yet. Thrift attempts did not check the client's connection before the first byte and were sent all the
     * same: the server received t1, t2 and t3 in every format but HTTP.
     */
    @Test(dataProvider = "pairs")
    public void sendsNothingAfterClientDisconnected(ProtocolPair protocols) throws Exception {
        CountDownLatch requestRead = new CountDownLatch(1);
        CountDownLatch clientClosed = new CountDownLatch(1);
        try (ThriftSidecarFixture fixture = new ThriftSidecarFixture(protocols, respondingWithId(protocols.server()))) {
            // Opens the connection to the server, so that the next attempt writes at once.
            assertEquals(fixture.exchange(request("list", "t1", 900)).body(), "t1");
            fixture.afterRequestRead = () -> {
                requestRead.countDown();
                awaitLatch(clientClosed);
            };
            try (Socket client = fixture.connectClient()) {
                fixture.send(client, request("list", "t2", 900));
                requestRead.await();
                fixture.afterRequestRead = null;
            }
            clientClosed.countDown();
            assertEquals(fixture.exchange(request("list", "t3", 900)).body(), "t3");
            assertEquals(
                    fixture.requests.stream().map(ProtocolCodec.Request::id).toList(), List.of("t1", "t3"));
        }
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
        }
    }

    @Test(dataProvider = "pairs", groups = "known-red")
    public void acceptsInputByteByByteAndRespondsInOrder(ProtocolPair protocols) throws Exception {
        try (ThriftSidecarFixture fixture = new ThriftSidecarFixture(protocols, (request, connection) -> {
                    Thread.sleep(request.id().equals("t1") ? 200 : 0);
                    for (byte single : protocols.server().encodeResponse(request, request.id())) {
                        connection.getOutputStream().write(single);
                        connection.getOutputStream().flush();
                    }
                });
                Socket client = fixture.connectClient()) {
            ByteArrayOutputStream pipelined = new ByteArrayOutputStream();
            for (String id : new String[] {"t1", "t2", "t3"}) {
                pipelined.write(protocols.client().encodeRequest(request("gift", id, 900), "acme"));
            }
            ProtocolCodec.Reader reader = protocols.client().newReader(client.getInputStream());
            client.getOutputStream().write(pipelined.toByteArray());
            for (String id : new String[] {"t1", "t2", "t3"}) {
                assertEquals(reader.readResponse().body(), id);
            }
            for (byte single : protocols.client().encodeRequest(request("gift", "t4", 900), "acme")) {
                client.getOutputStream().write(single);
            }
            assertEquals(reader.readResponse().body(), "t4");
        }
    }

    @Test(dataProvider = "pairs")
    public void rejectsInvalidRequestsWithoutForwarding(ProtocolPair protocols) throws Exception {
        try (ThriftSidecarFixture fixture = new ThriftSidecarFixture(protocols, respondingWithId(protocols.server()))) {
            assertEquals(fixture.exchange(request("nothing", "t", 900)).outcome(), "unknown");
            assertEquals(fixture.exchange(request("gift", null, 900)).outcome(), "unusable");
            assertEquals(fixture.exchange(request("gift", "t".repeat(200), 900)).outcome(), "unusable");
            assertEquals(fixture.exchange(request("gift", "t", -1)).outcome(), "unusable");
            assertEquals(fixture.exchange(request("gift", "t", 900), "nobody").outcome(), "unusable");
            assertEquals(fixture.exchange(request("gift", "t", 900)).outcome(), "served");
            assertEquals(fixture.requests.size(), 1);
        }
    }

    @Test(dataProvider = "pairs")
    public void doesNotForwardTruncatedRequests(ProtocolPair protocols) throws Exception {
        try (ThriftSidecarFixture fixture = new ThriftSidecarFixture(protocols, respondingWithId(protocols.server()))) {
            byte[] encoded = protocols.client().encodeRequest(request("gift", "t", 900), "acme");
            for (int length : new int[] {1, 5, encoded.length / 2, encoded.length - 1}) {
                try (Socket client = fixture.connectClient()) {
                    client.getOutputStream().write(encoded, 0, length);
                    client.shutdownOutput();
                    assertEquals(client.getInputStream().read(), -1);
                }
            }
            Thread.sleep(50);
            assertEquals(fixture.requests.size(), 0);
        }
    }

    /** How the server ends the exchange of a request that is not idempotent. */
    enum Ending {
        ERROR,
        CLOSES,
        RESETS,
        TRUNCATES,
        SILENT,
        INVALID_RESPONSE,
        NOT_EXECUTED
    }

    @DataProvider(parallel = true)
    public Object[][] endings() {
        return allPairs()
                .flatMap(protocols -> Stream.of(Ending.values()).map(end -> new Object[] {protocols, end}))
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "endings")
    public void neitherRetriesNorRejectsNonIdempotentRequestThatMayHaveBeenExecuted(
            ProtocolPair protocols, Ending ending) throws Exception {
        ProtocolCodec.Request request = request("gift", "t", ending == Ending.SILENT ? 500 : 900);
        int variants =
                ending == Ending.INVALID_RESPONSE ? protocols.server().encodeInvalidResponses(request).length : 1;
        for (int variant = 0; variant < variants; variant++) {
            int chosenVariant = variant;
            try (ThriftSidecarFixture fixture = new ThriftSidecarFixture(
                    protocols,
                    (received, connection) ->
                            endExchange(protocols.server(), ending, chosenVariant, received, connection))) {
                long start = System.nanoTime();
                ProtocolCodec.Response response = fixture.exchange(request);
                double tookMs = (System.nanoTime() - start) / 1e6;
                assertTrue(
                        fixture.requests.size() == 1 || ending == Ending.NOT_EXECUTED,
                        "one attempt, but the server received " + fixture.requests.size());
                assertEquals(
                        response.outcome(),
                        ending == Ending.NOT_EXECUTED ? "denied" : ending == Ending.SILENT ? "late" : "failed",
                        "outcome for variant " + variant);
                assertTrue(tookMs < 1_000, "response within 1000 ms, after: " + tookMs);
                assertTrue(tookMs > 440 || ending != Ending.SILENT, "response not before 440 ms, after: " + tookMs);
            }
        }
    }

    private static void endExchange(
            ProtocolCodec server, Ending ending, int variant, ProtocolCodec.Request request, Socket connection)
            throws IOException {
        byte[] complete = server.encodeResponse(request, "whole");
        OutputStream out = connection.getOutputStream();
        switch (ending) {
            case ERROR -> out.write(server.encodeError(request));
            case NOT_EXECUTED -> out.write(server.encodeNotExecuted(request));
            case INVALID_RESPONSE -> out.write(server.encodeInvalidResponses(request)[variant]);
            case CLOSES -> connection.close();
            case RESETS -> {
                connection.setSoLinger(true, 0);
                connection.close();
            }
            case TRUNCATES -> {
                out.write(complete, 0, complete.length - 1);
                connection.close();
            }
            default -> {}
        }
    }

    @Test(dataProvider = "pairs")
    public void doesNotReuseConnectionWithInputAfterResponse(ProtocolPair protocols) throws Exception {
        for (int afterMs : new int[] {0, 30}) {
            AtomicInteger written = new AtomicInteger();
            try (ThriftSidecarFixture fixture = new ThriftSidecarFixture(protocols, (request, connection) -> {
                byte[] expected = protocols.server().encodeResponse(request, request.id());
                byte[] extra = protocols.server().encodeResponse(request, "more");
                byte[] both = ByteBuffer.allocate(expected.length + extra.length)
                        .put(expected)
                        .put(extra)
                        .array();
                connection.getOutputStream().write(afterMs > 0 ? expected : both);
                Thread.sleep(afterMs);
                connection.getOutputStream().write(afterMs > 0 ? extra : new byte[0]);
                written.incrementAndGet();
            })) {
                int sentRequests = 0;
                for (String id : new String[] {"t1", "t2", "t3"}) {
                    assertEquals(fixture.exchange(request("gift", id, 900)).body(), id);
                    int expectedWrites = ++sentRequests;
                    ScriptedServer.await(() -> written.get() == expectedWrites);
                    Thread.sleep(20);
                }
                assertTrue(fixture.connections.size() >= 3, "each of 3 requests uses a new connection");
            }
        }
    }

    @Test(dataProvider = "pairs")
    public void opensNewConnectionForOtherServerAtSameAddressAndSendsNothingToDrainingOne(ProtocolPair protocols)
            throws Exception {
        try (ThriftSidecarFixture fixture = new ThriftSidecarFixture(protocols, respondingWithId(protocols.server()))) {
            assertEquals(fixture.exchange(request("list", "t1", 900)).outcome(), "served");
            // Within its quiet period, a connection to a server that responds sooner is not used.
            ScriptedServer.pause((long) (2 * Sidecar.QUIET_PERIOD_MS));
            assertEquals(fixture.exchange(request("list", "t2", 900)).outcome(), "served");
            assertEquals(fixture.connections.size(), 1);
            fixture.sendEndpointUpdate(fixture.endpointUpdate(2, "successor", "active"));
            assertEquals(fixture.exchange(request("list", "t3", 900)).outcome(), "served");
            assertEquals(fixture.connections.size(), 2);
            fixture.sendEndpointUpdate(fixture.endpointUpdate(3, "successor", "leaving"));
            assertEquals(fixture.exchange(request("list", "t4", 500)).outcome(), "denied");
            assertEquals(fixture.requests.size(), 3);
        }
    }

    @Test(dataProvider = "pairs")
    public void rejectionHasRetryAdviceAndKeepsConnection(ProtocolPair protocols) throws Exception {
        try (ThriftSidecarFixture fixture = new ThriftSidecarFixture(
                        protocols,
                        (request, connection) -> connection
                                .getOutputStream()
                                .write(protocols.server().encodeNotExecuted(request)));
                Socket client = fixture.connectClient()) {
            for (String id : new String[] {"t1", "t2"}) {
                ProtocolCodec.Response rejection = fixture.exchange(client, request("list", id, 300), "acme");
                assertEquals(rejection.outcome(), "denied");
                assertTrue(rejection.retryAfterMs() > 0 && rejection.retryAfterMs() <= 1_200, rejection.toString());
            }
        }
    }

    @Test(dataProvider = "pairs")
    public void rejectsDuplicateIdWithoutAffectingTheOriginalRequest(ProtocolPair protocols) throws Exception {
        try (ThriftSidecarFixture fixture = new ThriftSidecarFixture(protocols, (request, connection) -> {
                    Thread.sleep(300);
                    connection.getOutputStream().write(protocols.server().encodeResponse(request, "own"));
                });
                Socket first = fixture.connectClient()) {
            fixture.send(first, request("gift", "t", 900));
            ScriptedServer.await(() -> fixture.requests.size() == 1);
            assertEquals(fixture.exchange(request("gift", "t", 900)).outcome(), "duplicate");
            assertEquals(
                    protocols
                            .client()
                            .newReader(first.getInputStream())
                            .readResponse()
                            .body(),
                    "own");
            assertEquals(fixture.exchange(request("gift", "t", 900)).outcome(), "duplicate");
            assertEquals(fixture.requests.size(), 1);
        }
    }

    @Test(dataProvider = "pairs")
    public void cancelsRequestOfDisconnectedClient(ProtocolPair protocols) throws Exception {
        CompletableFuture<Integer> serverRead = new CompletableFuture<>();
        try (ThriftSidecarFixture fixture = new ThriftSidecarFixture(
                        protocols,
                        (request, connection) ->
                                serverRead.complete(connection.getInputStream().read()));
                Socket client = fixture.connectClient()) {
            fixture.send(client, request("list", "t", 5_000));
            ScriptedServer.await(() -> fixture.requests.size() == 1);
            client.shutdownOutput();
            assertEquals(client.getInputStream().read(), -1, "the sidecar closes the connection");
            assertEquals((int) serverRead.get(1, TimeUnit.SECONDS), -1);
        }
    }

    @Test(dataProvider = "pairs")
    public void doesNotReuseConnectionNearServerIdleTimeout(ProtocolPair protocols) throws Exception {
        try (ThriftSidecarFixture fixture = new ThriftSidecarFixture(protocols, respondingWithId(protocols.server()))) {
            fixture.exchange(request("list", "t1", 900));
            Thread.sleep(700);
            fixture.exchange(request("list", "t2", 900));
            assertEquals(fixture.connections.size(), 2);
        }
    }

    @Test(dataProvider = "pairs")
    public void closesIdleAndSlowConnectionsButNotDuringARequest(ProtocolPair protocols) throws Exception {
        try (ThriftSidecarFixture fixture = new ThriftSidecarFixture(protocols, (request, connection) -> {
                    Thread.sleep(2_800);
                    connection.getOutputStream().write(protocols.server().encodeResponse(request, "late"));
                });
                Socket client = fixture.connectClient();
                Socket slow = fixture.connectClient()) {
            byte[] encoded = protocols.client().encodeRequest(request("gift", "s", 900), "acme");
            slow.getOutputStream().write(encoded, 0, 9);
            long start = System.nanoTime();
            fixture.send(client, request("gift", "t", 4_000));
            assertEquals(isClosed(slow.getInputStream()), true);
            double slowMs = (System.nanoTime() - start) / 1e6;
            assertTrue(slowMs > 1_500 && slowMs < 2_900, "slow one closes in 1500 to 2900 ms, not after " + slowMs);
            assertEquals(
                    protocols
                            .client()
                            .newReader(client.getInputStream())
                            .readResponse()
                            .body(),
                    "late");
            start = System.nanoTime();
            assertEquals(client.getInputStream().read(), -1);
            double idleMs = (System.nanoTime() - start) / 1e6;
            assertTrue(idleMs > 1_900 && idleMs < 3_500, "idle one closes in 1900 to 3500 ms, not after " + idleMs);
        }
    }

    private static boolean isClosed(InputStream in) throws IOException {
        try {
            return in.read() < 0;
        } catch (java.net.SocketException reset) {
            return true;
        }
    }

    @Test(dataProvider = "pairs")
    public void evictsSilentConnectionsForNewClients(ProtocolPair protocols) throws Exception {
        // The sidecar reserves 40 descriptors and uses half of the rest for servers.
        int maxSockets = 40 + 2 * 8;
        try (ThriftSidecarFixture fixture =
                new ThriftSidecarFixture(protocols, maxSockets, respondingWithId(protocols.server()))) {
            List<Socket> silentClients = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                silentClients.add(fixture.connectClient());
            }
            assertEquals(fixture.exchange(request("list", "t", 900)).outcome(), "served");
            for (Socket silent : silentClients) {
                assertTrue(isClosed(silent.getInputStream()));
                silent.close();
            }
        }
    }

    @Test(dataProvider = "pairs")
    public void gracefulShutdownLosesNoReceivedRequest(ProtocolPair protocols) throws Exception {
        try (ThriftSidecarFixture fixture = new ThriftSidecarFixture(protocols, (request, connection) -> {
                    Thread.sleep(request.id().equals("slow") ? 900 : 0);
                    connection.getOutputStream().write(protocols.server().encodeResponse(request, request.id()));
                });
                Socket idle = fixture.connectClient();
                Socket partial = fixture.connectClient();
                Socket slow = fixture.connectClient()) {
            byte[] partialRequest = protocols.client().encodeRequest(request("gift", "begun", 900), "acme");
            partial.getOutputStream().write(partialRequest, 0, 9);
            fixture.send(slow, request("gift", "slow", 3_000));
            ScriptedServer.await(() -> fixture.requests.size() == 1);
            CompletableFuture<Void> shutdown = CompletableFuture.runAsync(fixture.sidecar::shutDownGracefully);
            Thread.sleep(300);
            assertEquals(fixture.exchange(request("gift", "new", 900)).outcome(), "served");
            partial.getOutputStream().write(partialRequest, 9, partialRequest.length - 9);
            assertEquals(
                    protocols
                            .client()
                            .newReader(partial.getInputStream())
                            .readResponse()
                            .body(),
                    "begun");
            assertEquals(
                    protocols
                            .client()
                            .newReader(slow.getInputStream())
                            .readResponse()
                            .body(),
                    "slow");
            shutdown.get();
            assertTrue(isClosed(idle.getInputStream()));
            assertThrows(IOException.class, () -> fixture.connectClient().close());
        }
    }
}
