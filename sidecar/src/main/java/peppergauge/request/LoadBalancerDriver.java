package peppergauge.request;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Action;
import peppergauge.decision.LoadBalancer.Event;
import peppergauge.log.Log;

/**
 * Gives events to the load balancer and has its actions executed. The actions of an event are executed in their order
 * after the load balancer has returned; an event that one of them causes is handled before the next action. Event-loop
 * thread only.
 */
final class LoadBalancerDriver {

    private final LoadBalancer loadBalancer;
    private final Clock clock;
    private final Consumer<Action> executor;

    LoadBalancerDriver(LoadBalancer loadBalancer, Clock clock, Consumer<Action> executor) {
        this.loadBalancer = loadBalancer;
        this.clock = clock;
        this.executor = executor;
    }

    /**
     * Handles an event and executes all resulting actions, those before an exception too.
     *
     * @return false if the load balancer threw, which is logged
     */
    boolean handle(Event event) {
        List<Action> actions = new ArrayList<>();
        boolean succeeded = true;
        try {
            loadBalancer.handle(clock.nowMs(), event, actions::add);
        } catch (RuntimeException | StackOverflowError unexpected) {
            Log.error("load_balancer_failed", unexpected);
            succeeded = false;
        }
        for (Action action : actions) {
            ErrorContainment.run(() -> executor.accept(action));
        }
        return succeeded;
    }
}
