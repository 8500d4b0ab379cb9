package peppergauge.daemon.file;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import peppergauge.daemon.subsystem.Subsystem;
import peppergauge.daemon.subsystem.Subsystems;
import peppergauge.fleet.file.FleetFile;
import peppergauge.operator.FileKind;
import peppergauge.operator.OperatorFiles;
import peppergauge.operator.Problem;
import peppergauge.operator.ReadResult;
import peppergauge.operator.Section;
import peppergauge.operator.Values;

/** The operator file of kind {@code daemon}. */
public final class DaemonFile {

    public static final FileKind KIND = new FileKind(
            "daemon",
            "One sidecar that lives long: its configuration, and all that this installation adds to it.",
            sections());

    private DaemonFile() {}

    private static List<Section> sections() {
        List<Section> sections = new ArrayList<>(List.of(new SidecarSection(), new AdminSection(), new LogSection()));
        Subsystems.ALL.stream().map(Subsystem::sections).forEach(sections::addAll);
        return sections;
    }

    /**
     * Reads a file of kind {@code daemon}.
     *
     * @throws IllegalArgumentException if the file is unusable; the message lists all problems, one per line
     */
    public static Values read(Path file) {
        return values(new OperatorFiles(List.of(KIND)).read(file));
    }

    /**
     * Reads a file of any kind that the program can be started with.
     *
     * @throws IllegalArgumentException if the file is unusable; the message lists all problems, one per line
     */
    public static ReadResult readAny(Path file) {
        ReadResult reading = new OperatorFiles(List.of(KIND, FleetFile.KIND)).read(file);
        values(reading);
        return reading;
    }

    private static Values values(ReadResult reading) {
        return reading.values()
                .orElseThrow(() -> new IllegalArgumentException(
                        reading.problems().stream().map(Problem::toString).collect(Collectors.joining("\n"))));
    }
}
