package peppergauge.lab.rig;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import peppergauge.lab.fault.Fault;
import peppergauge.lab.fault.FaultSection;
import peppergauge.lab.fault.TopologyNames;
import peppergauge.lab.scenario.Rows;
import peppergauge.lab.scenario.Scenario;
import peppergauge.operator.FileKind;
import peppergauge.operator.OperatorFiles;
import peppergauge.operator.Section;
import peppergauge.operator.Values;

/**
 * A file of kind {@code rig}: a scenario whose incidents are faults between processes.
 *
 * @param faults in the order of the file
 */
public record RigFile(Scenario scenario, List<Fault> faults) {

    /** Of further programs, which a file cannot name: who starts the rig does. */
    private static final List<String> FLEET_INSTANCES = List.of("fleet-1", "fleet-2", "fleet-3");

    /** For {@code lab.files.Kinds}. */
    public static final FileKind KIND = new FileKind(
            "rig",
            "Processes with faults between them: a scenario whose " + "incidents are faults of links and processes.",
            sections());

    /** Reads files of this kind alone. */
    static final OperatorFiles FILES = new OperatorFiles(List.of(KIND));

    /** A list that nobody changes. */
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
                                TopologyNames.links(sidecars(scenario), RigFile.servers(scenario),
                                        FLEET_INSTANCES).stream())
                        .toList();
            }

            @Override
            protected List<String> servers(Values file) {
                return RigFile.servers(Scenario.read(file));
            }
        };
        // An incident of the emulator's would be left out without a word.
        return Stream.concat(
                        Scenario.sections().stream()
                                .filter(one -> !one.table().name().equals("at")),
                        Stream.of(faults))
                .toList();
    }

    /** @param file what a file without problems was read to */
    public static RigFile read(Values file) {
        return new RigFile(
                Scenario.read(file),
                file.all(Fault.TABLE).stream()
                        .map(values -> Rows.read(Fault.class, Fault.TABLE, values))
                        .toList());
    }

    /** A file that reads to this one. */
    public String toToml() {
        return scenario.toToml().replace("kind = \"scenario\"", "kind = \"rig\"")
                + faults.stream().map(fault -> Rows.write(Fault.TABLE, fault)).collect(Collectors.joining());
    }

    /** The same processes with other faults. */
    public RigFile withFaults(List<Fault> others) {
        return new RigFile(scenario, others);
    }

    /** Names of the sidecars. */
    public static List<String> sidecars(Scenario scenario) {
        return IntStream.range(0, (int) scenario.sidecars().count())
                .mapToObj(TopologyNames::sidecar)
                .toList();
    }

    /** Names of the backend servers. */
    public static List<String> servers(Scenario scenario) {
        return scenario.servers().stream()
                .flatMap(kind ->
                        IntStream.rangeClosed(1, (int) kind.count()).mapToObj(number -> kind.name() + '-' + number))
                .toList();
    }

    /** Names of all processes that the file itself tells of. */
    public static List<String> processes(Scenario scenario) {
        return Stream.of(sidecars(scenario), servers(scenario), List.of(TopologyNames.DISCOVERY))
                .flatMap(List::stream)
                .toList();
    }
}
