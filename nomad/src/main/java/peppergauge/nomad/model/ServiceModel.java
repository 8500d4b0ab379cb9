package peppergauge.nomad.model;

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
 * State of one service, from lists, events and single responses; of two reports on the same object the one with the
 * higher index holds. Not thread-safe; times in milliseconds.
 */
public final class ServiceModel {

    /** An observation this old yields to one of a lower index, since the cluster's index may have been reset. */
    private static final double STALE_FACT_MS = 60_000;
    /** How long a new server is not reported while its node is not known, where the mapping needs the node. */
    private static final double NODE_WAIT_MS = 2_000;

    /** Uptime after which a server counts as warm. */
    private static final double WARM_UPTIME_MS = 300_000;
    /** A start time further in the future is ignored. */
    private static final double MAX_CLOCK_SKEW_MS = 1_000;

    private final AttributeMapping mapping;
    private final boolean drainIneligible;
    private final int maxEntries;
    private final Map<String, Registration> registrations = new LinkedHashMap<>();
    /** Listed before and missing since; they are still reported if they are draining. */
    private final Map<String, Registration> missing;
    /** By registration and address, since a server with a new address has started again. */
    private final Map<String, FirstSeen> firstSeen = new HashMap<>();

    private final Map<String, Observed<Allocation>> allocations;
    private final Map<String, Observed<Node>> nodes;
    private final Map<String, Condition> checks;
    private boolean hasList;

    /** When a server was first listed, and its start time: 0, long ago, for the servers of the first list. */
    private record FirstSeen(double atMs, double startedMs) {}

    private record Observed<T>(T value, double atMs) {}

    /**
     * @param drainIneligible whether the servers of a node that is not eligible any more are draining
     * @param maxEntries number of allocations and of nodes that are kept, the newest
     */
    public ServiceModel(AttributeMapping mapping, boolean drainIneligible, int maxEntries) {
        this.mapping = mapping;
        this.drainIneligible = drainIneligible;
        this.maxEntries = maxEntries;
        missing = bounded();
        allocations = bounded();
        nodes = bounded();
        checks = bounded();
    }

    private <T> Map<String, T> bounded() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, T> eldest) {
                return size() > maxEntries;
            }
        };
    }

    /** Processes a complete list: of two entries with one id, or one address, the newer one holds. */
    public void onList(double nowMs, Collection<Registration> list) {
        missing.putAll(registrations);
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
            missing.remove(each.id());
            recordFirstSeen(nowMs, each);
        }
        hasList = true;
        if (firstSeen.size() > 2 * registrations.size() + maxEntries) {
            Set<String> known = new TreeSet<>();
            registrations.values().forEach(each -> known.add(key(each)));
            missing.values().forEach(each -> known.add(key(each)));
            firstSeen.keySet().retainAll(known);
        }
    }

    private void recordFirstSeen(double nowMs, Registration each) {
        firstSeen.putIfAbsent(key(each), new FirstSeen(nowMs, hasList ? nowMs : 0));
    }

    private static String key(Registration each) {
        return each.id() + '@' + each.address();
    }

    /** Processes a registration event; returns false if a newer registration is known. */
    public boolean onRegistered(double nowMs, Registration one) {
        Registration known = registrations.get(one.id());
        if (known != null && known.index() > one.index()) {
            return false;
        }
        registrations.put(one.id(), one);
        missing.remove(one.id());
        recordFirstSeen(nowMs, one);
        return true;
    }

    /** Processes a deregistration event; returns false if the registration is not known. */
    public boolean onDeregistered(String id) {
        Registration gone = registrations.remove(id);
        if (gone != null) {
            // Registered again it has started again. (Missing from a list may be a mistake.)
            firstSeen.remove(key(gone));
        }
        return gone != null;
    }

    /** Processes an allocation; returns whether it changes the servers' status. */
    public boolean onAllocation(double nowMs, Allocation one) {
        Observed<Allocation> known = allocations.get(one.id());
        if (known != null && known.value().index() > one.index() && nowMs - known.atMs() < STALE_FACT_MS) {
            return false;
        }
        allocations.put(one.id(), new Observed<>(one, nowMs));
        return known == null
                || !known.value().condition().equals(one.condition())
                || known.value().startedMs() != one.startedMs();
    }

    /** Processes a node; returns whether it changes the servers' status. */
    public boolean onNode(double nowMs, Node one) {
        Observed<Node> known = nodes.get(one.id());
        if (known != null && known.value().index() > one.index() && nowMs - known.atMs() < STALE_FACT_MS) {
            return false;
        }
        nodes.put(one.id(), new Observed<>(one, nowMs));
        return known == null
                || !known.value().condition().equals(one.condition())
                || !known.value().meta().equals(one.meta());
    }

    /** Processes the check results of an allocation; returns whether it changes the servers' status. */
    public boolean onChecks(String allocation, Condition condition) {
        return !condition.equals(checks.put(allocation, condition));
    }

    /** Returns the registrations of the last list and the events since. */
    public List<Registration> registrations() {
        return List.copyOf(registrations.values());
    }

    /** Returns whether the list has exactly the known registrations. */
    public boolean matches(Collection<Registration> list) {
        return list.size() == registrations.size()
                && list.stream().allMatch(each -> registrations.containsKey(each.id()));
    }

    /** Returns the jobs whose allocations are used. */
    public Set<String> jobs() {
        Set<String> jobs = new TreeSet<>();
        registrations.values().forEach(each -> jobs.add(each.job()));
        return jobs;
    }

    /** Returns whether the allocation is known. */
    public boolean knowsAllocation(String id) {
        return allocations.containsKey(id);
    }

    /** Returns whether the node is known. */
    public boolean knowsNode(String id) {
        return nodes.containsKey(id);
    }

    /** Returns all servers that are not waiting for their node. */
    public List<ReportedEndpoint> servers(double nowMs) {
        return servers(nowMs, each -> true);
    }

    /** Returns the selected servers, and those of the missing ones that are draining. */
    public List<ReportedEndpoint> affected(double nowMs, Predicate<Registration> by) {
        List<ReportedEndpoint> servers = servers(nowMs, by);
        missing.values().stream()
                .filter(by)
                .map(this::report)
                .filter(reported -> reported.status() == ReportedStatus.DRAINING)
                .forEach(servers::add);
        return servers;
    }

    private List<ReportedEndpoint> servers(double nowMs, Predicate<Registration> about) {
        List<ReportedEndpoint> servers = new ArrayList<>();
        registrations.values().forEach(each -> {
            if (about.test(each) && !isWaitingForNode(nowMs, each)) {
                servers.add(report(each));
            }
        });
        return servers;
    }

    /** Returns the servers of a list that is not accepted yet; the registrations stay as they are. */
    public List<ReportedEndpoint> preview(double nowMs, Collection<Registration> list) {
        list.forEach(each -> recordFirstSeen(nowMs, each));
        return list.stream().map(this::report).toList();
    }

    /** Returns whether any server is not reported yet because its node is not known. */
    public boolean isAnyWaitingForNode(double nowMs) {
        return mapping.needsNodes() && registrations.values().stream().anyMatch(each -> isWaitingForNode(nowMs, each));
    }

    private boolean isWaitingForNode(double nowMs, Registration each) {
        return mapping.needsNodes()
                && !nodes.containsKey(each.node())
                && nowMs - firstSeen.get(key(each)).atMs() < NODE_WAIT_MS;
    }

    private ReportedEndpoint report(Registration each) {
        Observed<Allocation> allocation = allocations.get(each.allocation());
        Observed<Node> onNode = nodes.get(each.node());
        Node node = onNode == null ? null : onNode.value();
        Condition condition =
                allocation == null ? Condition.NONE : allocation.value().condition();
        if (node != null && (drainIneligible || !node.condition().drainReason().endsWith("eligible"))) {
            condition = condition.merge(node.condition());
        }
        condition = condition.merge(checks.getOrDefault(each.allocation(), Condition.NONE));
        if (mapping.weight(each, node) == 0) {
            condition = condition.merge(new Condition("its weight is 0", ""));
        }
        ReportedStatus status = !condition.drainReason().isEmpty()
                ? ReportedStatus.DRAINING
                : !condition.unhealthyReason().isEmpty() ? ReportedStatus.SUSPECT : ReportedStatus.READY;
        Endpoint endpoint = new Endpoint(
                each.id(),
                mapping.zone(each, node),
                mapping.cell(each, node),
                EndpointState.READY,
                startedMs(each, allocation));
        return new ReportedEndpoint(
                endpoint,
                each.address(),
                status,
                condition.drainReason().isEmpty() ? condition.unhealthyReason() : condition.drainReason());
    }

    /**
     * Returns a server's start time: that of its allocation, else when it was first listed. A server of the first list
     * that started long before is warm.
     */
    private double startedMs(Registration each, Observed<Allocation> allocation) {
        FirstSeen known = firstSeen.get(key(each));
        double allocationStartMs = allocation == null ? 0 : allocation.value().startedMs();
        boolean isLongAgo = known.startedMs() == 0 && allocationStartMs <= known.atMs() - WARM_UPTIME_MS;
        return allocationStartMs > 0 && !isLongAgo && allocationStartMs <= allocation.atMs() + MAX_CLOCK_SKEW_MS
                ? allocationStartMs
                : known.startedMs();
    }

    /** Returns kind and weight of a server for log lines; empty if there are none or the server is not known. */
    public String describe(String id) {
        Registration each = registrations.get(id);
        if (each == null) {
            return "";
        }
        Observed<Node> onNode = nodes.get(each.node());
        Node node = onNode == null ? null : onNode.value();
        String kind = mapping.kind(each, node);
        double weight = mapping.weight(each, node);
        return (kind.isEmpty() ? "" : "kind " + kind) + (weight == 1 ? "" : " weight " + weight);
    }
}
