package peppergauge.lab.play;

import java.util.ArrayList;
import java.util.List;
import peppergauge.lab.result.RunResult.Broken;

/** The rules as they show from outside a sidecar's process. */
final class Rules {

    /** On sockets each time limit is longer by this, ms. */
    static final double SLACK_MS = 50;
    /** How often the thread looks whether it is late itself, and from when on it is, ms. */
    private static final double LOOK_MS = 10;

    private static final double LATE_MS = 20;
    /** A broken run may break thousands. */
    private static final int MOST = 20;

    private final Stage stage;
    private final List<Broken> broken = new ArrayList<>();
    private double lateUntilMs = -1;
    private int excused;

    Rules(Stage stage) {
        this.stage = stage;
    }

    /** To be called once at the start: on a crowded machine an answer may lie unread here, or never have been made. */
    void start() {
        double dueMs = stage.nowMs() + LOOK_MS;
        stage.after(LOOK_MS, () -> {
            if (stage.nowMs() - dueMs > LATE_MS) {
                lateUntilMs = stage.nowMs();
            }
            start();
        });
    }

    /** Missing answers that are held against nobody, since the lab was late itself. */
    int excused() {
        return excused;
    }

    void broken(String rule, String about) {
        if (broken.size() < MOST) {
            broken.add(new Broken(rule, stage.nowMs() / 1e3, about, List.of()));
        }
    }

    List<Broken> all() {
        return broken;
    }

    /** A server has begun to work on it. */
    void ran(Wish wish, String server) {
        if (++wish.ran > 1 && wish.unsafe) {
            broken(
                    "twice",
                    "a request of class "
                            + stage.scenario.classes().get(wish.kind).name() + " ran again, at " + server);
        }
    }

    /** A request has arrived at a server. */
    void arrived(Try session, String id, Seat seat, Machine machine) {
        double leavingMs = seat.leavingMs(machine.id());
        double graceMs = stage.scenario.rules().drainGrace().toMillis() + SLACK_MS;
        if (leavingMs >= 0 && stage.nowMs() - leavingMs > graceMs) {
            broken(
                    "drain",
                    seat.name() + " sent session " + id + " to " + machine.id() + ", "
                            + Math.round(stage.nowMs() - leavingMs) + " ms after it was told that this leaves");
        }
        Try.Out before = session.out;
        if (before != null && before.waitedFor()) {
            // Its end may have been sent first and be read here last.
            stage.after(SLACK_MS, () -> {
                if (before.waitedFor()) {
                    broken(
                            "one-attempt",
                            "session " + id + " of " + seat.name() + " had a second attempt out, to " + machine.id());
                }
            });
        }
    }

    /** A client has waited for its time and the slack, and has no answer. */
    void unanswered(Try session, Seat seat, String how) {
        if (session.impatient || seat.troubledSince(session.sentMs)) {
            return;
        }
        if (lateUntilMs >= session.sentMs) {
            excused++;
        } else {
            broken("answer", "a session of " + seat.name() + " had no answer: " + how);
        }
    }
}
