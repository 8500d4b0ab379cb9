package peppergauge.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class SlowStartTest {

    private final SlowStart slowStart = new SlowStart(Fixtures.RULES);

    @Test
    public void capacityGrowsLinearlyWithAge() {
        Server server = Fixtures.server("s");
        server.startedMs = 0;
        assertEquals(slowStart.capacity(server, -5), 0.2);
        assertEquals(slowStart.capacity(server, 0), 0.2);
        assertEquals(slowStart.capacity(server, 5_000), 0.6, 1e-12);
        assertEquals(slowStart.capacity(server, 10_000), 1.0);
    }

    @Test
    public void warmUpShareStartIsSumOfSharesAssignedBefore() {
        ServerSubset subset = ServerSubsetTest.subset(Fixtures.registry(4), 1);
        subset.refresh(Fixtures.NOW_MS);
        slowStart.clearShares();
        double end = 0;
        for (Server server : subset.members()) {
            server.capacity = 0.2;
            slowStart.assignShare(server, subset, 4);
            assertEquals(server.warmUpShareStart, end);
            assertEquals(server.warmUpShare, 2 * 0.2 * 0.9 / 4, 1e-12);
            end += server.warmUpShare;
        }
    }

    @Test
    public void requestMayUseServersWhoseWarmUpShareContainsItsDraw() {
        Server server = Fixtures.server("s");
        ServerSubset subset = ServerSubsetTest.subset(Fixtures.registry(4), 1);
        subset.refresh(Fixtures.NOW_MS);
        server.capacity = 0.2;
        slowStart.clearShares();
        slowStart.assignShare(server, subset, 4);
        Request request = Fixtures.request();
        request.randomDraw = 0.08;
        assertTrue(slowStart.mayReceive(request, server));
        server.ownInFlight = 1;
        assertFalse(slowStart.mayReceive(request, server), "expected no further attempt beyond the capacity");
        server.ownInFlight = 0;
        request.randomDraw = 0.1;
        assertFalse(slowStart.mayReceive(request, server));
        server.capacity = 1;
        assertTrue(slowStart.mayReceive(request, server));
    }
}
