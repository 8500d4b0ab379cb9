package peppergauge.lab.play;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.standin.Discovery;
import peppergauge.lab.standin.ServerRow;

/** Discovery: learns late what servers do and tells each sidecar's stand-in later still; may be down or empty. */
final class Roster {

    private final Stage stage;
    private final SplittableRandom luck;
    private final List<Discovery> agents = new ArrayList<>();
    private final double[] toldMs;
    private double lateMs;
    private int down;
    private int empty;

    Roster(Stage stage) throws IOException {
        this.stage = stage;
        luck = stage.luck.split();
        for (int i = 0; i < stage.seats.size(); i++) {
            int seat = i;
            agents.add(new Discovery(
                    stage.loop,
                    stage.places.stream()
                            .map(place -> place.machine().row(seat))
                            .toList()));
        }
        toldMs = new double[agents.size()];
    }

    Discovery agent(int seat) {
        return agents.get(seat);
    }

    /** A server came, drains or went; {@code silently} if it could not say so itself. */
    void changed(Machine machine, boolean silently) {
        double noticeMs = Scenario.ms(stage.scenario.discovery().notice()) * (0.5 + luck.nextDouble());
        double silentMs = Scenario.ms(stage.scenario.discovery().silentNotice());
        stage.after((silently ? silentMs : noticeMs) + lateMs, () -> {
            for (int i = 0; i < agents.size(); i++) {
                tell(i, machine.row(i));
            }
        });
    }

    /** What comes later is never told before what came first. */
    private void tell(int seat, ServerRow row) {
        double spreadMs =
                luck.nextDouble() * Scenario.ms(stage.scenario.discovery().spread());
        toldMs[seat] = Math.max(toldMs[seat], stage.nowMs() + spreadMs);
        stage.after(toldMs[seat] - stage.nowMs(), () -> {
            agents.get(seat).tell(List.of(row));
            stage.seats.get(seat).told(row, down > 0 || empty > 0);
        });
    }

    void down(double ms) {
        down++;
        agents.forEach(agent -> agent.silent(true));
        stage.after(ms, () -> {
            if (--down == 0) {
                agents.forEach(agent -> agent.silent(false));
                stage.seats.forEach(Seat::reachable);
            }
        });
    }

    void empty(double ms) {
        empty++;
        agents.forEach(agent -> agent.empty(true));
        stage.after(ms, () -> {
            if (--empty == 0) {
                agents.forEach(agent -> agent.empty(false));
                stage.seats.forEach(Seat::reachable);
            }
        });
    }

    void late(double addedMs, double ms) {
        lateMs += addedMs;
        stage.after(ms, () -> lateMs -= addedMs);
    }
}
