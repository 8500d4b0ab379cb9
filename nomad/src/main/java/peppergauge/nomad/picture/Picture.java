package peppergauge.nomad.picture;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.membership.ReportedEndpoint;
import peppergauge.membership.ReportedStatus;

/**
 * All that is known of one service, from lists, events and single answers; of two words on the same thing the one with
 * the higher index holds. Not for use by several threads; times in ms.
 */
public final class Picture {

    /** A fact this old yields to one of a lower index: the cluster may count anew. */
    private static final double OLD_MS = 60_000;
    /** How long a new server waits for its node, where the mapping needs it. */
    private static final double NODE_WAIT_MS = 2_000;

    /** Nothing is cold for so long. */
    private static final double WARM_MS = 300_000;
    /** A start that lies further ahead is another clock's word, ms. */
    private static final double CLOCKS_MS = 1_000;

    private final Mapping mapping;
    private final boolean ineligibleLeaves;
    private final int most;
    private final Map<String, Registration> registrations = new LinkedHashMap<>();
    /** Listed before and missing since: that may be a mistake, and what speaks against them still has to be told. */
    private final Map<String, Registration> former;
    /** By registration and address: a new place is a new start. */
    private final Map<String, Seen> seen = new HashMap<>();

    private final Map<String, Fact<Allocation>> allocations;
    private final Map<String, Fact<Node>> nodes;
    private final Map<String, Signs> checks;
    private boolean listed;

    /** When a server was first listed, and since when it runs: 0 for what the first list holds, long ago. */
    private record Seen(double atMs, double startedMs) {}

    private record Fact<T>(T what, double atMs) {}

    /**
     * @param ineligibleLeaves whether a node that is not eligible any more makes its servers leave
     * @param most allocations and nodes that are remembered; the oldest go
     */
    public Picture(Mapping mapping, boolean ineligibleLeaves, int most) {
        this.mapping = mapping;
        this.ineligibleLeaves = ineligibleLeaves;
        this.most = most;
        former = bounded();
        allocations = bounded();
        nodes = bounded();
        checks = bounded();
    }

    private <T> Map<String, T> bounded() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, T> eldest) {
                return size() > most;
            }
        };
    }

    /** A whole list: of two entries with one id, or at one address, the newer holds. */
    public void listed(double nowMs, Collection<Registration> list) {
        former.putAll(registrations);
        registrations.clear();
        Map<String, Registration> places = new HashMap<>();
        for (Registration each : list) {
            Registration there = places.get(each.address());
            Registration same = registrations.get(each.id());
            if (there != null && there.index() > each.index() || same != null && same.index() > each.index()) {
                continue;
            }
            if (there != null) {
                registrations.remove(there.id());
            }
            if (same != null) {
                places.remove(same.address());
            }
            places.put(each.address(), each);
            registrations.put(each.id(), each);
            former.remove(each.id());
            seen(nowMs, each);
        }
        listed = true;
        if (seen.size() > 2 * registrations.size() + most) {
            Set<String> known = new TreeSet<>();
            registrations.values().forEach(each -> known.add(key(each)));
            former.values().forEach(each -> known.add(key(each)));
            seen.keySet().retainAll(known);
        }
    }

    private void seen(double nowMs, Registration each) {
        seen.putIfAbsent(key(each), new Seen(nowMs, listed ? nowMs : 0));
    }

    private static String key(Registration each) {
        return each.id() + '@' + each.address();
    }

    /** An event told a registration; false if a newer one is known. */
    public boolean registered(double nowMs, Registration one) {
        Registration known = registrations.get(one.id());
        if (known != null && known.index() > one.index()) {
            return false;
        }
        registrations.put(one.id(), one);
        former.remove(one.id());
        seen(nowMs, one);
        return true;
    }

    /** An event told that a registration is gone; false if it is not known. */
    public boolean deregistered(String id) {
        Registration gone = registrations.remove(id);
        if (gone != null) {
            // Registered again, it has started again; a list that lacks it may be a mistake and says nothing.
            seen.remove(key(gone));
        }
        return gone != null;
    }

    /** Whether this changes anything. */
    public boolean allocation(double nowMs, Allocation one) {
        Fact<Allocation> known = allocations.get(one.id());
        if (known != null && known.what().index() > one.index() && nowMs - known.atMs() < OLD_MS) {
            return false;
        }
        allocations.put(one.id(), new Fact<>(one, nowMs));
        return known == null
                || !known.what().signs().equals(one.signs())
                || known.what().startedMs() != one.startedMs();
    }

    /** Whether this changes anything. */
    public boolean node(double nowMs, Node one) {
        Fact<Node> known = nodes.get(one.id());
        if (known != null && known.what().index() > one.index() && nowMs - known.atMs() < OLD_MS) {
            return false;
        }
        nodes.put(one.id(), new Fact<>(one, nowMs));
        return known == null
                || !known.what().signs().equals(one.signs())
                || !known.what().meta().equals(one.meta());
    }

    /** Whether this changes anything. */
    public boolean checks(String allocation, Signs signs) {
        return !signs.equals(checks.put(allocation, signs));
    }

    public List<Registration> registrations() {
        return List.copyOf(registrations.values());
    }

    /** Whether it holds exactly these. */
    public boolean holds(Collection<Registration> list) {
        return list.size() == registrations.size()
                && list.stream().allMatch(each -> registrations.containsKey(each.id()));
    }

    /** Jobs whose allocations matter. */
    public Set<String> jobs() {
        Set<String> jobs = new TreeSet<>();
        registrations.values().forEach(each -> jobs.add(each.job()));
        return jobs;
    }

    public boolean knowsAllocation(String id) {
        return allocations.containsKey(id);
    }

    public boolean knowsNode(String id) {
        return nodes.containsKey(id);
    }

    /** All servers that can be told now. */
    public List<ReportedEndpoint> servers(double nowMs) {
        return servers(nowMs, each -> true);
    }

    /** Those of them that a fact is about, and of those that are missing now the ones that it makes leave. */
    public List<ReportedEndpoint> affected(double nowMs, Predicate<Registration> by) {
        List<ReportedEndpoint> servers = servers(nowMs, by);
        former.values().stream()
                .filter(by)
                .map(this::told)
                .filter(told -> told.status() == ReportedStatus.DRAINING)
                .forEach(servers::add);
        return servers;
    }

    private List<ReportedEndpoint> servers(double nowMs, Predicate<Registration> about) {
        List<ReportedEndpoint> servers = new ArrayList<>();
        registrations.values().forEach(each -> {
            if (about.test(each) && !waits(nowMs, each)) {
                servers.add(told(each));
            }
        });
        return servers;
    }

    /** As {@link #servers} would say of a list that is not believed yet; the picture stays as it is. */
    public List<ReportedEndpoint> unbelieved(double nowMs, Collection<Registration> list) {
        list.forEach(each -> seen(nowMs, each));
        return list.stream().map(this::told).toList();
    }

    /** Whether any server waits for its node. */
    public boolean anyWaits(double nowMs) {
        return mapping.needsNodes() && registrations.values().stream().anyMatch(each -> waits(nowMs, each));
    }

    private boolean waits(double nowMs, Registration each) {
        return mapping.needsNodes()
                && !nodes.containsKey(each.node())
                && nowMs - seen.get(key(each)).atMs() < NODE_WAIT_MS;
    }

    private ReportedEndpoint told(Registration each) {
        Fact<Allocation> allocation = allocations.get(each.allocation());
        Fact<Node> onNode = nodes.get(each.node());
        Node node = onNode == null ? null : onNode.what();
        Signs signs = allocation == null ? Signs.NONE : allocation.what().signs();
        if (node != null && (ineligibleLeaves || !node.signs().leaving().endsWith("eligible"))) {
            signs = signs.and(node.signs());
        }
        signs = signs.and(checks.getOrDefault(each.allocation(), Signs.NONE));
        if (mapping.weight(each, node) == 0) {
            signs = signs.and(new Signs("its weight is 0", ""));
        }
        ReportedStatus standing = !signs.leaving().isEmpty()
                ? ReportedStatus.DRAINING
                : !signs.ill().isEmpty() ? ReportedStatus.SUSPECT : ReportedStatus.READY;
        Endpoint entry = new Endpoint(
                each.id(),
                mapping.zone(each, node),
                mapping.cell(each, node),
                EndpointState.READY,
                started(each, allocation));
        return new ReportedEndpoint(
                entry, each.address(), standing, signs.leaving().isEmpty() ? signs.ill() : signs.leaving());
    }

    /**
     * What its allocation tells of its start goes before when it was first heard of, which is later. Of what the first
     * list held a start long before says nothing new: it was there, and is warm.
     */
    private double started(Registration each, Fact<Allocation> allocation) {
        Seen known = seen.get(key(each));
        double toldMs = allocation == null ? 0 : allocation.what().startedMs();
        boolean longAgo = known.startedMs() == 0 && toldMs <= known.atMs() - WARM_MS;
        return toldMs > 0 && !longAgo && toldMs <= allocation.atMs() + CLOCKS_MS ? toldMs : known.startedMs();
    }

    /** Kind and weight of a server, where told, for operators: the module's entries have no place for them. */
    public String describe(String id) {
        Registration each = registrations.get(id);
        if (each == null) {
            return "";
        }
        Fact<Node> onNode = nodes.get(each.node());
        Node node = onNode == null ? null : onNode.what();
        String kind = mapping.kind(each, node);
        double weight = mapping.weight(each, node);
        return (kind.isEmpty() ? "" : "kind " + kind) + (weight == 1 ? "" : " weight " + weight);
    }
}
