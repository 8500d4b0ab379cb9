package peppergauge.lab.rig;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;
import peppergauge.daemon.file.DaemonFile;
import peppergauge.fleet.file.FleetFile;
import peppergauge.lab.scenario.Scenario;
import peppergauge.operator.OperatorFiles;

/** Checks that the files of scenarios/rig/sweep.sh are valid and that their objectives name existing tenants. */
public class SweepFilesTest {

    private static final Path FOLDER = Path.of("../scenarios/rig");

    private static String text(String name) throws IOException {
        return Files.readString(FOLDER.resolve(name))
                .replaceAll("\\{link:[^}]*}", "127.0.0.1:1")
                .replace("{dir}", "/d");
    }

    @Test
    public void sweepFilesAreValidAndConsistent() throws IOException {
        assertEquals(RigFile.FILES.read(FOLDER.resolve("cast.toml")).problems(), List.of());
        Scenario topology = RigFile.read(
                        RigFile.FILES.read(FOLDER.resolve("cast.toml")).values().orElseThrow())
                .scenario();
        assertEquals(
                List.of(
                        RigFile.sidecars(topology).size(),
                        RigFile.servers(topology).size()),
                List.of(12, 13));
        assertEquals(
                new OperatorFiles(List.of(DaemonFile.KIND))
                        .read(
                                "daemon.toml",
                                "kind = \"daemon\"\n[sidecar]\n" + "config = \"c\"\n[admin]\nsocket = \"s\"\n"
                                        + text("reader.toml"))
                        .problems(),
                List.of());
        String instance = text("instance.toml");
        assertEquals(
                new OperatorFiles(List.of(FleetFile.KIND))
                        .read("fleet.toml", instance.replace("{number}", "1").replace("{listen}", "127.0.0.1:2"))
                        .problems(),
                List.of());
        topology.tenants()
                .forEach(station ->
                        assertEquals(instance.split("station = \"" + station.name() + '"').length, 2, station.name()));
    }
}
