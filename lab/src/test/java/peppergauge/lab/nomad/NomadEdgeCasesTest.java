package peppergauge.lab.nomad;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.ScriptedServer;
import peppergauge.lab.files.OperatorFileKinds;
import peppergauge.lab.nomad.DiscoveryFixture.DiscoveryMode;
import peppergauge.log.Log;
import peppergauge.nomad.NomadExtension;

/** Edge cases other than faults of Nomad's API: leader changes, unhealthy servers, moved addresses and restarts. */
public class NomadEdgeCasesTest extends ThreeServerTestBase {

    /** Returns whether the server received no requests recently. */
    private boolean isIdle(BackendStandIn server) {
        return server.requestsSince(System.nanoTime() - 400_000_000L) == 0;
    }

    @DataProvider
    public Object[][] nomadModes() {
        return new Object[][] {{DiscoveryMode.NOMAD}, {DiscoveryMode.QUERY_ONLY}};
    }

    /** A drain happens while there is no leader; then an outdated follower responds, and then the new leader. */
    @Test(dataProvider = "nomadModes")
    public void drainsServerDuringLeaderChange(DiscoveryMode mode) throws Exception {
        try (DiscoveryFixture fixture = startWithClients(mode, "")) {
            new StandInScript("""
                    0    fault error
                    200  drain n-a 0
                    400  fault unsure
                    800  fault none
                    1800 fault none
                    """).run(fixture.nomad.cluster, fixture.nomad.api);
            ScriptedServer.await("no requests to the drained server", 30, () -> isIdle(servers.get(0)));
            assertEquals(fixture.stopAndCountFailedRequests(), 0);
        }
    }

    /** A server that is reported unhealthy gets requests while it responds successfully. */
    @Test
    public void sendsRequestsToUnhealthyServerThatResponds() throws Exception {
        try (DiscoveryFixture fixture = startWithClients(DiscoveryMode.NOMAD, "")) {
            new StandInScript("0 check a up failure\n0 healthy b false").run(fixture.nomad.cluster, fixture.nomad.api);
            Thread.sleep(1_500);
            long reportedNs = System.nanoTime();
            awaitRequest(servers.get(0), reportedNs);
            awaitRequest(servers.get(1), reportedNs);
            servers.get(1).close();
            Thread.sleep(5_500);
            assertEquals(fixture.stopAndCountFailedRequests(), 0);
        }
    }

    @Test
    public void followsSecondAddressChangedPortAndReusedAddress() throws Exception {
        try (DiscoveryFixture fixture = startWithClients(DiscoveryMode.NOMAD, "")) {
            Cluster cluster = fixture.nomad.cluster;
            BackendStandIn second = new BackendStandIn("a2");
            BackendStandIn moved = new BackendStandIn("b");
            servers.addAll(List.of(second, moved));
            cluster.register("a-second", "a", "episodes", "127.0.0.1", second.port, List.of());
            cluster.register("b", "b", "episodes", "127.0.0.1", moved.port, List.of());
            cluster.allocation("c-again", "n-c", "job");
            cluster.register("c-again", "c-again", "episodes", "127.0.0.1", servers.get(2).port, List.of());
            ScriptedServer.await(
                    "requests to both addresses and the new port only",
                    30,
                    () -> second.requestCount() > 0 && moved.requestCount() > 0 && isIdle(servers.get(1)));
            cluster.allocationField("c", "DesiredStatus", "stop");
            cluster.deregister("c");
            Thread.sleep(600);
            // Another allocation has this address by now.
            awaitRequest(servers.get(2), System.nanoTime());
            cluster.allocationField("a", "DesiredStatus", "stop");
            ScriptedServer.await("no requests to both addresses", 30, () -> isIdle(servers.get(0)) && isIdle(second));
            assertEquals(fixture.stopAndCountFailedRequests(), 0);
        }
    }

    @Test
    public void sendsTokenAndNeverLogsIt() throws Exception {
        Path token = Files.createTempFile("token", "");
        Files.writeString(token, "very-secret-token\n");
        StringBuffer lines = new StringBuffer();
        Log.Sink originalSink =
                Log.setSink((kind, text, suppressed) -> lines.append(text).append('\n'));
        DiscoveryStandIn.Nomad discovery = withServers(new DiscoveryStandIn.Nomad());
        discovery.api.token("very-secret-token");
        String extraConfig = "token_file = '" + token + "'";
        try (DiscoveryFixture fixture =
                new DiscoveryFixture(DiscoveryMode.NOMAD, discovery, List.of(), extraConfig).startClients()) {
            ScriptedServer.await(
                    "a request to a server", 30, () -> servers.get(0).requestCount() > 0);
            fixture.nomad.api.fault(ApiFault.FORBIDDEN);
            // The log rate of each event is limited, so that the line of the first refusal may be suppressed.
            ScriptedServer.await(
                    "a log line of the refused token",
                    30,
                    () -> lines.toString().contains("refuses the token"));
        } finally {
            Log.setSink(originalSink);
            Files.delete(token);
        }
        assertFalse(lines.toString().contains("very-secret"), lines.toString());
    }

    /** After a restart without configured servers and without Nomad, the endpoint list is read from its file. */
    @Test
    public void startsWithEndpointListOfFileAfterRestart() throws Exception {
        Path listFile = Files.createTempDirectory("endpoint-list").resolve("servers.json");
        String extraConfig = "[membership]\nlast_table = '" + listFile + "'\n";
        DiscoveryStandIn.Nomad discovery = withServers(new DiscoveryStandIn.Nomad());
        try (DiscoveryFixture fixture = new DiscoveryFixture(DiscoveryMode.NOMAD, discovery, List.of(), extraConfig)) {
            ScriptedServer.await(
                    "the endpoint list is written", 30, () -> Files.exists(listFile) && fixture.requests() == 0);
        }
        try (DiscoveryFixture fixture =
                new DiscoveryFixture(DiscoveryMode.NOMAD, new DiscoveryStandIn.Nomad(), List.of(), extraConfig)) {
            fixture.discovery.setUnreachable(true);
            fixture.startClients();
            ScriptedServer.await("more than 10 requests", 30, () -> fixture.requests() > 10);
            assertEquals(fixture.stopAndCountFailedRequests(), 0);
        }
    }

    @Test
    public void exampleFileDoesNotEnableNomad() {
        var values = OperatorFileKinds.all()
                .read(Path.of("../deploy/examples/nomad.toml"))
                .values()
                .orElseThrow();
        assertTrue(new NomadExtension(values).watchesDiscovery());
    }

    @DataProvider
    public Object[][] invalidFiles() {
        return new Object[][] {
            {"service = \"a/b\"", "nomad.service: must be a service name"},
            {"service = \"s\"\nagents = [\"nowhere\"]", "nomad.agents: must be host:port"},
            {"service = \"s\"\nzone = \"tags\"", "nomad.zone: must be \"datacenter\""},
            {"service = \"s\"\nback_off = \"20 s\"", "must not be longer than longest_back_off"},
            {"service = \"s\"\n[membership]\nsources = [\"nomad\", \"nomad\"]", "must not name a source twice"},
            {"service = \"s\"\n[membership]\nhold = \"1 min\"", "must not be longer than longest_hold"},
        };
    }

    @Test(dataProvider = "invalidFiles")
    public void rejectsInvalidFileWithKeyAndReason(String text, String expectedProblem) {
        String problems = OperatorFileKinds.all()
                .read("f", "kind = \"nomad\"\n[nomad]\n" + text)
                .problems()
                .toString();
        assertTrue(problems.contains(expectedProblem), problems);
    }
}
