package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import peppergauge.lab.scenario.Scenario;

/** Objects that all components of one run share. */
final class World {

    final Scenario scenario;
    final Streams streams;
    final VirtualTime time = new VirtualTime();
    final Trace trace = new Trace();
    final Links links;
    final Fleet fleet;
    final Rulebook rulebook;
    final Meters meters;
    final Figures figures;
    final List<EmulatedSidecar> sidecars = new ArrayList<>();
    /** Creates each server's overload budget while cold; measurements replace it before the run begins. */
    Function<BackendServer, ColdBudget> coldBudgets;

    DiscoveryModel discovery;
    final Stations stations;

    World(Scenario scenario) {
        this.scenario = scenario;
        streams = new Streams(scenario.run().seed());
        figures = new Figures(scenario);
        links = new Links(time, scenario.network(), streams);
        fleet = new Fleet(this);
        rulebook = new Rulebook(time, trace, fleet);
        meters = new Meters(scenario, time, fleet);
        stations = new Stations(this);
        coldBudgets = server -> new ColdBudget(figures.fallMultiple, figures.fallMs);
    }

    void note(Trace.Kind kind, long sidecar, long session, long server, long detail) {
        trace.note(time.now(), kind, sidecar, session, server, detail);
    }
}
