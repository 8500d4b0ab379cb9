package peppergauge.snapshot.recall;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import peppergauge.decision.Balancer;
import peppergauge.decision.Learned;
import peppergauge.decision.Learned.Known;
import peppergauge.snapshot.format.Snapshot;

/**
 * Stands round a module that starts with a snapshot, and gives it back: the fleet's figures before the first event, a
 * server's when it is listed. The server table decides who is there; a server that has another address or was started
 * anew is another server. What is not listed for a while is given up. Only the owner thread may call it.
 */
public final class RecallingBalancer implements Balancer {

    /** How long servers may take to be listed: discovery's first whole table comes with the watch. */
    static final double LISTED_WITHIN_MS = 5_000;

    private final Balancer module;
    private final Function<String, String> addresses;
    private final Consumer<String> log;
    private final Map<String, Known> pending = new HashMap<>();
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
    public RecallingBalancer(
            Balancer module,
            Snapshot snapshot,
            double ageMs,
            Function<String, String> addresses,
            Consumer<String> log) {
        this.module = module;
        this.snapshot = snapshot;
        this.ageMs = ageMs;
        this.addresses = addresses;
        this.log = log;
        snapshot.learned().known().forEach(known -> pending.put(known.server(), known));
    }

    @Override
    public void on(double nowMs, Event event, Consumer<Action> actions) {
        if (snapshot == null) {
            module.on(nowMs, event, actions);
            return;
        }
        if (Double.isNaN(firstMs)) {
            firstMs = nowMs;
            Learned learned = snapshot.learned();
            module.recall(nowMs, new Learned(0, learned.fleet(), learned.classes(), List.of()), ageMs);
        }
        module.on(nowMs, event, actions);
        if (event instanceof ServersListed listed) {
            recall(nowMs, listed.entries());
        }
        if (pending.isEmpty() || nowMs - firstMs >= LISTED_WITHIN_MS) {
            settle();
        }
    }

    private void recall(double nowMs, List<ServerEntry> entries) {
        List<Known> back = new ArrayList<>();
        for (ServerEntry entry : entries) {
            Known known = entry.state() == ServerState.GONE ? null : pending.remove(entry.server());
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
            module.recall(nowMs, new Learned(0, null, List.of(), back), ageMs + nowMs - firstMs);
        }
    }

    private void settle() {
        int all = snapshot.learned().known().size();
        log.accept("taken: the fleet, " + snapshot.learned().classes().size() + " classes, " + taken.size() + " of "
                + all + " servers; dropped: " + restarted.size() + " started anew, " + moved.size()
                + " at another address, " + pending.size() + " not listed");
        pending.clear();
        snapshot = null;
    }

    @Override
    public Learned learned(double nowMs, int from, int most) {
        return module.learned(nowMs, from, most);
    }

    @Override
    public void recall(double nowMs, Learned learned, double age) {
        module.recall(nowMs, learned, age);
    }
}
