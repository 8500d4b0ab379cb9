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
 * Stands round a module that starts with a snapshot, and gives it back: the fleet's figures before the first event, a
 * server's when it is listed. The server table decides who is there; a server that has another address or was started
 * anew is another server. What is not listed for a while is given up. Only the owner thread may call it.
 */
public final class StateRestoringLoadBalancer implements LoadBalancer {

    /** How long servers may take to be listed: discovery's first whole table comes with the watch. */
    static final double LISTED_WITHIN_MS = 5_000;

    private final LoadBalancer module;
    private final Function<String, String> addresses;
    private final Consumer<String> log;
    private final Map<String, ServerStatistics> pending = new HashMap<>();
    /** Told apart from the pending ones so that a server listed twice counts once. */
    private final Set<String> taken = new HashSet<>();

    private final Set<String> moved = new HashSet<>();
    private final Set<String> restarted = new HashSet<>();
    private Snapshot snapshot;
    private final double ageMs;
    private double firstMs = Double.NaN;

    /**
     * @param ageMs how old the snapshot is now, ms
     * @param addresses the present address of a listed server by its id
     * @param log takes the one line on what became of the servers
     */
    public StateRestoringLoadBalancer(
            LoadBalancer module,
            Snapshot snapshot,
            double ageMs,
            Function<String, String> addresses,
            Consumer<String> log) {
        this.module = module;
        this.snapshot = snapshot;
        this.ageMs = ageMs;
        this.addresses = addresses;
        this.log = log;
        snapshot.learned().servers().forEach(known -> pending.put(known.server(), known));
    }

    @Override
    public void handle(double nowMs, Event event, Consumer<Action> actions) {
        if (snapshot == null) {
            module.handle(nowMs, event, actions);
            return;
        }
        if (Double.isNaN(firstMs)) {
            firstMs = nowMs;
            LearnedState learned = snapshot.learned();
            module.importState(nowMs, new LearnedState(0, learned.cluster(), learned.classes(), List.of()), ageMs);
        }
        module.handle(nowMs, event, actions);
        if (event instanceof EndpointsUpdated listed) {
            recall(nowMs, listed.endpoints());
        }
        if (pending.isEmpty() || nowMs - firstMs >= LISTED_WITHIN_MS) {
            settle();
        }
    }

    private void recall(double nowMs, List<Endpoint> entries) {
        List<ServerStatistics> back = new ArrayList<>();
        for (Endpoint entry : entries) {
            ServerStatistics known = entry.state() == EndpointState.REMOVED ? null : pending.remove(entry.server());
            if (known == null) {
                continue;
            }
            if (Math.max(0, entry.startedMs()) != known.startedMs()) {
                restarted.add(entry.server());
            } else if (!snapshot.addresses().getOrDefault(entry.server(), "").equals(addresses.apply(entry.server()))) {
                moved.add(entry.server());
            } else {
                taken.add(entry.server());
                back.add(known);
            }
        }
        if (!back.isEmpty()) {
            module.importState(nowMs, new LearnedState(0, null, List.of(), back), ageMs + nowMs - firstMs);
        }
    }

    private void settle() {
        int all = snapshot.learned().servers().size();
        log.accept("taken: the fleet, " + snapshot.learned().classes().size() + " classes, " + taken.size() + " of "
                + all + " servers; dropped: " + restarted.size() + " started anew, " + moved.size()
                + " at another address, " + pending.size() + " not listed");
        pending.clear();
        snapshot = null;
    }

    @Override
    public LearnedState exportState(double nowMs, int from, int most) {
        return module.exportState(nowMs, from, most);
    }

    @Override
    public void importState(double nowMs, LearnedState learned, double age) {
        module.importState(nowMs, learned, age);
    }
}
