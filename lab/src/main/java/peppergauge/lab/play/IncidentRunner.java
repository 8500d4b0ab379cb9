package peppergauge.lab.play;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import peppergauge.lab.result.RunResult.ScriptEvent;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.ScheduledIncident;
import peppergauge.lab.scenario.Target;

/**
 * Applies the scenario's incidents to servers, sidecars, network and discovery. {@link ClientSource} and
 * {@link RequestMix} apply those that concern clients; faults of Nomad's API have no effect here. The one of package
 * emulator applies them to models in virtual time.
 */
final class IncidentRunner {

    /** A server that a poisoned request killed restarts after this time. */
    static final double POISON_RESTART_MS = 3_000;

    private final RunContext context;
    private int generation = 1;

    IncidentRunner(RunContext context) {
        this.context = context;
    }

    void start() {
        for (ScheduledIncident entry : context.scenario.entries()) {
            SplittableRandom random = context.random.split();
            context.after(Scenario.toMillis(entry.time()), () -> apply(entry, random));
        }
    }

    List<ScriptEvent> events() {
        double endS = Scenario.toMillis(context.scenario.run().length()) / 1e3;
        return context.scenario.entries().stream()
                .map(entry -> {
                    double atS = Scenario.toMillis(entry.time()) / 1e3;
                    return new ScriptEvent(
                            atS,
                            Math.min(endS, atS + entry.lengthMs() / 1e3),
                            entry.what().written(),
                            entry.target());
                })
                .toList();
    }

    private void apply(ScheduledIncident entry, SplittableRandom random) {
        Target target = context.scenario.target(entry);
        double ms = entry.lengthMs();
        double size = entry.size().orElse(0.0);
        double part = entry.part().orElse(0.0);
        switch (entry.what()) {
            case KILL -> servers(target, random).forEach(server -> server.kill(ms));
            case VANISH -> servers(target, random).forEach(server -> server.vanish(ms));
            case SLOW ->
                applyFor(
                        servers(target, random),
                        ms,
                        server -> server.model().slow(size),
                        server -> server.model().slow(1 / size));
            case PAUSE ->
                servers(target, random).forEach(server -> server.model().pause(ms));
            case FAST_ERRORS ->
                applyFor(
                        servers(target, random),
                        ms,
                        server -> server.model().fail(part),
                        server -> server.model().fail(0));
            case LOSE_ANSWERS ->
                applyFor(
                        servers(target, random),
                        ms,
                        server -> server.model().loseResponses(part),
                        server -> server.model().loseResponses(0));
            case DEPLOY -> deploy(servers(target, random), ms, size * 1e3, part);
            case DRAIN -> applyFor(servers(target, random), ms, ServerInstance::drain, ServerInstance::shutDown);
            case CUT -> cutZone(zone(target), ms);
            case DELAY ->
                applyFor(
                        List.of(zone(target)),
                        ms,
                        zone -> context.network.addDelay(zone, size),
                        zone -> context.network.addDelay(zone, -size));
            case DISCOVERY_DOWN -> context.discovery.down(ms);
            case DISCOVERY_EMPTY -> context.discovery.empty(ms);
            case DISCOVERY_LATE -> context.discovery.late(size * 1e3, ms);
            case SIDECAR_CRASH -> sidecars(target, random).forEach(sidecar -> sidecar.crash(ms));
            case SIDECAR_PAUSE -> sidecars(target, random).forEach(sidecar -> sidecar.pause(ms));
            case BURST, RETRY_STORM, HEAVY_TAIL, POISON, DISCOVERY_FAULT -> {}
        }
    }

    private <T> void applyFor(List<T> targets, double ms, Consumer<T> begin, Consumer<T> end) {
        targets.forEach(begin);
        context.after(ms, () -> targets.forEach(end));
    }

    /** Drains and stops servers batch by batch, and starts cold replacements at the same addresses. */
    private void deploy(List<ServerInstance> servers, double ms, double drainMs, double part) {
        int batch = Math.max(1, (int) Math.round(part * servers.size()));
        int batches = (servers.size() + batch - 1) / batch;
        int ofDeploy = generation++;
        for (int i = 0; i < servers.size(); i++) {
            ServerInstance server = servers.get(i);
            context.after(ms * (i / batch) / batches, () -> {
                if (server.state() == ServerInstance.State.READY) {
                    server.drain();
                    context.after(drainMs, () -> {
                        server.shutDown();
                        server.slot().replace(ofDeploy);
                    });
                }
            });
        }
    }

    private void cutZone(int zone, double ms) {
        context.sidecars.forEach(sidecar -> sidecar.cut(zone, ms));
        context.serverSlots.forEach(ServerSlot::sync);
    }

    private List<ServerInstance> servers(Target target, SplittableRandom random) {
        List<ServerSlot> serverSlots = switch (target.form()) {
            case ZONE ->
                context.serverSlots.stream()
                        .filter(slot -> slot.zone() == zone(target))
                        .toList();
            case SERVER_KIND ->
                context.serverSlots.stream()
                        .filter(slot -> slot.kind().name().equals(target.name()))
                        .toList();
            case SERVER ->
                context.serverSlots.stream()
                        .filter(slot -> slot.name().equals(target.name() + '-' + target.number()))
                        .toList();
            case SHARE -> drawShare(context.serverSlots, target.share(), random);
            default -> context.serverSlots;
        };
        return serverSlots.stream().map(ServerSlot::server).toList();
    }

    private List<SidecarInstance> sidecars(Target target, SplittableRandom random) {
        return switch (target.form()) {
            case SIDECAR -> List.of(context.sidecars.get(target.number() - 1));
            case ZONE ->
                context.sidecars.stream()
                        .filter(sidecar -> sidecar.zone() == zone(target))
                        .toList();
            default -> drawShare(context.sidecars, target.share(), random);
        };
    }

    /** Draws a share of the elements, at least one, and keeps their order. */
    private static <T> List<T> drawShare(List<T> all, double share, SplittableRandom random) {
        List<T> some = new ArrayList<>(all);
        while (some.size() > Math.max(1, Math.round(share * all.size()))) {
            some.remove(random.nextInt(some.size()));
        }
        return some;
    }

    private int zone(Target target) {
        return context.scenario.network().zones().indexOf(target.name());
    }
}
