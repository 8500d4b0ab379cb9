package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import peppergauge.lab.scenario.Scenario;

/** Objects that all components of one run share. */
final class EmulationContext {

    final Scenario scenario;
    final RandomStreams streams;
    final VirtualTime time = new VirtualTime();
    final Trace trace = new Trace();
    final NetworkModel network;
    final BackendFleet fleet;
    final Rulebook rulebook;
    final EmulationMeters meters;
    final EmulationSettings settings;
    final List<EmulatedSidecar> sidecars = new ArrayList<>();
    /** Creates each server's overload budget while cold; measurements replace it before the run begins. */
    Function<BackendServer, ColdServerBudget> coldBudgets;

    DiscoveryModel discovery;
    final FleetServiceModel fleetService;

    EmulationContext(Scenario scenario) {
        this.scenario = scenario;
        streams = new RandomStreams(scenario.run().seed());
        settings = new EmulationSettings(scenario);
        network = new NetworkModel(time, scenario.network(), streams);
        fleet = new BackendFleet(this);
        rulebook = new Rulebook(time, trace, fleet);
        meters = new EmulationMeters(scenario, time, fleet);
        fleetService = new FleetServiceModel(this);
        coldBudgets = server -> new ColdServerBudget(settings.fallMultiple, settings.fallMs);
    }

    void note(Trace.Kind kind, long sidecar, long clientAttempt, long server, long detail) {
        trace.note(time.now(), kind, sidecar, clientAttempt, server, detail);
    }
}
