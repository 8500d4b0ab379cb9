package peppergauge.decision;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.LoadField;

public class LoadEstimatorTest {

    private final LoadEstimator load = new LoadEstimator(
            List.of(LoadField.QUEUED, LoadField.IN_FLIGHT), Fixtures.latency(), new SlowStart(Fixtures.RULES));

    private double inFlight(Server server, double nowMs) {
        server.idleLatencyMs = 50;
        load.updateServer(server, false, nowMs);
        return server.inFlight;
    }

    @Test
    public void ownAttemptsAreNotCountedTwiceInReports() {
        Server server = Fixtures.server("s");
        server.openAttempts.add(Fixtures.attempt(Fixtures.request(), server, null));
        load.recordReport(server, new double[] {9, 5}, Fixtures.NOW_MS);
        assertEquals(inFlight(server, Fixtures.NOW_MS), 5.0);
        assertEquals(server.ownInFlight, 1);
    }

    @Test
    public void oldReportDecaysToMeanOfMachineKind() {
        Server reported = Fixtures.server("s");
        Server other = Fixtures.server("t");
        other.kindStats = reported.kindStats;
        LoadEstimatorTest fresh = new LoadEstimatorTest();
        fresh.load.recordReport(reported, new double[] {0, 4}, Fixtures.NOW_MS);
        assertEquals(fresh.inFlight(other, Fixtures.NOW_MS), 4.0, 1e-9);
        assertEquals(fresh.inFlight(reported, Fixtures.NOW_MS + 60_000), 4.0, 1e-3);
    }

    @Test
    public void ignoresInvalidReports() {
        Server server = Fixtures.server("s");
        LoadEstimatorTest fresh = new LoadEstimatorTest();
        fresh.load.recordReport(server, null, Fixtures.NOW_MS);
        fresh.load.recordReport(server, new double[] {1}, Fixtures.NOW_MS);
        fresh.load.recordReport(server, new double[] {1, Double.NaN}, Fixtures.NOW_MS);
        fresh.load.recordReport(server, new double[] {1, -1}, Fixtures.NOW_MS);
        assertEquals(fresh.inFlight(server, Fixtures.NOW_MS), 0.0);
    }

    @Test
    public void attemptCountsAsLostIfLaterOneSucceeded() {
        Server server = Fixtures.server("s");
        server.openAttempts.add(Fixtures.attempt(Fixtures.request(), server, null));
        inFlight(server, Fixtures.NOW_MS + 301);
        assertEquals(server.ownInFlight, 1);
        server.newestSuccessfulSendMs = Fixtures.NOW_MS + 1;
        inFlight(server, Fixtures.NOW_MS + 301);
        assertEquals(server.ownInFlight, 0);
    }
}
