package peppergauge;

import static org.testng.Assert.assertTrue;

import java.lang.reflect.Field;
import java.net.Socket;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.memory.MessageMemory;

/** Memory that is reserved for a request and its response is released however they end. */
public class MessageMemoryReleaseTest extends RealTimeTestBase {

    private static final int LARGE_BODY_BYTES = 50_000;
    private static final int REPETITIONS = 20;

    /** What a client does with its connection. */
    private interface Client {
        void use(Socket connection, int number) throws Exception;
    }

    private static String chunkedPost(String id) {
        return "POST /gift/k HTTP/1.1\r\nHost: h\r\nX-Txn: " + id + "\r\nX-Org: acme\r\nX-Remaining-Ms: 900\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n";
    }

    private static String largePost(String id) {
        return SidecarFixture.post(id, 900, "x".repeat(LARGE_BODY_BYTES));
    }

    @DataProvider
    public Object[][] clients() {
        Client exchanges = (connection, number) -> {
            SidecarFixture.exchangeAndAssertId(connection, "a" + number);
            SidecarFixture.exchange(connection, largePost("b" + number));
            SidecarFixture.exchange(connection, chunkedPost("c" + number));
        };
        Client pipelines = (connection, number) -> {
            SidecarFixture.send(
                    connection, largePost("d" + number) + largePost("e" + number) + chunkedPost("f" + number));
            for (int i = 0; i < 3; i++) {
                ScriptedServer.readRequest(connection.getInputStream());
            }
        };
        Client leavesInTheBody = (connection, number) ->
                SidecarFixture.send(connection, largePost("g" + number).substring(0, LARGE_BODY_BYTES));
        Client leavesBeforeTheResponse =
                (connection, number) -> SidecarFixture.send(connection, largePost("h" + number));
        Client sendsInvalidRequests = (connection, number) ->
                SidecarFixture.exchange(connection, "GET /unknown/k HTTP/1.1\r\nHost: h\r\n\r\n");
        Client sendsTooMuch = (connection, number) -> SidecarFixture.exchange(
                connection,
                "POST /gift/k HTTP/1.1\r\nHost: h\r\nX-Txn: i" + number
                        + "\r\nX-Org: acme\r\nX-Remaining-Ms: 900\r\nContent-Length: 70000\r\n\r\n");
        Client asksWhetherItIsReady =
                (connection, number) -> SidecarFixture.exchange(connection, "GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        return new Object[][] {
            {exchanges},
            {pipelines},
            {leavesInTheBody},
            {leavesBeforeTheResponse},
            {sendsInvalidRequests},
            {sendsTooMuch},
            {asksWhetherItIsReady},
        };
    }

    @Test(dataProvider = "clients")
    public void releasesMemoryWhenAllConnectionsAreClosed(Client client) throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(SidecarFixture.ECHO)) {
            for (int i = 0; i < REPETITIONS; i++) {
                try (Socket connection = fixture.client()) {
                    client.use(connection, i);
                }
            }
            MessageMemory memory = messageMemory(fixture.sidecar);
            ScriptedServer.await("all memory to be released", 10, () -> memory.heldBytes() == 0);
        }
    }

    @Test
    public void holdsMemoryWhileARequestIsOpen() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture((request, connection) -> {})) {
            MessageMemory memory = messageMemory(fixture.sidecar);
            try (Socket connection = fixture.client()) {
                SidecarFixture.send(connection, largePost("open"));
                ScriptedServer.await(() -> memory.heldBytes() >= LARGE_BODY_BYTES);
            }
            ScriptedServer.await("all memory to be released", 10, () -> memory.heldBytes() == 0);
            assertTrue(memory.limitBytes() > 0);
        }
    }

    private static MessageMemory messageMemory(Sidecar sidecar) throws ReflectiveOperationException {
        Field field = Sidecar.class.getDeclaredField("messageMemory");
        field.setAccessible(true);
        return (MessageMemory) field.get(sidecar);
    }
}
