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

    private final Rounds rounds;
    private final StandingDelay delay;
    private final Admission admission;
    private final RetryAfter retryAfter;
    private final Order<T> order = new Order<>();
    private final Claims<C> claims = new Claims<>();
    private final Accepts accepts = new Accepts();
    private final Extras extras = new Extras();
    private final double intervalMs;
    private double steppedMs = Double.NaN;
    private double delayMs;

    /** Wide open, as if nothing had ever been amiss. */
    public OverloadController(OverloadConfig settings) {
        rounds = new Rounds(settings.selectIntervalMs(), settings.slackMs());
        delay = new StandingDelay(settings.targetMs(), settings.intervalMs());
        admission = new Admission(settings);
        retryAfter = new RetryAfter(settings.retryAfter() ? settings.maxRetryAfterMs() : 0, settings.seed());
        intervalMs = settings.intervalMs();
    }

    /** A round begins: its select has returned, whatever it found. */
    public void onSelectReturned(double nowMs) {
        rounds.selectReturned(nowMs);
        see(nowMs, rounds.queueDelayMs());
    }

    /** The round is over: select is called next. {@code read}: whether anything was read in it. */
    public void onRoundEnded(double nowMs, boolean read) {
        rounds.ended(nowMs, read);
    }

    /** When what this round read may have come in at the earliest: deadlines are to be reckoned from then. */
    public double earliestArrivalMs() {
        return rounds.earliestArrivalMs();
    }

    /** When what this round read came in most likely: what servers took is to be reckoned up to then. */
    public double likelyArrivalMs() {
        return rounds.likelyArrivalMs();
    }

    /** By how much this round's select overstayed its interval, ms: the process was paused or throttled. */
    public double stalledMs() {
        return rounds.stalledMs();
    }

    /** Where tasks wait for {@link #next}. */
    public Order<T> order() {
        return order;
    }

    /** Removes and returns the task to be served next, null if none waits: ends first, see {@link Order}. */
    public T next() {
        return order.next(delay.stands());
    }

    /**
     * What becomes of a new session, to be asked right before the module would be told of it, once for each: what is
     * asked counts as having come. CoDel's estimator, DAGOR's levels; docs/OVERLOAD.md has the figures.
     *
     * @param nowMs the time, in ms, not that at which the round began
     * @throws IndexOutOfBoundsException if the settings have no such class
     */
    public AdmissionDecision admit(double nowMs, Arrival arrival) {
        // In a long round the queue grows while it is handled: this is CoDel's sample at the head of the queue.
        double waitedMs = nowMs - rounds.earliestArrivalMs();
        see(nowMs, waitedMs);
        return admission.judge(nowMs, waitedMs, arrival);
    }

    /**
     * A session was served.
     *
     * @param tookMs how long its one attempt that succeeded took, ms, 0 or more; not what it waited for a server,
     *     since the next one may not have to
     */
    public void onResponse(double nowMs, double tookMs) {
        admission.served(nowMs, tookMs);
    }

    /**
     * When a client that is turned away should come back, ms, at most the settings' {@code maxRetryAfterMs}; 0 gives
     * no advice: it is not allowed, or the client would be too late.
     *
     * @param leftMs how long the client wants an answer over all its tries, from now
     */
    public double retryAfterMs(double nowMs, double leftMs) {
        return retryAfter.ms(1 - admission.share(), leftMs - admission.leastServiceMs(nowMs));
    }

    /** Whether this work that can wait is to be done. */
    public boolean isAllowed(double nowMs, BackgroundTask extra) {
        return extras.runs(nowMs, extra);
    }

    /** Whose connection goes when there is no room; kept for all clients' connections, overload or not. */
    public Claims<C> claims() {
        return claims;
    }

    /** The pace of accepting; may be called from the accepting thread. */
    public Accepts accepts() {
        return accepts;
    }

    /**
     * The share of arriving sessions that is to be taken while the queue is not short, 0.02 to 1; for the people on
     * call. Less than that is shed, since what comes while the queue is short is taken as well.
     */
    public double share() {
        return admission.share();
    }

    /** The least queue delay of the last interval, ms; for the people on call. */
    public double delayMs() {
        return delayMs;
    }

    /** How deep in overload the program is; SHEDDING and DEEP last until the share is 1 again, for 2 s at most. */
    public OverloadLevel depth() {
        if (admission.share() < 1) {
            return admission.share() < 0.5 ? OverloadLevel.DEEP : OverloadLevel.SHEDDING;
        }
        return delay.stands() ? OverloadLevel.STANDING : delay.above() ? OverloadLevel.BRIEF : OverloadLevel.CALM;
    }

    private void see(double nowMs, double waitedMs) {
        boolean stood = delay.stands();
        delay.sample(nowMs, waitedMs);
        if (Double.isNaN(steppedMs)) {
            steppedMs = nowMs;
        }
        double passedMs = nowMs - steppedMs;
        // The first step down does not wait for the interval to end: the delay grows fastest at the beginning.
        if (passedMs >= intervalMs || delay.stands() && !stood) {
            admission.step(delay, passedMs / intervalMs);
            accepts.step(delay.stands());
            delayMs = delay.leastMs();
            delay.turn();
            steppedMs = nowMs;
        }
        extras.see(nowMs, depth());
    }
}
