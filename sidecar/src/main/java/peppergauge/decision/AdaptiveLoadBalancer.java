package peppergauge.decision;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The adaptive load balancer: dispatches events to the mechanisms of this package and holds the state of requests.
 *
 * <p>A request is sent at once, waits in the {@link PendingQueue}, or gets a final answer. The algorithm is that of
 * "Load balancing beyond healthchecks": passive observation of failures, latencies and requests in flight gives a
 * weight to each server, by which servers are drawn at random. Not safe for use by several threads at once.
 */
public final class AdaptiveLoadBalancer implements LoadBalancer {

    /** A request whose deadline is at most this many clock ticks away is answered instead of waiting for an attempt. */
    private static final double DEADLINE_MARGIN_TICKS = 2;

    private final Settings settings;
    private final SplittableRandom random;
    /** Whether attempts are cancelled. Requires load reports that show if a server goes on with a cancelled attempt. */
    private final boolean cancelsAttempts;

    private final Map<String, Request> requests = new HashMap<>();
    private final RequestTimers timers = new RequestTimers();
    private final PendingQueue pendingQueue = new PendingQueue();
    private final RequestClassStats[] classStats;
    private final TenantQuota tenantQuota;
    private final ArrivalRate arrivalRate = new ArrivalRate();
    private final ServerRegistry registry;
    private final ZoneWeights zoneWeights = new ZoneWeights();
    private final EndpointWatchBackoff watchBackoff;
    private final LatencyEstimator latency;
    private final LoadEstimator load;
    private final OutlierDetection outliers;
    private final ServerSubset subset;
    private final ConcurrencyLimiter limiter;
    private final RetryBudget retryBudget;
    private final IdempotencyRules idempotency;
    private final RetryPolicy retryPolicy;
    private final LoadShedding loadShedding;
    private final AttemptTimeout attemptTimeout;
    private final ServerSelector selector;
    private final LearnedStateExporter exporter;
    private final LearnedStateImporter importer;

    /** Time of the event that is being handled, ms. */
    private double nowMs;

    /** Receives the actions of the event that is being handled. */
    private Consumer<Action> actions;

    /**
     * Creates an instance without learned state.
     *
     * @param seed seed of the random generator for all random decisions
     */
    public AdaptiveLoadBalancer(Settings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        Limits limits = settings.limits();
        cancelsAttempts = limits.cancellation() && settings.loadFields().contains(LoadField.IN_FLIGHT);
        classStats = new RequestClassStats[settings.classes().size()];
        Arrays.setAll(classStats, i -> new RequestClassStats());
        tenantQuota = new TenantQuota(settings.tenants());
        registry = new ServerRegistry(settings.rules().removalForbidsSends(), random.nextLong());
        watchBackoff = new EndpointWatchBackoff(settings.instances(), random);
        latency = new LatencyEstimator(settings.classes().get(0).latencyObjectiveMs(), classStats);
        SlowStart slowStart = new SlowStart(settings.rules());
        load = new LoadEstimator(settings.loadFields(), latency, slowStart);
        outliers = new OutlierDetection(latency);
        subset = new ServerSubset(settings, registry, arrivalRate, latency, slowStart);
        limiter = new ConcurrencyLimiter(settings, registry, subset, arrivalRate, latency);
        retryBudget = new RetryBudget(settings.rules().retryBudget());
        idempotency = new IdempotencyRules(settings.tickMs());
        retryPolicy = new RetryPolicy(limits, retryBudget, idempotency, outliers);
        loadShedding = new LoadShedding(limits, latency);
        attemptTimeout = new AttemptTimeout(latency, loadShedding);
        ServerWeights weights = new ServerWeights(registry, subset, outliers, latency, load, slowStart, limiter);
        WeightedRandomPicker picker = new WeightedRandomPicker(random);
        selector = new ServerSelector(subset, weights, retryPolicy, slowStart, limiter, latency, zoneWeights, picker);
        exporter = new LearnedStateExporter(registry, classStats, latency, load, outliers, arrivalRate);
        importer = new LearnedStateImporter(registry, classStats, latency, load, outliers, arrivalRate);
    }

    @Override
    public void handle(double eventMs, Event event, Consumer<Action> eventActions) {
        nowMs = eventMs;
        latency.observe(eventMs);
        actions = eventActions;
        if (event instanceof RequestArrived arrived) {
            onRequestArrived(arrived);
        } else if (event instanceof AttemptEnded ended) {
            onAttemptEnded(ended);
        } else if (event instanceof TimerFired fired) {
            onTimerFired(fired);
        } else if (event instanceof EndpointsUpdated update) {
            onEndpointsUpdated(update);
        } else if (event instanceof DiscoveryFailed) {
            onDiscoveryFailed();
        } else if (event instanceof ZoneWeightsUpdated update) {
            zoneWeights.update(update.weights());
        } else if (event instanceof ClientDisconnected disconnected) {
            onClientDisconnected(disconnected);
        } else if (event instanceof ResponseStarted started) {
            onResponseStarted(started);
        }
    }

    @Override
    public LearnedState exportState(double atMs, int offset, int maxServers) {
        return exporter.export(atMs, offset, maxServers);
    }

    @Override
    public void importState(double atMs, LearnedState learned, double ageMs) {
        importer.restore(atMs, learned, ageMs);
    }

    // ---- Events ----

    private void onRequestArrived(RequestArrived arrived) {
        retryBudget.onRequest(nowMs);
        RequestClass requestClass = settings.classes().get(arrived.requestClass());
        RequestClassStats stats = classStats[arrived.requestClass()];
        double elapsedMs = stats.elapsedBeforeMs(requestClass, arrived.timeoutMs());
        Request request = new Request(arrived.id(), requestClass, stats, nowMs, arrived.timeoutMs(), elapsedMs);
        request.randomDraw = random.nextDouble();
        arrivalRate.record(nowMs);
        request.tenant = arrived.tenant();
        request.isOverQuota = arrived.clientRetry() || tenantQuota.isExceededBy(arrived.tenant(), nowMs);
        requests.put(request.id, request);
        double expiryMs = request.usefulUntilMs() - settings.tickMs();
        if (expiryMs <= nowMs) {
            rejectOrFail(request, RejectionCause.Reason.TOO_LATE);
            return;
        }
        setTimer(expiryMs, RequestTimers.Kind.REQUEST_EXPIRY, request);
        sendOrEnqueue(request);
    }

    private void onAttemptEnded(AttemptEnded ended) {
        Request request = requests.get(ended.id());
        Request.Attempt attempt = request == null ? null : request.openAttempt(ended.attempt());
        if (attempt == null) {
            return;
        }
        attempt.outcome = ended.outcome();
        if (ended.outcome() == Outcome.NEVER_SENT && attempt.number > 0) {
            retryBudget.onRetryNotSent(attempt.sentMs);
        }
        request.openAttemptCount--;
        limiter.onEnded(attempt);
        recordOutcome(request, attempt, ended);
        if (ended.requestCompleted() && !request.isClosed) {
            close(request);
        } else if (!request.isClosed && !request.isStreaming && request.openAttemptCount == 0) {
            if (retryPolicy.isCausedByRequest(ended.outcome(), nowMs)) {
                rejectOrFail(request, RejectionCause.Reason.CAUSED_FAILURE);
            } else {
                sendOrEnqueue(request);
            }
        }
        removeIfDone(request);
        sendPending();
    }

    private void recordOutcome(Request request, Request.Attempt attempt, AttemptEnded ended) {
        Server server = attempt.server;
        Outcome outcome = ended.outcome();
        if (subset.isPartial() && outcome == Outcome.CANCELLED && latency.isOverdue(attempt, nowMs)) {
            outcome = Outcome.TIMED_OUT;
        } else if (!subset.isPartial() || outcome != Outcome.CANCELLED && outcome != Outcome.TIMED_OUT) {
            server.lastResponseMs = nowMs;
        }
        if (outcome == Outcome.SUCCESS) {
            server.newestSuccessfulSendMs = Math.max(server.newestSuccessfulSendMs, attempt.sentMs);
        }
        load.recordReport(server, ended.loadReport(), nowMs);
        if (outcome == Outcome.SUCCESS) {
            latency.recordLocalDelay(ended.localDelayMs(), nowMs);
        }
        double idleLatencyMs = latency.recordAttempt(request, attempt, ended, nowMs);
        latency.recordIdleLatency(server, idleLatencyMs, nowMs);
        outliers.record(server, outcome, nowMs);
    }

    private void onTimerFired(TimerFired fired) {
        RequestTimers.Timer timer = timers.remove(fired.token());
        if (timer == null) {
            return;
        }
        switch (timer.kind()) {
            case OPEN_WATCH -> actions.accept(new OpenWatch());
            case REQUEST_EXPIRY -> onRequestExpired(timer.request());
            case QUEUE_TIMEOUT -> onQueueTimeout(timer.request());
            case ATTEMPT_TIMEOUT -> onAttemptTimeout(timer.request());
        }
    }

    private void onEndpointsUpdated(EndpointsUpdated update) {
        registry.update(update);
        if (update.watchResponse()) {
            watchBackoff.onSuccess();
        } else if (settings.watchRequired() && !watchBackoff.isStarted()) {
            setTimer(nowMs + watchBackoff.firstDelayMs(), RequestTimers.Kind.OPEN_WATCH, null);
        }
        sendPending();
    }

    private void onDiscoveryFailed() {
        if (settings.watchRequired()) {
            setTimer(nowMs + watchBackoff.nextDelayMs(), RequestTimers.Kind.OPEN_WATCH, null);
        }
    }

    private void onClientDisconnected(ClientDisconnected disconnected) {
        Request request = requests.get(disconnected.id());
        if (request != null && !request.isClosed) {
            close(request);
        }
    }

    /** Removes the attempt from the in-flight counts: the client's reading now determines how long it takes. */
    private void onResponseStarted(ResponseStarted started) {
        Request request = requests.get(started.id());
        Request.Attempt attempt = request == null ? null : request.openAttempt(started.attempt());
        if (attempt != null) {
            request.isStreaming = true;
            limiter.onEnded(attempt);
        }
    }

    // ---- Attempts ----

    private void sendOrEnqueue(Request request) {
        if (request.isClosed || request.openAttemptCount > 0) {
            return;
        }
        Server server = selector.select(request, false, nowMs);
        if (server != null) {
            send(request, server);
        } else if (retryPolicy.mayWait(request, nowMs)) {
            enqueue(request);
        } else {
            rejectOrFail(request, RejectionCause.Reason.NO_FURTHER_ATTEMPT);
        }
    }

    private void send(Request request, Server server) {
        pendingQueue.remove(request);
        if (server.openAttempts.isEmpty()) {
            server.busySinceMs = nowMs;
        }
        double expectedLatencyMs = server.expectedLatencyMs * request.classStats.latencyFactor;
        Request.Attempt attempt = new Request.Attempt(request.attempts.size(), server, nowMs, expectedLatencyMs);
        if (!request.attempts.isEmpty()) {
            retryBudget.onRetry(nowMs);
        }
        request.attempts.add(attempt);
        request.openAttemptCount++;
        limiter.onSent(attempt);
        double untilMs = cancelsAttemptsOnExpiry(request) ? request.usefulUntilMs() : request.deadlineMs;
        actions.accept(new SendAttempt(request.id, server.id, untilMs - nowMs));
        double attemptTimeoutMs = attemptTimeout.dueMs(request, nowMs);
        boolean mayRetryElsewhere = subset.isPartial()
                && cancelsAttemptsOnExpiry(request)
                && request.attempts.size() < settings.limits().maxAttempts();
        if (mayRetryElsewhere && attemptTimeoutMs < Double.POSITIVE_INFINITY) {
            setTimer(attemptTimeoutMs, RequestTimers.Kind.ATTEMPT_TIMEOUT, request);
        }
    }

    /** Whether open attempts of the request are cancelled once a response has no value any more. */
    private boolean cancelsAttemptsOnExpiry(Request request) {
        return cancelsAttempts && request.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT;
    }

    /** Cancels overdue attempts. When a cancelled attempt ends, the request is sent to another server. */
    private void onAttemptTimeout(Request request) {
        for (Request.Attempt attempt : request.attempts) {
            if (attemptTimeout.isOverdue(request, attempt, nowMs)) {
                actions.accept(new CancelAttempt(request.id, attempt.number));
            }
        }
    }

    // ---- Pending requests ----

    private void enqueue(Request request) {
        if (!pendingQueue.add(request)) {
            return;
        }
        double dueMs = loadShedding.queueDeadlineMs(request, nowMs);
        if (dueMs <= nowMs) {
            onQueueTimeout(request);
        } else {
            setTimer(dueMs, RequestTimers.Kind.QUEUE_TIMEOUT, request);
        }
    }

    private void sendPending() {
        while (!pendingQueue.isEmpty()) {
            Request request = pendingQueue.next();
            Server server = selector.select(request, false, nowMs);
            if (server == null) {
                return;
            }
            send(request, server);
        }
    }

    private void onQueueTimeout(Request request) {
        if (!pendingQueue.contains(request)) {
            return;
        }
        // After a pause of the process, the timer may fire when the request has no time left.
        Server idle = request.remainingMs(nowMs) > 0 ? selector.select(request, true, nowMs) : null;
        if (idle != null) {
            send(request, idle);
            return;
        }
        double extendedMs = loadShedding.extendedQueueDeadlineMs(request, nowMs);
        if (extendedMs > nowMs) {
            setTimer(extendedMs, RequestTimers.Kind.QUEUE_TIMEOUT, request);
        } else {
            rejectOrFail(request, RejectionCause.Reason.QUEUE_TIMEOUT);
        }
    }

    // ---- Ends of requests ----

    /** Ends a request whose response has no value any more; waits until the deadline for attempts it cannot cancel. */
    private void onRequestExpired(Request request) {
        if (request.isClosed || request.isStreaming) {
            return;
        }
        if (nowMs < request.deadlineMs - DEADLINE_MARGIN_TICKS * settings.tickMs()
                && request.openAttemptCount > 0
                && !cancelsAttemptsOnExpiry(request)) {
            setTimer(request.deadlineMs - settings.tickMs(), RequestTimers.Kind.REQUEST_EXPIRY, request);
            return;
        }
        rejectOrFail(request, RejectionCause.Reason.EXPIRED);
    }

    private void rejectOrFail(Request request, RejectionCause.Reason reason) {
        if (idempotency.mayReject(request)) {
            double retryAfterMs = loadShedding.retryAfterMs(request, nowMs);
            RejectionCause cause = new RejectionCause(reason, loadShedding.minServiceMs(request, nowMs));
            actions.accept(new RejectRequest(request.id, retryAfterMs, cause));
        } else {
            actions.accept(new FailRequest(request.id));
        }
        close(request);
    }

    private void close(Request request) {
        request.isClosed = true;
        pendingQueue.remove(request);
        if (cancelsAttempts && !request.isStreaming) {
            for (Request.Attempt attempt : request.attempts) {
                if (attempt.isOpen()) {
                    actions.accept(new CancelAttempt(request.id, attempt.number));
                }
            }
        }
        removeIfDone(request);
    }

    private void removeIfDone(Request request) {
        if (!request.isClosed || request.openAttemptCount > 0) {
            return;
        }
        requests.remove(request.id);
        for (long token : request.timerTokens) {
            if (timers.remove(token) != null) {
                actions.accept(new CancelTimer(token));
            }
        }
        request.timerTokens.clear();
    }

    private void setTimer(double dueMs, RequestTimers.Kind kind, Request request) {
        actions.accept(new ScheduleTimer(dueMs, timers.add(kind, request)));
    }
}
