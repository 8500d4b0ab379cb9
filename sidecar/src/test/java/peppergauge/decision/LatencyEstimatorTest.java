package peppergauge.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.Outcome;

public class LatencyEstimatorTest {

    private final LatencyEstimator latency = Fixtures.latency();
    private final Server server = Fixtures.server("s");

    private double end(double nowMs, double inFlight, Outcome outcome, double latencyMs) {
        server.inFlight = inFlight;
        Request request = Fixtures.request();
        Request.Attempt attempt = Fixtures.attempt(request, server, outcome);
        AttemptEnded ended = new AttemptEnded("r", 0, "s", outcome, latencyMs, true, null);
        double sampleMs = latency.recordAttempt(request, attempt, ended, nowMs);
        latency.recordIdleLatency(server, sampleMs, nowMs);
        return sampleMs;
    }

    @Test
    public void initialIdleLatencyIsQuarterOfObjective() {
        assertEquals(latency.meanIdleMs(0), Fixtures.OBJECTIVE_MS / 4);
    }

    @Test
    public void responsesReplaceInitialIdleLatency() {
        LatencyEstimatorTest fresh = new LatencyEstimatorTest();
        Fixtures.repeat(20, i -> fresh.end(i, 0, Outcome.SUCCESS, 10));
        assertEquals(fresh.latency.meanIdleMs(20), 10, 0.1);
        assertEquals(fresh.latency.unloadedMs(), 10, 0.1);
    }

    @Test
    public void failedAttemptGivesNoSample() {
        assertEquals(end(0, 0, Outcome.UNREACHABLE, 5), 0.0);
        assertEquals(end(0, 0, Outcome.CANCELLED, 5), 0.0);
    }

    @Test
    public void queueingSlopeFollowsLatencyByRequestsInFlight() {
        LatencyEstimatorTest rising = new LatencyEstimatorTest();
        LatencyEstimatorTest flat = new LatencyEstimatorTest();
        Fixtures.repeat(400, i -> {
            rising.end(i, i % 8, Outcome.SUCCESS, 10 * (1 + 0.8 * (i % 8)));
            flat.end(i, i % 8, Outcome.SUCCESS, 10);
        });
        assertEquals(rising.latency.queueingSlope(), 0.8, 0.15);
        assertTrue(flat.latency.queueingSlope() < 0.05);
    }

    @Test
    public void attemptIsOverdueOnlyIfServerIsSilent() {
        LatencyEstimatorTest fresh = new LatencyEstimatorTest();
        Request.Attempt attempt = Fixtures.attempt(Fixtures.request(), fresh.server, null);
        assertFalse(fresh.latency.isOverdue(attempt, Fixtures.NOW_MS + 149));
        assertTrue(fresh.latency.isOverdue(attempt, Fixtures.NOW_MS + 151));
        fresh.server.lastResponseMs = Fixtures.NOW_MS + 1;
        assertFalse(fresh.latency.isOverdue(attempt, Fixtures.NOW_MS + 151));
    }

    @Test
    public void congestionLowersFactorOnlyIfServersAreShared() {
        LatencyEstimatorTest fresh = new LatencyEstimatorTest();
        Fixtures.repeat(50, i -> fresh.end(i, 0, Outcome.SUCCESS, 10));
        assertEquals(fresh.latency.congestionFactor(true, 50), 1.0);
        Fixtures.repeat(50, i -> fresh.end(10_000 + i, 0, Outcome.SUCCESS, 2_000));
        assertTrue(fresh.latency.congestionFactor(true, 10_050) < 0.5);
        assertEquals(fresh.latency.congestionFactor(false, 10_050), 1.0);
    }
}
