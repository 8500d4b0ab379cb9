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
 * Exports the state of a temporary load balancer once, so that the classes are loaded before the owner thread serves
 * clients.
 */
final class StateExportWarmUp {

    private static final Scheduler SAME_THREAD = new Scheduler() {
        @Override
        public void execute(Runnable task) {
            task.run();
        }

        @Override
        public ScheduledTask schedule(double ms, Runnable task) {
            throw new UnsupportedOperationException();
        }
    };

    private StateExportWarmUp() {}

    static void run(Settings settings) {
        AdaptiveLoadBalancer loadBalancer = new AdaptiveLoadBalancer(settings, 0);
        loadBalancer.handle(
                1,
                new EndpointsUpdated(true, true, List.of(new Endpoint("s", 0, 0, EndpointState.READY, 0))),
                action -> {});
        WeightedSum sum = new WeightedSum(10, 10);
        loadBalancer.importState(
                1,
                new LearnedState(1, null, List.of(), List.of(new ServerStatistics("s", 0, sum, sum, sum, sum, 1, 0))),
                0);
        try {
            new StateCollector(loadBalancer, SAME_THREAD, () -> 1, Map.of("s", "")::get).collect();
        } catch (TimeoutException impossible) {
            throw new IllegalStateException(impossible);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
