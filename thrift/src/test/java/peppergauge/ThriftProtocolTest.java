package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static peppergauge.ThriftSidecarFixture.request;
import static peppergauge.ThriftSidecarFixture.respondingWithId;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolFactory;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.server.TServer;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportFactory;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.ThriftSidecarFixture.ProtocolPair;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.memory.MessageMemory;
import peppergauge.request.Backend;
import peppergauge.request.Clock;
import peppergauge.request.Message;
import peppergauge.sockets.EventLoop;
import peppergauge.thrift.backend.ThriftBackend;
import peppergauge.thrift.method.MethodConfig;
import peppergauge.thrift.method.MethodRegistry;
import peppergauge.thrift.method.ThriftMessages;
import peppergauge.thrift.wire.Encoding;
import peppergauge.thrift.wire.MessageLimits;
import peppergauge.thrift.wire.RawMessage;
import peppergauge.thrift.wire.WireFormat;

/** Behaviour that only Thrift has: message types, oneway calls, and clients and servers of Apache's library. */
public class ThriftProtocolTest extends RealTimeTestBase {

    @DataProvider(parallel = true)
    public Object[][] formats() {
        return Stream.of(WireFormat.values())
                .map(format -> new Object[] {new ThriftProtocolCodec(format)})
                .toArray(Object[][]::new);
    }

    private static ThriftSidecarFixture newFixture(ThriftProtocolCodec codec, ThriftSidecarFixture.Script script)
            throws Exception {
        return new ThriftSidecarFixture(new ProtocolPair(codec, codec), script);
    }

    @Test(dataProvider = "formats")
    public void rejectsUnknownMethodsAndInvalidCallsAndKeepsTheConnection(ThriftProtocolCodec codec) throws Exception {
        try (ThriftSidecarFixture fixture = newFixture(codec, respondingWithId(codec));
                Socket client = fixture.connectClient()) {
            assertEquals(
                    fixture.exchange(client, request("nothing", "t1", 900), "acme")
                            .outcome(),
                    "unknown");
            assertEquals(
                    fixture.exchange(client, request("gift", null, 900), "acme").outcome(), "unusable");
            assertEquals(
                    fixture.exchange(client, request("gift", "t2", 900), "acme").body(), "t2");
            assertEquals(fixture.requests.size(), 1);
        }
    }

    /** The connection closes, after an error reply if the header shows which call is invalid; others stay open. */
    @Test(dataProvider = "formats")
    public void malformedInputClosesOnlyItsOwnConnection(ThriftProtocolCodec codec) throws Exception {
        try (ThriftSidecarFixture fixture = newFixture(codec, respondingWithId(codec))) {
            byte[] valid = codec.encodeRequest(request("gift", "t", 900), "acme");
            byte[] deep = codec.message("gift", TMessageType.CALL, 7, out -> {
                for (int i = 0; i < 100; i++) {
                    out.writeFieldBegin(new TField("", TType.STRUCT, (short) 1));
                    out.writeStructBegin(new TStruct());
                }
                for (int i = 0; i < 100; i++) {
                    out.writeFieldStop();
                    out.writeStructEnd();
                }
            });
            assertEquals(exchangeAndAssertClosed(fixture, codec, deep).outcome(), "unusable");
            byte[] reply = codec.encodeResponse(new ProtocolCodec.Request("gift", "t", 0, "", 7), "reply");
            assertEquals(exchangeAndAssertClosed(fixture, codec, reply).outcome(), "unusable");
            assertEquals(exchangeAndAssertClosed(fixture, codec, "GET / HTTP/1.1\r\n\r\n".getBytes()), null);
            Socket other = fixture.connectClient();
            if (codec.format().framed()) {
                byte[] unframed = Arrays.copyOfRange(valid, 4, valid.length);
                for (int length : new int[] {unframed.length - 3, 2 * unframed.length, 2_000_000_000}) {
                    byte[] wrongLength = ByteBuffer.allocate(4 + 2 * unframed.length)
                            .putInt(length)
                            .put(unframed)
                            .put(unframed)
                            .array();
                    assertEquals(
                            exchangeAndAssertClosed(fixture, codec, wrongLength).outcome(),
                            "unusable",
                            "outcome for a frame of length " + length);
                }
                assertEquals(exchangeAndAssertClosed(fixture, codec, ThriftProtocolCodec.frame(0, unframed)), null);
            }
            assertEquals(
                    fixture.exchange(other, request("gift", "t1", 900), "acme").body(), "t1");
            other.close();
            assertEquals(fixture.requests.size(), 1);
        }
    }

    /** Sends bytes and expects that the connection is closed; returns the response, null if there is none. */
    private static ProtocolCodec.Response exchangeAndAssertClosed(
            ThriftSidecarFixture fixture, ThriftProtocolCodec codec, byte[] bytes) throws IOException {
        try (Socket client = fixture.connectClient()) {
            client.getOutputStream().write(bytes);
            ProtocolCodec.Response response =
                    codec.newReader(client.getInputStream()).readResponse();
            assertTrue(client.getInputStream().read() < 0, "the sidecar closes the connection");
            return response;
        } catch (java.net.SocketException reset) {
            return null;
        }
    }

    @Test(dataProvider = "formats")
    public void passesOnDeclaredExceptions(ThriftProtocolCodec codec) throws Exception {
        try (ThriftSidecarFixture fixture = newFixture(
                codec,
                (request, connection) ->
                        connection.getOutputStream().write(codec.encodeDeclaredException(request, 2)))) {
            assertEquals(fixture.exchange(request("gift", "t", 900)).body(), "declared 2");
        }
    }

    private static byte[] encodeOnewayCall(ThriftProtocolCodec codec, String body) {
        return codec.encodeCall(TMessageType.ONEWAY, new ProtocolCodec.Request("hint", null, 0, body, 7), "acme");
    }

    /** A reply that a server sends to a oneway call is discarded. */
    @Test(dataProvider = "formats")
    public void sendsOnewayCallOnceAndDiscardsItsReply(ThriftProtocolCodec codec) throws Exception {
        try (ThriftSidecarFixture fixture = newFixture(codec, (request, connection) -> {
                    connection.getOutputStream().write(codec.encodeResponse(request, "of " + request.method()));
                });
                Socket client = fixture.connectClient()) {
            client.getOutputStream().write(encodeOnewayCall(codec, "x"));
            ScriptedServer.await(() -> fixture.requests.size() == 1);
            Thread.sleep(100);
            assertEquals(
                    fixture.exchange(client, request("gift", "t", 900), "acme").body(), "of gift");
            assertEquals(fixture.extension.lostOnewayCalls(), 0);
        }
    }

    /** Not even if its class permits retries: it has no reply, so nobody would learn that it was executed twice. */
    @Test(dataProvider = "formats")
    public void doesNotRetryStartedOnewayCallAndCountsLostOnes(ThriftProtocolCodec codec) throws Exception {
        try (ThriftSidecarFixture fixture = newFixture(codec, respondingWithId(codec));
                Socket client = fixture.connectClient()) {
            client.getOutputStream().write(encodeOnewayCall(codec, "x"));
            ScriptedServer.await(() -> fixture.requests.size() == 1);
            fixture.sendEndpointUpdate(fixture.endpointUpdate(2, "s", "leaving"));
            client.getOutputStream().write(encodeOnewayCall(codec, "lost"));
            ScriptedServer.await(() -> fixture.extension.lostOnewayCalls() == 1);
            client.getOutputStream()
                    .write(codec.encodeCall(
                            TMessageType.ONEWAY, new ProtocolCodec.Request("nothing", null, 0, "", 7), "acme"));
            ScriptedServer.await(() -> fixture.extension.lostOnewayCalls() == 2);
            assertEquals(fixture.requests.size(), 1);
        }
    }

    // ---- Clients and servers of Apache's library ----

    private static TProtocolFactory protocolFactory(ThriftProtocolCodec codec) {
        return codec::protocol;
    }

    /** Starts a server of the library, which responds to gift with an exception and to any other method with a text. */
    private static TServer startLibraryServer(ThriftProtocolCodec codec, TServerSocket socket) {
        TTransportFactory transportFactory =
                codec.format().framed() ? new TFramedTransport.Factory() : new TTransportFactory();
        TServer server = new TThreadPoolServer(new TThreadPoolServer.Args(socket)
                .transportFactory(transportFactory)
                .protocolFactory(protocolFactory(codec))
                .processor((in, out) -> {
                    TMessage call = in.readMessageBegin();
                    in.skip(TType.STRUCT);
                    in.readMessageEnd();
                    boolean isException = call.seqid > 0 && call.name.equals("gift");
                    byte type = isException ? TMessageType.EXCEPTION : TMessageType.REPLY;
                    out.writeMessageBegin(new TMessage(call.name, type, call.seqid));
                    if (isException) {
                        new TApplicationException(TApplicationException.INTERNAL_ERROR, "gift failed").write(out);
                    } else {
                        ThriftProtocolCodec.writeText(out, 0, "of the library");
                        out.writeFieldStop();
                    }
                    out.writeMessageEnd();
                    out.getTransport().flush();
                }));
        Thread thread = new Thread(server::serve);
        thread.setDaemon(true);
        thread.start();
        return server;
    }

    /** Returns the text of the reply, or the type of the exception. */
    private static Object call(TProtocol protocol, ThriftProtocolCodec codec, ProtocolCodec.Request request)
            throws TException {
        byte[] bytes = codec.encodeRequest(request, "acme");
        int frameHeaderBytes = codec.format().framed() ? 4 : 0;
        TTransport transport = protocol.getTransport();
        transport.write(bytes, frameHeaderBytes, bytes.length - frameHeaderBytes);
        transport.flush();
        TMessage reply = protocol.readMessageBegin();
        assertEquals(reply.seqid, request.sequenceId());
        assertEquals(reply.name, request.method());
        if (reply.type == TMessageType.EXCEPTION) {
            return TApplicationException.readFrom(protocol).getType();
        }
        protocol.readStructBegin();
        protocol.readFieldBegin();
        String text = protocol.readString();
        protocol.readFieldBegin();
        protocol.readStructEnd();
        return text;
    }

    @Test(dataProvider = "formats")
    public void servesClientsOfTheLibraryFromServersOfTheLibrary(ThriftProtocolCodec codec) throws Exception {
        try (TServerSocket socket = new TServerSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                ThriftSidecarFixture fixture = newFixture(codec, respondingWithId(codec))) {
            TServer server = startLibraryServer(codec, socket);
            String serverAddress = "127.0.0.1:" + socket.getServerSocket().getLocalPort();
            fixture.sendEndpointUpdate(SidecarFixture.endpointUpdate(serverAddress, 2, true, "active")
                    .replace("\"s\"", "\"library\""));
            InetSocketAddress address = fixture.extension.address();
            try (TTransport raw = new TSocket(address.getHostString(), address.getPort(), 3_000)) {
                raw.open();
                TProtocol protocol =
                        protocolFactory(codec).getProtocol(codec.format().framed() ? new TFramedTransport(raw) : raw);
                assertEquals(call(protocol, codec, request("list", "t1", 900)), "of the library");
                assertEquals(
                        call(protocol, codec, request("nothing", "t2", 900)), TApplicationException.UNKNOWN_METHOD);
                assertEquals(call(protocol, codec, request("gift", "t3", 900)), TApplicationException.INTERNAL_ERROR);
                assertEquals(call(protocol, codec, request("list", "t4", 900)), "of the library");
                assertEquals(fixture.requests.size(), 0);
            } finally {
                server.stop();
            }
        }
    }

    @Test(dataProvider = "formats")
    public void probeReturnsLoadReportAndOnewayCallIsSentOnce(ThriftProtocolCodec codec) throws Exception {
        EventLoop loop = new EventLoop();
        try (ThriftSidecarFixture fixture = newFixture(
                codec,
                (request, connection) ->
                        connection.getOutputStream().write(codec.encodeResponse(request, "queue=3,inflight=2")))) {
            Clock clock = new Clock();
            ThriftBackend backend = new ThriftBackend(
                    new ThriftBackend.Dependencies(
                            clock,
                            loop,
                            clock::nowMs,
                            List.of(LoadField.IN_FLIGHT, LoadField.QUEUED),
                            500,
                            800,
                            8,
                            MessageMemory.ofHeap(0.25)),
                    codec.format(),
                    new MessageLimits(1_024, 8),
                    new MethodRegistry(
                            List.of(new MethodConfig(
                                    "hint",
                                    0,
                                    Optional.empty(),
                                    Optional.empty(),
                                    Optional.empty(),
                                    Optional.empty(),
                                    0,
                                    0,
                                    Set.of(),
                                    Optional.empty())),
                            List.of()),
                    Optional.of("load"));
            loop.start(new EventLoop.RoundListener() {}, () -> {});
            CompletableFuture<Backend.Result> result = new CompletableFuture<>();
            Backend.Server server = new Backend.Server("s", addressIn(fixture.endpointUpdate(1, "s", "active")));
            loop.execute(() -> backend.probe(server, clock.nowMs() + 500, result::complete));
            assertEquals(result.get(2, TimeUnit.SECONDS).loadReport(), new double[] {2, 3});
            assertEquals(fixture.requests.get(0).method(), "load");
            // A second attempt of a oneway call, which the load balancer may ask for, is not sent.
            Encoding encoding = codec.format().encoding();
            byte[] call = encodeOnewayCall(codec, "x");
            Message message = ThriftMessages.ofCall(
                    RawMessage.of(encoding, codec.format().framed() ? Arrays.copyOfRange(call, 4, call.length) : call),
                    "");
            for (Outcome outcome : new Outcome[] {Outcome.SUCCESS, Outcome.NEVER_SENT}) {
                CompletableFuture<Backend.Result> sent = new CompletableFuture<>();
                loop.execute(() -> backend.send(server, message, clock.nowMs() + 500, sent::complete));
                assertEquals(sent.get(2, TimeUnit.SECONDS).outcome(), outcome);
            }
        } finally {
            loop.close();
        }
    }

    private static String addressIn(String endpointUpdate) {
        return endpointUpdate.replaceAll(".*\"addr\":\"|\",\"zone.*", "");
    }

    // ---- Operator file ----

    @DataProvider
    public Object[][] invalidFiles() {
        String head = "[thrift]\nlisten = \"h:1\"\n[thrift.servers]\nform = \"compact\"\n[[thrift.method]]\n"
                + "name = \"a\"\nclass = \"list\"\nabsent-remaining = \"1 s\"\n";
        return new Object[][] {
            {head + "[[thrift.method]]\nname = \"a\"\nclass = \"list\"\n", "f:11:1: thrift.method.name: is there twice"
            },
            {head + "id = \"1.40000\"\n", "f:10:1: thrift.method.id: has a field id outside"},
            {head + "id = \"1..2\"\n", "f:10:1: thrift.method.id: must be 1 to 8 field ids"},
            {head.replace("compact", "json"), "f:5:1: thrift.servers.form: must be one of"},
        };
    }

    @Test(dataProvider = "invalidFiles")
    public void reportsProblemsOfTheOperatorFileWithTheirPlace(String file, String problem) {
        assertTrue(
                ThriftSidecarFixture.readOperatorFile(file)
                        .problems()
                        .toString()
                        .contains(problem),
                ThriftSidecarFixture.readOperatorFile(file).problems().toString());
        assertFalse(ThriftSidecarFixture.readOperatorFile(file).values().isPresent());
    }
}
