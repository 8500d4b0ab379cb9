package peppergauge.adapter;

import java.util.List;
import peppergauge.decision.LoadBalancer;

/** What a batch tells one instance. */
sealed interface InstanceInput {

    /** The instance starts. */
    record Start(LoadBalancer balancer) implements InstanceInput {}

    /** The instance was killed. */
    record Stop() implements InstanceInput {}

    /** An event for the instance's load balancer. */
    record Deliver(LoadBalancer.Event event) implements InstanceInput {}

    /** The inputs of one instance, in order. */
    record Group(String instance, List<InstanceInput> inputs) {}

    /**
     * All inputs of one line.
     *
     * @param timeMs of all events, ms
     * @param number identifies the batch; returned with its actions
     */
    record Batch(double timeMs, long number, List<Group> groups) {}
}
