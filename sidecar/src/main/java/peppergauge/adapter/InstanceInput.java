package peppergauge.adapter;

import java.util.List;
import peppergauge.decision.LoadBalancer;

/** An input for one instance. */
sealed interface InstanceInput {

    /** Starts the instance with a new load balancer. */
    record Start(LoadBalancer balancer) implements InstanceInput {}

    /** Stops the instance, as if its process was killed. */
    record Stop() implements InstanceInput {}

    /** Delivers an event to the instance's load balancer. */
    record Deliver(LoadBalancer.Event event) implements InstanceInput {}

    /** The inputs of one instance, in order. */
    record Group(String instance, List<InstanceInput> inputs) {}

    /**
     * The inputs of one line.
     *
     * @param timeMs time of all events, ms
     * @param number identifier of the batch, which is returned with its actions
     */
    record Batch(double timeMs, long number, List<Group> groups) {}
}
