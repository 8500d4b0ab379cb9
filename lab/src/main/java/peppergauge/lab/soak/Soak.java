package peppergauge.lab.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import peppergauge.lab.fault.FailureMinimizer;
import peppergauge.operator.ReadResult;

/** Runs the soak test with a sidecar command and returns what its rules found. */
public final class Soak {

    private static final int MAX_PRINTED = 5;

    private final List<String> command;
    private final Path workingDirectory;

    /**
     * @param command the arguments that start the sidecar
     * @param workingDirectory the directory in which the command is run
     */
    public Soak(List<String> command, Path workingDirectory) {
        this.command = command;
        this.workingDirectory = workingDirectory;
    }

    /** Result of a run. */
    public record Outcome(SoakFile file, RunRecord runRecord, SoakRules rules, List<SoakRules.Violation> broken) {

        /** Returns the names of the violated rules. */
        public Set<String> names() {
            return broken.stream().map(SoakRules.Violation::rule).collect(Collectors.toSet());
        }

        /** Returns the sidecar's log. */
        public String log() {
            return runRecord.log;
        }

        /** Returns a line of figures and, if rules were violated, the violations and the steps of the run. */
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

    /**
     * Returns the run of a seed.
     *
     * @param longOutage whether discovery is silent for at least 20 s
     */
    public static SoakFile generate(long seed, boolean longOutage) {
        return SoakScheduleGenerator.generate(seed, longOutage);
    }

    /** Returns the same run with one to three periods in which system calls of the sidecar fail. */
    public static SoakFile withFailingCalls(SoakFile file) {
        return SoakScheduleGenerator.withFailingCalls(file);
    }

    /**
     * Reads a file of kind {@code soak}.
     *
     * @throws IllegalArgumentException with the file's problems
     */
    public static SoakFile read(Path file) {
        ReadResult reading = SoakFile.FILES.read(file);
        return SoakFile.read(reading.values()
                .orElseThrow(() -> new IllegalArgumentException("invalid soak file: " + reading.problems())));
    }

    /**
     * Makes a run.
     *
     * @throws IOException if a process or server cannot be started
     */
    public Outcome run(SoakFile file) throws IOException, InterruptedException {
        try (SoakRun run = new SoakRun(file, command, workingDirectory)) {
            RunRecord runRecord = run.run();
            SoakRules rules = new SoakRules(runRecord, file.run().grace().toMillis(), SoakRun.MAX_DESCRIPTORS);
            return new Outcome(file, runRecord, rules, rules.check());
        }
    }

    /** Returns the fewest steps found that violate a rule that this run violated. */
    public SoakFile shrink(Outcome failed) {
        return failed.file()
                .withSteps(FailureMinimizer.of(failed.file().steps(), (rest, removed) -> breaksSame(failed, rest)));
    }

    private boolean breaksSame(Outcome failed, List<SoakStep> steps) {
        try {
            return run(failed.file().withSteps(steps)).names().stream().anyMatch(failed.names()::contains);
        } catch (IOException startFailed) {
            return false;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
