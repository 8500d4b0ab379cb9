package peppergauge;

import static org.testng.Assert.assertEquals;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.request.EndpointUpdate;

/** What was begun for a process of a server is not sent to the process that takes its place. */
public class ReplacedServerTest extends RealTimeTestBase {

    private static final int SOCKETS = 256;
    /** Long enough for a connection that is established at the second try. */
    private static final int LONG_TIMEOUT_MS = 8_000;

    private static final String SLOW_CONNECTS =
            SidecarFixture.SETTINGS.replace("\"connectTimeoutMs\":200", "\"connectTimeoutMs\":2000");

    /** The retransmission of the connection request, which the kernel sends after 1 s. */
    private static final long ESTABLISHED_MS = 1_500;

    /** A connection under way to the address of a process that had gone was established, and the request sent. */
    @Test
    public void sendsNoRequestToTheFormerAddressOfAServerThatHasMoved() throws Exception {
        try (LateAcceptServer former = new LateAcceptServer();
                ScriptedServer other = new ScriptedServer(SidecarFixture.ECHO);
                PausableSidecarFixture fixture = new PausableSidecarFixture(
                        SLOW_CONNECTS, SOCKETS, SidecarFixture.knownEndpoints(former.address(), 1));
                Socket client = fixture.client()) {
            CountDownLatch decided = new CountDownLatch(1);
            fixture.eventHook = event -> decided.countDown();
            SidecarFixture.send(client, SidecarFixture.post("moved", LONG_TIMEOUT_MS, "x"));
            PausableSidecarFixture.await(decided);
            fixture.awaitInputHandled();
            Endpoint moved = new Endpoint("s", 0, 0, EndpointState.READY, 0);
            fixture.dispatcher.onEndpointUpdate(
                    new EndpointUpdate(2, true, List.of(new EndpointUpdate.EndpointAddress(moved, other.address()))));
            fixture.awaitInputHandled();
            former.accept();
            ScriptedServer.Request response = ScriptedServer.readRequest(client.getInputStream());
            SidecarFixture.assertResponseId(response, "moved");
            Thread.sleep(ESTABLISHED_MS);
            assertEquals(requestIds(former), List.of());
        }
    }

    private static List<String> requestIds(LateAcceptServer server) {
        return server.requests.stream().map(request -> request.header("X-Txn")).toList();
    }
}
