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

/** The remaining time in an attempt is at most that of the client when the attempt is written. */
public class RemainingTimeHeaderTest extends RealTimeTestBase {

    private static final int SOCKETS = 256;
    private static final int REMAINING_MS = 900;
    private static final int BLOCKED_MS = 300;
    /** The header contains whole milliseconds. */
    private static final double ROUNDING_MS = 1;

    private static final UnaryOperator<LoadBalancer.Action> LONGER_TIMEOUT =
            action -> action instanceof LoadBalancer.SendAttempt send
                    ? new LoadBalancer.SendAttempt(send.id(), send.server(), send.timeoutMs() + 5_000)
                    : action;
    private static final UnaryOperator<LoadBalancer.Action> ZERO_TIMEOUT =
            action -> action instanceof LoadBalancer.SendAttempt send
                    ? new LoadBalancer.SendAttempt(send.id(), send.server(), 0)
                    : action;

    /** The event before which the event loop is blocked, and a change of the attempt's timeout. */
    @DataProvider
    public Object[][] delays() {
        UnaryOperator<LoadBalancer.Action> unchanged = UnaryOperator.identity();
        return new Object[][] {
            {null, unchanged},
            {null, LONGER_TIMEOUT},
            {null, ZERO_TIMEOUT},
            {LoadBalancer.RequestArrived.class, unchanged},
            {LoadBalancer.RequestArrived.class, LONGER_TIMEOUT},
            {LoadBalancer.AttemptEnded.class, unchanged},
            {LoadBalancer.AttemptEnded.class, ZERO_TIMEOUT},
        };
    }

    @Test(dataProvider = "delays")
    public void isAtMostTheClientsRemainingTimeWhenTheAttemptIsWritten(
            Class<?> blockedBefore, UnaryOperator<LoadBalancer.Action> change) throws Exception {
        AtomicReference<Double> blockedUntilMs = new AtomicReference<>(0.0);
        AtomicInteger responses = new AtomicInteger();
        try (ScriptedServer server = new ScriptedServer((request, connection) -> ScriptedServer.write(
                        connection,
                        responses.getAndIncrement() == 0
                                ? "HTTP/1.1 503 no\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n"
                                : ScriptedServer.okResponse("served")));
                PausableSidecarFixture fixture = new PausableSidecarFixture(
                        SidecarFixture.SETTINGS, SOCKETS, SidecarFixture.knownEndpoints(server.address(), 20))) {
            fixture.actionMapper = change;
            fixture.eventHook = event -> {
                if (event.getClass() == blockedBefore && blockedUntilMs.get() == 0) {
                    ScriptedServer.pause(BLOCKED_MS);
                    blockedUntilMs.set(nowMs());
                }
            };
            double beginMs;
            try (Socket client = fixture.client()) {
                // The client's timeout starts with its request, and does not include the time until it is accepted.
                fixture.awaitInputHandled();
                beginMs = nowMs();
                assertEquals(
                        SidecarFixture.status(SidecarFixture.exchange(client, SidecarFixture.get("t", REMAINING_MS))),
                        200);
            }
            assertEquals(server.requests.size(), 2);
            int firstDelayed = blockedBefore == LoadBalancer.AttemptEnded.class ? 1 : 0;
            for (int i = 0; i < 2; i++) {
                double waitedMs = blockedBefore == null || i < firstDelayed ? 0 : blockedUntilMs.get() - beginMs;
                double headerMs = Double.parseDouble(server.requests.get(i).header("X-Remaining-Ms"));
                assertTrue(
                        headerMs <= REMAINING_MS - waitedMs + ROUNDING_MS,
                        "remaining time " + headerMs + " ms in attempt " + i + " after " + waitedMs + " ms");
            }
        }
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }
}
