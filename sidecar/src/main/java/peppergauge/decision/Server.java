package peppergauge.decision;

import java.util.ArrayList;
import java.util.List;

/** What is known of a server: facts only, the decisions are in {@code AdaptiveLoadBalancer}. */
final class Server {

    final String id;
    final int zone;
    final int cell;
    final Decaying latency = new Decaying(AdaptiveLoadBalancer.HALF_LIFE_MS);
    final Decaying warmLatency = new Decaying(AdaptiveLoadBalancer.HALF_LIFE_MS);
    final Decaying outcomes = new Decaying(AdaptiveLoadBalancer.HALF_LIFE_MS),
            errors = new Decaying(AdaptiveLoadBalancer.HALF_LIFE_MS);
    final Decaying lately = new Decaying(AdaptiveLoadBalancer.LATELY_MS);
    final Decaying flights = new Decaying(AdaptiveLoadBalancer.HALF_LIFE_MS);
    /** Its own service times as reported, as if it were warm. */
    final Decaying told = new Decaying(AdaptiveLoadBalancer.HALF_LIFE_MS);

    AdaptiveLoadBalancer.Kind kind;
    long affinity;
    boolean inList, draining, usable;
    double startedMs, lastHeardMs, lastAnsweredSentMs, busySinceMs, restUntilMs;
    /** Own attempts that have not ended, the oldest first. */
    final List<Request.Attempt> out = new ArrayList<>(4);

    int streak, live;
    /** Least mean latency of a request at this server when idle, its way included; infinite while unknown. */
    double unloadedMs = Double.POSITIVE_INFINITY;

    double unloadedAtMs;
    /** Others' requests in flight, as last reported. */
    double reportedOthers;

    double reportedAtMs = Double.NEGATIVE_INFINITY;
    /** As last weighed. */
    double unitMs = 1, capacity = 1, inFlight, expectedMs, condition, load, sound, flightLimit;

    boolean open;
    /** Where its lots begin while it is cold, in shares of requests before it, and how many it has; as last weighed. */
    double lotFrom, lotShare;

    Server(String id, int zone, int cell) {
        this.id = id;
        this.zone = zone;
        this.cell = cell;
    }

    void restart(double atMs) {
        startedMs = atMs;
        latency.clear();
        unloadedMs = Double.POSITIVE_INFINITY;
        flights.clear();
        warmLatency.clear();
        outcomes.clear();
        errors.clear();
        lately.clear();
        told.clear();
        streak = 0;
        restUntilMs = 0;
        reportedOthers = 0;
    }

    /** Finaliser of SplitMix64. */
    static long mix(long bits) {
        long z = (bits ^ bits >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
