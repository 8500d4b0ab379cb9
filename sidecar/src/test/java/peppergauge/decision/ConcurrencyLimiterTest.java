package peppergauge.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class ConcurrencyLimiterTest {

    private static ConcurrencyLimiter limiter(int servers, int instances) {
        ServerRegistry registry = Fixtures.registry(servers);
        ServerSubset subset = ServerSubsetTest.subset(registry, instances);
        subset.refresh(Fixtures.NOW_MS);
        return new ConcurrencyLimiter(
                Fixtures.settings(instances), registry, subset, new ArrivalRate(), Fixtures.latency());
    }

    private static Request.Attempt send(ConcurrencyLimiter limiter) {
        Request.Attempt attempt = Fixtures.attempt(Fixtures.request(), Fixtures.server("s"), null);
        limiter.onSent(attempt);
        return attempt;
    }

    @Test
    public void instanceWithSubsetHasMinimumLimit() {
        ConcurrencyLimiter limiter = limiter(30, 100);
        Fixtures.repeat(3, i -> send(limiter));
        assertFalse(limiter.isAtInstanceLimit(Fixtures.NOW_MS));
        Request.Attempt last = send(limiter);
        assertTrue(limiter.isAtInstanceLimit(Fixtures.NOW_MS));
        limiter.onEnded(last);
        limiter.onEnded(last);
        assertFalse(limiter.isAtInstanceLimit(Fixtures.NOW_MS));
        send(limiter);
        assertTrue(limiter.isAtInstanceLimit(Fixtures.NOW_MS), "expected the second end of an attempt to be ignored");
    }

    @Test
    public void instanceThatUsesAllServersHasNoLimit() {
        ConcurrencyLimiter limiter = limiter(5, 3);
        Fixtures.repeat(1_000, i -> send(limiter));
        assertFalse(limiter.isAtInstanceLimit(Fixtures.NOW_MS));
    }

    @Test
    public void serverLimitIsAtLeastTwo() {
        Server server = Fixtures.server("s");
        limiter(5, 3).updateServer(server, 0, Double.POSITIVE_INFINITY, Fixtures.NOW_MS);
        assertEquals(server.concurrencyLimit, 2.0);
    }
}
