package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.scenario.Discovery;
import peppergauge.lab.scenario.RequestKind;
import peppergauge.lab.scenario.Scenario;

/** One run of a scenario in virtual time. Runs share no state, so many may run concurrently, each on its own thread. */
public final class Emulator {

    /** Time after the last deadline by which all requests must have ended; it bounds the length of a run. */
    private static final double AFTERMATH_MS = 2_000;

    private final World world;
    private final String name;
    private final List<Application> applications = new ArrayList<>();
    private final Director director;
    private double progressEveryMs = Double.POSITIVE_INFINITY;
    private DoubleConsumer progress = passedMs -> {};

    private Emulator(String name, Scenario scenario, Sabotage sabotage) {
        this.name = name;
        world = new World(scenario);
        Demand demand = new Demand(world);
        List<Double> rates = Application.rates(scenario);
        for (int i = 0; i < rates.size(); i++) {
            EmulatedSidecar sidecar = new EmulatedSidecar(world, sabotage, i);
            world.sidecars.add(sidecar);
            applications.add(new Application(world, demand, sidecar, rates.get(i)));
        }
        world.discovery = scenario.discovery().source() == Discovery.Source.NOMAD
                ? new NomadDiscovery(world)
                : new PlatformDiscovery(world);
        director = new Director(world, demand, applications);
    }

    /**
     * Runs a scenario to its end, or to the first rule violation.
     *
     * @param name of the scenario, for the result
     */
    public static RunResult run(String name, Scenario scenario) {
        return new Emulator(name, scenario, Sabotage.NONE).run();
    }

    /** Runs a scenario and reports the elapsed virtual time in ms every {@code everyMs} of virtual time. */
    public static RunResult run(String name, Scenario scenario, double everyMs, DoubleConsumer progress) {
        Emulator emulator = new Emulator(name, scenario, Sabotage.NONE);
        emulator.progressEveryMs = everyMs;
        emulator.progress = progress;
        return emulator.run();
    }

    static RunResult run(String name, Scenario scenario, Sabotage sabotage) {
        return new Emulator(name, scenario, sabotage).run();
    }

    /** Runs a scenario after the caller has configured the run's context. */
    static RunResult run(String name, Scenario scenario, Consumer<World> beside) {
        return run(name, scenario, Sabotage.NONE, beside);
    }

    static RunResult run(String name, Scenario scenario, Sabotage sabotage, Consumer<World> beside) {
        Emulator emulator = new Emulator(name, scenario, sabotage);
        beside.accept(emulator.world);
        return emulator.run();
    }

    private RunResult run() {
        Scenario scenario = world.scenario;
        double lengthMs = Scenario.ms(scenario.run().length());
        world.fleet.open();
        world.discovery.open();
        world.sidecars.forEach(EmulatedSidecar::start);
        director.start();
        applications.forEach(Application::start);
        world.meters.start();
        world.stations.start();
        world.time.after(lengthMs, () -> applications.forEach(Application::close));
        tellProgress();
        double longestMs = scenario.classes().stream()
                .map(RequestKind::deadline)
                .mapToDouble(Scenario::ms)
                .max()
                .orElse(0);
        long end = VirtualTime.ticks(lengthMs + longestMs + AFTERMATH_MS);
        try {
            world.time.runUntil(end);
            lookForWhatIsHeld(end);
        } catch (IllegalStateException endless) {
            world.rulebook.broken(Rulebook.Rule.BUG, endless.getMessage());
        }
        return world.meters.result(name, lengthMs / 1e3, world.trace.digest(), world.rulebook.all(), director.events());
    }

    private void tellProgress() {
        if (progressEveryMs < Double.POSITIVE_INFINITY) {
            world.time.after(progressEveryMs, () -> {
                progress.accept(world.time.elapsedMs());
                tellProgress();
            });
        }
    }

    /** Reports a sidecar that still holds a request at the end, when no client waits any more. */
    private void lookForWhatIsHeld(long end) {
        List<EmulatedSidecar> holding = new ArrayList<>(world.sidecars.stream()
                .filter(sidecar -> sidecar.up() && !sidecar.troubledSince(end))
                .toList());
        List.copyOf(holding).forEach(sidecar -> sidecar.whenIdle(() -> holding.remove(sidecar)));
        world.time.runUntil(end + VirtualTime.ticks(1));
        if (!holding.isEmpty()) {
            world.rulebook.broken(
                    Rulebook.Rule.GIVEN_UP, holding.get(0).name() + " still holds sessions that are over");
        }
    }
}
