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
 * Restores a snapshot into a new load balancer: cluster statistics before its first event, a server's when it is listed
 * with the same address and start time. Statistics of servers that are not listed in time are dropped. Only the owner
 * thread may call it.
 */
public final class StateRestoringLoadBalancer implements LoadBalancer {

    /** How long servers may take to be listed; the first complete endpoint list comes with the watch. */
    static final double LISTING_TIMEOUT_MS = 5_000;

    private final LoadBalancer loadBalancer;
    private final Function<String, String> addresses;
    private final Consumer<String> log;
    private final Map<String, ServerStatistics> pending = new HashMap<>();
    /** Kept apart from the pending ones so that a server that is listed twice counts once. */
    private final Set<String> restored = new HashSet<>();

    private final Set<String> moved = new HashSet<>();
    private final Set<String> restarted = new HashSet<>();
    private Snapshot snapshot;
    private final double ageMs;
    private double firstEventMs = Double.NaN;

    /**
     * Wraps a new load balancer.
     *
     * @param ageMs how old the snapshot is now
     * @param addresses the present address of a listed server by its id
     * @param log receives one line on what was restored
     */
    public StateRestoringLoadBalancer(
            LoadBalancer loadBalancer,
            Snapshot snapshot,
            double ageMs,
            Function<String, String> addresses,
            Consumer<String> log) {
        this.loadBalancer = loadBalancer;
        this.snapshot = snapshot;
        this.ageMs = ageMs;
        this.addresses = addresses;
        this.log = log;
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
        int serverCount = snapshot.state().servers().size();
        log.accept("taken: the fleet, " + snapshot.state().classes().size() + " classes, " + restored.size() + " of "
                + serverCount + " servers; dropped: " + restarted.size() + " started anew, " + moved.size()
                + " at another address, " + pending.size() + " not listed");
        pending.clear();
        snapshot = null;
    }

    @Override
    public LearnedState exportState(double nowMs, int from, int most) {
        return loadBalancer.exportState(nowMs, from, most);
    }

    @Override
    public void importState(double nowMs, LearnedState state, double age) {
        loadBalancer.importState(nowMs, state, age);
    }
}
