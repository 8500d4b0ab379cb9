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
import peppergauge.lab.fault.Fault;
import peppergauge.lab.fault.FaultKind;
import peppergauge.lab.fault.TopologyNames;
import peppergauge.lab.history.ColdStart;
import peppergauge.lab.play.Daemons;
import peppergauge.lab.process.Deploy;
import peppergauge.lab.scenario.Run;
import peppergauge.lab.scenario.Scenario;

/**
 * By hand: under load all processes are killed at one moment and started at one moment, as by a power cut; a line of
 * what it cost for each case and each way to start. See docs/COLD-START.md; options are {@code --name value}.
 */
public final class ColdStartSweep {

    /** What is wrong beside the power cut. */
    enum Case {
        /** Nothing. */
        POWER,
        /** Discovery answers one call in twenty. */
        TWENTIETH,
        /** It takes connections, and says nothing, for {@code --hang} seconds from the start. */
        HANGS,
        /** It is there for 1 s in {@code --every} seconds, three times, and from then on. */
        BLINKS,
        /** About a third of the sidecars is killed again and again, {@code --every} seconds apart, five times. */
        LOOP,
        /** Discovery alone is killed and comes back: all watches end at one moment. */
        RETRY
    }

    private static final int TIMES_GONE = 3;
    private static final int TIMES_KILLED = 5;
    /** Nine names in thirty. */
    private static final List<String> THIRD = List.of("sidecar-*1", "sidecar-*4", "sidecar-*7");
    /** Discovery's own restart where it was not to be a part of the cold start: it is there before the sidecars. */
    private static final Duration SHORT = Duration.ofMillis(100);

    private static final double ANSWERED = 0.05;

    private final SweepOptions options;
    private boolean broken;

    private ColdStartSweep(SweepOptions options) {
        this.options = options;
    }

    /** @param args options and their values */
    public static void main(String[] args) throws IOException, InterruptedException {
        System.exit(new ColdStartSweep(SweepOptions.read(
                        args,
                        "ColdStartSweep" + SweepOptions.CAST
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
                play(Case.valueOf(each.toUpperCase(Locale.ROOT)), start);
            }
        }
        return broken ? 3 : 0;
    }

    private void play(Case which, String start) throws IOException, InterruptedException {
        Path home = Path.of("").toAbsolutePath();
        LaunchCommands commands = new LaunchCommands(
                home, Deploy.run(home), daemons(start), Boolean.parseBoolean(options.text("knowing", "true")));
        RigSweep sweep = new RigSweep(
                commands,
                capacity(which),
                start.equals("serve") ? List.of() : options.fleet(),
                1e3 * options.number("back", 60),
                1e3 * options.number("window", 5));
        Scenario usual = options.usual();
        List<Fault> faults = faults(which, usual);
        Duration length = faults.stream()
                .map(Fault::end)
                .max(Duration::compareTo)
                .orElseThrow()
                .plus(options.time("tail", 20));
        RigSweep.Outcome outcome = sweep.run(new RigFile(
                usual.with(new Run(length, (long) options.number("seed", 1)), usual.servers(), List.of()), faults));
        print(which, start, outcome);
    }

    /** {@code start}: {@code serve}, {@code daemon}, or {@code start} for one with the table of that name. */
    private Optional<Daemons> daemons(String start) throws IOException {
        if (start.equals("serve")) {
            return Optional.empty();
        }
        String tables = options.daemons().flatMap(Daemons::tables).orElse("");
        return Optional.of(Daemons.launched(Optional.of(
                start.equals("daemon")
                        ? tables
                        : tables + "\n[start]\ndiscovery-calls = " + options.number("calls", 0.5 * answersPerS())
                                + "\n")));
    }

    private double answersPerS() {
        return 1e3 * options.number("clerks", 1) / options.number("call-ms", 50);
    }

    private DiscoveryCapacity capacity(Case which) {
        return new DiscoveryCapacity(
                (int) options.number("clerks", 1),
                options.number("call-ms", 50),
                1e3 * options.number("patience", 600),
                which == Case.TWENTIETH ? ANSWERED : 1,
                false);
    }

    private List<Fault> faults(Case which, Scenario scenario) {
        Duration first = options.time("first", 12);
        Duration down = options.time("down", 2);
        Duration back = first.plus(down);
        boolean all = options.text("cut", "all").equals("all");
        List<Fault> faults = new ArrayList<>();
        if (which == Case.RETRY) {
            faults.add(fault(first, FaultKind.KILL, TopologyNames.DISCOVERY, down));
            return faults;
        }
        faults.add(fault(first, FaultKind.KILL, all ? "*" : "sidecar-*", down));
        if (!all) {
            faults.add(fault(first, FaultKind.KILL, TopologyNames.DISCOVERY, SHORT));
        }
        String toDiscovery = TopologyNames.link("sidecar-*", TopologyNames.DISCOVERY);
        Duration every = options.time("every", which == Case.LOOP ? 5 : 10);
        switch (which) {
            case HANGS ->
                faults.add(fault(first, FaultKind.ACCEPT_MUTE, toDiscovery, down.plus(options.time("hang", 20))));
            case BLINKS ->
                IntStream.range(0, TIMES_GONE)
                        .forEach(i -> faults.add(fault(
                                back.plusSeconds(1).plus(every.multipliedBy(i)),
                                FaultKind.DROP,
                                toDiscovery,
                                every.minusSeconds(1))));
            case LOOP ->
                IntStream.rangeClosed(1, TIMES_KILLED)
                        .forEach(i -> THIRD.forEach(names ->
                                faults.add(fault(back.plus(every.multipliedBy(i)), FaultKind.KILL, names, SHORT))));
            default -> {}
        }
        return faults;
    }

    private static Fault fault(Duration time, FaultKind what, String target, Duration length) {
        return new Fault(time, what, target, length, Optional.empty());
    }

    private void print(Case which, String start, RigSweep.Outcome outcome) throws IOException {
        ColdStart cold = ColdStart.of(outcome.history());
        List<Double> ready = cold.readyS();
        System.out.printf(
                "%s, %s: calls %d, peak %d/s, mean %.1f/s, open %d; told %.1f s; handshakes peak %d/s; "
                        + "sessions %s; usual after %.0f s; ready %s s, all by %.1f s; %s: %s%n",
                which,
                start,
                cold.calls(),
                cold.peakCalls(),
                cold.meanCalls(),
                cold.openCalls(),
                cold.toldS(),
                cold.handshakes(),
                cold.sessions(),
                cold.usualS(),
                ready.isEmpty()
                        ? "never"
                        : String.format(
                                "%.1f to %.1f, median %.1f",
                                ready.get(0), ready.get(ready.size() - 1), ready.get(ready.size() / 2)),
                cold.allReadyS(),
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
            SweepOptions.write(options.path("history").resolve(which + "-" + start + ".jsonl"), outcome.history());
        }
    }

    private static String memory(RigSweep.Outcome outcome) {
        return "MiB "
                + Arrays.toString(outcome.memoryKb().entrySet().stream()
                        .map(each -> each.getKey() + " " + each.getValue() / 1024)
                        .toArray());
    }
}
