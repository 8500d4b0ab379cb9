package peppergauge.decision;

import java.util.ArrayList;
import java.util.List;

/** State of one server. Each group of fields belongs to the class that is named above it. */
final class Server {

    final String id;
    final int zone;
    final int cell;

    // ServerRegistry
    /** Sort key, different at each instance. */
    long affinity;

    MachineKindStats kindStats;
    boolean isListed;
    boolean isDraining;
    /** Whether the endpoint list permits attempts. */
    boolean isUsable;

    double startedMs;

    // AdaptiveLoadBalancer and ConcurrencyLimiter
    /** This instance's attempts that have neither ended nor begun to stream a response, oldest first. */
    final List<Request.Attempt> openAttempts = new ArrayList<>(4);

    /** Time of the last end of an attempt that shows that the server is reachable, ms. */
    double lastResponseMs;

    /** Send time of the newest attempt that succeeded, ms. */
    double newestSuccessfulSendMs;

    /** Time since which the server has had open attempts without interruption, ms. */
    double busySinceMs;

    // OutlierDetection
    /** Outcomes other than error responses, with 1 for a failure and 0.5 for a rejection. */
    final DecayingAverage failures = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    final DecayingAverage errors = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);
    final DecayingAverage recentErrors = new DecayingAverage(DecayingAverage.SHORT_HALF_LIFE_MS);
    int consecutiveFailures;
    double ejectedUntilMs;
    /** Share of attempts that are expected to succeed, over 0 to 1. */
    double successScore;

    /** Success score times the ratio of the mean idle latency to the server's, at most 1. */
    double relativeHealth;

    // LatencyEstimator
    /** Measured latency of a mean request at this server when idle, ms. */
    final DecayingAverage idleLatency = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** Latency of a mean request, converted to that of a warm server, ms. */
    final DecayingAverage warmLatency = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    final DecayingAverage inFlightAtSend = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);
    /** Reported service time, converted to that of a warm server, ms. */
    final DecayingAverage reportedServiceTime = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** Lowest mean idle latency including the network, ms; infinite while unknown. */
    double unloadedMs = Double.POSITIVE_INFINITY;

    double unloadedUpdatedMs;
    /** Estimated latency of a mean request at this server when idle, ms. */
    double idleLatencyMs = 1;

    /** Expected latency of a mean request at the server's current load, ms. */
    double expectedLatencyMs;

    // LoadEstimator
    /** Other instances' requests in flight by the last load report. */
    double reportedOthersInFlight;

    double reportedMs = Double.NEGATIVE_INFINITY;
    /** This instance's attempts in flight, without those that count as lost. */
    int ownInFlight;

    /** Requests in flight of this instance and by load reports, without estimates for missing reports. */
    double knownInFlight;

    /** Estimated requests in flight of all instances. */
    double inFlight;

    // ServerWeights
    /** Weight factor for requests in flight, over 0 to 1. */
    double loadFactor;

    /** Whether the server may get the request that is being selected for. */
    boolean isEligible;

    // ConcurrencyLimiter
    /** Maximum number of this instance's attempts in flight at the server. */
    double concurrencyLimit;

    // SlowStart
    /** Share of full capacity, over 0 to 1. */
    double capacity = 1;

    /** Share of requests that may be sent to the server while it warms up. */
    double warmUpShare;

    /** Sum of the warm-up shares assigned before this server's; divided by the sum of all, the start of its range. */
    double warmUpShareStart;

    Server(String id, int zone, int cell) {
        this.id = id;
        this.zone = zone;
        this.cell = cell;
    }

    /** Clears the statistics of the server's former process. */
    void restart(double restartedMs) {
        startedMs = restartedMs;
        idleLatency.clear();
        unloadedMs = Double.POSITIVE_INFINITY;
        inFlightAtSend.clear();
        warmLatency.clear();
        failures.clear();
        errors.clear();
        recentErrors.clear();
        reportedServiceTime.clear();
        consecutiveFailures = 0;
        ejectedUntilMs = 0;
        reportedOthersInFlight = 0;
    }

    /** Time that the server has sent no response while attempts were open, ms; 0 without open attempts. */
    double silenceMs(double nowMs) {
        return openAttempts.isEmpty() ? 0 : nowMs - Math.max(lastResponseMs, busySinceMs);
    }
}
