package peppergauge.decision;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Outcome;

public class LoadSheddingTest {

    /** 1.2 times the initial idle latency, which is a quarter of the objective. */
    private static final double SERVICE_MS = 1.2 * Fixtures.OBJECTIVE_MS / 4;

    private final LoadShedding loadShedding = new LoadShedding(Fixtures.LIMITS, Fixtures.latency());

    @Test
    public void queueDeadlineLeavesTimeForOneService() {
        assertEquals(
                loadShedding.queueDeadlineMs(Fixtures.request(), Fixtures.NOW_MS),
                Fixtures.NOW_MS + Fixtures.OBJECTIVE_MS - SERVICE_MS,
                1e-6);
    }

    @Test
    public void retryAfterLastsUntilClientDeadlineIfRetryWouldBeLate() {
        assertEquals(loadShedding.retryAfterMs(Fixtures.request(), Fixtures.NOW_MS), Fixtures.DEADLINE_MS, 1e-6);
        assertEquals(loadShedding.retryAfterMs(Fixtures.request(), Fixtures.NOW_MS + 2_000), 0.0);
    }

    @Test
    public void retryAfterIsOneServiceTimeIfRetryIsInTime() {
        LatencyEstimator latency = Fixtures.latency();
        latency.idleLatency.add(Fixtures.NOW_MS, 10);
        LoadShedding fast = new LoadShedding(Fixtures.LIMITS, latency);
        Request request = Fixtures.request();
        assertEquals(fast.retryAfterMs(request, Fixtures.NOW_MS), 12, 0.2);
        assertEquals(fast.queueDeadlineMs(request, Fixtures.NOW_MS), Fixtures.NOW_MS + 12, 0.2);
        Fixtures.attempt(request, Fixtures.server("s"), Outcome.BROKEN);
        assertEquals(fast.retryAfterMs(request, Fixtures.NOW_MS), Fixtures.DEADLINE_MS, 1e-6);
    }

    @Test
    public void attemptTimesOutAtHalfOfObjectiveIfAnotherFits() {
        LatencyEstimator latency = Fixtures.latency();
        latency.idleLatency.add(Fixtures.NOW_MS, 10);
        AttemptTimeout timeout = new AttemptTimeout(latency, new LoadShedding(Fixtures.LIMITS, latency));
        Request request = Fixtures.request();
        assertEquals(timeout.dueMs(request, Fixtures.NOW_MS), Fixtures.NOW_MS + Fixtures.OBJECTIVE_MS / 2);
        latency.latency.add(Fixtures.NOW_MS, 200);
        assertEquals(timeout.dueMs(request, Fixtures.NOW_MS), Double.POSITIVE_INFINITY);
    }
}
