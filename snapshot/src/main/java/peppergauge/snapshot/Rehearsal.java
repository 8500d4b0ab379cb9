package peppergauge.snapshot;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeoutException;
import peppergauge.decision.Balancer.ServerEntry;
import peppergauge.decision.Balancer.ServerState;
import peppergauge.decision.Balancer.ServersListed;
import peppergauge.decision.Balancer.Settings;
import peppergauge.decision.Decide;
import peppergauge.decision.Learned;
import peppergauge.decision.Learned.Figure;
import peppergauge.decision.Learned.Known;
import peppergauge.session.Scheduler;

/**
 * Reads a module of its own once before the owner thread has clients: loading the classes for it took that thread
 * 4 ms, more than all later readings together.
 */
final class Rehearsal {

    private static final Scheduler AT_ONCE = new Scheduler() {
        @Override
        public void execute(Runnable task) {
            task.run();
        }

        @Override
        public Wait after(double ms, Runnable task) {
            throw new UnsupportedOperationException();
        }
    };

    private Rehearsal() {}

    static void run(Settings settings) {
        Decide module = new Decide(settings, 0);
        module.on(
                1,
                new ServersListed(true, true, List.of(new ServerEntry("s", 0, 0, ServerState.READY, 0))),
                action -> {});
        Figure figure = new Figure(10, 10);
        module.recall(
                1,
                new Learned(1, null, List.of(), List.of(new Known("s", 0, figure, figure, figure, figure, 1, 0))),
                0);
        try {
            new Collector(module, AT_ONCE, () -> 1, Map.of("s", "")::get).collect();
        } catch (TimeoutException impossible) {
            throw new IllegalStateException(impossible);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
