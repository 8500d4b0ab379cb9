package peppergauge.lab.nomad;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The state of a Nomad cluster: nodes, allocations, registrations, an index that each change increments, and the events
 * of the changes. Thread-safe; each public method but {@link #drain} and {@link #deregisterAllOf} is atomic.
 */
public final class Cluster {

    private static final int MAX_EVENTS = 20_000;
    private static final int MAX_PAST_LISTINGS = 64;

    /** The registrations of a service at an index. */
    public record Listing(long index, List<Map<String, Object>> registrations) {}

    /** One line of the event stream. */
    public record Event(long index, String topic, String key, List<String> keys, String line) {}

    private final Map<String, Map<String, Object>> nodes = new LinkedHashMap<>();
    private final Map<String, Map<String, Object>> allocations = new LinkedHashMap<>();
    private final Map<String, Map<String, Object>> registrations = new LinkedHashMap<>();
    private final Map<String, Map<String, Object>> checks = new LinkedHashMap<>();
    private final List<Event> events = new ArrayList<>();
    private final List<Listing> past = new ArrayList<>();
    private long index = 10;
    private long serviceIndex = 10;

    // ---- Changes ----

    /** Adds a node that is ready and eligible. */
    public synchronized void node(String id, String datacenter, Map<String, String> meta) {
        Map<String, Object> node = new LinkedHashMap<>();
        node.put("ID", id);
        node.put("Datacenter", datacenter);
        node.put("Status", "ready");
        node.put("SchedulingEligibility", "eligible");
        node.put("Drain", false);
        node.put("DrainStrategy", null);
        node.put("Meta", meta);
        nodes.put(id, node);
        changed("Node", "NodeRegistration", node, List.of());
    }

    /** Adds a running allocation of a job on a node. */
    public synchronized void allocation(String id, String node, String job) {
        Map<String, Object> allocation = new LinkedHashMap<>();
        allocation.put("ID", id);
        allocation.put("NodeID", node);
        allocation.put("JobID", job);
        allocation.put("DesiredStatus", "run");
        allocation.put("ClientStatus", "running");
        allocation.put("DesiredTransition", new LinkedHashMap<>(Map.of("Migrate", false)));
        allocation.put("DeploymentStatus", null);
        allocations.put(id, allocation);
        changed("Allocation", "AllocationCreated", allocation, List.of(job));
    }

    /** Adds a running allocation whose only task started at a Unix time in ms. */
    public synchronized void allocation(String id, String node, String job, long startedMs) {
        allocation(id, node, job);
        allocationField(
                id,
                "TaskStates",
                Map.of(
                        "server",
                        Map.of(
                                "State",
                                "running",
                                "StartedAt",
                                Instant.ofEpochMilli(startedMs).toString())));
    }

    /** Registers an address of an allocation, or replaces the registration of that id. */
    public synchronized void register(
            String id, String allocation, String service, String host, int port, List<String> tags) {
        Map<String, Object> of = allocations.get(allocation);
        Map<String, Object> one = new LinkedHashMap<>();
        one.put("Address", host);
        one.put("AllocID", allocation);
        one.put("CreateIndex", index + 1);
        one.put("Datacenter", nodes.get(of.get("NodeID")).get("Datacenter"));
        one.put("ID", id);
        one.put("JobID", of.get("JobID"));
        one.put("Namespace", "default");
        one.put("NodeID", of.get("NodeID"));
        one.put("Port", port);
        one.put("ServiceName", service);
        one.put("Tags", tags);
        registrations.put(id, one);
        changed("Service", "ServiceRegistration", one, List.of(service));
    }

    /** Removes a registration, if it exists. */
    public synchronized void deregister(String id) {
        Map<String, Object> one = registrations.remove(id);
        if (one != null) {
            changed("Service", "ServiceDeregistration", one, List.of(String.valueOf(one.get("ServiceName"))));
        }
    }

    /** Sets a field of an allocation, such as DesiredStatus or ClientStatus. */
    public synchronized void allocationField(String id, String field, Object value) {
        Map<String, Object> allocation = new LinkedHashMap<>(allocations.get(id));
        allocation.put(field, value);
        allocations.put(id, allocation);
        changed("Allocation", "AllocationUpdated", allocation, List.of(String.valueOf(allocation.get("JobID"))));
    }

    /** Sets a field of a node, such as SchedulingEligibility, DrainStrategy or Status. */
    public synchronized void nodeField(String id, String field, Object value) {
        Map<String, Object> node = new LinkedHashMap<>(nodes.get(id));
        node.put(field, value);
        nodes.put(id, node);
        changed("Node", "NodeEvent", node, List.of());
    }

    /** Sets the result of an allocation's check: success, failure or pending. */
    public synchronized void check(String allocation, String name, String status) {
        checks.computeIfAbsent(allocation, fresh -> new LinkedHashMap<>())
                .put("check-" + name, Map.of("Check", name, "Status", status, "Mode", "healthiness", "Service", ""));
    }

    private void changed(String topic, String type, Map<String, Object> payload, List<String> keys) {
        index++;
        payload.put("ModifyIndex", index);
        String key = String.valueOf(payload.get("ID"));
        String line = JsonText.of(Map.of(
                "Index",
                index,
                "Events",
                List.of(Map.of(
                        "Topic",
                        topic,
                        "Type",
                        type,
                        "Key",
                        key,
                        "FilterKeys",
                        keys,
                        "Index",
                        index,
                        "Payload",
                        Map.of(topic, payload)))));
        events.add(new Event(index, topic, key, keys, line));
        if (events.size() > MAX_EVENTS) {
            events.remove(0);
        }
        if (topic.equals("Service")) {
            past.add(new Listing(serviceIndex, List.copyOf(registrations.values())));
            if (past.size() > MAX_PAST_LISTINGS) {
                past.remove(0);
            }
            serviceIndex = index;
        }
        notifyAll();
    }

    // ---- Queries ----

    /** Waits until the index of the lists is above an index, or until a timeout. */
    synchronized void await(long after, long waitMs) throws InterruptedException {
        long untilNs = System.nanoTime() + waitMs * 1_000_000;
        while (after > 0 && serviceIndex <= after) {
            long leftMs = (untilNs - System.nanoTime()) / 1_000_000;
            if (leftMs <= 0) {
                break;
            }
            wait(leftMs);
        }
    }

    /** Returns the current registrations of a service. */
    public synchronized Listing list(String service) {
        return new Listing(serviceIndex, of(service, registrations.values()));
    }

    /** Returns the registrations of a service some changes ago; the current ones if there was no change. */
    synchronized Listing older(String service, int changes) {
        if (past.isEmpty()) {
            return list(service);
        }
        Listing was = past.get(Math.max(0, past.size() - changes));
        return new Listing(was.index(), of(service, was.registrations()));
    }

    private static List<Map<String, Object>> of(String service, Iterable<Map<String, Object>> all) {
        List<Map<String, Object>> list = new ArrayList<>();
        all.forEach(each -> {
            if (service.equals(each.get("ServiceName"))) {
                list.add(each);
            }
        });
        return list;
    }

    /** Returns the events from an index on; waits for a change, at most until a timeout, if there are none. */
    synchronized List<Event> events(long from, long waitMs) throws InterruptedException {
        if (events.isEmpty() || events.get(events.size() - 1).index() < from) {
            wait(Math.max(1, waitMs));
        }
        return events(from);
    }

    /** Returns the events from an index on. */
    public synchronized List<Event> events(long from) {
        int first = events.size();
        while (first > 0 && events.get(first - 1).index() >= from) {
            first--;
        }
        return List.copyOf(events.subList(first, events.size()));
    }

    synchronized Map<String, Object> allocation(String id) {
        return allocations.get(id);
    }

    synchronized Map<String, Object> node(String id) {
        return nodes.get(id);
    }

    synchronized Map<String, Object> checks(String allocation) {
        return new LinkedHashMap<>(checks.getOrDefault(allocation, Map.of()));
    }

    /** Returns whether a node exists. */
    public synchronized boolean knowsNode(String id) {
        return nodes.containsKey(id);
    }

    /** Returns the index of the next change. */
    public synchronized long nextIndex() {
        return index + 1;
    }

    // ---- Compound changes ----

    /** Drains a node as Nomad does: marks the node, stops its allocations, then removes their registrations. */
    public void drain(String node, long deregisterAfterMs) throws InterruptedException {
        nodeField(node, "DrainStrategy", Map.of("Deadline", 3_600_000_000_000L));
        List<String> on = new ArrayList<>();
        synchronized (this) {
            allocations.forEach((id, each) -> {
                if (node.equals(each.get("NodeID")) && "run".equals(each.get("DesiredStatus"))) {
                    on.add(id);
                }
            });
        }
        for (String id : on) {
            allocationField(id, "DesiredStatus", "stop");
        }
        if (deregisterAfterMs > 0) {
            Thread.sleep(deregisterAfterMs);
        }
        on.forEach(this::deregisterAllOf);
    }

    /** Removes all registrations of an allocation. */
    public void deregisterAllOf(String allocation) {
        List<String> ids = new ArrayList<>();
        synchronized (this) {
            registrations.forEach((id, each) -> {
                if (allocation.equals(each.get("AllocID"))) {
                    ids.add(id);
                }
            });
        }
        ids.forEach(this::deregister);
    }
}
