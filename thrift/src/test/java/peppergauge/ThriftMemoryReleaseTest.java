package peppergauge;

import java.lang.reflect.Field;
import java.net.Socket;
import java.util.Arrays;
import org.apache.thrift.protocol.TMessageType;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.ThriftSidecarFixture.ProtocolPair;
import peppergauge.memory.MessageMemory;
import peppergauge.thrift.wire.WireFormat;

/** Memory that is reserved for a Thrift call and its reply is released however they end. */
public class ThriftMemoryReleaseTest extends RealTimeTestBase {

    private static final int LARGE_BYTES = 50_000;
    private static final int REPETITIONS = 10;
    private static final long REMAINING_MS = 900;

    /** What a client does with its connection. */
    private enum Client {
        EXCHANGES {
            @Override
            void use(Socket connection, ThriftProtocolCodec codec, String id) throws Exception {
                connection.getOutputStream().write(call(codec, "gift", id, LARGE_BYTES));
                codec.newReader(connection.getInputStream()).readResponse();
            }
        },
        PIPELINES {
            @Override
            void use(Socket connection, ThriftProtocolCodec codec, String id) throws Exception {
                connection.getOutputStream().write(call(codec, "gift", id + "a", LARGE_BYTES));
                connection.getOutputStream().write(call(codec, "list", id + "b", 10));
                ProtocolCodec.Reader replies = codec.newReader(connection.getInputStream());
                replies.readResponse();
                replies.readResponse();
            }
        },
        LEAVES_IN_A_CALL {
            @Override
            void use(Socket connection, ThriftProtocolCodec codec, String id) throws Exception {
                connection.getOutputStream().write(call(codec, "gift", id, LARGE_BYTES), 0, LARGE_BYTES);
            }
        },
        LEAVES_BEFORE_THE_REPLY {
            @Override
            void use(Socket connection, ThriftProtocolCodec codec, String id) throws Exception {
                connection.getOutputStream().write(call(codec, "gift", id, LARGE_BYTES));
            }
        },
        SENDS_ONEWAY_CALLS {
            @Override
            void use(Socket connection, ThriftProtocolCodec codec, String id) throws Exception {
                ProtocolCodec.Request hint = new ProtocolCodec.Request("hint", id, REMAINING_MS, "x".repeat(20_000), 1);
                connection.getOutputStream().write(codec.encodeCall(TMessageType.ONEWAY, hint, "acme"));
            }
        },
        CALLS_AN_UNKNOWN_METHOD {
            @Override
            void use(Socket connection, ThriftProtocolCodec codec, String id) throws Exception {
                connection.getOutputStream().write(call(codec, "unknown", id, LARGE_BYTES));
                codec.newReader(connection.getInputStream()).readResponse();
            }
        },
        SENDS_TOO_MUCH {
            @Override
            void use(Socket connection, ThriftProtocolCodec codec, String id) throws Exception {
                connection.getOutputStream().write(call(codec, "gift", id, 100_000));
                codec.newReader(connection.getInputStream()).readResponse();
            }
        };

        abstract void use(Socket connection, ThriftProtocolCodec codec, String id) throws Exception;

        private static byte[] call(ThriftProtocolCodec codec, String method, String id, int bytes) {
            return codec.encodeRequest(
                    new ProtocolCodec.Request(method, id, REMAINING_MS, "x".repeat(bytes), 7), "acme");
        }
    }

    @DataProvider
    public Object[][] clients() {
        return Arrays.stream(Client.values())
                .map(client -> new Object[] {client})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "clients")
    public void releasesMemoryWhenAllConnectionsAreClosed(Client client) throws Exception {
        ThriftProtocolCodec codec = new ThriftProtocolCodec(WireFormat.FRAMED_BINARY);
        try (ThriftSidecarFixture fixture = new ThriftSidecarFixture(
                new ProtocolPair(codec, codec),
                (request, connection) -> connection
                        .getOutputStream()
                        .write(codec.encodeResponse(
                                request, "y".repeat(request.body().length()))))) {
            MessageMemory memory = messageMemory(fixture.sidecar);
            for (int i = 0; i < REPETITIONS; i++) {
                try (Socket connection = fixture.connectClient()) {
                    client.use(connection, codec, client + "-" + i);
                }
            }
            ScriptedServer.await("all memory to be released", 10, () -> memory.heldBytes() == 0);
        }
    }

    /** Without it, nothing would be counted, and the test above would hold trivially. */
    @Test
    public void holdsMemoryForIncompleteAndForOpenCalls() throws Exception {
        ThriftProtocolCodec codec = new ThriftProtocolCodec(WireFormat.FRAMED_BINARY);
        try (ThriftSidecarFixture fixture =
                new ThriftSidecarFixture(new ProtocolPair(codec, codec), (request, connection) -> {})) {
            MessageMemory memory = messageMemory(fixture.sidecar);
            byte[] call = Client.call(codec, "gift", "open", LARGE_BYTES);
            try (Socket connection = fixture.connectClient()) {
                connection.getOutputStream().write(call, 0, call.length - 1);
                ScriptedServer.await("memory for the input", 10, () -> memory.heldBytes() >= LARGE_BYTES);
                connection.getOutputStream().write(call, call.length - 1, 1);
                ScriptedServer.await("the call at its server", 10, () -> !fixture.requests.isEmpty());
                ScriptedServer.await("memory for the call", 10, () -> memory.heldBytes() >= 2 * LARGE_BYTES);
            }
            ScriptedServer.await("all memory to be released", 10, () -> memory.heldBytes() == 0);
        }
    }

    private static MessageMemory messageMemory(Sidecar sidecar) throws ReflectiveOperationException {
        Field field = Sidecar.class.getDeclaredField("messageMemory");
        field.setAccessible(true);
        return (MessageMemory) field.get(sidecar);
    }
}
