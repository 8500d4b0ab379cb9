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
 * The merged endpoint list as published: one server at an address and one address for a server. It is changed by
 * {@link Edit}s, which collect what to publish. All times in milliseconds.
 */
final class EndpointTable {

    private final MembershipConfig config;
    private final FlapDetector flapDetector;
    /** By address. */
    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /** Address by server id. */
    private final Map<String, String> addresses = new HashMap<>();

    private long version;

    /** A published server. */
    static final class Entry {

        private Endpoint endpoint;
        private final String address;
        /** Source whose id the server has; another source's id for the same address does not make it a new server. */
        private final String namedBy;
        /** When no source listed it any more; NaN while one does. */
        private double departedMs = Double.NaN;

        private Entry(Endpoint endpoint, String address, String namedBy) {
            this.endpoint = endpoint;
            this.address = address;
            this.namedBy = namedBy;
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

    /** Adds endpoints that are known from before; a later one replaces an earlier one of its id or address. */
    void seed(List<EndpointAddress> endpoints) {
        for (EndpointAddress each : endpoints) {
            if (each.endpoint().state() != EndpointState.REMOVED) {
                Entry replaced = entries.put(each.address(), new Entry(each.endpoint(), each.address(), ""));
                if (replaced != null) {
                    addresses.remove(replaced.server());
                }
                String elsewhere = addresses.put(each.endpoint().server(), each.address());
                if (elsewhere != null) {
                    entries.remove(elsewhere);
                }
            }
        }
    }

    /** Returns the entries; a copy, so that an edit may go on meanwhile. */
    List<Entry> entries() {
        return List.copyOf(entries.values());
    }

    /** Returns the servers that a source lists. */
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
        /** By server id. */
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
                if (!candidate.source().equals(present.namedBy) && present.isListed()) {
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
            String elsewhere = addresses.put(candidate.server(), address);
            if (elsewhere != null) {
                // The server moved: one id must not be listed twice.
                entries.remove(elsewhere);
            }
            entries.put(address, new Entry(endpoint, address, candidate.source()));
            boolean isReady = endpoint.state() == EndpointState.READY;
            reasons.add(
                    Kind.NEW,
                    candidate.source(),
                    candidate.server(),
                    "at " + address + (isReady ? "" : ", not to be asked: " + candidate.describeStatus()));
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

        /** Publishes an entry that no source lists as ready again. */
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

        private void remove(Entry entry, String why) {
            entries.remove(entry.address);
            addresses.remove(entry.server());
            changed.put(
                    entry.server(),
                    new EndpointAddress(ReportedEndpoint.with(entry.endpoint, EndpointState.REMOVED), entry.address));
            reasons.add(Kind.GONE, "", entry.server(), why);
        }

        /** Returns the update to publish; empty if nothing changed. */
        Optional<EndpointUpdate> commit() {
            return changed.isEmpty()
                    ? Optional.empty()
                    : Optional.of(new EndpointUpdate(++version, false, new ArrayList<>(changed.values())));
        }
    }
}
