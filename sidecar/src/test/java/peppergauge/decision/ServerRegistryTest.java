package peppergauge.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;

public class ServerRegistryTest {

    private static Endpoint endpoint(EndpointState state, double startedMs) {
        return new Endpoint("s0", 0, 0, state, startedMs);
    }

    @Test
    public void keepsRemovedServerWhileItHasOpenAttempts() {
        ServerRegistry registry = Fixtures.registry(1);
        Server server = registry.get("s0");
        server.openAttempts.add(Fixtures.attempt(Fixtures.request(), server, null));
        registry.update(Fixtures.update(true));
        assertFalse(registry.get("s0").isUsable);
        server.openAttempts.clear();
        registry.update(Fixtures.update(true));
        assertNull(registry.get("s0"));
    }

    @Test
    public void drainingServerIsUsableOnceListedAsReadyAgain() {
        ServerRegistry registry = new ServerRegistry(false, 7);
        registry.update(Fixtures.update(false, endpoint(EndpointState.READY, 0)));
        Server server = registry.get("s0");
        server.openAttempts.add(Fixtures.attempt(Fixtures.request(), server, null));
        registry.update(Fixtures.update(false, endpoint(EndpointState.DRAINING, 0)));
        registry.update(Fixtures.update(false, endpoint(EndpointState.REMOVED, 0)));
        assertFalse(server.isUsable);
        registry.update(Fixtures.update(false, endpoint(EndpointState.READY, 0)));
        assertTrue(server.isUsable);
    }

    @Test
    public void restartClearsStatistics() {
        ServerRegistry registry = Fixtures.registry(1);
        Server server = registry.get("s0");
        server.failures.add(0, 1);
        server.ejectedUntilMs = 9;
        registry.update(Fixtures.update(false, endpoint(EndpointState.READY, 5_000)));
        assertEquals(server.failures.lastWeight(), 0.0);
        assertEquals(server.ejectedUntilMs, 0.0);
        assertEquals(server.startedMs, 5_000.0);
    }

    @Test
    public void orderDiffersByInstance() {
        ServerRegistry other = new ServerRegistry(true, 8);
        List<Server> servers = Fixtures.registry(20).byAffinity();
        servers.forEach(
                server -> other.update(Fixtures.update(false, new Endpoint(server.id, 0, 0, EndpointState.READY, 0))));
        assertNotEquals(
                other.byAffinity().stream().map(server -> server.id).toList(),
                servers.stream().map(server -> server.id).toList());
    }
}
