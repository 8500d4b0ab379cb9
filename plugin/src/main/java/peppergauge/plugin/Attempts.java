package peppergauge.plugin;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import peppergauge.decision.LoadBalancer;

/**
 * Stands round the module and notes, for sessions that plug-ins are told the end of, how often they were sent and
 * which zone answered. Passes everything on as it is.
 */
final class Attempts implements LoadBalancer {

    private static final int MOST = 16_384;

    private final LoadBalancer module;
    private final List<String> zones;
    private final Map<String, Integer> zoneOf = new HashMap<>();
    private final Map<String, Tried> tried = new HashMap<>();

    /** @param zone empty as long as none has answered */
    record Tried(int attempts, String zone) {

        static final Tried NEVER = new Tried(0, "");
    }

    Attempts(LoadBalancer module, List<String> zones) {
        this.module = module;
        this.zones = zones;
    }

    /** From now on this session's attempts are noted, until {@link #take}. */
    void follow(String id) {
        if (tried.size() < MOST) {
            tried.put(id, Tried.NEVER);
        }
    }

    Tried take(String id) {
        Tried taken = tried.remove(id);
        return taken == null ? Tried.NEVER : taken;
    }

    @Override
    public void handle(double nowMs, Event event, Consumer<Action> actions) {
        if (event instanceof EndpointsUpdated listed) {
            if (listed.complete()) {
                zoneOf.clear();
            }
            listed.endpoints().forEach(entry -> {
                if (entry.state() == EndpointState.REMOVED) {
                    zoneOf.remove(entry.server());
                } else {
                    zoneOf.put(entry.server(), entry.zone());
                }
            });
        } else if (event instanceof AttemptEnded ended && ended.outcome() == Outcome.SUCCESS) {
            int zone = zoneOf.getOrDefault(ended.server(), -1);
            tried.computeIfPresent(
                    ended.id(),
                    (id, before) ->
                            new Tried(before.attempts(), zone >= 0 && zone < zones.size() ? zones.get(zone) : ""));
        }
        module.handle(nowMs, event, action -> {
            if (action instanceof SendAttempt send) {
                tried.computeIfPresent(send.id(), (id, before) -> new Tried(before.attempts() + 1, before.zone()));
            }
            actions.accept(action);
        });
    }
}
