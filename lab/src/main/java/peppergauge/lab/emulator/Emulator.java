package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.scenario.Discovery;
import peppergauge.lab.scenario.RequestClassSpec;
import peppergauge.lab.scenario.Scenario;

/** One run of a scenario in virtual time. Runs share no state, so many may run concurrently, each on its own thread. */
public final class Emulator {

    /** Time after the last deadline by which all requests must have ended; it bounds the length of a run. */
    private static final double SETTLE_MS = 2_000;

    private final EmulationContext context;
    private final String name;
    private final List<Application> applications = new ArrayList<>();
    private final IncidentRunner incidents;
    private double progressEveryMs = Double.POSITIVE_INFINITY;
    private DoubleConsumer progress = passedMs -> {};

    private Emulator(String name, Scenario scenario, PlantedFault faults) {
        this.name = name;
        context = new EmulationContext(scenario);
        RequestMix requestMix = new RequestMix(context);
        List<Double> rates = Application.rates(scenario);
        for (int i = 0; i < rates.size(); i++) {
            EmulatedSidecar sidecar = new EmulatedSidecar(context, faults, i);
            context.sidecars.add(sidecar);
            applications.add(new Application(context, requestMix, sidecar, rates.get(i)));
        }
        context.discovery = scenario.discovery().source() == Discovery.Source.NOMAD
                ? new NomadDiscovery(context)
                : new PlatformDiscovery(context);
        incidents = new IncidentRunner(context, requestMix, applications);
    }

    /**
     * Runs a scenario to its end, or to the first rule violation.
     *
     * @param name of the scenario, for the result
     */
    public static RunResult run(String name, Scenario scenario) {
        return new Emulator(name, scenario, PlantedFault.NONE).run();
    }

    /** Runs a scenario and reports the elapsed virtual time in ms every {@code everyMs} of virtual time. */
    public static RunResult run(String name, Scenario scenario, double everyMs, DoubleConsumer progress) {
        Emulator emulator = new Emulator(name, scenario, PlantedFault.NONE);
        emulator.progressEveryMs = everyMs;
        emulator.progress = progress;
        return emulator.run();
    }

    static RunResult run(String name, Scenario scenario, PlantedFault faults) {
        return new Emulator(name, scenario, faults).run();
    }

    /** Runs a scenario after the caller has configured the run's context. */
    static RunResult run(String name, Scenario scenario, Consumer<EmulationContext> configure) {
        return run(name, scenario, PlantedFault.NONE, configure);
    }

    static RunResult run(String name, Scenario scenario, PlantedFault faults, Consumer<EmulationContext> configure) {
        Emulator emulator = new Emulator(name, scenario, faults);
        configure.accept(emulator.context);
        return emulator.run();
    }

    private RunResult run() {
        Scenario scenario = context.scenario;
        double lengthMs = Scenario.toMillis(scenario.run().length());
        context.fleet.open();
        context.discovery.open();
        context.sidecars.forEach(EmulatedSidecar::start);
        incidents.start();
        applications.forEach(Application::start);
        context.meters.start();
        context.fleetService.start();
        context.time.after(lengthMs, () -> applications.forEach(Application::close));
        reportProgress();
        double longestMs = scenario.classes().stream()
                .map(RequestClassSpec::deadline)
                .mapToDouble(Scenario::toMillis)
                .max()
                .orElse(0);
        long end = VirtualTime.ticks(lengthMs + longestMs + SETTLE_MS);
        try {
            context.time.runUntil(end);
            checkForHeldRequests(end);
        } catch (IllegalStateException endlessInstant) {
            context.rulebook.report(Rulebook.Rule.BUG, endlessInstant.getMessage());
        }
        return context.meters.result(
                name, lengthMs / 1e3, context.trace.digest(), context.rulebook.all(), incidents.events());
    }

    private void reportProgress() {
        if (progressEveryMs < Double.POSITIVE_INFINITY) {
            context.time.after(progressEveryMs, () -> {
                progress.accept(context.time.elapsedMs());
                reportProgress();
            });
        }
    }

    /** Reports a sidecar that still holds a request at the end, when no client waits any more. */
    private void checkForHeldRequests(long end) {
        List<EmulatedSidecar> sidecarsWithRequests = new ArrayList<>(context.sidecars.stream()
                .filter(sidecar -> sidecar.up() && !sidecar.pausedSince(end))
                .toList());
        List.copyOf(sidecarsWithRequests)
                .forEach(sidecar -> sidecar.whenIdle(() -> sidecarsWithRequests.remove(sidecar)));
        context.time.runUntil(end + VirtualTime.ticks(1));
        if (!sidecarsWithRequests.isEmpty()) {
            context.rulebook.report(
                    Rulebook.Rule.GIVEN_UP, sidecarsWithRequests.get(0).name() + " still holds sessions that are over");
        }
    }
}
