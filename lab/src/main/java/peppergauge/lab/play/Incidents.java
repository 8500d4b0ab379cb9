package peppergauge.lab.play;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import peppergauge.lab.result.RunResult.ScriptEvent;
import peppergauge.lab.scenario.Entry;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.scenario.Target;

/** Makes the script's entries happen; what clients do about them is {@link Demand}'s and {@link ClientConnections}'. */
final class Incidents {

    /** After which a server that a poisoned request killed is up again, ms. */
    static final double POISONED_MS = 3_000;

    private final Stage stage;
    private int generation = 1;

    Incidents(Stage stage) {
        this.stage = stage;
    }

    void start() {
        for (Entry entry : stage.scenario.entries()) {
            SplittableRandom luck = stage.luck.split();
            stage.after(Scenario.ms(entry.time()), () -> happen(entry, luck));
        }
    }

    List<ScriptEvent> events() {
        double endS = Scenario.ms(stage.scenario.run().length()) / 1e3;
        return stage.scenario.entries().stream()
                .map(entry -> {
                    double atS = Scenario.ms(entry.time()) / 1e3;
                    return new ScriptEvent(
                            atS,
                            Math.min(endS, atS + entry.lengthMs() / 1e3),
                            entry.what().written(),
                            entry.target());
                })
                .toList();
    }

    private void happen(Entry entry, SplittableRandom luck) {
        Target target = stage.scenario.target(entry);
        double ms = entry.lengthMs();
        double size = entry.size().orElse(0.0);
        double part = entry.part().orElse(0.0);
        switch (entry.what()) {
            case KILL -> machines(target, luck).forEach(machine -> machine.kill(ms));
            case VANISH -> machines(target, luck).forEach(machine -> machine.vanish(ms));
            case SLOW ->
                during(
                        machines(target, luck),
                        ms,
                        machine -> machine.model().slow(size),
                        machine -> machine.model().slow(1 / size));
            case PAUSE ->
                machines(target, luck).forEach(machine -> machine.model().pause(ms));
            case FAST_ERRORS ->
                during(
                        machines(target, luck),
                        ms,
                        machine -> machine.model().fail(part),
                        machine -> machine.model().fail(0));
            case LOSE_ANSWERS ->
                during(
                        machines(target, luck),
                        ms,
                        machine -> machine.model().loseAnswers(part),
                        machine -> machine.model().loseAnswers(0));
            case DEPLOY -> deploy(machines(target, luck), ms, size * 1e3, part);
            case DRAIN -> during(machines(target, luck), ms, Machine::drain, Machine::leave);
            case CUT -> cut(zone(target), ms);
            case DELAY ->
                during(
                        List.of(zone(target)),
                        ms,
                        zone -> stage.ways.add(zone, size),
                        zone -> stage.ways.add(zone, -size));
            case DISCOVERY_DOWN -> stage.roster.down(ms);
            case DISCOVERY_EMPTY -> stage.roster.empty(ms);
            case DISCOVERY_LATE -> stage.roster.late(size * 1e3, ms);
            case SIDECAR_CRASH -> seats(target, luck).forEach(seat -> seat.crash(ms));
            case SIDECAR_PAUSE -> seats(target, luck).forEach(seat -> seat.pause(ms));
            case BURST, RETRY_STORM, HEAVY_TAIL, POISON, DISCOVERY_FAULT -> {}
        }
    }

    private <T> void during(List<T> them, double ms, Consumer<T> begin, Consumer<T> end) {
        them.forEach(begin);
        stage.after(ms, () -> them.forEach(end));
    }

    /** Batch after batch drains, leaves, and is replaced at the same addresses by others that start cold. */
    private void deploy(List<Machine> machines, double ms, double drainMs, double part) {
        int batch = Math.max(1, (int) Math.round(part * machines.size()));
        int batches = (machines.size() + batch - 1) / batch;
        int ofDeploy = generation++;
        for (int i = 0; i < machines.size(); i++) {
            Machine machine = machines.get(i);
            stage.after(ms * (i / batch) / batches, () -> {
                if (machine.state() == Machine.State.READY) {
                    machine.drain();
                    stage.after(drainMs, () -> {
                        machine.leave();
                        machine.place().replace(ofDeploy);
                    });
                }
            });
        }
    }

    private void cut(int zone, double ms) {
        stage.seats.forEach(seat -> seat.cut(zone, ms));
        stage.places.forEach(Place::sync);
    }

    private List<Machine> machines(Target target, SplittableRandom luck) {
        List<Place> places = switch (target.form()) {
            case ZONE ->
                stage.places.stream()
                        .filter(place -> place.zone() == zone(target))
                        .toList();
            case SERVER_KIND ->
                stage.places.stream()
                        .filter(place -> place.kind().name().equals(target.name()))
                        .toList();
            case SERVER ->
                stage.places.stream()
                        .filter(place -> place.name().equals(target.name() + '-' + target.number()))
                        .toList();
            case SHARE -> drawn(stage.places, target.share(), luck);
            default -> stage.places;
        };
        return places.stream().map(Place::machine).toList();
    }

    private List<Seat> seats(Target target, SplittableRandom luck) {
        return switch (target.form()) {
            case SIDECAR -> List.of(stage.seats.get(target.number() - 1));
            case ZONE ->
                stage.seats.stream().filter(seat -> seat.zone() == zone(target)).toList();
            default -> drawn(stage.seats, target.share(), luck);
        };
    }

    /** So many of them, at least one, drawn by lot; in their own order. */
    private static <T> List<T> drawn(List<T> all, double share, SplittableRandom luck) {
        List<T> some = new ArrayList<>(all);
        while (some.size() > Math.max(1, Math.round(share * all.size()))) {
            some.remove(luck.nextInt(some.size()));
        }
        return some;
    }

    private int zone(Target target) {
        return stage.scenario.network().zones().indexOf(target.name());
    }
}
