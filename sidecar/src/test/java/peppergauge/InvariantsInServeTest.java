package peppergauge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A sidecar's process checks itself under -ea, and else loads nothing of it. */
public class InvariantsInServeTest {

    @DataProvider
    public Object[][] options() {
        return new Object[][] {{"", false}, {"-ea:peppergauge...", true}};
    }

    @Test(dataProvider = "options")
    public void serveLoadsTheInvariantsOnlyWhereAssertionsAreOn(String options, boolean on) throws Exception {
        Path loaded = Files.createTempFile("loaded", ".log");
        try (SidecarProcessFixture bed = new SidecarProcessFixture(
                SidecarFixture.ECHO, 256, 3, "export JDK_JAVA_OPTIONS='-Xlog:class+load:file=" + loaded + " " + options + "'; ")) {
            // Denials are for a machine that gives the sidecar no CPU; what was loaded for a session says it all.
            AtomicInteger asked = new AtomicInteger();
            AtomicInteger served = new AtomicInteger();
            ScriptedServer.await("20 sessions are served", 60, () -> {
                try (Socket client = bed.client()) {
                    client.getOutputStream()
                            .write(SidecarFixture.get("k" + asked.incrementAndGet(), 5_000).getBytes());
                    String status = new String(client.getInputStream().readNBytes(12));
                    return status.endsWith("200") && served.incrementAndGet() == 20;
                }
            });
            bed.sidecar.destroy();
            assertTrue(bed.sidecar.waitFor(60, TimeUnit.SECONDS));
            List<String> classes = Files.readAllLines(loaded);
            assertTrue(classes.stream().anyMatch(line -> line.contains("peppergauge.request.RequestDispatcher ")));
            assertEquals(classes.stream().anyMatch(line -> line.contains("peppergauge.invariant.")), on);
        } finally {
            Files.delete(loaded);
        }
    }
}
