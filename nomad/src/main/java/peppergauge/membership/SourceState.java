package peppergauge.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import peppergauge.membership.DecisionReason.Kind;

/**
 * Servers of one source according to its accepted reports. New, draining and stopped servers are accepted at once; a
 * large loss only when it is confirmed. All times in milliseconds.
 */
final class SourceState {

    private static final double NOT_SILENT = -1;

    private final String name;
    private final MembershipConfig config;
    private final VersionTracker versions;
    /** Servers by address; a new server at an address replaces the previous one. */
    private final Map<String, SourceServer> servers = new LinkedHashMap<>();

    /** Address by server id. */
    private final Map<String, String> addresses = new LinkedHashMap<>();

    private final DepartedServers departed = new DepartedServers();
    private boolean hasReported;
    private boolean isConfirmationPending;
    /** Time since which the source does not respond; NaN while it responds. */
    private double silentSinceMs = Double.NaN;

    /** A server of this source. */
    private static final class SourceServer {

        private final double listedSinceMs;
        private ReportedEndpoint reported;
        /** Number of consecutive authoritative lists without this server. */
        private int missedLists;

        private double missingSinceMs;
        private boolean needsConfirmation;

        SourceServer(ReportedEndpoint reported, double listedSinceMs) {
            this.reported = reported;
            this.listedSinceMs = listedSinceMs;
        }

        boolean isDraining() {
            return reported.status() == ReportedStatus.DRAINING;
        }
    }

    /**
     * Servers that are missing from a list.
     *
     * @param addresses addresses of all missing servers
     * @param unexpected number of missing servers that were not draining
     * @param expected number of servers before the list that were not draining
     */
    private record Missing(List<String> addresses, int unexpected, long expected) {}

    SourceState(String name, MembershipConfig config) {
        this.name = name;
        this.config = config;
        versions = new VersionTracker(name, config);
    }

    String name() {
        return name;
    }

    /** Returns whether a report of this source was ever accepted. */
    boolean hasReported() {
        return hasReported;
    }

    /** Returns whether the source has a server that is not draining. */
    boolean hasActiveServer() {
        return servers.values().stream().anyMatch(each -> !each.isDraining());
    }

    /** Returns whether a loss or an older list awaits confirmation. */
    boolean isConfirmationPending() {
        return isConfirmationPending;
    }

    /** Returns for how long the source has not responded; negative if it responds. */
    double silentForMs(double nowMs) {
        return Double.isNaN(silentSinceMs) ? NOT_SILENT : nowMs - silentSinceMs;
    }

    /** Returns the servers that the source lists, as it last reported them. */
    Collection<ReportedEndpoint> servers() {
        return servers.values().stream().map(each -> each.reported).toList();
    }

    /**
     * Returns whether this source reported a server draining or stopped and does not list it any more, while another
     * source lists it under the same id, or has listed it at the same address since before the departure.
     */
    boolean hasDeparted(ReportedEndpoint reported, SourceState other) {
        return departed.contains(reported.server())
                || departed.hasDepartedFrom(reported.address(), other.servers.get(reported.address()).listedSinceMs);
    }

    /** Returns whether this source reported the server draining or stopped and does not list it any more. */
    boolean hasDeparted(String id) {
        return departed.contains(id);
    }

    // ---- Updates of the source ----

    /** Processes that the source does not respond. */
    void onLost(double nowMs, DecisionReasons reasons) {
        if (Double.isNaN(silentSinceMs)) {
            silentSinceMs = nowMs;
            reasons.add(Kind.SOURCE, name, "", "silent; its " + servers.size() + " servers are kept");
        }
    }

    /** Processes that the source responds. */
    void onAlive(double nowMs, DecisionReasons reasons) {
        if (!Double.isNaN(silentSinceMs)) {
            reasons.add(Kind.SOURCE, name, "", "responds again after " + (long) (nowMs - silentSinceMs) + " ms");
            silentSinceMs = Double.NaN;
        }
    }

    /**
     * Processes changes of single servers.
     *
     * @param published the merged list, which a source that reports for the first time starts with
     */
    void onChanges(double nowMs, SourceUpdate.Changes changes, Collection<ReportedEndpoint> published) {
        adoptPublished(published, nowMs);
        versions.advanceTo(changes.version());
        for (ReportedEndpoint reported : changes.servers()) {
            if (reported.status() == ReportedStatus.DRAINING) {
                applyDraining(reported, nowMs);
            } else {
                apply(reported, nowMs);
            }
        }
        hasReported |= !servers.isEmpty();
        assert isConsistent() : name + "'s servers by address and by id differ: " + addresses;
    }

    /**
     * Processes a complete list.
     *
     * @param published the merged list, which a source that reports for the first time starts with
     * @return whether the list was accepted
     */
    boolean onCompleteList(
            double nowMs,
            SourceUpdate.CompleteList list,
            Collection<ReportedEndpoint> published,
            DecisionReasons reasons) {
        if (!versions.accept(list.version(), nowMs, reasons)) {
            // Draining servers of an older list are accepted, because it is safe to send them no new requests.
            list.servers().stream()
                    .filter(reported -> reported.status() == ReportedStatus.DRAINING)
                    .forEach(reported -> applyDraining(reported, nowMs));
            isConfirmationPending = true;
            return false;
        }
        adoptPublished(published, nowMs);
        list.servers().forEach(reported -> apply(reported, nowMs));
        hasReported = true;
        processMissing(list, nowMs, reasons);
        assert isConsistent() : name + "'s servers by address and by id differ: " + addresses;
        return true;
    }

    /** Starts with the merged list, so that servers missing from the first report count as a loss. */
    private void adoptPublished(Collection<ReportedEndpoint> published, double nowMs) {
        if (!hasReported) {
            published.stream()
                    .filter(reported -> reported.status() == ReportedStatus.READY)
                    .forEach(reported -> apply(reported, nowMs));
        }
    }

    // ---- Servers ----

    private boolean isConsistent() {
        return servers.size() == addresses.size()
                && servers.entrySet().stream().allMatch(each -> isIndexed(each.getKey(), each.getValue().reported));
    }

    private boolean isIndexed(String address, ReportedEndpoint reported) {
        return address.equals(reported.address()) && address.equals(addresses.get(reported.server()));
    }

    /** Updates a listed server to draining; a server that is not listed counts as departed. */
    private void applyDraining(ReportedEndpoint reported, double nowMs) {
        SourceServer present = servers.get(reported.address());
        if (present != null && present.reported.server().equals(reported.server())) {
            apply(reported, nowMs);
        } else {
            departed.markDeparted(reported.server(), null, nowMs);
        }
    }

    /** Adds, updates or removes a server as reported; a new server replaces another one at its address. */
    private void apply(ReportedEndpoint reported, double nowMs) {
        String previousAddress = addresses.get(reported.server());
        if (reported.status() == ReportedStatus.STOPPED) {
            departed.markDeparted(reported.server(), previousAddress, nowMs);
            if (previousAddress != null
                    && servers.get(previousAddress).reported.server().equals(reported.server())) {
                remove(previousAddress, nowMs);
            }
            return;
        }
        if (previousAddress != null && !previousAddress.equals(reported.address())) {
            remove(previousAddress, nowMs);
        }
        departed.markListed(reported.server(), reported.address());
        SourceServer present = servers.get(reported.address());
        if (present != null && !present.reported.server().equals(reported.server())) {
            remove(reported.address(), nowMs);
            present = null;
        }
        if (present == null) {
            servers.put(reported.address(), new SourceServer(reported, nowMs));
            addresses.put(reported.server(), reported.address());
        } else {
            present.reported = reported;
            present.missedLists = 0;
            present.needsConfirmation = false;
        }
    }

    private void remove(String address, double nowMs) {
        SourceServer removed = servers.remove(address);
        addresses.remove(removed.reported.server());
        if (removed.isDraining()) {
            departed.markDeparted(removed.reported.server(), address, nowMs);
        }
    }

    // ---- Losses ----

    private void processMissing(SourceUpdate.CompleteList list, double nowMs, DecisionReasons reasons) {
        Missing missing = missingFrom(list);
        boolean isLargeLoss = isLargeLoss(missing, list.authoritative());
        if (isLargeLoss) {
            reasons.add(
                    Kind.UNCONFIRMED,
                    name,
                    "",
                    missing.unexpected() + " of " + missing.expected() + " servers are missing at once"
                            + (list.authoritative() ? "" : " from a list that is not authoritative")
                            + "; they stay until reported " + config.confirmations() + " times in "
                            + (long) config.confirmationMs() + " ms");
        }
        isConfirmationPending = false;
        List<String> lost = new ArrayList<>();
        for (String address : missing.addresses()) {
            SourceServer server = servers.get(address);
            if (server.isDraining() || isLossConfirmed(server, isLargeLoss, list.authoritative(), nowMs)) {
                lost.add(address);
            } else {
                isConfirmationPending = true;
            }
        }
        lost.forEach(address -> removeLost(address, nowMs, reasons));
    }

    private Missing missingFrom(SourceUpdate.CompleteList list) {
        Set<String> listed = new HashSet<>();
        list.servers().forEach(reported -> listed.add(reported.address()));
        List<String> missing = new ArrayList<>();
        int unexpected = 0;
        long expected = 0;
        for (Map.Entry<String, SourceServer> each : servers.entrySet()) {
            // A draining server is expected to disappear.
            boolean isDraining = each.getValue().isDraining();
            if (!listed.contains(each.getKey())) {
                missing.add(each.getKey());
                unexpected += isDraining ? 0 : 1;
            }
            expected += isDraining ? 0 : 1;
        }
        return new Missing(missing, unexpected, expected);
    }

    private boolean isLargeLoss(Missing missing, boolean authoritative) {
        return missing.unexpected() > 0
                && (!authoritative
                        || missing.unexpected() == missing.expected()
                        || missing.unexpected() > config.maxLossShare() * missing.expected());
    }

    private boolean isLossConfirmed(SourceServer server, boolean isLargeLoss, boolean authoritative, double nowMs) {
        if (server.missedLists == 0) {
            server.missingSinceMs = nowMs;
        }
        server.missedLists += authoritative ? 1 : 0;
        // The latest list decides: if its loss is small, losses of earlier lists need no confirmation either.
        server.needsConfirmation = isLargeLoss;
        return authoritative
                && (!server.needsConfirmation
                        || server.missedLists >= config.confirmations()
                                && nowMs - server.missingSinceMs >= config.confirmationMs());
    }

    private void removeLost(String address, double nowMs, DecisionReasons reasons) {
        SourceServer server = servers.get(address);
        if (server.needsConfirmation) {
            reasons.add(
                    Kind.CONFIRMED,
                    name,
                    server.reported.server(),
                    "missing from " + server.missedLists + " lists in " + (long) (nowMs - server.missingSinceMs)
                            + " ms");
        }
        remove(address, nowMs);
    }
}
