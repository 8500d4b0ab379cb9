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
import peppergauge.lab.files.Kinds;
import peppergauge.lab.nomad.NomadBed.Way;
import peppergauge.log.Log;
import peppergauge.nomad.NomadExtension;

/** What is no fault of the API's, and hard all the same. */
public class HardCasesTest extends ThreeServers {

    private boolean quiet(BackendStandIn server) {
        return server.since(System.nanoTime() - 400_000_000L) == 0;
    }

    /** No leader, then a follower that knows it is behind, then the new leader; a drain falls in between. */
    @DataProvider
    public Object[][] ways() {
        return new Object[][] {{Way.NOMAD}, {Way.QUERY_ONLY}};
    }

    @Test(dataProvider = "ways")
    public void aChangeOfLeaderInTheMiddleOfADrain(Way way) throws Exception {
        try (NomadBed bed = serving(way, "")) {
            new StandInScript("""
                    0    fault error
                    200  drain n-a 0
                    400  fault unsure
                    800  fault none
                    1800 fault none
                    """).run(bed.nomad.cluster, bed.nomad.api);
            ScriptedServer.await("the drained one is let alone", 30, () -> quiet(servers.get(0)));
            assertEquals(bed.unserved(), 0);
        }
    }

    /** Membership says who may be asked; of one that is told to be ill and serves well, its answers have the word. */
    @Test
    public void aServerListedFailingThatServesWellIsAsked() throws Exception {
        try (NomadBed bed = serving(Way.NOMAD, "")) {
            new StandInScript("0 check a up failure\n0 healthy b false").run(bed.nomad.cluster, bed.nomad.api);
            Thread.sleep(1_500);
            long knownNs = System.nanoTime();
            awaitAsked(servers.get(0), knownNs);
            awaitAsked(servers.get(1), knownNs);
            servers.get(1).close();
            Thread.sleep(5_500);
            assertEquals(bed.unserved(), 0);
        }
    }

    @Test
    public void severalAddressesAChangedPortAndAnAllocationBackAtItsAddress() throws Exception {
        try (NomadBed bed = serving(Way.NOMAD, "")) {
            Cluster cluster = bed.nomad.cluster;
            BackendStandIn second = new BackendStandIn("a2");
            BackendStandIn moved = new BackendStandIn("b");
            servers.addAll(List.of(second, moved));
            cluster.register("a-second", "a", "episodes", "127.0.0.1", second.port, List.of());
            cluster.register("b", "b", "episodes", "127.0.0.1", moved.port, List.of());
            cluster.allocation("c-again", "n-c", "job");
            cluster.register("c-again", "c-again", "episodes", "127.0.0.1", servers.get(2).port, List.of());
            ScriptedServer.await(
                    "both addresses and the new port are asked",
                    30,
                    () -> second.all() > 0 && moved.all() > 0 && quiet(servers.get(1)));
            cluster.allocationField("c", "DesiredStatus", "stop");
            cluster.deregister("c");
            Thread.sleep(600);
            // Another allocation is there by now.
            awaitAsked(servers.get(2), System.nanoTime());
            cluster.allocationField("a", "DesiredStatus", "stop");
            ScriptedServer.await("both addresses are let alone", 30, () -> quiet(servers.get(0)) && quiet(second));
            assertEquals(bed.unserved(), 0);
        }
    }

    @Test
    public void theTokenIsSentAndNeverLogged() throws Exception {
        Path token = Files.createTempFile("token", "");
        Files.writeString(token, "very-secret-token\n");
        StringBuffer lines = new StringBuffer();
        Log.Sink before =
                Log.setSink((kind, text, passedOver) -> lines.append(text).append('\n'));
        Told.ByNomad told = listing(new Told.ByNomad());
        told.api.token("very-secret-token");
        try (NomadBed bed = new NomadBed(Way.NOMAD, told, List.of(), "token_file = '" + token + "'").ask()) {
            ScriptedServer.await("a server is asked", 30, () -> servers.get(0).all() > 0);
            bed.nomad.api.fault(Fault.FORBIDDEN);
            // Lines of a kind are bounded by the second: the first refusal may be passed over.
            ScriptedServer.await("the refusal is told", 30, () -> lines.toString().contains("refuses the token"));
        } finally {
            Log.setSink(before);
            Files.delete(token);
        }
        assertFalse(lines.toString().contains("very-secret"), lines.toString());
    }

    /** A restart with nothing in its configuration and nobody to ask: the last table is in the file. */
    @Test
    public void aRestartBeginsWithTheLastTable() throws Exception {
        Path last = Files.createTempDirectory("last").resolve("servers.json");
        String more = "[membership]\nlast_table = '" + last + "'\n";
        Told.ByNomad told = listing(new Told.ByNomad());
        try (NomadBed bed = new NomadBed(Way.NOMAD, told, List.of(), more)) {
            ScriptedServer.await("the table is written", 30, () -> Files.exists(last) && bed.asked() == 0);
        }
        try (NomadBed bed = new NomadBed(Way.NOMAD, new Told.ByNomad(), List.of(), more)) {
            bed.told.away(true);
            bed.ask();
            ScriptedServer.await("some are asked", 30, () -> bed.asked() > 10);
            assertEquals(bed.unserved(), 0);
        }
    }

    @Test
    public void itIsOffUnlessTheFileSaysOtherwise() {
        var values = Kinds.all()
                .read(Path.of("../deploy/examples/nomad.toml"))
                .values()
                .orElseThrow();
        assertTrue(new NomadExtension(values).watchesDiscovery());
    }

    @DataProvider
    public Object[][] unusable() {
        return new Object[][] {
            {"service = \"a/b\"", "nomad.service: must be a service name"},
            {"service = \"s\"\nagents = [\"nowhere\"]", "nomad.agents: must be host:port"},
            {"service = \"s\"\nzone = \"tags\"", "nomad.zone: must be \"datacenter\""},
            {"service = \"s\"\nback_off = \"20 s\"", "must not be longer than longest_back_off"},
            {"service = \"s\"\n[membership]\nsources = [\"nomad\", \"nomad\"]", "must not name a source twice"},
            {"service = \"s\"\n[membership]\nhold = \"1 min\"", "must not be longer than longest_hold"},
        };
    }

    @Test(dataProvider = "unusable")
    public void anUnusableFileIsRefusedWithItsKey(String text, String why) {
        String problems = Kinds.all()
                .read("f", "kind = \"nomad\"\n[nomad]\n" + text)
                .problems()
                .toString();
        assertTrue(problems.contains(why), problems);
    }
}
