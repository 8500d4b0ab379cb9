package peppergauge.fleet.reader;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LoadBalancer;

/**
 * Stands round the module: tells it how stations lean before its next event, and sees which servers attempts go to.
 * Where nothing is told the module sees exactly what it would without.
 */
final class ZoneWeightedLoadBalancer implements LoadBalancer {

    private final LoadBalancer module;
    private final Witness witness;
    private final KeySource keys;
    private final AtomicReference<ZoneWeightsUpdated> told = new AtomicReference<>();

    ZoneWeightedLoadBalancer(LoadBalancer module, Witness witness, KeySource keys) {
        this.module = module;
        this.witness = witness;
        this.keys = keys;
    }

    /** From any thread; of several before one event the last counts. */
    void steer(double[][] factors) {
        told.set(new ZoneWeightsUpdated(factors));
    }

    @Override
    public void handle(double nowMs, Event event, Consumer<Action> actions) {
        if (event instanceof EndpointsUpdated listed) {
            Map<String, Integer> zones = new HashMap<>();
            listed.endpoints().forEach(entry -> zones.put(entry.server(), entry.zone()));
            witness.listed(listed.complete(), zones);
            keys.listed(listed.complete(), listed.endpoints());
        }
        if (event instanceof AttemptEnded ended) {
            keys.ended(ended);
        }
        ZoneWeightsUpdated steered = told.getPlain() == null ? null : told.getAndSet(null);
        if (steered != null) {
            module.handle(nowMs, steered, actions);
        }
        module.handle(nowMs, event, action -> {
            if (action instanceof SendAttempt send) {
                witness.sent(send.id(), send.server());
                keys.sent(send.id(), send.server(), nowMs);
            }
            actions.accept(action);
        });
    }

    @Override
    public LearnedState exportState(double nowMs, int from, int most) {
        return module.exportState(nowMs, from, most);
    }

    @Override
    public void importState(double nowMs, LearnedState learned, double ageMs) {
        module.importState(nowMs, learned, ageMs);
    }
}
