package peppergauge.lab.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import peppergauge.lab.emulator.Emulator;
import peppergauge.lab.emulator.Sweep;
import peppergauge.lab.result.ResultJson;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.scenario.Scenario;
import peppergauge.log.Log;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;

/** The {@code emulate} command, which runs a scenario in virtual time. */
@Command(
        name = "emulate",
        description = {
            "Plays a scenario in virtual time, with the sidecar's own code.",
            "The same scenario and seed give the same result; the last line is the digest of all that happened.",
            "A broken rule ends the run: it is named on standard error with seed, time and the last events."
        })
final class EmulateCommand implements Callable<Integer> {

    @CommandLine.Spec
    private CommandSpec spec;

    @CommandLine.Mixin
    private ScenarioOptions scenarioOptions;

    @CommandLine.ArgGroup
    private SeedOptions seeds;

    /** Either one seed or a range of seeds. */
    static final class SeedOptions {

        @Option(names = "--seed", paramLabel = "N", description = "In place of the scenario's own seed.")
        private Long single;

        @Option(
                names = "--seeds",
                paramLabel = "A..B",
                converter = SeedRange.Converter.class,
                description = "All seeds from A to B, on all cores; failing seeds are printed.")
        private SeedRange range;
    }

    @Option(names = "--out", paramLabel = "DIR", description = "Write each result to DIR/NAME-SEED.json.")
    private Path out;

    @Option(names = "--workers", paramLabel = "N", description = "Threads for --seeds; all cores if left out.")
    private Integer workers;

    @Override
    public Integer call() throws InterruptedException {
        Optional<Scenario> read = scenarioOptions.read();
        if (read.isEmpty()) {
            return ExitCode.INVALID_INPUT;
        }
        // Discards log lines of emulated sidecars, since their timestamps would mix real with virtual time.
        Log.Sink previousSink = Log.setSink((kind, text, suppressed) -> {});
        try {
            return run(read.get());
        } finally {
            Log.setSink(previousSink);
        }
    }

    private int run(Scenario scenario) throws InterruptedException {
        String name = scenarioOptions.name();
        if (seeds != null && seeds.range != null) {
            return sweep(name, scenario, seeds.range);
        }
        long seed = seeds == null ? scenario.run().seed() : seeds.single;
        RunResult result = Emulator.run(name, scenario.withSeed(seed));
        report(result);
        spec.commandLine().getOut().println("digest: " + result.digest());
        return result.broken().isEmpty() ? ExitCode.OK : ExitCode.RULE_VIOLATED;
    }

    private int sweep(String name, Scenario scenario, SeedRange range) throws InterruptedException {
        PrintWriter console = spec.commandLine().getOut();
        List<Long> failing = new ArrayList<>();
        MessageDigest combinedDigest = sha256();
        long count = range.last() - range.first() + 1;
        ProgressBar progress = new ProgressBar(spec.commandLine().getErr(), count);
        int threads = workers == null ? Runtime.getRuntime().availableProcessors() : Math.max(1, workers);
        double[] serviceSum = new double[1];
        double[] leastService = {1};
        Sweep.run(name, scenario, range.first(), range.last(), threads, result -> {
            combinedDigest.update(result.digest().getBytes(StandardCharsets.US_ASCII));
            write(result);
            serviceSum[0] += result.totals().service();
            leastService[0] = Math.min(leastService[0], result.totals().service());
            if (!result.broken().isEmpty()) {
                failing.add(result.seed());
                RunResult.Broken broken = result.broken().get(0);
                console.println(String.format(
                        Locale.ROOT,
                        "seed %d: %s at %.3f s: %s",
                        result.seed(),
                        broken.rule(),
                        broken.atS(),
                        broken.about()));
            }
            progress.step(failing.size());
        });
        progress.end();
        console.println(String.format(
                Locale.ROOT,
                "%s: %d seeds, service %.4f, least %.4f",
                name,
                count,
                serviceSum[0] / count,
                leastService[0]));
        console.println("failing seeds: "
                + (failing.isEmpty() ? "none" : failing.toString().replaceAll("[\\[\\]]", "")));
        console.println("digest: " + HexFormat.of().formatHex(combinedDigest.digest()));
        return failing.isEmpty() ? ExitCode.OK : ExitCode.RULE_VIOLATED;
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException(missing);
        }
    }

    private void report(RunResult result) {
        PrintWriter console = spec.commandLine().getOut();
        console.println(ResultLines.totals(result));
        ResultLines.classes(result, console);
        write(result);
        PrintWriter errors = spec.commandLine().getErr();
        for (RunResult.Broken broken : result.broken()) {
            broken.trace().forEach(errors::println);
            errors.println(String.format(
                    Locale.ROOT,
                    "rule %s broken, seed %d, at %.3f s: %s",
                    broken.rule(),
                    result.seed(),
                    broken.atS(),
                    broken.about()));
        }
    }

    private void write(RunResult result) {
        if (out != null) {
            try {
                ResultJson.write(result, out.resolve(result.scenario() + '-' + result.seed() + ".json"));
            } catch (IOException failed) {
                throw new UncheckedIOException(failed);
            }
        }
    }
}
