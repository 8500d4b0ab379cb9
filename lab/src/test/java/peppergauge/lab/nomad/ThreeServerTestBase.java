package peppergauge.lab.nomad;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import peppergauge.RealTimeTestBase;
import peppergauge.ScriptedServer;
import peppergauge.lab.nomad.DiscoveryFixture.DiscoveryMode;

/** Base of tests with three backend servers, with the ids a, b and c, that are started anew for each test. */
public abstract class ThreeServerTestBase extends RealTimeTestBase {

    final List<BackendStandIn> servers = new ArrayList<>();

    @BeforeMethod
    public void startServers() throws Exception {
        for (String id : List.of("a", "b", "c")) {
            servers.add(new BackendStandIn(id));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stopServers() throws Exception {
        for (BackendStandIn each : servers) {
            each.close();
        }
        servers.clear();
    }

    /** Starts a sidecar and clients, and waits until each server has received requests. */
    final DiscoveryFixture startWithClients(DiscoveryMode mode, String extraConfig) throws Exception {
        DiscoveryFixture fixture =
                DiscoveryFixture.of(mode, servers, extraConfig).startClients();
        for (BackendStandIn each : servers) {
            awaitRequest(each, 0);
        }
        Thread.sleep(400);
        return fixture;
    }

    /** Starts a fourth server and adds it to discovery. */
    final BackendStandIn addServer(DiscoveryStandIn discovery) throws Exception {
        BackendStandIn added = new BackendStandIn("d");
        servers.add(added);
        discovery.add(added);
        return added;
    }

    /** Waits for a request to this server; the timeout is long because the machine may be busy. */
    static void awaitRequest(BackendStandIn server, long sinceNs) throws Exception {
        ScriptedServer.await("a request to server " + server.id, 30, () -> server.requestsSince(sinceNs) > 0);
    }

    /** Adds the three servers to discovery and returns it. */
    final <T extends DiscoveryStandIn> T withServers(T discovery) throws Exception {
        for (BackendStandIn each : servers) {
            discovery.add(each);
        }
        return discovery;
    }
}
