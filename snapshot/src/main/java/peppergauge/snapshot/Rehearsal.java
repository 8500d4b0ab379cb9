package peppergauge.snapshot;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeoutException;
import peppergauge.decision.AdaptiveLoadBalancer;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LearnedState.ServerStatistics;
import peppergauge.decision.LearnedState.WeightedSum;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.EndpointsUpdated;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.request.Scheduler;

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
        public ScheduledTask schedule(double ms, Runnable task) {
            throw new UnsupportedOperationException();
        }
    };

    private Rehearsal() {}

    static void run(Settings settings) {
        AdaptiveLoadBalancer module = new AdaptiveLoadBalancer(settings, 0);
        module.handle(
                1,
                new EndpointsUpdated(true, true, List.of(new Endpoint("s", 0, 0, EndpointState.READY, 0))),
                action -> {});
        WeightedSum figure = new WeightedSum(10, 10);
        module.importState(
                1,
                new LearnedState(
                        1,
                        null,
                        List.of(),
                        List.of(new ServerStatistics("s", 0, figure, figure, figure, figure, 1, 0))),
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
