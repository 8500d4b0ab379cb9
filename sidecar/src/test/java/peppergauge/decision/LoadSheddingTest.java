package peppergauge.decision;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Outcome;

public class LoadSheddingTest {

    /** 1.2 times the first guess of the idle latency, a quarter of the objective. */
    private static final double SERVICE_MS = 1.2 * Fixtures.OBJECTIVE_MS / 4;

    private final LoadShedding loadShedding = new LoadShedding(Fixtures.LIMITS, Fixtures.latency());

    @Test
    public void theLastCallLeavesTimeForAService() {
        assertEquals(
                loadShedding.lastCallMs(Fixtures.request(), Fixtures.NOW_MS),
                Fixtures.NOW_MS + Fixtures.OBJECTIVE_MS - SERVICE_MS,
                1e-6);
    }

    @Test
    public void aClientThatCannotReturnInTimeIsToldToStayAway() {
        assertEquals(loadShedding.retryAfterMs(Fixtures.request(), Fixtures.NOW_MS), Fixtures.DEADLINE_MS, 1e-6);
        assertEquals(loadShedding.retryAfterMs(Fixtures.request(), Fixtures.NOW_MS + 2_000), 0.0);
    }

    @Test
    public void aClientThatCanReturnInTimeIsAskedBackAfterAService() {
        LatencyEstimator latency = Fixtures.latency();
        latency.idleLatency.add(Fixtures.NOW_MS, 10);
        LoadShedding fast = new LoadShedding(Fixtures.LIMITS, latency);
        Request request = Fixtures.request();
        assertEquals(fast.retryAfterMs(request, Fixtures.NOW_MS), 12, 0.2);
        assertEquals(fast.lastCallMs(request, Fixtures.NOW_MS), Fixtures.NOW_MS + 12, 0.2);
        Fixtures.attempt(request, Fixtures.server("s"), Outcome.BROKEN);
        assertEquals(fast.retryAfterMs(request, Fixtures.NOW_MS), Fixtures.DEADLINE_MS, 1e-6);
    }

    @Test
    public void anAttemptTimesOutAfterHalfOfTheTimeIfAnotherFits() {
        LatencyEstimator latency = Fixtures.latency();
        latency.idleLatency.add(Fixtures.NOW_MS, 10);
        AttemptTimeout timeout = new AttemptTimeout(latency, new LoadShedding(Fixtures.LIMITS, latency));
        Request request = Fixtures.request();
        assertEquals(timeout.dueMs(request, Fixtures.NOW_MS), Fixtures.NOW_MS + Fixtures.OBJECTIVE_MS / 2);
        latency.latency.add(Fixtures.NOW_MS, 200);
        assertEquals(timeout.dueMs(request, Fixtures.NOW_MS), Double.POSITIVE_INFINITY);
    }
}
