package peppergauge.lab.play;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import peppergauge.lab.scenario.ServerKind;

/** Addresses at which one server stands at a time: one for each sidecar, since each has its own way there. */
final class Place {

    private final Stage stage;
    private final ServerKind kind;
    private final String name;
    private final int zone;
    private final int cell;
    private final List<Door> doors = new ArrayList<>();
    private Machine machine;

    Place(Stage stage, ServerKind kind, String name, int zone, int cell) throws IOException {
        this.stage = stage;
        this.kind = kind;
        this.name = name;
        this.zone = zone;
        this.cell = cell;
        for (Seat seat : stage.seats) {
            doors.add(new Door(stage, this, seat));
        }
        machine = new Machine(stage, this, name, stage.meters.place(name, kind.name(), zone));
        stage.meters.stands(machine);
    }

    /** Another machine comes to stand here, cold. */
    void replace(int generation) {
        String id = name + '.' + generation;
        machine = new Machine(stage, this, id, stage.meters.place(id, kind.name(), zone));
        stage.meters.stands(machine);
        machine.start();
    }

    /** Has all doors look at what stands here now. */
    void sync() {
        doors.forEach(Door::sync);
    }

    Machine machine() {
        return machine;
    }

    ServerKind kind() {
        return kind;
    }

    String name() {
        return name;
    }

    int zone() {
        return zone;
    }

    int cell() {
        return cell;
    }

    String address(int seat) {
        return doors.get(seat).address();
    }

    /** Connections over all doors. */
    int connections() {
        return doors.stream().mapToInt(Door::connections).sum();
    }
}
