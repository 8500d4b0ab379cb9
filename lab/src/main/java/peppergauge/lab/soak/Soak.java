package peppergauge.lab.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import peppergauge.lab.fault.Fewest;
import peppergauge.operator.ReadResult;

/** Runs of the soak over one command of a sidecar, and what was found in them. */
public final class Soak {

    private static final int MAX_PRINTED = 5;

    private final List<String> command;
    private final Path workingDirectory;

    /** {@code command}: the words that start the sidecar, in {@code workplace}. */
    public Soak(List<String> command, Path workingDirectory) {
        this.command = command;
        this.workingDirectory = workingDirectory;
    }

    /** One run and what was found. */
    public record Outcome(SoakFile file, RunRecord runRecord, SoakRules rules, List<SoakRules.Violation> broken) {

        /** Names of the broken rules. */
        public Set<String> names() {
            return broken.stream().map(SoakRules.Violation::rule).collect(Collectors.toSet());
        }

        /** What the sidecar wrote. */
        public String log() {
            return runRecord.log;
        }

        /** For people: a line of figures, and of a run that broke something what it was and what happened. */
        public List<String> lines() {
            long served = runRecord.allRequests().stream()
                    .filter(request -> "200".equals(request.end))
                    .count();
            String line = String.format(
                    Locale.ROOT,
                    "seed %d: %d steps, asked %d, served %.3f, ended after"
                            + " %.2f s by %s, checked %s, excused %s: %s",
                    file.run().seed(),
                    file.steps().size(),
                    runRecord.requests.size(),
                    served / (double) Math.max(1, runRecord.requests.size()),
                    (runRecord.endedNs - runRecord.terminatedNs) / 1e9,
                    runRecord.killed ? "SIGKILL" : "itself",
                    rules.checked(),
                    rules.excused(),
                    broken.isEmpty() ? "fine" : "BROKEN " + names());
            return broken.isEmpty()
                    ? List.of(line)
                    : Stream.of(
                                    Stream.of(line),
                                    broken.stream()
                                            .limit(MAX_PRINTED)
                                            .map(one -> "    " + one.rule() + ": " + one.about()),
                                    file.steps().stream().map(step -> "    " + step.describe()))
                            .flatMap(each -> each)
                            .toList();
        }
    }

    /** The run of a seed; {@code longOutage}: discovery is away for 20 s and more. */
    public static SoakFile drawn(long seed, boolean longOutage) {
        return SoakScheduleGenerator.generate(seed, longOutage);
    }

    /** @throws IllegalArgumentException naming what is wrong with the file */
    public static SoakFile read(Path file) {
        ReadResult reading = SoakFile.FILES.read(file);
        return SoakFile.read(reading.values()
                .orElseThrow(
                        () -> new IllegalArgumentException(reading.problems().toString())));
    }

    /** @throws IOException if something cannot be started */
    public Outcome run(SoakFile file) throws IOException, InterruptedException {
        try (SoakRun run = new SoakRun(file, command, workingDirectory)) {
            RunRecord runRecord = run.run();
            SoakRules rules = new SoakRules(runRecord, file.run().grace().toMillis(), SoakRun.MAX_DESCRIPTORS);
            return new Outcome(file, runRecord, rules, rules.check());
        }
    }

    /** The fewest steps that break a rule that this run broke. */
    public SoakFile shrunk(Outcome failed) {
        return failed.file().withSteps(Fewest.of(failed.file().steps(), (rest, gone) -> breaksSame(failed, rest)));
    }

    private boolean breaksSame(Outcome failed, List<SoakStep> steps) {
        try {
            return run(failed.file().withSteps(steps)).names().stream().anyMatch(failed.names()::contains);
        } catch (IOException unstarted) {
            return false;
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
