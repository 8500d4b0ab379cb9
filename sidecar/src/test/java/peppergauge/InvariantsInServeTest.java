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

/** The sidecar checks invariants with -ea, and otherwise does not load the classes that check them. */
public class InvariantsInServeTest {

    @DataProvider
    public Object[][] jvmOptions() {
        return new Object[][] {{"", false}, {"-ea:peppergauge...", true}};
    }

    @Test(dataProvider = "jvmOptions")
    public void loadsInvariantsOnlyIfAssertionsAreEnabled(String options, boolean enabled) throws Exception {
        Path loaded = Files.createTempFile("loaded", ".log");
        try (SidecarProcessFixture fixture = new SidecarProcessFixture(
                SidecarFixture.ECHO,
                256,
                3,
                "export JDK_JAVA_OPTIONS='-Xlog:class+load:file=" + loaded + " " + options + "'; ")) {
            // On a busy machine requests may be rejected, so this waits for 20 successful ones.
            AtomicInteger sent = new AtomicInteger();
            AtomicInteger served = new AtomicInteger();
            ScriptedServer.await("20 successful responses", 60, () -> {
                try (Socket client = fixture.client()) {
                    client.getOutputStream()
                            .write(SidecarFixture.get("k" + sent.incrementAndGet(), 5_000)
                                    .getBytes());
                    String status = new String(client.getInputStream().readNBytes(12));
                    return status.endsWith("200") && served.incrementAndGet() == 20;
                }
            });
            fixture.sidecar.destroy();
            assertTrue(fixture.sidecar.waitFor(60, TimeUnit.SECONDS));
            List<String> classes = Files.readAllLines(loaded);
            assertTrue(classes.stream().anyMatch(line -> line.contains("peppergauge.request.RequestDispatcher ")));
            assertEquals(classes.stream().anyMatch(line -> line.contains("peppergauge.invariant.")), enabled);
        } finally {
            Files.delete(loaded);
        }
    }
}
