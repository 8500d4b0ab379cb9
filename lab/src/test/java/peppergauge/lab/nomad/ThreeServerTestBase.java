package peppergauge.lab.nomad;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import peppergauge.RealTimeTestBase;
import peppergauge.ScriptedServer;
import peppergauge.lab.nomad.NomadBed.Way;

/** Three backend servers, fresh for each test, with the ids a, b and c. */
public abstract class ThreeServers extends RealTimeTestBase {

    final List<BackendStandIn> servers = new ArrayList<>();

    @BeforeMethod
    public void start() throws Exception {
        for (String id : List.of("a", "b", "c")) {
            servers.add(new BackendStandIn(id));
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        for (BackendStandIn each : servers) {
            each.close();
        }
        servers.clear();
    }

    /** A sidecar and clients that never pause, from a moment after each server was first asked. */
    final NomadBed serving(Way way, String more) throws Exception {
        NomadBed bed = NomadBed.of(way, servers, more).ask();
        for (BackendStandIn each : servers) {
            awaitAsked(each, 0);
        }
        Thread.sleep(400);
        return bed;
    }

    /** One more server, which is told of. */
    final BackendStandIn fresh(Told told) throws Exception {
        BackendStandIn fresh = new BackendStandIn("d");
        servers.add(fresh);
        told.add(fresh);
        return fresh;
    }

    /** Far longer than it takes: the machine may be busy. */
    static void awaitAsked(BackendStandIn server, long sinceNs) throws Exception {
        ScriptedServer.await(server.id + " is asked", 30, () -> server.since(sinceNs) > 0);
    }

    /** The same, with these servers on its list. */
    final <T extends Told> T listing(T told) throws Exception {
        for (BackendStandIn each : servers) {
            told.add(each);
        }
        return told;
    }
}
