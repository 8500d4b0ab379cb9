package peppergauge;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer;

/** No attempt is begun for a client that has gone, wherever its request waits and whatever its end looks like. */
public class GoneClientsTest extends RealTimeTestBase {

    private static final int SOCKETS = 256;
    private static final int SERVERS = 2;
    /** Long enough for a connection that comes up at the second try. */
    private static final int PATIENT_MS = 8_000;
    /** An attempt that begins this much after its client's end is one for nobody. */
    private static final long GONE_FOR_MS = 150;

    private static final String SLOW_CONNECTS =
            SidecarFixture.SETTINGS.replace("\"connectTimeoutMs\":200", "\"connectTimeoutMs\":2000");

    private static final String LONG_IDLE = SidecarFixture.SETTINGS.replace("\"connIdleMs\":800", "\"connIdleMs\":60000");

    /** How a client goes. */
    enum Leaving {
        CLOSE {
            @Override
            void leave(Socket client) throws IOException {
                client.close();
            }
        },
        RESET {
            @Override
            void leave(Socket client) throws IOException {
                client.setSoLinger(true, 0);
                client.close();
            }
        },
        END_OF_SENDING {
            @Override
            void leave(Socket client) throws IOException {
                client.shutdownOutput();
            }
        };

        abstract void leave(Socket client) throws IOException;
    }

    private static String cancelling(String settings, boolean may) {
        return settings.replace("\"cancelling\":true", "\"cancelling\":" + may);
    }

    private static List<String> ids(List<ScriptedServer.Request> requests) {
        return requests.stream().map(request -> request.header("X-Txn")).toList();
    }

    @DataProvider
    public Object[][] leavings() {
        return new Object[][] {
            {Leaving.CLOSE, true}, {Leaving.CLOSE, false}, {Leaving.RESET, false}, {Leaving.END_OF_SENDING, false},
        };
    }

    /** Settings that forbid to cancel speak of what is written: what is not must not be begun. */
    @Test(dataProvider = "leavings")
    public void noneBeginsOnAConnectionThatComesUpLater(Leaving leaving, boolean mayCancel) throws Exception {
        try (LateAcceptServer server = new LateAcceptServer();
                PausableSidecarFixture bed =
                        new PausableSidecarFixture(cancelling(SLOW_CONNECTS, mayCancel), SOCKETS, SidecarFixture.knownEndpoints(server.address(), 1));
                Socket client = bed.client()) {
            CountDownLatch decided = new CountDownLatch(1);
            bed.hook = event -> decided.countDown();
            SidecarFixture.send(client, SidecarFixture.post("left", PATIENT_MS, "x"));
            PausableSidecarFixture.await(decided);
            bed.settle();
            leaving.leave(client);
            bed.settle();
            server.accept();
            ScriptedServer.await(() -> server.connections.size() == 1);
            bed.settle();
            SidecarFixture.assertResponseId(bed.ask(SidecarFixture.post("next", PATIENT_MS, "x")), "next");
            assertEquals(ids(server.requests), List.of("next"));
        }
    }

    /** How a client goes, and before which event of its request the loop is held up meanwhile. */
    @DataProvider
    public Object[][] unread() {
        return new Object[][] {
            {Leaving.CLOSE, LoadBalancer.RequestArrived.class},
            {Leaving.RESET, LoadBalancer.RequestArrived.class},
            {Leaving.END_OF_SENDING, LoadBalancer.RequestArrived.class},
            {Leaving.CLOSE, LoadBalancer.AttemptEnded.class},
            {Leaving.RESET, LoadBalancer.AttemptEnded.class},
            {Leaving.END_OF_SENDING, LoadBalancer.AttemptEnded.class},
        };
    }

    /** Leaves a connection idle to each server: a new one would come up only when the client's end has been read. */
    private static void openEach(PausableSidecarFixture bed, ScriptedServer server) throws Exception {
        AtomicInteger asked = new AtomicInteger();
        ScriptedServer.await(() -> {
            String id = "open" + asked.getAndIncrement();
            SidecarFixture.assertResponseId(bed.ask(SidecarFixture.get(id, PATIENT_MS)), id);
            return server.connections.size() == SERVERS;
        });
    }

    /** The round that decides was begun before the client's end came in, and cannot have read it. */
    @Test(dataProvider = "unread")
    public void noneBeginsInALongRoundAfterItsClientsEnd(Leaving leaving, Class<?> heldBefore) throws Exception {
        CountDownLatch stands = new CountDownLatch(1);
        CountDownLatch left = new CountDownLatch(1);
        AtomicBoolean turnedAway = new AtomicBoolean(true);
        try (ScriptedServer server = new ScriptedServer((request, connection) -> {
                    if (heldBefore == LoadBalancer.AttemptEnded.class && turnedAway.compareAndSet(false, true)) {
                        ScriptedServer.write(connection, "HTTP/1.1 503 no\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
                    } else {
                        SidecarFixture.ECHO.answer(request, connection);
                    }
                });
                PausableSidecarFixture bed = new PausableSidecarFixture(LONG_IDLE, SOCKETS, SidecarFixture.knownEndpoints(server.address(), SERVERS))) {
            openEach(bed, server);
            server.requests.clear();
            // Only now: a connection that says nothing for long is closed.
            Socket client = bed.client();
            turnedAway.set(false);
            bed.hook = event -> {
                if (event.getClass() == heldBefore && stands.getCount() > 0) {
                    stands.countDown();
                    PausableSidecarFixture.await(left);
                }
            };
            SidecarFixture.send(client, SidecarFixture.get("left", PATIENT_MS));
            PausableSidecarFixture.await(stands);
            leaving.leave(client);
            ScriptedServer.pause(GONE_FOR_MS);
            left.countDown();
            bed.settle();
            SidecarFixture.assertResponseId(bed.ask(SidecarFixture.get("next", PATIENT_MS)), "next");
            List<String> begun =
                    heldBefore == LoadBalancer.AttemptEnded.class ? List.of("left", "next") : List.of("next");
            assertEquals(ids(server.requests), begun);
        }
    }

    /** What a client that goes at once has sent behind its request: its end stands behind that. */
    @DataProvider
    public Object[][] behind() {
        String half = SidecarFixture.post("half", PATIENT_MS, "x".repeat(60_000));
        return new Object[][] {
            {half.substring(0, half.length() - 1), true},
            {half.substring(0, half.length() - 1), false},
            {half, true},
            {SidecarFixture.get("long", PATIENT_MS).replace("h\r\n", "h\r\nX-Long: " + "x".repeat(7_000) + "\r\n"), true},
            {SidecarFixture.get("more", PATIENT_MS).repeat(2) + half, false},
        };
    }

    /** HttpCore reads 4 KiB a round: the request would be on its way many rounds before its client's end is read. */
    @Test(dataProvider = "behind")
    public void noneBeginsWhileItsClientsEndStandsBehindOtherBytes(String behind, boolean fresh) throws Exception {
        try (ScriptedServer server = new ScriptedServer(SidecarFixture.ECHO);
                PausableSidecarFixture bed = new PausableSidecarFixture(SidecarFixture.SETTINGS, SOCKETS, SidecarFixture.knownEndpoints(server.address(), SERVERS));
                Socket used = bed.client()) {
            SidecarFixture.assertResponseId(SidecarFixture.exchange(used, SidecarFixture.get("before", PATIENT_MS)), "before");
            CountDownLatch release = bed.hold();
            try (Socket client = fresh ? bed.client() : used) {
                SidecarFixture.send(client, SidecarFixture.get("left", PATIENT_MS) + behind);
            }
            ScriptedServer.pause(GONE_FOR_MS);
            release.countDown();
            bed.settle();
            SidecarFixture.assertResponseId(bed.ask(SidecarFixture.get("next", PATIENT_MS)), "next");
            assertEquals(ids(server.requests), List.of("before", "next"));
        }
    }
}
