package peppergauge.lab.rig;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.IntStream;
import peppergauge.lab.fault.FaultKind;
import peppergauge.lab.fault.ScheduledFault;
import peppergauge.lab.fault.TopologyNames;
import peppergauge.lab.history.ColdStart;
import peppergauge.lab.play.DaemonLauncher;
import peppergauge.lab.process.DeploymentFile;
import peppergauge.lab.scenario.Run;
import peppergauge.lab.scenario.Scenario;

/**
 * Kills all processes under load at the same moment and starts them at the same moment, as after a power cut. Prints a
 * line for each case and way of starting. Started by hand; see docs/COLD-START.md. Options are {@code --name value}.
 */
public final class ColdStartSweep {

    /** Further faults besides the power cut. */
    enum Case {
        /** No further fault. */
        POWER,
        /** Discovery responds to one call in twenty. */
        TWENTIETH,
        /** Discovery accepts connections and does not respond for {@code --hang} seconds from the start. */
        HANGS,
        /** Discovery is reachable for 1 s of every {@code --every} seconds, three times, and permanently after that. */
        BLINKS,
        /** About a third of the sidecars is killed five times, {@code --every} seconds apart. */
        LOOP,
        /** Only discovery is killed and restarted, so that all watches end at once. */
        RETRY
    }

    private static final int DISCOVERY_OUTAGES = 3;
    private static final int KILL_ROUNDS = 5;
    /** Matches nine names in thirty. */
    private static final List<String> A_THIRD_OF_SIDECARS = List.of("sidecar-*1", "sidecar-*4", "sidecar-*7");
    /** Outage of discovery where it is not part of the cold start; it is up again before the sidecars. */
    private static final Duration IMMEDIATE_RESTART = Duration.ofMillis(100);

    private static final double ANSWERED_SHARE = 0.05;

    private final SweepOptions options;
    private boolean broken;

    private ColdStartSweep(SweepOptions options) {
        this.options = options;
    }

    /** @param args options and their values */
    public static void main(String[] args) throws IOException, InterruptedException {
        System.exit(new ColdStartSweep(SweepOptions.read(
                        args,
                        "ColdStartSweep" + SweepOptions.TOPOLOGY_USAGE
                                + " [--cases power,twentieth,hangs,blinks,loop,retry] [--starts "
                                + "serve,daemon,start] [--calls PER_S]"
                                + " [--clerks N] [--call-ms MS] [--patience S] [--knowing "
                                + "true|false] [--cut all|sidecars]"
                                + " [--first S] [--down S] [--hang S] [--every S] [--tail S] "
                                + "[--back S] [--window S] [--seed N]"
                                + " [--daemon TABLES.toml] [--history FOLDER]"))
                .run());
    }

    private int run() throws IOException, InterruptedException {
        for (String each : options.text("cases", "power").split(",")) {
            for (String start : options.text("starts", "serve,daemon,start").split(",")) {
                runCase(Case.valueOf(each.toUpperCase(Locale.ROOT)), start);
            }
        }
        return broken ? 3 : 0;
    }

    private void runCase(Case sweepCase, String start) throws IOException, InterruptedException {
        Path home = Path.of("").toAbsolutePath();
        LaunchCommands commands = new LaunchCommands(
                home, DeploymentFile.run(home), daemons(start), Boolean.parseBoolean(options.text("knowing", "true")));
        RigSweep sweep = new RigSweep(
                commands,
                capacity(sweepCase),
                start.equals("serve") ? List.of() : options.fleetInstances(),
                1e3 * options.number("back", 60),
                1e3 * options.number("window", 5));
        Scenario usual = options.defaultScenario();
        List<ScheduledFault> faults = faults(sweepCase, usual);
        Duration length = faults.stream()
                .map(ScheduledFault::end)
                .max(Duration::compareTo)
                .orElseThrow()
                .plus(options.duration("tail", 20));
        RigSweep.Outcome outcome = sweep.run(new RigFile(
                usual.with(new Run(length, (long) options.number("seed", 1)), usual.servers(), List.of()), faults));
        print(sweepCase, start, outcome);
    }

    /**
     * Returns the daemons for a way of starting: {@code serve} for none, {@code daemon} for daemons, {@code start} for
     * daemons with the table {@code [start]}.
     */
    private Optional<DaemonLauncher> daemons(String start) throws IOException {
        if (start.equals("serve")) {
            return Optional.empty();
        }
        String tables = options.daemons().flatMap(DaemonLauncher::tables).orElse("");
        return Optional.of(DaemonLauncher.launched(Optional.of(
                start.equals("daemon")
                        ? tables
                        : tables + "\n[start]\ndiscovery-calls = " + options.number("calls", 0.5 * answersPerS())
                                + "\n")));
    }

    private double answersPerS() {
        return 1e3 * options.number("clerks", 1) / options.number("call-ms", 50);
    }

    private DiscoveryCapacity capacity(Case sweepCase) {
        return new DiscoveryCapacity(
                (int) options.number("clerks", 1),
                options.number("call-ms", 50),
                1e3 * options.number("patience", 600),
                sweepCase == Case.TWENTIETH ? ANSWERED_SHARE : 1,
                false);
    }

    private List<ScheduledFault> faults(Case sweepCase, Scenario scenario) {
        Duration first = options.duration("first", 12);
        Duration down = options.duration("down", 2);
        Duration back = first.plus(down);
        boolean all = options.text("cut", "all").equals("all");
        List<ScheduledFault> faults = new ArrayList<>();
        if (sweepCase == Case.RETRY) {
            faults.add(fault(first, FaultKind.KILL, TopologyNames.DISCOVERY, down));
            return faults;
        }
        faults.add(fault(first, FaultKind.KILL, all ? "*" : "sidecar-*", down));
        if (!all) {
            faults.add(fault(first, FaultKind.KILL, TopologyNames.DISCOVERY, IMMEDIATE_RESTART));
        }
        String toDiscovery = TopologyNames.link("sidecar-*", TopologyNames.DISCOVERY);
        Duration every = options.duration("every", sweepCase == Case.LOOP ? 5 : 10);
        switch (sweepCase) {
            case HANGS ->
                faults.add(fault(first, FaultKind.ACCEPT_MUTE, toDiscovery, down.plus(options.duration("hang", 20))));
            case BLINKS ->
                IntStream.range(0, DISCOVERY_OUTAGES)
                        .forEach(i -> faults.add(fault(
                                back.plusSeconds(1).plus(every.multipliedBy(i)),
                                FaultKind.DROP,
                                toDiscovery,
                                every.minusSeconds(1))));
            case LOOP ->
                IntStream.rangeClosed(1, KILL_ROUNDS)
                        .forEach(i -> A_THIRD_OF_SIDECARS.forEach(names -> faults.add(
                                fault(back.plus(every.multipliedBy(i)), FaultKind.KILL, names, IMMEDIATE_RESTART))));
            default -> {}
        }
        return faults;
    }

    private static ScheduledFault fault(Duration time, FaultKind what, String target, Duration length) {
        return new ScheduledFault(time, what, target, length, Optional.empty());
    }

    private void print(Case sweepCase, String start, RigSweep.Outcome outcome) throws IOException {
        ColdStart coldStart = ColdStart.of(outcome.history());
        List<Double> ready = coldStart.readyS();
        System.out.printf(
                "%s, %s: calls %d, peak %d/s, mean %.1f/s, open %d; told %.1f s; handshakes peak %d/s; "
                        + "sessions %s; usual after %.0f s; ready %s s, all by %.1f s; %s: %s%n",
                sweepCase,
                start,
                coldStart.calls(),
                coldStart.peakCalls(),
                coldStart.meanCalls(),
                coldStart.openCalls(),
                coldStart.toldS(),
                coldStart.handshakes(),
                coldStart.sessions(),
                coldStart.usualS(),
                ready.isEmpty()
                        ? "never"
                        : String.format(
                                "%.1f to %.1f, median %.1f",
                                ready.get(0), ready.get(ready.size() - 1), ready.get(ready.size() / 2)),
                coldStart.allReadyS(),
                memory(outcome),
                outcome.verdict().rules().isEmpty()
                        ? "fine"
                        : "BROKEN " + outcome.verdict().rules());
        if (options.has("fleet") && !start.equals("serve")) {
            System.out.println("    " + ColdStart.fleet(outcome.history()));
        }
        outcome.verdict().broken().stream().limit(5).forEach(one -> System.out.println("    " + one));
        System.out.println("    checked " + outcome.verdict().checked() + ", excused "
                + outcome.verdict().excused());
        broken |= !outcome.verdict().rules().isEmpty();
        if (options.has("history")) {
            SweepOptions.write(options.path("history").resolve(sweepCase + "-" + start + ".jsonl"), outcome.history());
        }
    }

    private static String memory(RigSweep.Outcome outcome) {
        return "MiB "
                + Arrays.toString(outcome.memoryKb().entrySet().stream()
                        .map(each -> each.getKey() + " " + each.getValue() / 1024)
                        .toArray());
    }
}
