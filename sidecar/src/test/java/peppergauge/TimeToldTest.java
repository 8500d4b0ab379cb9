package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer;

/** What an attempt tells its backend server is at most what its client has left when it is written. */
public class TimeToldTest extends RealTimeTestBase {

    private static final int SOCKETS = 256;
    private static final int REMAINING_MS = 900;
    private static final int HELD_MS = 300;
    /** Of whole milliseconds. */
    private static final double ROUNDING_MS = 1;

    private static final UnaryOperator<LoadBalancer.Action> LONGER =
            action -> action instanceof LoadBalancer.SendAttempt send
                    ? new LoadBalancer.SendAttempt(send.id(), send.server(), send.timeoutMs() + 5_000)
                    : action;
    private static final UnaryOperator<LoadBalancer.Action> WITHOUT =
            action -> action instanceof LoadBalancer.SendAttempt send
                    ? new LoadBalancer.SendAttempt(send.id(), send.server(), 0)
                    : action;

    /** Before which event the loop's thread is held up, and what the module says of the attempt's time. */
    @DataProvider
    public Object[][] waits() {
        UnaryOperator<LoadBalancer.Action> asItIs = UnaryOperator.identity();
        return new Object[][] {
            {null, asItIs},
            {null, LONGER},
            {null, WITHOUT},
            {LoadBalancer.RequestArrived.class, asItIs},
            {LoadBalancer.RequestArrived.class, LONGER},
            {LoadBalancer.AttemptEnded.class, asItIs},
            {LoadBalancer.AttemptEnded.class, WITHOUT},
        };
    }

    @Test(dataProvider = "waits")
    public void itIsWhatIsLeftWhenAnAttemptIsWritten(Class<?> heldBefore, UnaryOperator<LoadBalancer.Action> change)
            throws Exception {
        AtomicReference<Double> heldUntilMs = new AtomicReference<>(0.0);
        AtomicInteger answered = new AtomicInteger();
        try (ScriptedServer server = new ScriptedServer((request, connection) -> ScriptedServer.write(
                        connection,
                        answered.getAndIncrement() == 0
                                ? "HTTP/1.1 503 no\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
                                : ScriptedServer.okResponse("served")));
                PausableSidecarFixture bed = new PausableSidecarFixture(SidecarFixture.SETTINGS, SOCKETS, SidecarFixture.knownEndpoints(server.address(), 20))) {
            bed.change = change;
            bed.hook = event -> {
                if (event.getClass() == heldBefore && heldUntilMs.get() == 0) {
                    ScriptedServer.pause(HELD_MS);
                    heldUntilMs.set(nowMs());
                }
            };
            double beginMs;
            try (Socket client = bed.client()) {
                // The client's time runs from its request on: how long the listener takes to accept is not part of it.
                bed.settle();
                beginMs = nowMs();
                assertEquals(SidecarFixture.status(SidecarFixture.exchange(client, SidecarFixture.get("t", REMAINING_MS))), 200);
            }
            assertEquals(server.requests.size(), 2);
            int firstHeld = heldBefore == LoadBalancer.AttemptEnded.class ? 1 : 0;
            for (int i = 0; i < 2; i++) {
                double waitedMs = heldBefore == null || i < firstHeld ? 0 : heldUntilMs.get() - beginMs;
                double told = Double.parseDouble(server.requests.get(i).header("X-Remaining-Ms"));
                assertTrue(
                        told <= REMAINING_MS - waitedMs + ROUNDING_MS,
                        "attempt " + i + " told " + told + " after " + waitedMs);
            }
        }
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }
}
