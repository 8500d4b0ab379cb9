package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

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
import peppergauge.Stage.Pair;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.request.Backend;
import peppergauge.request.Clock;
import peppergauge.request.Message;
import peppergauge.sockets.EventLoop;
import peppergauge.thrift.backend.ThriftBackend;
import peppergauge.thrift.method.Carried;
import peppergauge.thrift.method.Method;
import peppergauge.thrift.method.Methods;
import peppergauge.thrift.wire.Bounds;
import peppergauge.thrift.wire.Encoding;
import peppergauge.thrift.wire.Form;
import peppergauge.thrift.wire.RawMessage;

/** What only Thrift has: types of messages, oneway calls, its library's own clients and servers. */
public class ThriftRulesTest extends RealTimeTestBase {

    @DataProvider(parallel = true)
    public Object[][] forms() {
        return Stream.of(Form.values())
                .map(form -> new Object[] {new ThriftSpelling(form)})
                .toArray(Object[][]::new);
    }

    private static Stage stage(ThriftSpelling spelling, Stage.Script script) throws Exception {
        return new Stage(new Pair(spelling, spelling), script);
    }

    private static Stage ok(ThriftSpelling spelling) throws Exception {
        return stage(spelling, (ask, connection) -> connection.getOutputStream().write(spelling.served(ask, ask.id())));
    }

    @Test(dataProvider = "forms")
    public void anUnknownMethodIsAnsweredAndItsConnectionServesOn(ThriftSpelling spelling) throws Exception {
        try (Stage stage = ok(spelling);
                Socket client = stage.client()) {
            assertEquals(
                    stage.ask(client, Stage.asking("nothing", "t1", 900), "acme")
                            .what(),
                    "unknown");
            assertEquals(
                    stage.ask(client, Stage.asking("gift", null, 900), "acme").what(), "unusable");
            assertEquals(
                    stage.ask(client, Stage.asking("gift", "t2", 900), "acme").body(), "t2");
            assertEquals(stage.asks.size(), 1);
        }
    }

    /** Its own connection ends, after an answer where it is known whose it would be; others do not notice. */
    @Test(dataProvider = "forms")
    public void badInputCostsItsConnectionOnly(ThriftSpelling spelling) throws Exception {
        try (Stage stage = ok(spelling)) {
            byte[] good = spelling.ask(Stage.asking("gift", "t", 900), "acme");
            byte[] deep = spelling.message("gift", TMessageType.CALL, 7, out -> {
                for (int i = 0; i < 100; i++) {
                    out.writeFieldBegin(new TField("", TType.STRUCT, (short) 1));
                    out.writeStructBegin(new TStruct());
                }
                for (int i = 0; i < 100; i++) {
                    out.writeFieldStop();
                    out.writeStructEnd();
                }
            });
            assertEquals(bad(stage, spelling, deep).what(), "unusable");
            byte[] reply = spelling.served(new Spelling.Ask("gift", "t", 0, "", 7), "reply");
            assertEquals(bad(stage, spelling, reply).what(), "unusable");
            assertEquals(bad(stage, spelling, "GET / HTTP/1.1\r\n\r\n".getBytes()), null);
            Socket other = stage.client();
            if (spelling.form().framed()) {
                byte[] inside = Arrays.copyOfRange(good, 4, good.length);
                for (int length : new int[] {inside.length - 3, 2 * inside.length, 2_000_000_000}) {
                    byte[] lies = ByteBuffer.allocate(4 + 2 * inside.length)
                            .putInt(length)
                            .put(inside)
                            .put(inside)
                            .array();
                    assertEquals(bad(stage, spelling, lies).what(), "unusable", "a frame of " + length);
                }
                assertEquals(bad(stage, spelling, ThriftSpelling.frame(0, inside)), null);
            }
            assertEquals(
                    stage.ask(other, Stage.asking("gift", "t1", 900), "acme").body(), "t1");
            other.close();
            assertEquals(stage.asks.size(), 1);
        }
    }

    private static Spelling.Answer bad(Stage stage, ThriftSpelling spelling, byte[] bytes) throws IOException {
        try (Socket client = stage.client()) {
            client.getOutputStream().write(bytes);
            Spelling.Answer answer = spelling.on(client.getInputStream()).answer();
            assertTrue(client.getInputStream().read() < 0, "left open");
            return answer;
        } catch (java.net.SocketException reset) {
            return null;
        }
    }

    @Test(dataProvider = "forms")
    public void aDeclaredExceptionIsTheServersAnswer(ThriftSpelling spelling) throws Exception {
        try (Stage stage = stage(
                spelling, (ask, connection) -> connection.getOutputStream().write(spelling.declared(ask, 2)))) {
            assertEquals(stage.ask(Stage.asking("gift", "t", 900)).body(), "declared 2");
        }
    }

    private static byte[] hint(ThriftSpelling spelling, String body) {
        return spelling.asking(TMessageType.ONEWAY, new Spelling.Ask("hint", null, 0, body, 7), "acme");
    }

    /** No reply is owed, and what a server answers all the same reaches nobody. */
    @Test(dataProvider = "forms")
    public void aOnewayCallIsWrittenOnceAndItsAnswerIsNobodys(ThriftSpelling spelling) throws Exception {
        try (Stage stage = stage(spelling, (ask, connection) -> {
                    connection.getOutputStream().write(spelling.served(ask, "of " + ask.method()));
                });
                Socket client = stage.client()) {
            client.getOutputStream().write(hint(spelling, "x"));
            ScriptedServer.await(() -> stage.asks.size() == 1);
            Thread.sleep(100);
            assertEquals(
                    stage.ask(client, Stage.asking("gift", "t", 900), "acme").body(), "of gift");
            assertEquals(stage.addition.lostOneways(), 0);
        }
    }

    /** Its class may run again, it may not: nobody would learn that it ran twice. */
    @Test(dataProvider = "forms")
    public void aOnewayCallIsNotSentAgainOnceAByteIsWrittenAndItsLossIsCounted(ThriftSpelling spelling)
            throws Exception {
        try (Stage stage = ok(spelling);
                Socket client = stage.client()) {
            client.getOutputStream().write(hint(spelling, "x"));
            ScriptedServer.await(() -> stage.asks.size() == 1);
            stage.tell(stage.table(2, "s", "leaving"));
            client.getOutputStream().write(hint(spelling, "lost"));
            ScriptedServer.await(() -> stage.addition.lostOneways() == 1);
            client.getOutputStream()
                    .write(spelling.asking(TMessageType.ONEWAY, new Spelling.Ask("nothing", null, 0, "", 7), "acme"));
            ScriptedServer.await(() -> stage.addition.lostOneways() == 2);
            assertEquals(stage.asks.size(), 1);
        }
    }

    // ---- The library's own ----

    private static TProtocolFactory protocols(ThriftSpelling spelling) {
        return spelling::protocol;
    }

    /** A server of the library's, which says what it was asked; of {@code odd} with its own exception. */
    private static TServer server(ThriftSpelling spelling, TServerSocket socket) {
        TTransportFactory frames = spelling.form().framed() ? new TFramedTransport.Factory() : new TTransportFactory();
        TServer server = new TThreadPoolServer(new TThreadPoolServer.Args(socket)
                .transportFactory(frames)
                .protocolFactory(protocols(spelling))
                .processor((in, out) -> {
                    TMessage call = in.readMessageBegin();
                    in.skip(TType.STRUCT);
                    in.readMessageEnd();
                    boolean odd = call.seqid > 0 && call.name.equals("gift");
                    out.writeMessageBegin(
                            new TMessage(call.name, odd ? TMessageType.EXCEPTION : TMessageType.REPLY, call.seqid));
                    if (odd) {
                        new TApplicationException(TApplicationException.INTERNAL_ERROR, "odd").write(out);
                    } else {
                        ThriftSpelling.text(out, 0, "of the library");
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

    private static Object call(TProtocol protocol, ThriftSpelling spelling, Spelling.Ask ask) throws TException {
        byte[] bytes = spelling.ask(ask, "acme");
        int head = spelling.form().framed() ? 4 : 0;
        TTransport to = protocol.getTransport();
        to.write(bytes, head, bytes.length - head);
        to.flush();
        TMessage reply = protocol.readMessageBegin();
        assertEquals(reply.seqid, ask.sequence());
        assertEquals(reply.name, ask.method());
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

    @Test(dataProvider = "forms")
    public void clientsAndServersOfTheLibraryTakePart(ThriftSpelling spelling) throws Exception {
        try (TServerSocket socket = new TServerSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                Stage stage = ok(spelling)) {
            TServer server = server(spelling, socket);
            stage.tell(SidecarFixture.endpointUpdate(
                            "127.0.0.1:" + socket.getServerSocket().getLocalPort(), 2, true, "active")
                    .replace("\"s\"", "\"library\""));
            InetSocketAddress address = stage.addition.address();
            try (TTransport raw = new TSocket(address.getHostString(), address.getPort(), 3_000)) {
                raw.open();
                TProtocol protocol =
                        protocols(spelling).getProtocol(spelling.form().framed() ? new TFramedTransport(raw) : raw);
                assertEquals(call(protocol, spelling, Stage.asking("list", "t1", 900)), "of the library");
                assertEquals(
                        call(protocol, spelling, Stage.asking("nothing", "t2", 900)),
                        TApplicationException.UNKNOWN_METHOD);
                assertEquals(
                        call(protocol, spelling, Stage.asking("gift", "t3", 900)),
                        TApplicationException.INTERNAL_ERROR);
                assertEquals(call(protocol, spelling, Stage.asking("list", "t4", 900)), "of the library");
                assertEquals(stage.asks.size(), 0);
            } finally {
                server.stop();
            }
        }
    }

    @Test(dataProvider = "forms")
    public void aProbeIsACallWhoseReplyIsTheReportAndAOnewayCallGoesOutOnce(ThriftSpelling spelling) throws Exception {
        EventLoop loop = new EventLoop();
        try (Stage stage = stage(
                spelling,
                (ask, connection) -> connection.getOutputStream().write(spelling.served(ask, "queue=3,inflight=2")))) {
            Clock clock = new Clock();
            ThriftBackend backend = new ThriftBackend(
                    new ThriftBackend.Links(
                            clock, loop, clock::nowMs, List.of(LoadField.IN_FLIGHT, LoadField.QUEUED), 500, 800, 8),
                    spelling.form(),
                    new Bounds(1_024, 8),
                    new Methods(
                            List.of(new Method(
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
            Backend.Server server =
                    new Backend.Server("s", stage.table(1, "s", "active").replaceAll(".*\"addr\":\"|\",\"zone.*", ""));
            loop.execute(() -> backend.probe(server, clock.nowMs() + 500, result::complete));
            assertEquals(result.get(2, TimeUnit.SECONDS).loadReport(), new double[] {2, 3});
            assertEquals(stage.asks.get(0).method(), "load");
            // What the module may ask for again after a oneway call broke off under way is not sent again.
            Encoding encoding = spelling.form().encoding();
            byte[] hint = hint(spelling, "x");
            Message message = Carried.call(
                    RawMessage.of(encoding, spelling.form().framed() ? Arrays.copyOfRange(hint, 4, hint.length) : hint),
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

    // ---- The file ----

    @DataProvider
    public Object[][] wrongFiles() {
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

    @Test(dataProvider = "wrongFiles")
    public void whatIsWrongInTheFileIsNamedWithItsPlace(String file, String problem) {
        assertTrue(
                Stage.file(file).problems().toString().contains(problem),
                Stage.file(file).problems().toString());
        assertFalse(Stage.file(file).values().isPresent());
    }
}
