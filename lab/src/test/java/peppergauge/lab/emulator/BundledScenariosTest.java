package peppergauge.lab.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Properties;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.scenario.Run;
import peppergauge.lab.scenario.Scenario;

/** The bundled scenarios violate no rule, and a run depends on scenario and seed only. */
public class BundledScenariosTest {

    private static final long RUN_LENGTH_MS = 12_000;

    @DataProvider
    public Object[][] scenarios() throws IOException {
        try (var files = Files.list(BundledScenarios.FOLDER)) {
            // Subfolders contain files of other kinds.
            return files.filter(Files::isRegularFile)
                    .map(file -> new Object[] {file.getFileName().toString().replace(".toml", "")})
                    .sorted(Comparator.comparing(row -> (String) row[0]))
                    .toArray(Object[][]::new);
        }
    }

    /** The beginning of a scenario with the script entries in it. */
    static Scenario shortened(String name, long ms) {
        Scenario whole = BundledScenarios.scenario(name);
        Duration length = Duration.ofMillis(ms);
        return whole.with(
                new Run(length, whole.run().seed()),
                whole.servers(),
                whole.entries().stream()
                        .filter(entry -> entry.time().compareTo(length) <= 0)
                        .toList());
    }

    @Test(dataProvider = "scenarios")
    public void bundledScenarioViolatesNoRuleAndStatesItsPurpose(String name) throws IOException {
        RunResult result = Emulator.run(name, shortened(name, RUN_LENGTH_MS));
        assertEquals(result.broken().toString(), "[]");
        assertEquals(result.digest(), recordedDigests().getProperty(name), "recorded digest of " + name);
        assertTrue(result.totals().service() > 0.8, result.totals().toString());
        assertEquals(
                result.totals().asked(),
                result.totals().inTime()
                        + result.totals().late()
                        + result.totals().lost());
        String text = Files.readString(Path.of("../scenarios", name + ".toml"));
        assertTrue(text.startsWith("# ") && text.contains("# Look at: "), name);
    }

    /** Digests of the same runs at revision e30269d; a changed scenario needs a new digest. */
    private static Properties recordedDigests() throws IOException {
        Properties digests = new Properties();
        try (var reader = Files.newBufferedReader(Path.of("src/test/resources/emulator-digests.properties"))) {
            digests.load(reader);
        }
        return digests;
    }

    @DataProvider
    public Object[][] scenariosWithFaults() {
        return new Object[][] {{"sidecar-crash"}, {"poison"}, {"flaky-network"}, {"busy-sidecars"}};
    }

    /** The digest does not depend on other runs, sequential or concurrent. */
    @Test(dataProvider = "scenariosWithFaults")
    public void digestDependsOnScenarioAndSeedOnly(String name) throws InterruptedException {
        var scenario = shortened(name, 15_000);
        String digest = Emulator.run(name, scenario).digest();
        Emulator.run("calm", shortened("calm", 1_000));
        assertEquals(Emulator.run("again", scenario).digest(), digest);
        assertNotEquals(Emulator.run(name, scenario.withSeed(2)).digest(), digest);
        assertEquals(sweep(name, 8), sweep(name, 1));
        assertEquals(sweep(name, 8).get(0), digest);
    }

    private static List<String> sweep(String name, int workers) throws InterruptedException {
        List<String> digests = new ArrayList<>();
        Sweep.run(name, shortened(name, 15_000), 1, 9, workers, result -> digests.add(result.digest()));
        return digests;
    }

    /** The other process has different hash seeds and runs in interpreted mode. */
    @Test
    public void digestIsTheSameInAnotherProcess() throws IOException, InterruptedException {
        String path = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        Process other = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xint",
                        "-cp",
                        path,
                        "peppergauge.lab.command.Lab",
                        "emulate",
                        "../scenarios/calm.toml",
                        "--length",
                        "2")
                .redirectErrorStream(true)
                .start();
        List<String> lines =
                new String(other.getInputStream().readAllBytes()).lines().toList();
        assertEquals(other.waitFor(), 0, lines.toString());
        assertEquals(
                lines.get(lines.size() - 1),
                "digest: " + Emulator.run("calm", shortened("calm", 2_000)).digest());
    }

    /**
     * Additional draws of one random stream do not affect others: requests are the same whatever happens to servers.
     */
    @Test
    public void requestsDoNotDependOnTheirOutcomes() {
        RunResult calm = Emulator.run("calm", shortened("calm", 12_000));
        RunResult fast = Emulator.run(
                "fast",
                BundledScenarios.read(shortened("calm", 12_000).toToml()
                        + "[[at]]\ntime = '1 s'\nwhat = 'fast-errors'\ntarget = 'gen-a'\npart = 1.0\n"));
        assertTrue(fast.totals().failed() > calm.totals().failed());
        assertEquals(
                fast.seconds().stream().map(RunResult.Second::asked).toList(),
                calm.seconds().stream().map(RunResult.Second::asked).toList());
    }
}
