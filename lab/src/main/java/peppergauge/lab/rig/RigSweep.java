package peppergauge.lab.rig;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import peppergauge.lab.fault.FailureMinimizer;
import peppergauge.lab.fault.FaultLimits;
import peppergauge.lab.fault.FaultScheduleGenerator;
import peppergauge.lab.fault.ScheduledFault;
import peppergauge.lab.fault.TopologyNames;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.EventKind;
import peppergauge.lab.history.History;
import peppergauge.lab.history.HistoryRules;
import peppergauge.lab.history.RuleLimits;
import peppergauge.lab.history.Verdict;
import peppergauge.lab.scenario.Run;
import peppergauge.lab.scenario.Scenario;

/** Runs generated schedules one after the other, each with new processes, and shrinks failing schedules. */
public final class RigSweep {

    /**
     * Result of a run.
     *
     * @param memoryKb memory of all processes just before their end, grouped by the first part of their names, in KiB
     */
    public record Outcome(RigFile file, History history, Verdict verdict, Map<String, Long> memoryKb) {

        /** Returns the memory of all processes in MiB. */
        public long memoryMib() {
            return memoryKb.values().stream().mapToLong(kib -> kib).sum() / 1024;
        }

        /**
         * Returns the share of the run by which the rig's thread was delayed, which serves all links and clients. A run
         * is valid only if the share is close to 0.
         */
        public double rigDelayShare() {
            List<Event> rigDelays = history.of(EventKind.LATE)
                    .filter(event -> event.who().equals("rig"))
                    .toList();
            long beginNs = history.first(EventKind.BEGIN).orElse(0L);
            long endNs = history.first(EventKind.END).orElse(Long.MAX_VALUE);
            return rigDelays.stream().mapToDouble(Event::number).sum() * 1e6 / (endNs - beginNs);
        }
    }

    private final LaunchCommands commands;
    private final DiscoveryCapacity capacity;
    private final List<AuxiliaryProcess> auxiliaryProcesses;
    private final double maxRecoveryMs;
    private final double windowMs;

    /**
     * Creates a sweep over equal sets of processes.
     *
     * @param maxRecoveryMs service must have recovered this long after the last fault
     * @param windowMs window over which service is measured
     */
    public RigSweep(
            LaunchCommands commands,
            DiscoveryCapacity capacity,
            List<AuxiliaryProcess> auxiliaryProcesses,
            double maxRecoveryMs,
            double windowMs) {
        this.commands = commands;
        this.capacity = capacity;
        this.auxiliaryProcesses = auxiliaryProcesses;
        this.maxRecoveryMs = maxRecoveryMs;
        this.windowMs = windowMs;
    }

    /** Returns the scenario with faults generated from the seed. The load lasts until all faults have ended. */
    public RigFile generate(Scenario scenario, long seed, FaultLimits limits) {
        List<String> servers = RigFile.servers(scenario);
        List<String> further =
                auxiliaryProcesses.stream().map(AuxiliaryProcess::name).toList();
        List<String> processes = Stream.concat(RigFile.processes(scenario).stream(), further.stream())
                .toList();
        List<ScheduledFault> faults = FaultScheduleGenerator.generate(
                seed, limits, servers, processes, TopologyNames.links(RigFile.sidecars(scenario), servers, further));
        return new RigFile(scenario.with(new Run(limits.latestEnd(), seed), scenario.servers(), List.of()), faults);
    }

    /**
     * Makes a run with one round.
     *
     * @throws IOException if processes cannot be started
     */
    public Outcome run(RigFile file) throws IOException, InterruptedException {
        return run(file, List.of());
    }

    /**
     * Makes a run with further rounds over the same processes, so that effects of a fault last into the next round.
     *
     * @throws IOException if processes cannot be started
     */
    public Outcome run(RigFile file, List<List<ScheduledFault>> further) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("rig");
        Rig rig = new Rig(new Rig.Plan(
                file, further, commands, capacity, auxiliaryProcesses, folder, limits(file), observer -> observer));
        // An interrupted sweep must leave no sidecar behind: unlike stand-ins, sidecars do not end with their input.
        Thread closeOnShutdown = new Thread(() -> close(rig));
        Runtime.getRuntime().addShutdownHook(closeOnShutdown);
        History history;
        Map<String, Long> memoryKb;
        try (rig) {
            history = rig.run();
            memoryKb = rig.rssKb();
        } finally {
            Runtime.getRuntime().removeShutdownHook(closeOnShutdown);
            delete(folder);
        }
        // The check takes a while; before the close, idle processes would take CPU time from other runs meanwhile.
        return new Outcome(file, history, HistoryRules.check(history, limits(file)), memoryKb);
    }

    private static void close(Rig rig) {
        try {
            rig.close();
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    private RuleLimits limits(RigFile file) {
        return Rig.withStepLimits(Rig.limits(file.scenario(), maxRecoveryMs, windowMs), commands);
    }

    /** Returns the fewest faults found that violate a rule that this outcome violated. */
    public RigFile shrink(Outcome failed) {
        return failed.file()
                .withFaults(FailureMinimizer.faults(failed.file().faults(), faults -> breaksSame(failed, faults)));
    }

    private boolean breaksSame(Outcome failed, List<ScheduledFault> faults) {
        try {
            return run(failed.file().withFaults(faults)).verdict().rules().stream()
                    .anyMatch(failed.verdict().rules()::contains);
        } catch (IOException startFailed) {
            return false;
        } catch (InterruptedException interrupted) {
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
