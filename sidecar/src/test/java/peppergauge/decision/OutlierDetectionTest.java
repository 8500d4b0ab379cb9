package peppergauge.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Outcome;

public class OutlierDetectionTest {

    private static final double NOW_MS = Fixtures.NOW_MS;

    private final LatencyEstimator latency = Fixtures.latency();
    private final OutlierDetection outliers = new OutlierDetection(latency);

    private double score(Server server, double nowMs) {
        outliers.updateServer(server, outliers.errorShare(nowMs), latency.meanIdleMs(nowMs), nowMs);
        return server.successScore;
    }

    @Test
    public void ejectionTimeDoublesWithConsecutiveFailuresUpToLimit() {
        Server server = Fixtures.server("s");
        double idleMs = latency.meanIdleMs(NOW_MS);
        for (int doublings : new int[] {0, 1, 2, 3, 4, 5, 5}) {
            outliers.record(server, Outcome.UNREACHABLE, NOW_MS);
            assertEquals(server.ejectedUntilMs, NOW_MS + (1 << doublings) * idleMs);
        }
        assertTrue(OutlierDetection.isEjected(server, NOW_MS));
        assertFalse(OutlierDetection.isEjected(server, server.ejectedUntilMs));
        assertTrue(OutlierDetection.isAtMaxEjectionTime(server));
    }

    @Test
    public void successResetsConsecutiveFailures() {
        Server server = Fixtures.server("s");
        outliers.record(server, Outcome.TIMED_OUT, NOW_MS);
        outliers.record(server, Outcome.SUCCESS, NOW_MS);
        assertEquals(server.consecutiveFailures, 0);
    }

    @Test
    public void failuresLowerScoreAndDecay() {
        Server server = Fixtures.server("s");
        assertEquals(score(server, NOW_MS), 1.0);
        Fixtures.repeat(3, i -> outliers.record(server, Outcome.BROKEN, NOW_MS));
        double failed = score(server, NOW_MS);
        assertTrue(failed < 0.7, "expected a score under 0.7 but was " + failed);
        assertTrue(score(server, NOW_MS + 60_000) > 0.95);
    }

    @Test
    public void errorsCountOnlyBeyondShareOfFleet() {
        OutlierDetectionTest fresh = new OutlierDetectionTest();
        Server one = Fixtures.server("a");
        Server two = Fixtures.server("b");
        Fixtures.repeat(20, i -> {
            fresh.outliers.record(one, Outcome.ERROR, NOW_MS);
            fresh.outliers.record(two, Outcome.ERROR, NOW_MS);
        });
        assertEquals(fresh.score(one, NOW_MS), 1.0, 1e-9);
        assertTrue(fresh.outliers.areErrorsCausedByRequests(NOW_MS));
        Fixtures.repeat(500, i -> fresh.outliers.record(two, Outcome.SUCCESS, NOW_MS));
        assertTrue(fresh.score(one, NOW_MS) < 0.4);
        assertFalse(fresh.outliers.areErrorsCausedByRequests(NOW_MS));
    }

    @Test
    public void panicsIfHalfOfServersAreOutliers() {
        assertTrue(OutlierDetection.isPanicking(new double[] {1, 0.1, 1, 0.1}, 4));
        assertFalse(OutlierDetection.isPanicking(new double[] {1, 0.1, 1, 1}, 4));
        assertFalse(OutlierDetection.isPanicking(new double[] {}, 0));
    }

    @Test
    public void serverFarBelowBestScoreIsFailing() {
        Server server = Fixtures.server("s");
        server.successScore = 0.84;
        assertTrue(OutlierDetection.isFailing(server, 1));
        server.successScore = 0.86;
        assertFalse(OutlierDetection.isFailing(server, 1));
    }
}
