package peppergauge.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.membership.DecisionReason.Kind;
import peppergauge.request.EndpointUpdate;
import peppergauge.request.EndpointUpdate.EndpointAddress;

/**
 * The merged endpoint list as published, with one server per address and one address per server. An {@link Edit}
 * changes it and collects the changes to publish. All times in milliseconds.
 */
final class EndpointTable {

    private final MembershipConfig config;
    private final FlapDetector flapDetector;
    /** Entries by address. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** Address by server id. */
    private final Map<String, String> addresses = new HashMap<>();

    private long version;

    /** A published server. */
    static final class Entry {

        private Endpoint endpoint;
        private final String address;
        /** Source that the server id is from; another source's id for the same address is not a new server. */
        private final String idSource;
        /** Time since which no source lists the server; NaN while a source lists it. */
        private double departedMs = Double.NaN;

        private Entry(Endpoint endpoint, String address, String idSource) {
            this.endpoint = endpoint;
            this.address = address;
            this.idSource = idSource;
        }

        String server() {
            return endpoint.server();
        }

        String address() {
            return address;
        }

        boolean isReady() {
            return endpoint.state() == EndpointState.READY;
        }

        private boolean isListed() {
            return Double.isNaN(departedMs);
        }
    }

    EndpointTable(MembershipConfig config, FlapDetector flapDetector) {
        this.config = config;
        this.flapDetector = flapDetector;
    }

    /** Adds endpoints known at startup; a later one replaces an earlier one with the same id or address. */
    void seed(List<EndpointAddress> endpoints) {
        for (EndpointAddress each : endpoints) {
            if (each.endpoint().state() != EndpointState.REMOVED) {
                Entry replaced = entries.put(each.address(), new Entry(each.endpoint(), each.address(), ""));
                if (replaced != null) {
                    addresses.remove(replaced.server());
                }
                String previousAddress = addresses.put(each.endpoint().server(), each.address());
                if (previousAddress != null) {
                    entries.remove(previousAddress);
                }
            }
        }
    }

    /** Returns a copy of the entries, so that an edit may change the table during iteration. */
    List<Entry> entries() {
        return List.copyOf(entries.values());
    }

    /** Returns the servers that at least one source lists. */
    Collection<ReportedEndpoint> listed() {
        return entries.values().stream()
                .filter(Entry::isListed)
                .map(each ->
                        new ReportedEndpoint(each.endpoint, each.address, ReportedStatus.of(each.endpoint.state()), ""))
                .toList();
    }

    /** Returns whether the server at this address is published as ready. */
    boolean isReady(String address) {
        Entry entry = entries.get(address);
        return entry != null && entry.isReady();
    }

    /** Returns the complete list. */
    EndpointUpdate snapshot() {
        return new EndpointUpdate(
                version,
                true,
                entries.values().stream()
                        .map(each -> new EndpointAddress(each.endpoint, each.address))
                        .toList());
    }

    /** Returns whether entries and addresses agree and no removed server is listed. */
    boolean isConsistent() {
        return entries.size() == addresses.size()
                && entries.entrySet().stream().allMatch(each -> isIndexed(each.getKey(), each.getValue()));
    }

    private boolean isIndexed(String address, Entry entry) {
        return address.equals(entry.address)
                && address.equals(addresses.get(entry.server()))
                && entry.endpoint.state() != EndpointState.REMOVED;
    }

    /** Starts a set of changes. */
    Edit edit(double nowMs, DecisionReasons reasons) {
        return new Edit(nowMs, reasons);
    }

    @Override
    public String toString() {
        return "by id " + addresses + ", by address " + snapshot();
    }

    /** One set of changes to the table. */
    final class Edit {

        private final double nowMs;
        private final DecisionReasons reasons;
        /** Changed endpoints by server id. */
        private final Map<String, EndpointAddress> changed = new LinkedHashMap<>();

        private Edit(double nowMs, DecisionReasons reasons) {
            this.nowMs = nowMs;
            this.reasons = reasons;
        }

        /** Adds or updates a server that a source lists. */
        void list(Candidate candidate, boolean isReady) {
            ReportedEndpoint reported = candidate.reported();
            Entry present = entries.get(reported.address());
            if (present != null && !present.server().equals(reported.server())) {
                if (!candidate.source().equals(present.idSource) && present.isListed()) {
                    reported = reported.withServer(present.server());
                } else {
                    remove(present, "another server is at its address");
                    present = null;
                }
            }
            Endpoint endpoint =
                    ReportedEndpoint.with(reported.endpoint(), isReady ? EndpointState.READY : EndpointState.DRAINING);
            if (present == null) {
                add(candidate, endpoint);
            } else {
                update(present, candidate, endpoint);
            }
        }

        private void add(Candidate candidate, Endpoint endpoint) {
            String address = candidate.address();
            String previousAddress = addresses.put(candidate.server(), address);
            if (previousAddress != null) {
                // The server moved: one id must not be listed twice.
                entries.remove(previousAddress);
            }
            entries.put(address, new Entry(endpoint, address, candidate.source()));
            boolean isReady = endpoint.state() == EndpointState.READY;
            reasons.add(
                    Kind.NEW,
                    candidate.source(),
                    candidate.server(),
                    "at " + address + (isReady ? "" : ", not ready: " + candidate.describeStatus()));
            changed.put(candidate.server(), new EndpointAddress(endpoint, address));
        }

        private void update(Entry entry, Candidate candidate, Endpoint endpoint) {
            entry.departedMs = Double.NaN;
            if (endpoint.equals(entry.endpoint)) {
                return;
            }
            if (entry.isReady() && endpoint.state() != EndpointState.READY) {
                flapDetector.onDeparture(entry.address, nowMs);
                reasons.add(Kind.LEAVING, candidate.source(), endpoint.server(), candidate.describeStatus());
            }
            publish(entry, endpoint);
        }

        /** Publishes an entry as ready again, although no source lists it. */
        void reinstate(Entry entry) {
            if (!entry.isReady()) {
                entry.departedMs = Double.NaN;
                publish(entry, ReportedEndpoint.with(entry.endpoint, EndpointState.READY));
            }
        }

        /** Drains an entry that no source lists, and removes it after the removal delay. */
        void depart(Entry entry) {
            if (entry.isListed()) {
                entry.departedMs = nowMs;
                if (entry.isReady()) {
                    publish(entry, ReportedEndpoint.with(entry.endpoint, EndpointState.DRAINING));
                    flapDetector.onDeparture(entry.address, nowMs);
                    reasons.add(Kind.LEAVING, "", entry.server(), "no source lists it");
                }
            }
            if (nowMs - entry.departedMs >= config.removalDelayMs()) {
                remove(entry, "it left " + (long) (nowMs - entry.departedMs) + " ms ago");
            }
        }

        private void publish(Entry entry, Endpoint endpoint) {
            entry.endpoint = endpoint;
            changed.put(endpoint.server(), new EndpointAddress(endpoint, entry.address));
        }

        private void remove(Entry entry, String reason) {
            entries.remove(entry.address);
            addresses.remove(entry.server());
            changed.put(
                    entry.server(),
                    new EndpointAddress(ReportedEndpoint.with(entry.endpoint, EndpointState.REMOVED), entry.address));
            reasons.add(Kind.GONE, "", entry.server(), reason);
        }

        /** Returns the update to publish; empty if nothing changed. */
        Optional<EndpointUpdate> commit() {
            return changed.isEmpty()
                    ? Optional.empty()
                    : Optional.of(new EndpointUpdate(++version, false, new ArrayList<>(changed.values())));
        }
    }
}
