package peppergauge.fleet.service;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import peppergauge.fleet.http.HttpCaller;
import peppergauge.fleet.member.Member;
import peppergauge.fleet.member.Membership;
import peppergauge.fleet.state.ReportStore;
import peppergauge.fleet.state.ReportValidator;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.GossipRequest;
import peppergauge.fleet.wire.JsonCodec;
import peppergauge.log.Log;

/** Polls the other instances for changes, responds to their polls, and owns the membership. */
final class GossipWorker {

    /** Why a gossip request is rejected; the text goes into the response. */
    enum Rejection {
        OTHER_SITE("other-site"),
        UNKNOWN_INSTANCE("unknown-instance"),
        SAME_NUMBER("same-number");

        private final String text;

        Rejection(String text) {
            this.text = text;
        }

        String text() {
            return text;
        }
    }

    private static final int MAX_RESPONSE_BYTES = 32 << 20;
    /** Consecutive failures after which reports of an unreachable peer are requested from the other peers. */
    private static final int RELAY_AFTER_FAILURES = 3;

    private static final String PATH = "/fleet/v1/gossip";
    private static final Position START = new Position(0, 0, false);

    private final FleetServiceConfig settings;
    private final LongSupplier clock;
    private final MergeWorker merging;
    private final TablePublisher publisher;
    private final ReportValidator validator;
    /** Used by this worker's thread and the HTTP server's thread; guarded by its own monitor. */
    private final Membership membership;

    private final long started;
    private final HttpCaller caller;
    private final Map<String, Position> positions = new HashMap<>();
    /** Number of consecutive failed calls, by peer. */
    private final Map<String, Integer> consecutiveFailures = new HashMap<>();

    private long lastRoundMs;
    private volatile long failures;

    /** Position up to which a peer's changes were received. */
    private record Position(long started, long through, boolean more) {}

    /** @param started identifies this process, Unix ms */
    GossipWorker(
            FleetServiceConfig settings,
            LongSupplier clock,
            MergeWorker merging,
            TablePublisher publisher,
            ReportValidator validator,
            Membership membership,
            long started) {
        this.settings = settings;
        this.clock = clock;
        this.merging = merging;
        this.publisher = publisher;
        this.validator = validator;
        this.membership = membership;
        this.started = started;
        caller = new HttpCaller(settings.times().gossipIntervalMs(), MAX_RESPONSE_BYTES);
    }

    boolean step() {
        long now = clock.getAsLong();
        boolean due = Math.abs(now - lastRoundMs) >= settings.times().gossipIntervalMs();
        if (due) {
            lastRoundMs = now;
            synchronized (membership) {
                membership.updateStatus(now);
            }
        }
        boolean polled = false;
        for (FleetServiceConfig.Peer peer : settings.peers()) {
            Position position = positions.getOrDefault(peer.name(), START);
            if (due || position.more()) {
                poll(peer, position);
                polled = true;
            }
        }
        return polled;
    }

    private void poll(FleetServiceConfig.Peer peer, Position position) {
        try {
            HttpCaller.Response response = caller.call(peer.address(), PATH, JsonCodec.write(request(peer, position)));
            if (response.status() != 200) {
                throw new IOException("expected status 200 for a gossip request, got " + response.status());
            }
            onResponse(peer, position, JsonCodec.read(response.body(), GossipRequest.Response.class));
            consecutiveFailures.remove(peer.name());
        } catch (IOException | IllegalArgumentException failed) {
            failures++;
            if (consecutiveFailures.merge(peer.name(), 1, Integer::sum) == RELAY_AFTER_FAILURES) {
                // From now on the other peers relay its reports, so all of their changes are requested again.
                positions.clear();
            }
            positions.computeIfPresent(
                    peer.name(), (name, taken) -> new Position(taken.started(), taken.through(), false));
        }
    }

    private GossipRequest request(FleetServiceConfig.Peer to, Position position) {
        boolean includeRelayed = consecutiveFailures.entrySet().stream()
                .anyMatch(each -> !each.getKey().equals(to.name()) && each.getValue() >= RELAY_AFTER_FAILURES);
        synchronized (membership) {
            return new GossipRequest(
                    settings.site(),
                    settings.name(),
                    settings.number(),
                    membership.incarnation(),
                    membership.members(),
                    position.started(),
                    position.through(),
                    includeRelayed);
        }
    }

    private void onResponse(FleetServiceConfig.Peer peer, Position position, GossipRequest.Response response) {
        if (!peer.name().equals(response.from()) || response.reports() == null || response.members() == null) {
            throw new IllegalArgumentException("expected reports and members from " + peer.name() + " at "
                    + peer.address() + ", got a response from " + response.from());
        }
        long now = clock.getAsLong();
        List<DaemonReport> reports = new ArrayList<>(response.reports());
        reports.removeIf(report -> !validator.isMergeable(report, now));
        boolean accepted = reports.isEmpty() || merging.offer(new MergeWorker.ReportsReceived(reports, false));
        // If the inbox is full, the next poll requests the same changes again.
        positions.put(
                peer.name(),
                accepted
                        ? new Position(response.started(), response.through(), response.more())
                        : new Position(position.started(), position.through(), false));
        publisher.offer(new TablePublisher.PeerTable(response.version(), response.table()));
        synchronized (membership) {
            membership.onContact(response.from(), response.incarnation(), now);
            membership.merge(wellFormed(response.members()), now);
        }
    }

    /** Returns the response to another instance's request, with changes from the merge worker. */
    GossipRequest.Response respond(ReportStore.Changes changes) {
        synchronized (membership) {
            return new GossipRequest.Response(
                    settings.name(),
                    membership.incarnation(),
                    membership.members(),
                    started,
                    changes.through(),
                    changes.more(),
                    changes.reports(),
                    publisher.highestVersion(),
                    publisher.newerThan(0));
        }
    }

    /** Merges the membership view of an accepted request. Any thread. */
    void onRequest(GossipRequest request) {
        long now = clock.getAsLong();
        synchronized (membership) {
            membership.onContact(request.from(), request.incarnation(), now);
            membership.merge(wellFormed(request.members()), now);
        }
    }

    /** Returns why a request is rejected, null if it is accepted. Any thread. */
    Rejection rejectionOf(GossipRequest request) {
        boolean known = settings.peers().stream().anyMatch(peer -> peer.name().equals(request.from()));
        if (!settings.site().equals(request.site())) {
            return Rejection.OTHER_SITE;
        }
        if (!known || request.members() == null || request.incarnation() <= 0) {
            return Rejection.UNKNOWN_INSTANCE;
        }
        if (request.number() == settings.number()) {
            Log.event("fleet_duplicate_instance_number", "peer", request.from(), "number", request.number());
            return Rejection.SAME_NUMBER;
        }
        return null;
    }

    /** Returns the stamp that a request polls from, 0 if its position belongs to an earlier process. */
    long positionOf(GossipRequest request) {
        return request.sinceStart() == started ? Math.max(0, request.since()) : 0;
    }

    private static List<Member> wellFormed(List<Member> members) {
        return members.stream()
                .filter(member -> member != null
                        && member.name() != null
                        && member.standing() != null
                        && member.incarnation() >= 0)
                .toList();
    }

    /** Returns the status of all instances by name. Any thread. */
    Map<String, String> memberStatus() {
        synchronized (membership) {
            return membership.members().stream()
                    .collect(Collectors.toMap(
                            Member::name, member -> member.standing().name().toLowerCase(Locale.ROOT)));
        }
    }

    /** Returns whether this instance is the leader, which issues tables. Any thread. */
    boolean isLeader() {
        synchronized (membership) {
            return membership.isLeader();
        }
    }

    /** Leaves the membership and notifies all peers. To be called when this worker's thread has ended. */
    void leave() {
        synchronized (membership) {
            membership.leave(clock.getAsLong());
        }
        settings.peers().forEach(peer -> poll(peer, new Position(0, Long.MAX_VALUE, false)));
        caller.close();
    }

    long failures() {
        return failures;
    }
}
