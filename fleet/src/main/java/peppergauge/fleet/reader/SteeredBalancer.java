package peppergauge.fleet.reader;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import peppergauge.decision.Balancer;
import peppergauge.decision.Learned;

/**
 * Stands round the module: tells it how stations lean before its next event, and sees which servers attempts go to.
 * Where nothing is told the module sees exactly what it would without.
 */
final class SteeredBalancer implements Balancer {

    private final Balancer module;
    private final Witness witness;
    private final KeySource keys;
    private final AtomicReference<Steered> told = new AtomicReference<>();

    SteeredBalancer(Balancer module, Witness witness, KeySource keys) {
        this.module = module;
        this.witness = witness;
        this.keys = keys;
    }

    /** From any thread; of several before one event the last counts. */
    void steer(double[][] factors) {
        told.set(new Steered(factors));
    }

    @Override
    public void on(double nowMs, Event event, Consumer<Action> actions) {
        if (event instanceof ServersListed listed) {
            Map<String, Integer> zones = new HashMap<>();
            listed.entries().forEach(entry -> zones.put(entry.server(), entry.zone()));
            witness.listed(listed.whole(), zones);
            keys.listed(listed.whole(), listed.entries());
        }
        if (event instanceof AttemptEnded ended) {
            keys.ended(ended);
        }
        Steered steered = told.getPlain() == null ? null : told.getAndSet(null);
        if (steered != null) {
            module.on(nowMs, steered, actions);
        }
        module.on(nowMs, event, action -> {
            if (action instanceof Send send) {
                witness.sent(send.id(), send.server());
                keys.sent(send.id(), send.server(), nowMs);
            }
            actions.accept(action);
        });
    }

    @Override
    public Learned learned(double nowMs, int from, int most) {
        return module.learned(nowMs, from, most);
    }

    @Override
    public void recall(double nowMs, Learned learned, double ageMs) {
        module.recall(nowMs, learned, ageMs);
    }
}
