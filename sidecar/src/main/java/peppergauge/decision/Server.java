package peppergauge.decision;

import java.util.ArrayList;
import java.util.List;

/** What is known of one server. Holds state only; each group of fields belongs to the mechanism that is named. */
final class Server {

    final String id;
    final int zone;
    final int cell;

    // ServerRegistry
    /** Sort key that differs at each instance; set once. */
    long affinity;

    MachineKindStats kindStats;
    boolean isListed;
    boolean isDraining;
    /** Whether the endpoint list permits attempts. */
    boolean isUsable;

    double startedMs;

    // Attempts
    /** Own attempts that have neither ended nor begun to stream a response, the oldest first. */
    final List<Request.Attempt> openAttempts = new ArrayList<>(4);

    /** When the server last ended an attempt in a way that shows that it is there. */
    double lastResponseMs;

    /** Send time of the newest attempt that succeeded. */
    double newestAnsweredSendMs;

    /** When the oldest of a run of open attempts was sent. */
    double busySinceMs;

    // OutlierDetection
    /** Outcomes other than errors, with failures as 1 and rejections as 0.5. */
    final DecayingAverage failures = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    final DecayingAverage errors = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);
    final DecayingAverage recentErrors = new DecayingAverage(DecayingAverage.SHORT_HALF_LIFE_MS);
    int consecutiveFailures;
    double ejectedUntilMs;
    /** Share of attempts that are expected to succeed, over 0. */
    double successScore;

    /** Success score times the latency factor, 0 to 1. */
    double condition;

    // LatencyEstimator
    /** Latency of a mean request at this server when idle, ms. */
    final DecayingAverage idleLatency = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** Latency of a mean request, converted to that of a warm server, ms. */
    final DecayingAverage warmLatency = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    final DecayingAverage inFlightAtSend = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);
    /** Reported service time, converted to that of a warm server, ms. */
    final DecayingAverage reportedServiceTime = new DecayingAverage(DecayingAverage.HALF_LIFE_MS);

    /** Least mean idle latency, the network included, ms; infinite while unknown. */
    double unloadedMs = Double.POSITIVE_INFINITY;

    double unloadedUpdatedMs;
    /** Estimated latency of a mean request when idle, ms. */
    double idleLatencyMs = 1;

    /** Expected latency of a mean request at the present load, ms. */
    double expectedLatencyMs;

    // LoadEstimator
    /** Other instances' requests in flight, as last reported. */
    double reportedOthersInFlight;

    double reportedMs = Double.NEGATIVE_INFINITY;
    /** Own attempts in flight, without those that are taken for lost. */
    int ownInFlight;

    /** Own and reported requests in flight, without those that are only assumed. */
    double knownInFlight;

    /** Estimate of all requests in flight. */
    double inFlight;

    // ServerWeights
    /** Weight factor for requests in flight, over 0 to 1. */
    double loadFactor;

    /** Whether the server may take the request at hand. */
    boolean isEligible;

    // ConcurrencyLimiter
    /** Own attempts in flight that the server may have. */
    double concurrencyLimit;

    // SlowStart
    /** Share of full capacity, over 0 to 1. */
    double capacity = 1;

    /** Share of requests that may use the server while it warms up, and where this share begins. */
    double warmUpShare;

    double warmUpShareStart;

    Server(String id, int zone, int cell) {
        this.id = id;
        this.zone = zone;
        this.cell = cell;
    }

    /** Forgets what was learned of the server's former process. */
    void restart(double atMs) {
        startedMs = atMs;
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

    /** How long the server has been silent while it had own attempts open, ms; 0 without open attempts. */
    double silenceMs(double nowMs) {
        return openAttempts.isEmpty() ? 0 : nowMs - Math.max(lastResponseMs, busySinceMs);
    }
}
