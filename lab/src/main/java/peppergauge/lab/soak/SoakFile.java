package peppergauge.lab.soak;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import peppergauge.lab.scenario.TableRecords;
import peppergauge.operator.FileKind;
import peppergauge.operator.Key;
import peppergauge.operator.OperatorFiles;
import peppergauge.operator.Problems;
import peppergauge.operator.Section;
import peppergauge.operator.Table;
import peppergauge.operator.Types;
import peppergauge.operator.Values;

/**
 * A file of kind {@code soak}, which describes one run.
 *
 * @param steps in the order of the file
 */
public record SoakFile(Run run, List<SoakStep> steps) {

    private static final Key<Long> SEED =
            Key.required("seed", Types.wholeNumber(0, Long.MAX_VALUE), "7", "Of all that clients and servers draw.");
    private static final Key<Duration> LENGTH = Key.required(
            "length",
            Types.duration(Duration.ofSeconds(1), Duration.ofMinutes(30)),
            "\"10 s\"",
            "From the start of the load to SIGTERM.");
    private static final Key<Duration> GRACE = Key.preset(
            "grace",
            Types.duration(Duration.ofMillis(100), Duration.ofSeconds(10)),
            "\"1 s\"",
            "The drain grace that the settings tell.");
    private static final Table RUN = Table.required("run", "How long and with which draws.", SEED, LENGTH, GRACE);

    /** Table {@code [run]}. */
    public record Run(long seed, Duration length, Duration grace) {}

    /** Reads files of this kind. */
    static final OperatorFiles FILES = new OperatorFiles(List.of(new FileKind(
            "soak",
            "One run of the soak: what happens to one sidecar, and round it.",
            List.of(section(RUN), section(SoakStep.TABLE)))));

    /** Copies the list of steps. */
    public SoakFile {
        steps = List.copyOf(steps);
    }

    private static Section section(Table table) {
        return new Section() {
            @Override
            public Table table() {
                return table;
            }

            @Override
            public void check(Values file, Problems problems) {
                // All combinations of valid values are valid.
            }
        };
    }

    /**
     * Creates a soak file from values.
     *
     * @param file values of a file without problems
     */
    static SoakFile read(Values file) {
        return new SoakFile(
                TableRecords.read(Run.class, RUN, file.get(RUN)),
                file.all(SoakStep.TABLE).stream()
                        .map(values -> TableRecords.read(SoakStep.class, SoakStep.TABLE, values))
                        .toList());
    }

    /** Returns the text of an equal file. */
    public String toToml() {
        return "kind = \"soak\"\n\n" + TableRecords.write(RUN, run)
                + steps.stream()
                        .map(step -> TableRecords.write(SoakStep.TABLE, step))
                        .collect(Collectors.joining());
    }

    /** Returns the same run with other steps. */
    SoakFile withSteps(List<SoakStep> others) {
        return new SoakFile(run, others);
    }
}
