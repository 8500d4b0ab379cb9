package peppergauge.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class ServerSubsetTest {

    static ServerSubset subset(ServerRegistry registry, int instances) {
        return new ServerSubset(
                Fixtures.settings(instances),
                registry,
                new ArrivalRate(),
                Fixtures.latency(),
                new SlowStart(Fixtures.RULES));
    }

    @Test
    public void idleInstanceUsesFirstServersByAffinity() {
        ServerRegistry registry = Fixtures.registry(30);
        ServerSubset subset = subset(registry, 100);
        subset.refresh(Fixtures.NOW_MS);
        assertEquals(subset.members(), registry.byAffinity().subList(0, 8));
        assertTrue(subset.isPartial());
        assertTrue(subset.isSharedByMany());
    }

    @Test
    public void usesAllServersIfThereAreFew() {
        ServerSubset subset = subset(Fixtures.registry(5), 3);
        subset.refresh(Fixtures.NOW_MS);
        assertEquals(subset.size(), 5);
        assertFalse(subset.isPartial());
        assertFalse(subset.isSharedByMany());
    }

    @Test
    public void replacesFailingMembersUpToTwiceTargetSize() {
        ServerRegistry registry = Fixtures.registry(30);
        ServerSubset subset = subset(registry, 100);
        registry.byAffinity().get(0).consecutiveFailures = 1;
        subset.refresh(Fixtures.NOW_MS);
        assertEquals(subset.size(), 9);
        registry.byAffinity().forEach(server -> server.consecutiveFailures = 1);
        subset.refresh(Fixtures.NOW_MS);
        assertEquals(subset.size(), 16);
    }
}
