package peppergauge.fleet.client;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LoadBalancer;

/**
 * Passes zone weights to a load balancer before its next event, and counts the attempts that it sends. Without new
 * weights the load balancer receives exactly the events that it would receive without this wrapper.
 */
final class ZoneWeightedLoadBalancer implements LoadBalancer {

    private final LoadBalancer loadBalancer;
    private final TrafficCounter counter;
    private final KeyStatistics keys;
    private final AtomicReference<ZoneWeightsUpdated> pendingWeights = new AtomicReference<>();

    ZoneWeightedLoadBalancer(LoadBalancer loadBalancer, TrafficCounter counter, KeyStatistics keys) {
        this.loadBalancer = loadBalancer;
        this.counter = counter;
        this.keys = keys;
    }

    /**
     * Sets the weights that the load balancer receives before its next event; the last call wins. Any thread.
     *
     * @param weights by index of tenant and of zone, empty for neutral
     */
    void setZoneWeights(double[][] weights) {
        pendingWeights.set(new ZoneWeightsUpdated(weights));
    }

    @Override
    public void handle(double nowMs, Event event, Consumer<Action> actions) {
        if (event instanceof EndpointsUpdated updated) {
            Map<String, Integer> zones = new HashMap<>();
            updated.endpoints().forEach(endpoint -> zones.put(endpoint.server(), endpoint.zone()));
            counter.onEndpointUpdate(updated.complete(), zones);
            keys.onEndpointUpdate(updated.complete(), updated.endpoints());
        }
        if (event instanceof AttemptEnded ended) {
            keys.onAttemptEnded(ended);
        }
        ZoneWeightsUpdated weights = pendingWeights.getPlain() == null ? null : pendingWeights.getAndSet(null);
        if (weights != null) {
            loadBalancer.handle(nowMs, weights, actions);
        }
        loadBalancer.handle(nowMs, event, action -> {
            if (action instanceof SendAttempt send) {
                counter.onAttemptSent(send.id(), send.server());
                keys.onAttemptSent(send.id(), send.server(), nowMs);
            }
            actions.accept(action);
        });
    }

    @Override
    public LearnedState exportState(double nowMs, int from, int most) {
        return loadBalancer.exportState(nowMs, from, most);
    }

    @Override
    public void importState(double nowMs, LearnedState learned, double ageMs) {
        loadBalancer.importState(nowMs, learned, ageMs);
    }
}
