package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.lab.result.RunResult.ScriptEvent;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ScheduledIncident;
import peppergauge.lab.scenario.Target;

/** Applies the incidents of the scenario's script to the emulated fleet; the one of package play uses processes. */
final class IncidentRunner {

    /** Time until a server that a poisoned request has killed is restarted. */
    static final double POISONED_RESTART_MS = 3_000;

    private final EmulationContext context;
    private final RequestMix requestMix;
    private final List<Application> applications;
    private final List<ScriptEvent> events = new ArrayList<>();
    private int generation = 1;

    IncidentRunner(EmulationContext context, RequestMix requestMix, List<Application> applications) {
        this.context = context;
        this.requestMix = requestMix;
        this.applications = applications;
    }

    void start() {
        List<ScheduledIncident> entries = context.scenario.entries();
        double endMs = Scenario.toMillis(context.scenario.run().length());
        for (int i = 0; i < entries.size(); i++) {
            ScheduledIncident entry = entries.get(i);
            int number = i;
            double atMs = Scenario.toMillis(entry.time());
            events.add(new ScriptEvent(
                    atMs / 1e3,
                    Math.min(endMs, atMs + entry.lengthMs()) / 1e3,
                    entry.what().written(),
                    entry.target()));
            context.time.after(atMs, () -> {
                context.note(Trace.Kind.INCIDENT, -1, -1, -1, number);
                apply(entry, number);
            });
        }
    }

    List<ScriptEvent> events() {
        return events;
    }

    private void apply(ScheduledIncident entry, int number) {
        Target target = context.scenario.target(entry);
        UniformRandomProvider random = context.streams.of("script/" + number);
        double ms = entry.lengthMs();
        double size = entry.size().orElse(0.0);
        double part = entry.part().orElse(0.0);
        switch (entry.what()) {
            case KILL -> servers(target, random).forEach(server -> kill(server, ms));
            case VANISH -> servers(target, random).forEach(server -> vanish(server, ms));
            case SLOW ->
                during(servers(target, random), ms, server -> server.slow(size), server -> server.slow(1 / size));
            case PAUSE -> servers(target, random).forEach(server -> server.pause(ms));
            case FAST_ERRORS ->
                during(servers(target, random), ms, server -> server.fail(part), server -> server.fail(0));
            case LOSE_ANSWERS ->
                during(
                        servers(target, random),
                        ms,
                        server -> server.loseResponses(part),
                        server -> server.loseResponses(0));
            case DEPLOY -> deploy(servers(target, random), ms, size * 1e3, part);
            case DRAIN -> during(servers(target, random), ms, BackendServer::drain, BackendServer::leave);
            case CUT -> context.network.partition(zone(target), ms);
            case DELAY ->
                during(
                        List.of(zone(target)),
                        ms,
                        zone -> context.network.addDelay(zone, size),
                        zone -> context.network.addDelay(zone, -size));
            case BURST -> burst(target, ms, size);
            case RETRY_STORM ->
                during(
                        List.of((int) size),
                        ms,
                        retries -> requestMix.storm(retries, 1),
                        retries -> requestMix.storm(retries, -1));
            case HEAVY_TAIL ->
                during(
                        List.of(kind(target)),
                        ms,
                        kind -> requestMix.tail(kind, size, part),
                        kind -> requestMix.tail(kind, 1, 0));
            case POISON ->
                during(
                        List.of(kind(target)),
                        ms,
                        kind -> requestMix.poison(kind, (int) size),
                        kind -> requestMix.poison(kind, 0));
            case DISCOVERY_DOWN -> context.discovery.startOutage(ms);
            case DISCOVERY_EMPTY -> context.discovery.startEmptyList(ms);
            case DISCOVERY_FAULT -> context.discovery.fault(entry.fault().orElseThrow(), ms);
            case DISCOVERY_LATE -> context.discovery.delayUpdates(size * 1e3, ms);
            case SIDECAR_CRASH -> sidecars(target, random).forEach(sidecar -> crash(sidecar, ms));
            case SIDECAR_PAUSE -> sidecars(target, random).forEach(sidecar -> sidecar.pause(ms));
        }
    }

    private <T> void during(List<T> targets, double ms, Consumer<T> begin, Consumer<T> end) {
        targets.forEach(begin);
        context.time.after(ms, () -> targets.forEach(end));
    }

    private void kill(BackendServer server, double ms) {
        if (server.up()) {
            server.terminate();
            context.discovery.onServerChanged(server, true);
            context.time.after(ms, () -> {
                if (!server.up() && server.state() == EndpointState.READY) {
                    server.start();
                }
            });
        }
    }

    private void vanish(BackendServer server, double ms) {
        if (server.up()) {
            server.vanish();
            context.discovery.onServerChanged(server, true);
            context.time.after(ms, server::recover);
        }
    }

    /** Drains and removes the servers batch by batch; new servers start cold at the same addresses. */
    private void deploy(List<BackendServer> servers, double ms, double drainMs, double part) {
        int batch = Math.max(1, (int) Math.round(part * servers.size()));
        int batches = (servers.size() + batch - 1) / batch;
        int deployNumber = generation++;
        for (int i = 0; i < servers.size(); i++) {
            BackendServer server = servers.get(i);
            context.time.after(ms * (i / batch) / batches, () -> {
                if (server.state() == EndpointState.READY) {
                    server.drain();
                    context.time.after(drainMs, () -> {
                        server.leave();
                        context.fleet.replace(server, deployNumber);
                    });
                }
            });
        }
    }

    private void burst(Target target, double ms, double times) {
        Consumer<Double> scale = switch (target.form()) {
            case CLASS ->
                factor -> {
                    requestMix.scaleKind(kind(target), factor);
                    applications.forEach(Application::changed);
                };
            case TENANT ->
                factor -> {
                    requestMix.scaleTenant(tenant(target), factor);
                    applications.forEach(Application::changed);
                };
            case SIDECAR -> applications.get(target.number() - 1)::scale;
            default -> factor -> applications.forEach(each -> each.scale(factor));
        };
        // A factor of zero could not be undone by multiplication.
        double factor = Math.max(1e-9, times);
        during(List.of(factor), ms, scale, up -> scale.accept(1 / up));
    }

    private void crash(EmulatedSidecar sidecar, double ms) {
        if (sidecar.up()) {
            sidecar.crash();
            applications.get(sidecar.index()).changed();
            context.time.after(ms, () -> {
                sidecar.start();
                applications.get(sidecar.index()).changed();
                context.discovery.resumeWatch(sidecar);
            });
        }
    }

    // ---- Targets ----

    private List<BackendServer> servers(Target target, UniformRandomProvider random) {
        List<BackendServer> present = context.fleet.present();
        return switch (target.form()) {
            case ZONE ->
                present.stream().filter(server -> server.zone() == zone(target)).toList();
            case SERVER_KIND ->
                present.stream()
                        .filter(server -> server.serverGroup().name().equals(target.name()))
                        .toList();
            // Includes the server that has replaced the named one.
            case SERVER ->
                present.stream()
                        .filter(server ->
                                server.id().replaceAll("\\.\\d+$", "").equals(target.name() + '-' + target.number()))
                        .toList();
            case SHARE -> drawSubset(present, target.share(), random);
            default -> present;
        };
    }

    private List<EmulatedSidecar> sidecars(Target target, UniformRandomProvider random) {
        return switch (target.form()) {
            case SIDECAR -> List.of(context.sidecars.get(target.number() - 1));
            case ZONE ->
                context.sidecars.stream()
                        .filter(sidecar -> sidecar.zone() == zone(target))
                        .toList();
            default -> drawSubset(context.sidecars, target.share(), random);
        };
    }

    /** A random subset of the given share, at least one element, in the order of the list. */
    private static <T> List<T> drawSubset(List<T> all, double share, UniformRandomProvider random) {
        List<Integer> places =
                new ArrayList<>(IntStream.range(0, all.size()).boxed().toList());
        int count = Math.max(1, (int) Math.round(share * all.size()));
        while (places.size() > count) {
            places.remove(random.nextInt(places.size()));
        }
        return places.stream().map(all::get).toList();
    }

    private int zone(Target target) {
        return context.scenario.network().zones().indexOf(target.name());
    }

    private int tenant(Target target) {
        return IntStream.range(0, context.scenario.tenants().size())
                .filter(i -> context.scenario.tenants().get(i).name().equals(target.name()))
                .findFirst()
                .orElseThrow();
    }

    /** Index of the request class that the target names, or -1 for all. */
    private int kind(Target target) {
        return IntStream.range(0, context.scenario.classes().size())
                .filter(i -> context.scenario.classes().get(i).name().equals(target.name()))
                .findFirst()
                .orElse(-1);
    }
}
