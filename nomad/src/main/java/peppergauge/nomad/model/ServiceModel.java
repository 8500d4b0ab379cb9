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
 * State of one service, from lists, events and detail polls. Of two reports on the same object the one with the higher
 * index is kept. Not thread-safe; times in milliseconds.
 */
public final class ServiceModel {

    /** Age from which a report is replaced by one with a lower index, since the cluster's index may have been reset. */
    private static final double REPORT_EXPIRY_MS = 60_000;

    /** How long a new server is withheld while its node is not known, if the mapping reads from the node. */
    private static final double NODE_WAIT_MS = 2_000;

    /** Uptime after which a server counts as warm. */
    private static final double WARM_UPTIME_MS = 300_000;

    /** A start time further in the future than this is ignored. */
    private static final double MAX_CLOCK_SKEW_MS = 1_000;

    private final AttributeMapping mapping;
    private final boolean drainIneligible;
    private final int maxEntries;
    /** Registrations of the last list and later events, by id. */
    private final Map<String, Registration> registrations = new LinkedHashMap<>();

    /** Registrations that are missing from the last list, by id; they are still reported if they are draining. */
    private final Map<String, Registration> missing;

    /** First sight of each server, by registration and address, because a server with a new address has restarted. */
    private final Map<String, FirstSeen> firstSeen = new HashMap<>();

    private final Map<String, Observed<Allocation>> allocations;
    private final Map<String, Observed<Node>> nodes;
    private final Map<String, Condition> checks;
    private boolean hasList;

    /**
     * First sight of a server.
     *
     * @param atMs time at which it was first listed
     * @param startedMs its start time if no other is known; 0, which is long ago, for the servers of the first list
     */
    private record FirstSeen(double atMs, double startedMs) {}

    /** A reported object and the time of the report. */
    private record Observed<T>(T value, double atMs) {}

    /**
     * Creates a model without any registrations.
     *
     * @param drainIneligible whether the servers of a node that is not eligible for scheduling are draining
     * @param maxEntries maximum number of allocations that are kept, of nodes, of check results and of missing
     *     registrations; the oldest are dropped
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

    /** Processes a complete list. Of two entries with the same id or the same address the newer one is kept. */
    public void onList(double nowMs, Collection<Registration> list) {
        missing.putAll(registrations);
        registrations.clear();
        Map<String, Registration> byAddress = new HashMap<>();
        for (Registration each : list) {
            Registration sameAddress = byAddress.get(each.address());
            Registration sameId = registrations.get(each.id());
            if (sameAddress != null && sameAddress.index() > each.index()
                    || sameId != null && sameId.index() > each.index()) {
                continue;
            }
            if (sameAddress != null) {
                registrations.remove(sameAddress.id());
            }
            if (sameId != null) {
                byAddress.remove(sameId.address());
            }
            byAddress.put(each.address(), each);
            registrations.put(each.id(), each);
            missing.remove(each.id());
            recordFirstSeen(nowMs, each);
        }
        hasList = true;
        if (firstSeen.size() > 2 * registrations.size() + maxEntries) {
            Set<String> known = new TreeSet<>();
            registrations.values().forEach(each -> known.add(firstSeenKey(each)));
            missing.values().forEach(each -> known.add(firstSeenKey(each)));
            firstSeen.keySet().retainAll(known);
        }
    }

    private void recordFirstSeen(double nowMs, Registration registration) {
        firstSeen.putIfAbsent(firstSeenKey(registration), new FirstSeen(nowMs, hasList ? nowMs : 0));
    }

    private static String firstSeenKey(Registration registration) {
        return registration.id() + '@' + registration.address();
    }

    /** Processes a registration event; returns false if a newer registration is known. */
    public boolean onRegistered(double nowMs, Registration registration) {
        Registration known = registrations.get(registration.id());
        if (known != null && known.index() > registration.index()) {
            return false;
        }
        registrations.put(registration.id(), registration);
        missing.remove(registration.id());
        recordFirstSeen(nowMs, registration);
        return true;
    }

    /** Processes a deregistration event; returns false if the registration is not known. */
    public boolean onDeregistered(String id) {
        Registration removed = registrations.remove(id);
        if (removed != null) {
            // A server that is registered again has restarted. Being missing from a list is no proof of that.
            firstSeen.remove(firstSeenKey(removed));
        }
        return removed != null;
    }

    /** Processes an allocation; returns whether it changes the servers' status. */
    public boolean onAllocation(double nowMs, Allocation allocation) {
        Observed<Allocation> known = allocations.get(allocation.id());
        if (known != null && known.value().index() > allocation.index() && nowMs - known.atMs() < REPORT_EXPIRY_MS) {
            return false;
        }
        allocations.put(allocation.id(), new Observed<>(allocation, nowMs));
        return known == null
                || !known.value().condition().equals(allocation.condition())
                || known.value().startedMs() != allocation.startedMs();
    }

    /** Processes a node; returns whether it changes the servers' status. */
    public boolean onNode(double nowMs, Node node) {
        Observed<Node> known = nodes.get(node.id());
        if (known != null && known.value().index() > node.index() && nowMs - known.atMs() < REPORT_EXPIRY_MS) {
            return false;
        }
        nodes.put(node.id(), new Observed<>(node, nowMs));
        return known == null
                || !known.value().condition().equals(node.condition())
                || !known.value().meta().equals(node.meta());
    }

    /** Processes the check results of an allocation; returns whether it changes the servers' status. */
    public boolean onChecks(String allocation, Condition condition) {
        return !condition.equals(checks.put(allocation, condition));
    }

    /** Returns the registrations of the last list, updated by later events. */
    public List<Registration> registrations() {
        return List.copyOf(registrations.values());
    }

    /** Returns whether the list has exactly the registrations that are known. */
    public boolean matches(Collection<Registration> list) {
        return list.size() == registrations.size()
                && list.stream().allMatch(each -> registrations.containsKey(each.id()));
    }

    /** Returns the jobs of all registrations. */
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

    /** Returns all servers, except those that wait for their node. */
    public List<ReportedEndpoint> servers(double nowMs) {
        return servers(nowMs, each -> true);
    }

    /** Returns the selected servers, including missing ones that are draining. */
    public List<ReportedEndpoint> affected(double nowMs, Predicate<Registration> isSelected) {
        List<ReportedEndpoint> servers = servers(nowMs, isSelected);
        missing.values().stream()
                .filter(isSelected)
                .map(this::report)
                .filter(reported -> reported.status() == ReportedStatus.DRAINING)
                .forEach(servers::add);
        return servers;
    }

    private List<ReportedEndpoint> servers(double nowMs, Predicate<Registration> isSelected) {
        List<ReportedEndpoint> servers = new ArrayList<>();
        registrations.values().forEach(each -> {
            if (isSelected.test(each) && !isWaitingForNode(nowMs, each)) {
                servers.add(report(each));
            }
        });
        return servers;
    }

    /** Returns the servers of a list that is not accepted yet, without changing the registrations. */
    public List<ReportedEndpoint> preview(double nowMs, Collection<Registration> list) {
        list.forEach(each -> recordFirstSeen(nowMs, each));
        return list.stream().map(this::report).toList();
    }

    /** Returns whether any server is withheld because its node is not known. */
    public boolean isAnyWaitingForNode(double nowMs) {
        return mapping.needsNodes() && registrations.values().stream().anyMatch(each -> isWaitingForNode(nowMs, each));
    }

    private boolean isWaitingForNode(double nowMs, Registration registration) {
        return mapping.needsNodes()
                && !nodes.containsKey(registration.node())
                && nowMs - firstSeen.get(firstSeenKey(registration)).atMs() < NODE_WAIT_MS;
    }

    private ReportedEndpoint report(Registration registration) {
        Observed<Allocation> allocation = allocations.get(registration.allocation());
        Observed<Node> observedNode = nodes.get(registration.node());
        Node node = observedNode == null ? null : observedNode.value();
        Condition condition =
                allocation == null ? Condition.NONE : allocation.value().condition();
        if (node != null && (drainIneligible || !node.condition().drainReason().equals(Node.INELIGIBLE_REASON))) {
            condition = condition.merge(node.condition());
        }
        condition = condition.merge(checks.getOrDefault(registration.allocation(), Condition.NONE));
        if (mapping.weight(registration, node) == 0) {
            condition = condition.merge(new Condition("its weight is 0", ""));
        }
        ReportedStatus status = !condition.drainReason().isEmpty()
                ? ReportedStatus.DRAINING
                : !condition.unhealthyReason().isEmpty() ? ReportedStatus.SUSPECT : ReportedStatus.READY;
        Endpoint endpoint = new Endpoint(
                registration.id(),
                mapping.zone(registration, node),
                mapping.cell(registration, node),
                EndpointState.READY,
                startedMs(registration, allocation));
        return new ReportedEndpoint(
                endpoint,
                registration.address(),
                status,
                condition.drainReason().isEmpty() ? condition.unhealthyReason() : condition.drainReason());
    }

    /**
     * Returns a server's start time: that of its allocation if it is known and plausible, or else the time at which the
     * server was first listed. A server of the first list that started long before is warm, with start time 0.
     */
    private double startedMs(Registration registration, Observed<Allocation> allocation) {
        FirstSeen known = firstSeen.get(firstSeenKey(registration));
        double allocationStartMs = allocation == null ? 0 : allocation.value().startedMs();
        boolean isLongAgo = known.startedMs() == 0 && allocationStartMs <= known.atMs() - WARM_UPTIME_MS;
        return allocationStartMs > 0 && !isLongAgo && allocationStartMs <= allocation.atMs() + MAX_CLOCK_SKEW_MS
                ? allocationStartMs
                : known.startedMs();
    }

    /** Returns the kind and weight of a server for log lines; empty if there are none or the server is not known. */
    public String describe(String id) {
        Registration registration = registrations.get(id);
        if (registration == null) {
            return "";
        }
        Observed<Node> observedNode = nodes.get(registration.node());
        Node node = observedNode == null ? null : observedNode.value();
        String kind = mapping.kind(registration, node);
        double weight = mapping.weight(registration, node);
        return (kind.isEmpty() ? "" : "kind " + kind) + (weight == 1 ? "" : " weight " + weight);
    }
}
