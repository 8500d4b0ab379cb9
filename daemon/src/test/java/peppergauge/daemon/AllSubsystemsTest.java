package peppergauge.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Runs a daemon process whose operator file configures several subsystems, and ends it with SIGTERM. */
public class AllSubsystemsTest {

    private static final String OPERATOR_FILE = """
            kind = "daemon"
            [sidecar]
            config = "example/config.json"
            listen = "127.0.0.1:0"
            [thrift]
            listen = "127.0.0.1:0"
            [thrift.servers]
            form = "framed-binary"
            only = ["radio-"]
            [[thrift.method]]
            name = "listEpisodes"
            class = "episode-list"
            absent-tenant = "dongsan-fm"
            [[plugin]]
            name = "allow-list"
            file = "plugin/examples/allow-list.wasm"
            capabilities = ["config", "counters"]
            settings = ["dongsan-fm="]
            [snapshot]
            folder = "%s"
            every = "100 ms"
            [bodies]
            folder = "%s"
            kept-only = ["episode-list"]
            """;

    @Test
    public void startsAndStopsAllConfiguredSubsystems() throws Exception {
        Path directory = Files.createTempDirectory("subsystems");
        Path file = Files.writeString(
                directory.resolve("d.toml"),
                OPERATOR_FILE.formatted(directory.resolve("state"), directory.resolve("bodies")));
        Process daemon = new ProcessBuilder(
                        System.getProperty("java.home") + File.separator + "bin" + File.separator + "java",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "peppergauge.daemon.Daemon",
                        "daemon",
                        "--config",
                        file.toString())
                .directory(new File(".."))
                .redirectErrorStream(true)
                .start();
        try {
            List<String> lines = new ArrayList<>();
            for (String line = "";
                    line != null && !line.contains("sidecar_started");
                    line = daemon.inputReader().readLine()) {
                lines.add(line);
            }
            assertTrue(
                    lines.stream()
                            .anyMatch(line -> line.contains("thrift_listener_started") && line.contains("address=")),
                    lines.toString());
            assertTrue(lines.toString().contains("snapshot_not_restored"), lines.toString());
            daemon.destroy();
            assertTrue(daemon.waitFor(60, TimeUnit.SECONDS), "the daemon must end within 60 s of SIGTERM");
            assertEquals(daemon.exitValue(), 143);
            assertTrue(Files.isDirectory(directory.resolve("bodies")));
            try (var stored = Files.walk(directory.resolve("state"))) {
                assertTrue(stored.anyMatch(Files::isRegularFile), "the snapshot folder must contain a file");
            }
        } finally {
            daemon.destroyForcibly();
            try (var files = Files.walk(directory)) {
                files.sorted(Comparator.reverseOrder())
                        .forEach(path -> path.toFile().delete());
            }
        }
    }
}
