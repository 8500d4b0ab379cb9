package peppergauge.decision;

import java.util.ArrayList;
import java.util.List;
import peppergauge.decision.LoadBalancer.Settings;

/**
 * The servers that this instance uses: all or, if connections are costly, the first ones in the order of its affinity.
 *
 * <p>The target size grows with the requests in flight, but not under congestion. Members that fail, are silent or have
 * just started do not count towards it, so that other servers replace them, up to twice the target size.
 */
final class ServerSubset {

    /** Lowest target size, in servers. */
    private static final int MIN_MEMBERS = 8;

    /** Additional members for each request of this instance in flight. */
    private static final double MEMBERS_PER_REQUEST = 4;

    /** Upper bound of the subset's size, as a multiple of the target size. */
    private static final double MAX_SIZE_MULTIPLE = 2;

    /** A member counts towards the target size above this share of its full capacity. */
    private static final double MIN_MEMBER_CAPACITY = 0.5;

    /** Number of instances per server above which one instance's requests say little about the server's load. */
    private static final double MANY_INSTANCES_PER_SERVER = 10;

    private final Settings settings;
    private final ServerRegistry registry;
    private final ArrivalRate arrivalRate;
    private final LatencyEstimator latency;
    private final SlowStart slowStart;
    private final List<Server> members = new ArrayList<>();
    private double targetSize;
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

    /** The members as of the last {@link #refresh}; the list is reused by the next one. */
    List<Server> members() {
        return members;
    }

    int size() {
        return members.size();
    }

    /** Whether some usable servers are not members; only possible if connections are costly. */
    boolean isPartial() {
        return isPartial;
    }

    /** Whether so many instances share a server that this instance's requests say little about its load. */
    boolean isSharedByMany() {
        int servers = registry.size();
        return settings.instances() * Math.min(targetSize, servers) > MANY_INSTANCES_PER_SERVER * servers;
    }

    /** Selects the members again. */
    void refresh(double nowMs) {
        members.clear();
        double missing = Double.POSITIVE_INFINITY;
        double maxSize = Double.POSITIVE_INFINITY;
        if (settings.limits().costlyConnections()) {
            updateTargetSize(nowMs);
            missing = targetSize;
            maxSize = MAX_SIZE_MULTIPLE * targetSize;
        }
        isPartial = false;
        for (Server server : registry.byAffinity()) {
            isPartial |= server.isUsable && (missing < 1 || members.size() >= maxSize);
            if (missing >= 1 && members.size() < maxSize && server.isUsable) {
                members.add(server);
                missing -= countsAsMember(server, nowMs) ? 1 : 0;
            }
        }
    }

    private void updateTargetSize(double nowMs) {
        double idleMs = Math.min(latency.unloadedMs(), latency.meanIdleMs(nowMs));
        double inFlight = arrivalRate.steadyPerMs(nowMs) * idleMs;
        double size = MIN_MEMBERS + Math.floor(MEMBERS_PER_REQUEST * inFlight);
        if (targetSize == 0 || latency.congestionFactor(isSharedByMany(), nowMs) >= 1) {
            targetSize = Math.max(targetSize, size);
        }
    }

    private boolean countsAsMember(Server server, double nowMs) {
        boolean isSilent = latency.isSilent(server, nowMs);
        return server.consecutiveFailures == 0 && !isSilent && slowStart.capacity(server, nowMs) > MIN_MEMBER_CAPACITY;
    }
}
