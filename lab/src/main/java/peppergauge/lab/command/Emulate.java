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

/** {@code emulate FILE}: a scenario in virtual time. */
@Command(
        name = "emulate",
        description = {
            "Plays a scenario in virtual time, with the sidecar's own code.",
            "The same scenario and seed give the same result; the last line is the digest of all that happened.",
            "A broken rule ends the run: it is named on standard error with seed, time and the last events."
        })
final class Emulate implements Callable<Integer> {

    @CommandLine.Spec
    private CommandSpec spec;

    @CommandLine.Mixin
    private PlayedScenario played;

    @CommandLine.ArgGroup
    private Seeds seeds;

    /** Either one seed or a range of them. */
    static final class Seeds {

        @Option(names = "--seed", paramLabel = "N", description = "In place of the scenario's own seed.")
        private Long one;

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
        Optional<Scenario> read = played.read();
        if (read.isEmpty()) {
            return ExitCode.UNUSABLE_INPUT;
        }
        // What sidecars say in virtual time belongs to no clock that a reader has.
        Log.Sink former = Log.setSink((kind, text, passedOver) -> {});
        try {
            return run(read.get());
        } finally {
            Log.setSink(former);
        }
    }

    private int run(Scenario scenario) throws InterruptedException {
        String name = played.name();
        if (seeds != null && seeds.range != null) {
            return sweep(name, scenario, seeds.range);
        }
        long seed = seeds == null ? scenario.run().seed() : seeds.one;
        RunResult result = Emulator.run(name, scenario.seeded(seed));
        report(result);
        spec.commandLine().getOut().println("digest: " + result.digest());
        return result.broken().isEmpty() ? ExitCode.FINE : ExitCode.RULE_BROKEN;
    }

    private int sweep(String name, Scenario scenario, SeedRange range) throws InterruptedException {
        PrintWriter console = spec.commandLine().getOut();
        List<Long> failing = new ArrayList<>();
        MessageDigest digests = sha256();
        Progress progress = new Progress(spec.commandLine().getErr(), range.last() - range.first() + 1);
        int threads = workers == null ? Runtime.getRuntime().availableProcessors() : Math.max(1, workers);
        double[] sums = new double[2];
        Sweep.run(name, scenario, range.first(), range.last(), threads, result -> {
            digests.update(result.digest().getBytes(StandardCharsets.US_ASCII));
            write(result);
            sums[0] += result.totals().service();
            sums[1] = Math.max(sums[1], 1 - result.totals().service());
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
        long count = range.last() - range.first() + 1;
        console.println(String.format(
                Locale.ROOT, "%s: %d seeds, service %.4f, least %.4f", name, count, sums[0] / count, 1 - sums[1]));
        console.println("failing seeds: "
                + (failing.isEmpty() ? "none" : failing.toString().replaceAll("[\\[\\]]", "")));
        console.println("digest: " + HexFormat.of().formatHex(digests.digest()));
        return failing.isEmpty() ? ExitCode.FINE : ExitCode.RULE_BROKEN;
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
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
