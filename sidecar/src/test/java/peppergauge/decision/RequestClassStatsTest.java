package peppergauge.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.RequestClass;

public class RequestClassStatsTest {

    private static final RequestClass CLASS = Fixtures.requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL);

    @Test
    public void latencyFactorIsRatioToMeanOfAllClasses() {
        RequestClassStats slow = new RequestClassStats();
        RequestClassStats fast = new RequestClassStats();
        RequestClassStats[] all = {slow, fast};
        for (int i = 0; i < 300; i++) {
            slow.latency.add(i, 30);
            RequestClassStats.recordOverallLatency(all, i, 30);
            fast.latency.add(i, 10);
            RequestClassStats.recordOverallLatency(all, i, 10);
        }
        assertEquals(slow.latencyFactor, 1.5, 0.05);
        assertEquals(fast.latencyFactor, 0.5, 0.05);
    }

    @Test
    public void shorterTimeoutThanUsualGivesTimeOfEarlierTries() {
        RequestClassStats stats = new RequestClassStats();
        for (int i = 0; i < 50; i++) {
            assertEquals(stats.elapsedBeforeMs(CLASS, 800), 0.0);
        }
        assertEquals(stats.elapsedBeforeMs(CLASS, 300), Fixtures.DEADLINE_MS - 300);
    }

    @Test
    public void varyingTimeoutsGiveNoTimeOfEarlierTries() {
        RequestClassStats stats = new RequestClassStats();
        stats.elapsedBeforeMs(CLASS, 800);
        Fixtures.repeat(50, i -> stats.elapsedBeforeMs(CLASS, 200 + 10 * (i % 50)));
        assertTrue(stats.elapsedBeforeMs(CLASS, 300) == 0);
    }
}
