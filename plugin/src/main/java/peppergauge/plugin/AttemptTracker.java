package peppergauge.plugin;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import peppergauge.decision.LoadBalancer;

/**
 * Wraps the load balancer and records, for requests whose response is reported to plug-ins, the number of attempts and
 * the zone of the server that responded. Forwards all events and actions unchanged. Event-loop thread only.
 */
final class AttemptTracker implements LoadBalancer {

    private static final int MAX_TRACKED_REQUESTS = 16_384;

    private final LoadBalancer loadBalancer;
    private final List<String> zones;
    private final Map<String, Integer> zoneByServer = new HashMap<>();
    private final Map<String, Attempts> attemptsById = new HashMap<>();

    /** @param zone empty until a server has responded */
    record Attempts(int count, String zone) {

        static final Attempts NONE = new Attempts(0, "");
    }

    AttemptTracker(LoadBalancer loadBalancer, List<String> zones) {
        this.loadBalancer = loadBalancer;
        this.zones = zones;
    }

    /** Tracks the attempts of this request until {@link #remove}; does nothing while too many are tracked. */
    void track(String id) {
        if (attemptsById.size() < MAX_TRACKED_REQUESTS) {
            attemptsById.put(id, Attempts.NONE);
        }
    }

    /** Stops tracking the request and returns its attempts, {@link Attempts#NONE} if it was not tracked. */
    Attempts remove(String id) {
        Attempts attempts = attemptsById.remove(id);
        return attempts == null ? Attempts.NONE : attempts;
    }

    @Override
    public void handle(double nowMs, Event event, Consumer<Action> actions) {
        if (event instanceof EndpointsUpdated update) {
            if (update.complete()) {
                zoneByServer.clear();
            }
            update.endpoints().forEach(endpoint -> {
                if (endpoint.state() == EndpointState.REMOVED) {
                    zoneByServer.remove(endpoint.server());
                } else {
                    zoneByServer.put(endpoint.server(), endpoint.zone());
                }
            });
        } else if (event instanceof AttemptEnded ended && ended.outcome() == Outcome.SUCCESS) {
            int zone = zoneByServer.getOrDefault(ended.server(), -1);
            String zoneName = zone >= 0 && zone < zones.size() ? zones.get(zone) : "";
            attemptsById.computeIfPresent(ended.id(), (id, before) -> new Attempts(before.count(), zoneName));
        }
        loadBalancer.handle(nowMs, event, action -> {
            if (action instanceof SendAttempt send) {
                attemptsById.computeIfPresent(
                        send.id(), (id, before) -> new Attempts(before.count() + 1, before.zone()));
            }
            actions.accept(action);
        });
    }
}
