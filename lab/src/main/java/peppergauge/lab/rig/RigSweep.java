package peppergauge.lab.rig;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import peppergauge.lab.fault.Fault;
import peppergauge.lab.fault.FaultLimits;
import peppergauge.lab.fault.FaultScheduleGenerator;
import peppergauge.lab.fault.Fewest;
import peppergauge.lab.fault.TopologyNames;
import peppergauge.lab.history.Bounds;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.History;
import peppergauge.lab.history.Rules;
import peppergauge.lab.history.Verdict;
import peppergauge.lab.history.What;
import peppergauge.lab.scenario.Run;
import peppergauge.lab.scenario.Scenario;

/** Runs drawn schedules one after the other, each over processes of its own, and shrinks what fails. */
public final class RigSweep {

    /**
     * One run.
     *
     * @param memoryKb of all processes just before they were ended, by what their names begin with, KiB
     */
    public record Outcome(RigFile file, History history, Verdict verdict, Map<String, Long> memoryKb) {

        /** Of all processes together, MiB. */
        public long memoryMib() {
            return memoryKb.values().stream().mapToLong(kib -> kib).sum() / 1024;
        }

        /** Share of the run by which the rig's own thread, with all links and clients, was late; near 0, or no run. */
        public double rigLate() {
            List<Event> own = history.of(What.LATE)
                    .filter(event -> event.who().equals("rig"))
                    .toList();
            long beginNs = history.first(What.BEGIN).orElse(0L);
            long endNs = history.first(What.END).orElse(Long.MAX_VALUE);
            return own.stream().mapToDouble(Event::number).sum() * 1e6 / (endNs - beginNs);
        }
    }

    private final LaunchCommands commands;
    private final DiscoveryCapacity capacity;
    private final List<AuxiliaryProcess> programs;
    private final double backMs;
    private final double windowMs;

    /**
     * For runs of one sort of cast.
     *
     * @param backMs see {@link ReportLimits}, as for the next
     */
    public RigSweep(LaunchCommands commands, DiscoveryCapacity capacity, List<AuxiliaryProcess> programs, double backMs, double windowMs) {
        this.commands = commands;
        this.capacity = capacity;
        this.programs = programs;
        this.backMs = backMs;
        this.windowMs = windowMs;
    }

    /** The scenario with the faults that this seed draws; it lasts until all is healed, and until service is back. */
    public RigFile drawn(Scenario scenario, long seed, FaultLimits budget) {
        List<String> servers = RigFile.servers(scenario);
        List<String> further = programs.stream().map(AuxiliaryProcess::name).toList();
        List<String> processes = Stream.concat(RigFile.processes(scenario).stream(), further.stream())
                .toList();
        List<Fault> faults = FaultScheduleGenerator.draw(
                seed, budget, servers, processes, TopologyNames.links(RigFile.sidecars(scenario), servers, further));
        return new RigFile(scenario.with(new Run(budget.healed(), seed), scenario.servers(), List.of()), faults);
    }

    /** @throws IOException if processes cannot be started */
    public Outcome run(RigFile file) throws IOException, InterruptedException {
        return run(file, List.of());
    }

    /**
     * The same with further schedules over the same processes, one after the other: what a fault left behind is there
     * in the next.
     *
     * @throws IOException if processes cannot be started
     */
    public Outcome run(RigFile file, List<List<Fault>> further) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("rig");
        Rig rig = new Rig(new Rig.Plan(file, further, commands, capacity, programs, folder, bounds(file), tap -> tap));
        // A sweep that is broken off must leave no sidecar behind: unlike stand-ins they do not end with their input.
        Thread broken = new Thread(() -> close(rig));
        Runtime.getRuntime().addShutdownHook(broken);
        History history;
        Map<String, Long> memoryKb;
        try (rig) {
            history = rig.run();
            memoryKb = rig.rssKb();
        } finally {
            Runtime.getRuntime().removeShutdownHook(broken);
            delete(folder);
        }
        // Only now: checking takes a while, and its processes would idle at the cost of others' runs meanwhile.
        return new Outcome(file, history, Rules.check(history, bounds(file)), memoryKb);
    }

    private static void close(Rig rig) {
        try {
            rig.close();
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    private Bounds bounds(RigFile file) {
        return Rig.stepping(Rig.bounds(file.scenario(), backMs, windowMs), commands);
    }

    /** The fewest faults that break a rule that this outcome broke. */
    public RigFile shrunk(Outcome failed) {
        return failed.file().with(Fewest.faults(failed.file().faults(), faults -> breaksSame(failed, faults)));
    }

    private boolean breaksSame(Outcome failed, List<Fault> faults) {
        try {
            return run(failed.file().with(faults)).verdict().rules().stream()
                    .anyMatch(failed.verdict().rules()::contains);
        } catch (IOException unstarted) {
            return false;
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path each : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(each);
            }
        }
    }
}
