package peppergauge.overload;

/**
 * Detects overload of this program by the queue delay of its event loop, and decides what is admitted, shed, evicted
 * and suspended. No I/O, no clock, no threads. Times are in ms and never go backwards.
 *
 * <p>In each round of the event loop: {@link #onSelectReturned}; the handling of sockets, which fills {@link #queue};
 * {@link #poll} until it returns null, with {@link #admit} for each new request; {@link #onRoundEnded}. One thread
 * only, except for {@link #acceptRateLimiter}.
 *
 * @param <C> the type of client connections
 * @param <T> the type of the event loop's tasks
 */
public final class OverloadController<C, T> {

    private final EventLoopLatency latency;
    private final StandingQueueDetector standingQueue;
    private final PriorityAdmission admission;
    private final RetryAfter retryAfter;
    private final ArrivalQueue<T> queue = new ArrivalQueue<>();
    private final ConnectionEvictionPolicy<C> connectionEviction = new ConnectionEvictionPolicy<>();
    private final AcceptRateLimiter acceptRateLimiter = new AcceptRateLimiter();
    private final BackgroundTasks backgroundTasks = new BackgroundTasks();
    private final double intervalMs;
    private double intervalStartMs = Double.NaN;
    private double minQueueDelayMs;

    /** Starts without overload. */
    public OverloadController(OverloadConfig config) {
        latency = new EventLoopLatency(config.selectIntervalMs(), config.slackMs());
        standingQueue = new StandingQueueDetector(config.targetDelayMs(), config.intervalMs());
        admission = new PriorityAdmission(config);
        retryAfter = new RetryAfter(config.mayAdviseRetryAfter() ? config.maxRetryAfterMs() : 0, config.seed());
        intervalMs = config.intervalMs();
    }

    /** Begins a round: its select has returned, with or without ready sockets. */
    public void onSelectReturned(double nowMs) {
        latency.onSelectReturned(nowMs);
        recordDelay(nowMs, latency.queueDelayMs());
    }

    /**
     * Ends a round; select is called next.
     *
     * @param hasRead whether anything was read in the round
     */
    public void onRoundEnded(double nowMs, boolean hasRead) {
        latency.onRoundEnded(nowMs, hasRead);
    }

    /** The earliest time at which the input of this round may have arrived. Deadlines are measured from it. */
    public double earliestArrivalMs() {
        return latency.earliestArrivalMs();
    }

    /** The most likely time at which the input of this round arrived. Latencies of servers are measured up to it. */
    public double likelyArrivalMs() {
        return latency.likelyArrivalMs();
    }

    /** By how many ms the select of this round exceeded its interval: the process was paused or throttled. */
    public double stalledMs() {
        return latency.stalledMs();
    }

    /** The tasks that wait for {@link #poll}; in the sidecar, new requests only. */
    public ArrivalQueue<T> queue() {
        return queue;
    }

    /** Removes and returns the next task, null if there is none; see {@link ArrivalQueue} for the order. */
    public T poll() {
        return queue.poll(standingQueue.isStanding());
    }

    /**
     * Decides whether a new request is admitted. To be called once for each new request, right before the load balancer
     * would handle it.
     *
     * @param nowMs the present time, not the start of the round
     * @throws IndexOutOfBoundsException if the configuration does not contain the request's class
     */
    public AdmissionDecision admit(double nowMs, AdmissionRequest request) {
        // The queue grows during a long round: this is CoDel's sample at the head of the queue.
        double queueDelayMs = nowMs - latency.earliestArrivalMs();
        recordDelay(nowMs, queueDelayMs);
        return admission.decide(nowMs, queueDelayMs, request);
    }

    /**
     * Records the latency of a served request.
     *
     * @param latencyMs the latency of the successful attempt, 0 or more, without the time spent waiting for a server
     */
    public void onResponse(double nowMs, double latencyMs) {
        admission.onServiceCompleted(nowMs, latencyMs);
    }

    /**
     * The delay after which a rejected client should retry, at most {@code maxRetryAfterMs}; 0 for no advice.
     *
     * @param remainingMs how long the client still waits, over all its retries
     */
    public double retryAfterMs(double nowMs, double remainingMs) {
        return retryAfter.delayMs(1 - admission.admittedShare(), remainingMs - admission.minServiceMs(nowMs));
    }

    /** Whether a background task may run at present. */
    public boolean isAllowed(double nowMs, BackgroundTask task) {
        return backgroundTasks.isAllowed(nowMs, task);
    }

    /** Selects the connection to close at the limit of connections, with or without overload. */
    public ConnectionEvictionPolicy<C> connectionEviction() {
        return connectionEviction;
    }

    /** Limits the rate of accepted connections. Thread-safe. */
    public AcceptRateLimiter acceptRateLimiter() {
        return acceptRateLimiter;
    }

    /** The share of new requests to be admitted while the queue delay is over its target, 0.02 to 1. */
    public double admittedShare() {
        return admission.admittedShare();
    }

    /** The minimum time that a request needs; one with less remaining time is not admitted, ms. */
    public double minServiceMs(double nowMs) {
        return admission.minServiceMs(nowMs);
    }

    /** The minimum queue delay of the last interval, ms. */
    public double minQueueDelayMs() {
        return minQueueDelayMs;
    }

    /** The present level of overload. */
    public OverloadLevel level() {
        if (admission.admittedShare() < 1) {
            return admission.admittedShare() < 0.5 ? OverloadLevel.SEVERE : OverloadLevel.SHEDDING;
        }
        return standingQueue.isStanding()
                ? OverloadLevel.STANDING_QUEUE
                : standingQueue.isAboveTarget() ? OverloadLevel.TRANSIENT_QUEUE : OverloadLevel.NONE;
    }

    private void recordDelay(double nowMs, double queueDelayMs) {
        boolean wasStanding = standingQueue.isStanding();
        standingQueue.recordDelay(nowMs, queueDelayMs);
        if (Double.isNaN(intervalStartMs)) {
            intervalStartMs = nowMs;
        }
        double elapsedMs = nowMs - intervalStartMs;
        // The first decrease does not wait for the end of the interval, since the delay grows fastest at the start.
        if (elapsedMs >= intervalMs || standingQueue.isStanding() && !wasStanding) {
            admission.onInterval(standingQueue, elapsedMs / intervalMs);
            acceptRateLimiter.onInterval(standingQueue.isStanding());
            minQueueDelayMs = standingQueue.minDelayMs();
            standingQueue.startInterval();
            intervalStartMs = nowMs;
        }
        backgroundTasks.onOverloadLevel(nowMs, level());
    }
}
