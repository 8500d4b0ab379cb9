package peppergauge.snapshot.restore;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LearnedState.ServerStatistics;
import peppergauge.decision.LoadBalancer;
import peppergauge.snapshot.format.Snapshot;

/**
 * Restores a snapshot into a new load balancer: the cluster statistics before its first event, and the statistics of a
 * server when it is listed with the same address and start time. Statistics of servers that are not listed within
 * {@value #LISTING_TIMEOUT_MS} ms are dropped. Only the owner thread may call it.
 */
public final class StateRestoringLoadBalancer implements LoadBalancer {

    /** Time from the first event until servers have to be listed. The watch begins with a complete list. */
    static final double LISTING_TIMEOUT_MS = 5_000;

    private final LoadBalancer loadBalancer;
    private final Function<String, String> addresses;
    private final Consumer<RestoreResult> onRestored;
    private final Map<String, ServerStatistics> pending = new HashMap<>();
    /** Ids of restored servers; a set, so that a server that is listed twice counts once. */
    private final Set<String> restored = new HashSet<>();

    private final Set<String> moved = new HashSet<>();
    private final Set<String> restarted = new HashSet<>();
    private Snapshot snapshot;
    private final double ageMs;
    private double firstEventMs = Double.NaN;

    /**
     * Wraps a new load balancer.
     *
     * @param ageMs age of the snapshot
     * @param addresses returns the current address of a listed server by its id
     * @param onRestored receives the result once, on the owner thread
     */
    public StateRestoringLoadBalancer(
            LoadBalancer loadBalancer,
            Snapshot snapshot,
            double ageMs,
            Function<String, String> addresses,
            Consumer<RestoreResult> onRestored) {
        this.loadBalancer = loadBalancer;
        this.snapshot = snapshot;
        this.ageMs = ageMs;
        this.addresses = addresses;
        this.onRestored = onRestored;
        snapshot.state().servers().forEach(statistics -> pending.put(statistics.server(), statistics));
    }

    @Override
    public void handle(double nowMs, Event event, Consumer<Action> actions) {
        if (snapshot == null) {
            loadBalancer.handle(nowMs, event, actions);
            return;
        }
        if (Double.isNaN(firstEventMs)) {
            firstEventMs = nowMs;
            LearnedState state = snapshot.state();
            loadBalancer.importState(nowMs, new LearnedState(0, state.cluster(), state.classes(), List.of()), ageMs);
        }
        loadBalancer.handle(nowMs, event, actions);
        if (event instanceof EndpointsUpdated update) {
            restoreListed(nowMs, update.endpoints());
        }
        if (pending.isEmpty() || nowMs - firstEventMs >= LISTING_TIMEOUT_MS) {
            finish();
        }
    }

    private void restoreListed(double nowMs, List<Endpoint> endpoints) {
        List<ServerStatistics> toRestore = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            ServerStatistics statistics =
                    endpoint.state() == EndpointState.REMOVED ? null : pending.remove(endpoint.server());
            if (statistics == null) {
                continue;
            }
            if (Math.max(0, endpoint.startedMs()) != statistics.startedMs()) {
                restarted.add(endpoint.server());
            } else if (!snapshot.addresses()
                    .getOrDefault(endpoint.server(), "")
                    .equals(addresses.apply(endpoint.server()))) {
                moved.add(endpoint.server());
            } else {
                restored.add(endpoint.server());
                toRestore.add(statistics);
            }
        }
        if (!toRestore.isEmpty()) {
            loadBalancer.importState(
                    nowMs, new LearnedState(0, null, List.of(), toRestore), ageMs + nowMs - firstEventMs);
        }
    }

    private void finish() {
        LearnedState state = snapshot.state();
        onRestored.accept(new RestoreResult(
                state.classes().size(),
                state.servers().size(),
                restored.size(),
                restarted.size(),
                moved.size(),
                pending.size()));
        pending.clear();
        snapshot = null;
    }

    @Override
    public LearnedState exportState(double nowMs, int from, int maxServers) {
        return loadBalancer.exportState(nowMs, from, maxServers);
    }

    @Override
    public void importState(double nowMs, LearnedState state, double importedAgeMs) {
        loadBalancer.importState(nowMs, state, importedAgeMs);
    }
}
