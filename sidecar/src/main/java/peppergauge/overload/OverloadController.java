package peppergauge.overload;

/**
 * Decides what the program does about its own overload: no I/O, no clock, no threads. Times are milliseconds from one
 * origin that never go backwards.
 *
 * <p>Each round: {@link #selectReturned}; the handling of sockets, which puts tasks in {@link #order}; {@link #next}
 * until it is null, with {@link #judge} for each new session; {@link #roundEnded}. One thread only, but for
 * {@link #accepts}.
 *
 * @param <C> a client's connection
 * @param <T> a task of the owner's
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

    /** Wide open, as if nothing had ever been amiss. */
    public OverloadController(OverloadConfig config) {
        latency = new EventLoopLatency(config.selectIntervalMs(), config.slackMs());
        standingQueue = new StandingQueueDetector(config.targetDelayMs(), config.intervalMs());
        admission = new PriorityAdmission(config);
        retryAfter = new RetryAfter(config.mayAdviseRetryAfter() ? config.maxRetryAfterMs() : 0, config.seed());
        intervalMs = config.intervalMs();
    }

    /** A round begins: its select has returned, whatever it found. */
    public void onSelectReturned(double nowMs) {
        latency.onSelectReturned(nowMs);
        recordDelay(nowMs, latency.queueDelayMs());
    }

    /** The round is over: select is called next. {@code read}: whether anything was read in it. */
    public void onRoundEnded(double nowMs, boolean hasRead) {
        latency.onRoundEnded(nowMs, hasRead);
    }

    /** When what this round read may have come in at the earliest: deadlines are to be reckoned from then. */
    public double earliestArrivalMs() {
        return latency.earliestArrivalMs();
    }

    /** When what this round read came in most likely: what servers took is to be reckoned up to then. */
    public double likelyArrivalMs() {
        return latency.likelyArrivalMs();
    }

    /** By how much this round's select overstayed its interval, ms: the process was paused or throttled. */
    public double stalledMs() {
        return latency.stalledMs();
    }

    /** Where tasks wait for {@link #next}. */
    public ArrivalQueue<T> queue() {
        return queue;
    }

    /** Removes and returns the task to be served next, null if none waits: ends first, see {@link ArrivalQueue}. */
    public T poll() {
        return queue.poll(standingQueue.isStanding());
    }

    /**
     * What becomes of a new session, to be asked right before the module would be told of it, once for each: what is
     * asked counts as having come. CoDel's estimator, DAGOR's levels; docs/OVERLOAD.md has the figures.
     *
     * @param nowMs the time, in ms, not that at which the round began
     * @throws IndexOutOfBoundsException if the settings have no such class
     */
    public AdmissionDecision admit(double nowMs, AdmissionRequest request) {
        // In a long round the queue grows while it is handled: this is CoDel's sample at the head of the queue.
        double queueDelayMs = nowMs - latency.earliestArrivalMs();
        recordDelay(nowMs, queueDelayMs);
        return admission.decide(nowMs, queueDelayMs, request);
    }

    /**
     * A session was served.
     *
     * @param tookMs how long its one attempt that succeeded took, ms, 0 or more; not what it waited for a server,
     *     since the next one may not have to
     */
    public void onResponse(double nowMs, double latencyMs) {
        admission.onServiceCompleted(nowMs, latencyMs);
    }

    /**
     * When a client that is turned away should come back, ms, at most the settings' {@code maxRetryAfterMs}; 0 gives
     * no advice: it is not allowed, or the client would be too late.
     *
     * @param leftMs how long the client wants an answer over all its tries, from now
     */
    public double retryAfterMs(double nowMs, double remainingMs) {
        return retryAfter.delayMs(1 - admission.admittedShare(), remainingMs - admission.minServiceMs(nowMs));
    }

    /** Whether this work that can wait is to be done. */
    public boolean isAllowed(double nowMs, BackgroundTask task) {
        return backgroundTasks.isAllowed(nowMs, task);
    }

    /** Whose connection goes when there is no room; kept for all clients' connections, overload or not. */
    public ConnectionEvictionPolicy<C> connectionEviction() {
        return connectionEviction;
    }

    /** The pace of accepting; may be called from the accepting thread. */
    public AcceptRateLimiter acceptRateLimiter() {
        return acceptRateLimiter;
    }

    /**
     * The share of arriving sessions that is to be taken while the queue is not short, 0.02 to 1; for the people on
     * call. Less than that is shed, since what comes while the queue is short is taken as well.
     */
    public double admittedShare() {
        return admission.admittedShare();
    }

    /** The least queue delay of the last interval, ms; for the people on call. */
    public double minQueueDelayMs() {
        return minQueueDelayMs;
    }

    /** How deep in overload the program is; SHEDDING and DEEP last until the share is 1 again, for 2 s at most. */
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
        // The first step down does not wait for the interval to end: the delay grows fastest at the beginning.
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
