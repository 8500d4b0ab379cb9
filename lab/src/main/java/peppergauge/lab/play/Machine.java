package peppergauge.lab.play;

import peppergauge.lab.scenario.ServerKind;
import peppergauge.lab.standin.Delay;
import peppergauge.lab.standin.ServerRow;

/** A backend server over its lives at one place; a successor there is another one. */
final class Machine {

    /** What can be said of it. */
    enum State {
        READY,
        DRAINING,
        GONE
    }

    private final Stage stage;
    private final Place place;
    private final String id;
    private final int index;
    private final Model model;
    private State state = State.READY;
    private boolean up = true;
    private boolean silent;
    private long startedUnixMs;
    private int life;

    Machine(Stage stage, Place place, String id, int index) {
        this.stage = stage;
        this.place = place;
        this.id = id;
        this.index = index;
        model = new Model(stage, place.kind(), stage.luck.split());
        ServerKind kind = place.kind();
        if (!kind.pauseEvery().isZero()) {
            nextPause(kind.pauseEvery().toNanos() / 1e6, kind.pauseLength().toNanos() / 1e6);
        }
    }

    private void nextPause(double everyMs, double lengthMs) {
        stage.after(Delay.exponential(stage.luck, everyMs), () -> {
            model.pause(lengthMs);
            nextPause(everyMs, lengthMs);
        });
    }

    /** The process starts, cold. */
    void start() {
        up = true;
        silent = false;
        life++;
        startedUnixMs = System.currentTimeMillis();
        model.start();
        place.sync();
        stage.roster.changed(this, false);
    }

    /** Killed: resets its connections, and is back after a time. */
    void kill(double ms) {
        if (up) {
            down(false);
            stage.roster.changed(this, true);
            stage.after(ms, () -> {
                if (!up && state == State.READY) {
                    start();
                }
            });
        }
    }

    /** The machine is gone without a word, and back after a time. */
    void vanish(double ms) {
        if (up) {
            down(true);
            stage.roster.changed(this, true);
            stage.after(ms, this::start);
        }
    }

    private void down(boolean silently) {
        up = false;
        silent = silently;
        life++;
        model.end();
        place.sync();
    }

    void drain() {
        state = State.DRAINING;
        stage.roster.changed(this, false);
    }

    /** The process ends in order and does not come back. */
    void leave() {
        state = State.GONE;
        if (up) {
            down(false);
        }
        stage.roster.changed(this, false);
    }

    String id() {
        return id;
    }

    int index() {
        return index;
    }

    Place place() {
        return place;
    }

    Model model() {
        return model;
    }

    State state() {
        return state;
    }

    boolean up() {
        return up;
    }

    boolean silent() {
        return silent;
    }

    /** Changes whenever what is under way to it is lost. */
    int life() {
        return life;
    }

    /** As discovery has it, for the sidecar of this number. */
    ServerRow row(int seat) {
        String word = !up || state == State.GONE ? "left" : state == State.DRAINING ? "leaving" : "active";
        return new ServerRow(
                id,
                place.address(seat),
                stage.scenario.network().zones().get(place.zone()),
                place.cell(),
                word,
                1,
                startedUnixMs);
    }
}
