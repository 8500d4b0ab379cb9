package peppergauge.lab.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.RealTimeTestBase;
import peppergauge.invariant.PlantedSource;

/** Runs some seeds against the real program, and checks that the rules find planted faults. */
public class SoakTest extends RealTimeTestBase {

    private static final Path SOURCES = Path.of("..", "sidecar", "src", "main", "java", "peppergauge");
    private static final Path SCRIPTS = Path.of("src/test/resources/soak");
    private static final long LAST_SEED = 200;
    /** Some faults have an effect only if a request coincides with one instant. */
    private static final int SEEDS_PER_FAULT = 6;

    /** @param first class path entries before the program's own; empty for none */
    private static List<String> command(String first) {
        return List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-Xmx64m",
                "-ea:peppergauge...",
                "-cp",
                first + System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                "peppergauge.Main",
                "serve");
    }

    private static Soak.Outcome run(SoakFile file, String first) throws Exception {
        return new Soak(command(first), Path.of("").toAbsolutePath()).run(file);
    }

    private static SoakFile file(long seed, String steps) {
        String text = "kind = \"soak\"\n[run]\nseed = " + seed + "\nlength = \"2500 ms\"\ngrace = \"400 ms\"\n" + steps;
        return SoakFile.read(SoakFile.FILES
                .read("soak.toml", text)
                .values()
                .orElseThrow(() -> new IllegalArgumentException(
                        SoakFile.FILES.read("soak.toml", text).problems().toString())));
    }

    private static String step(String time, String what, String more) {
        return "[[step]]\ntime = \"" + time + "\"\nwhat = \"" + what + "\"\n" + more + "\n";
    }

    // ---- The program as it is ----

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{4L}, {6L}, {17L}};
    }

    @Test(dataProvider = "seeds")
    public void violatesNoRuleForSeed(long seed) throws Exception {
        Soak.Outcome outcome = run(SoakScheduleGenerator.generate(seed, false), "");
        assertEquals(
                outcome.broken().toString(), "[]", outcome.rules().excused().toString());
        // A rule without checks would be satisfied trivially.
        assertTrue(
                outcome.rules()
                        .checked()
                        .keySet()
                        .containsAll(Set.of(
                                "answer",
                                "duplicate",
                                "one attempt",
                                "left",
                                "told deadline",
                                "without length",
                                "process",
                                "limits")),
                outcome.rules().checked().toString());
    }

    @DataProvider
    public Object[][] scripts() throws Exception {
        try (var files = Files.list(SCRIPTS)) {
            return files.filter(file -> file.toString().endsWith(".toml"))
                    .sorted()
                    .map(file -> new Object[] {file})
                    .toArray(Object[][]::new);
        }
    }

    /** Scripts are runs of seeds that failed, reduced to the fewest steps. */
    @Test(dataProvider = "scripts")
    public void violatesNoRuleForScript(Path script) throws Exception {
        Soak.Outcome outcome = run(Soak.read(script), "");
        assertEquals(
                outcome.broken().toString(), "[]", outcome.rules().excused().toString());
    }

    // ---- Planted faults ----

    @DataProvider
    public Object[][] faults() {
        String drain = step("1 s", "drain", "");
        String partialRequests = step("100 ms", "half-requests", "count = 4");
        return new Object[][] {
            {
                "last responses are not flushed",
                "answer",
                "",
                new PlantedSource(
                        "frontend/HttpResponseWriter.java",
                        "        unsent = ByteBuffer.wrap(content);\n",
                        "        if (frontend.isClosing()) {\n            return;\n"
                                + "        }\n        unsent = ByteBuffer.wrap(content);\n")
            },
            {
                "queued request is dropped at shutdown",
                "answer",
                // Requests are open when the listener closes, rather than in some runs by coincidence.
                step("0 s", "hang-at-the-end", ""),
                new PlantedSource(
                        "Sidecar.java",
                        "            extension.onStopping();\n",
                        "            extension.onStopping();\n" + "            dispatcher.close();\n")
            },
            {
                "requests are accepted after the shutdown of their connection",
                "answer",
                step("0 s", "hang-at-the-end", "") + step("0 s", "rest-at-the-end", ""),
                new PlantedSource(
                        "sockets/ClientConnection.java",
                        "            phase = ConnectionPhase.LINGERING;\n"
                                + "            stopTimer();\n            lingering.begin();",
                        "            if (discardedBytes == 0) {\n                discardedBytes = 1;\n"
                                + "                stopTimer();\n"
                                + "                lingering.begin();\n            }")
            },
            {
                "deadline is not reduced",
                "told deadline",
                step("500 ms", "hold", "length = \"150 ms\""),
                new PlantedSource(
                        "backend/RequestWriter.java",
                        "request.setHeader(Headers.REMAINING_TIME_MS, Long.toString((long) remainingMs));",
                        "request.setHeader(Headers.REMAINING_TIME_MS, Long.toString((long) remainingMs + 300));")
            },
            {
                "drain is ignored",
                "drain",
                drain,
                new PlantedSource(
                        "discovery/EndpointUpdateReader.java",
                        "case \"leaving\" -> EndpointState.DRAINING;",
                        "case \"leaving\" -> EndpointState.READY;")
            },
            {
                "unsafe request is processed twice",
                "duplicate",
                "",
                new PlantedSource(
                        "backend/HttpExchange.java",
                        "end(state == State.UNSENT ? Outcome.UNREACHABLE : Outcome.BROKEN, null, null);",
                        "end(Outcome.UNREACHABLE, null, null);")
            },
            {
                "client that stopped in a request is not disconnected",
                "half request",
                partialRequests,
                new PlantedSource(
                        "sockets/ClientConnection.java", "RECEIVE_TIMEOUT_MS = 2_300;", "RECEIVE_TIMEOUT_MS = 9_000;")
            },
            {
                "process does not end",
                "process",
                "",
                new PlantedSource(
                        "Sidecar.java",
                        "            awaitLargeBodies(bodiesDeadlineNanos);\n",
                        "            awaitLargeBodies(bodiesDeadlineNanos);\n"
                                + "            TimeUnit.SECONDS.sleep(2);\n")
            },
            {
                "responses without a length are dropped",
                "without length",
                "",
                new PlantedSource(
                        "backend/HttpExchange.java",
                        "            endsWithConnection = !delimited;\n",
                        "            if (!delimited) {\n"
                                + "                throw new ProtocolException(\"unframed\");\n"
                                + "            }\n")
            },
        };
    }

    @Test(dataProvider = "faults")
    public void findsPlantedFault(String which, String rule, String steps, PlantedSource fault) throws Exception {
        Path classes = Files.createTempDirectory(Path.of("target").toAbsolutePath(), "planted");
        fault.compileInto(classes, SOURCES);
        Soak.Outcome outcome = null;
        for (long seed = 1;
                seed <= SEEDS_PER_FAULT && (outcome == null || !outcome.names().contains(rule));
                seed++) {
            outcome = run(file(seed, steps), classes + ":");
        }
        assertTrue(outcome.names().contains(rule), which + ": found " + outcome.broken());
    }

    // ---- Schedules and files ----

    @Test
    public void sameSeedGeneratesSameRunAndFileRoundTrips() {
        for (long seed = 1; seed <= LAST_SEED; seed++) {
            SoakFile drawn = SoakScheduleGenerator.generate(seed, seed % 2 == 0);
            assertEquals(SoakScheduleGenerator.generate(seed, seed % 2 == 0), drawn);
            assertNotEquals(SoakScheduleGenerator.generate(seed + 1, seed % 2 == 0), drawn);
            assertEquals(
                    SoakFile.read(SoakFile.FILES
                            .read("drawn.toml", drawn.toToml())
                            .values()
                            .orElseThrow()),
                    drawn);
        }
    }
}
