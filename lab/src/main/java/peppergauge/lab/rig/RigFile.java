package peppergauge.lab.rig;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import peppergauge.lab.fault.FaultSection;
import peppergauge.lab.fault.ScheduledFault;
import peppergauge.lab.fault.TopologyNames;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.TableRecords;
import peppergauge.operator.FileKind;
import peppergauge.operator.OperatorFiles;
import peppergauge.operator.Section;
import peppergauge.operator.Values;

/**
 * A file of kind {@code rig}: a scenario whose incidents are faults of processes and links.
 *
 * @param faults in the order of the file
 */
public record RigFile(Scenario scenario, List<ScheduledFault> faults) {

    /**
     * Names of auxiliary processes that faults may name. A file does not define them; the caller that starts the rig
     * does.
     */
    private static final List<String> FLEET_INSTANCES = List.of("fleet-1", "fleet-2", "fleet-3");

    /** Describes the files for {@code lab.files.OperatorFileKinds}. */
    public static final FileKind KIND = new FileKind(
            "rig",
            "Processes with faults between them: a scenario whose " + "incidents are faults of links and processes.",
            sections());

    /** Reads files of this kind alone. */
    static final OperatorFiles FILES = new OperatorFiles(List.of(KIND));

    /** Copies the list of faults. */
    public RigFile {
        faults = List.copyOf(faults);
    }

    private static List<Section> sections() {
        Section faults = new FaultSection() {
            @Override
            protected List<String> targets(Values file) {
                Scenario scenario = Scenario.read(file);
                List<String> processes = Stream.concat(processes(scenario).stream(), FLEET_INSTANCES.stream())
                        .toList();
                return Stream.concat(
                                processes.stream(),
                                TopologyNames.links(sidecars(scenario), RigFile.servers(scenario), FLEET_INSTANCES)
                                        .stream())
                        .toList();
            }

            @Override
            protected List<String> servers(Values file) {
                return RigFile.servers(Scenario.read(file));
            }
        };
        // Section {@code [[at]]} is left out, since the rig would ignore incidents of the emulator silently.
        return Stream.concat(
                        Scenario.sections().stream()
                                .filter(one -> !one.table().name().equals("at")),
                        Stream.of(faults))
                .toList();
    }

    /**
     * Creates a rig file from values.
     *
     * @param file values of a file without problems
     */
    public static RigFile read(Values file) {
        return new RigFile(
                Scenario.read(file),
                file.all(ScheduledFault.TABLE).stream()
                        .map(values -> TableRecords.read(ScheduledFault.class, ScheduledFault.TABLE, values))
                        .toList());
    }

    /** Returns the text of an equal file. */
    public String toToml() {
        return scenario.toToml().replace("kind = \"scenario\"", "kind = \"rig\"")
                + faults.stream()
                        .map(fault -> TableRecords.write(ScheduledFault.TABLE, fault))
                        .collect(Collectors.joining());
    }

    /** Returns the same scenario with other faults. */
    public RigFile withFaults(List<ScheduledFault> others) {
        return new RigFile(scenario, others);
    }

    /** Returns the names of the sidecars. */
    public static List<String> sidecars(Scenario scenario) {
        return IntStream.range(0, (int) scenario.sidecars().count())
                .mapToObj(TopologyNames::sidecar)
                .toList();
    }

    /** Returns the names of the backend servers. */
    public static List<String> servers(Scenario scenario) {
        return scenario.servers().stream()
                .flatMap(kind ->
                        IntStream.rangeClosed(1, (int) kind.count()).mapToObj(number -> kind.name() + '-' + number))
                .toList();
    }

    /** Returns the names of all processes that the file defines. */
    public static List<String> processes(Scenario scenario) {
        return Stream.of(sidecars(scenario), servers(scenario), List.of(TopologyNames.DISCOVERY))
                .flatMap(List::stream)
                .toList();
    }
}
