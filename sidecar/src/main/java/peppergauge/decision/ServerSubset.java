package peppergauge.decision;

import java.util.ArrayList;
import java.util.List;
import peppergauge.decision.LoadBalancer.Settings;

/**
 * The servers that this instance works with: all, or, where connections are costly, the first ones by its own affinity.
 *
 * <p>The number of members grows with the requests in flight, but not under congestion. Members that fail, are silent or have
 * just started don't count, so that further ones take their part; the subset ends at twice its size.
 */
final class ServerSubset {

    /** Least number of members. */
    private static final int MIN_MEMBERS = 8;

    /** Further members for each own request in flight. */
    private static final double MEMBERS_PER_REQUEST = 4;

    /** Largest subset, in wanted members. */
    private static final double MAX_MEMBERS_MULTIPLE = 2;

    /** A member counts from this share of its full capacity on. */
    private static final double MIN_MEMBER_CAPACITY = 0.5;

    /** Instances that share a server, from which on an instance's own figures say little of the server's load. */
    private static final double MANY_INSTANCES = 10;

    private final Settings settings;
    private final ServerRegistry registry;
    private final ArrivalRate arrivalRate;
    private final LatencyEstimator latency;
    private final SlowStart slowStart;
    private final List<Server> members = new ArrayList<>();
    private double wantedMembers;
    private boolean isPartial;

    ServerSubset(
            Settings settings,
            ServerRegistry registry,
            ArrivalRate arrivalRate,
            LatencyEstimator latency,
            SlowStart slowStart) {
        this.settings = settings;
        this.registry = registry;
        this.arrivalRate = arrivalRate;
        this.latency = latency;
        this.slowStart = slowStart;
    }

    /** The members as last chosen; valid until the next {@link #refresh}. */
    List<Server> members() {
        return members;
    }

    int size() {
        return members.size();
    }

    /** Whether there are usable servers that are no members. */
    boolean isPartial() {
        return isPartial;
    }

    /** Whether so many instances share a server that own figures say little of its load. */
    boolean isSharedByMany() {
        int servers = registry.size();
        return settings.instances() * Math.min(wantedMembers, servers) > MANY_INSTANCES * servers;
    }

    /** Chooses the members anew. */
    void refresh(double nowMs) {
        members.clear();
        double wanted = Double.POSITIVE_INFINITY;
        double most = wanted;
        if (settings.limits().costlyConnections()) {
            updateWantedMembers(nowMs);
            wanted = wantedMembers;
            most = MAX_MEMBERS_MULTIPLE * wantedMembers;
        }
        isPartial = false;
        for (Server server : registry.byAffinity()) {
            isPartial |= server.isUsable && (wanted < 1 || members.size() >= most);
            if (wanted >= 1 && members.size() < most && server.isUsable) {
                members.add(server);
                wanted -= countsAsMember(server, nowMs) ? 1 : 0;
            }
        }
    }

    private void updateWantedMembers(double nowMs) {
        double idleMs = Math.min(latency.unloadedMs(), latency.meanIdleMs(nowMs));
        double inFlight = arrivalRate.steadyPerMs(nowMs) * idleMs;
        double wanted = MIN_MEMBERS + Math.floor(MEMBERS_PER_REQUEST * inFlight);
        if (wantedMembers == 0 || latency.congestionFactor(isSharedByMany(), nowMs) >= 1) {
            wantedMembers = Math.max(wantedMembers, wanted);
        }
    }

    private boolean countsAsMember(Server server, double nowMs) {
        boolean isSilent = latency.isSilent(server, nowMs);
        return server.consecutiveFailures == 0 && !isSilent && slowStart.capacity(server, nowMs) > MIN_MEMBER_CAPACITY;
    }
}
