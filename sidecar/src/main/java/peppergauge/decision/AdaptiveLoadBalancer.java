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
 * "Load balancing beyond healthchecks": passive observation of failures, latencies and requests in flight gives a weight
 * to each server, by which servers are drawn at random. Not safe for use by several threads at once.
 */
public final class AdaptiveLoadBalancer implements LoadBalancer {

    /** Clock ticks before the deadline within which a request is not waited for any longer. */
    private static final double END_TICKS = 2;

    private final Settings settings;
    private final SplittableRandom random;
    /** Whether attempts are cancelled: only if reports show whether the work of a cancelled one goes on. */
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

    /** Time of the event at hand, ms, and where its actions go. */
    private double nowMs;

    private Consumer<Action> actions;

    /**
     * Starts an instance that has learned nothing yet.
     *
     * @param seed of all random draws
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
    public LearnedState exportState(double atMs, int from, int most) {
        return exporter.export(atMs, from, most);
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
        request.shareDraw = random.nextDouble();
        arrivalRate.record(nowMs);
        request.tenant = arrived.tenant();
        request.isOverQuota = arrived.clientRetry() || tenantQuota.isExceededBy(arrived.tenant(), nowMs);
        requests.put(request.id, request);
        double endMs = request.usefulUntilMs() - settings.tickMs();
        if (endMs <= nowMs) {
            giveUp(request);
            return;
        }
        setTimer(endMs, RequestTimers.Kind.REQUEST_END, request);
        sendOrWait(request);
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
        learn(request, attempt, ended);
        if (ended.requestCompleted() && !request.isClosed) {
            close(request);
        } else if (!request.isClosed && !request.isStreaming && request.openAttemptCount == 0) {
            if (retryPolicy.isCausedByRequest(ended.outcome(), nowMs)) {
                giveUp(request);
            } else {
                sendOrWait(request);
            }
        }
        forgetIfDone(request);
        sendPending();
    }

    private void learn(Request request, Request.Attempt attempt, AttemptEnded ended) {
        Server server = attempt.server;
        Outcome outcome = ended.outcome();
        if (subset.isPartial() && outcome == Outcome.CANCELLED && latency.isOverdue(attempt, nowMs)) {
            outcome = Outcome.TIMED_OUT;
        } else if (!subset.isPartial() || outcome != Outcome.CANCELLED && outcome != Outcome.TIMED_OUT) {
            server.lastResponseMs = nowMs;
        }
        if (outcome == Outcome.SUCCESS) {
            server.newestAnsweredSendMs = Math.max(server.newestAnsweredSendMs, attempt.sentMs);
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
            case REQUEST_END -> onRequestEnd(timer.request());
            case LAST_CALL -> onLastCall(timer.request());
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

    /** From here on the client's reading sets the pace, so the attempt no longer counts as in flight. */
    private void onResponseStarted(ResponseStarted started) {
        Request request = requests.get(started.id());
        Request.Attempt attempt = request == null ? null : request.openAttempt(started.attempt());
        if (attempt != null) {
            request.isStreaming = true;
            limiter.onEnded(attempt);
        }
    }

    // ---- Attempts ----

    private void sendOrWait(Request request) {
        if (request.isClosed || request.openAttemptCount > 0) {
            return;
        }
        Server server = selector.select(request, false, nowMs);
        if (server != null) {
            send(request, server);
        } else if (retryPolicy.mayWait(request, nowMs)) {
            enqueue(request);
        } else {
            giveUp(request);
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
        double untilMs = mayAbandonAttempts(request) ? request.usefulUntilMs() : request.deadlineMs;
        actions.accept(new SendAttempt(request.id, server.id, untilMs - nowMs));
        double checkMs = attemptTimeout.dueMs(request, nowMs);
        boolean mayMove = subset.isPartial()
                && mayAbandonAttempts(request)
                && request.attempts.size() < settings.limits().maxAttempts();
        if (mayMove && checkMs < Double.POSITIVE_INFINITY) {
            setTimer(checkMs, RequestTimers.Kind.ATTEMPT_TIMEOUT, request);
        }
    }

    /** Whether open attempts are cancelled when a response no longer counts. */
    private boolean mayAbandonAttempts(Request request) {
        return cancelsAttempts && request.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT;
    }

    /** The end of a cancelled attempt sends the request to another server. */
    private void onAttemptTimeout(Request request) {
        for (Request.Attempt attempt : request.attempts) {
            if (attemptTimeout.isOverdue(request, attempt, nowMs)) {
                actions.accept(new CancelAttempt(request.id, attempt.number));
            }
        }
    }

    // ---- Waiting requests ----

    private void enqueue(Request request) {
        if (!pendingQueue.add(request)) {
            return;
        }
        double lastCallMs = loadShedding.lastCallMs(request, nowMs);
        if (lastCallMs <= nowMs) {
            onLastCall(request);
        } else {
            setTimer(lastCallMs, RequestTimers.Kind.LAST_CALL, request);
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

    private void onLastCall(Request request) {
        if (!pendingQueue.contains(request)) {
            return;
        }
        // The timer of a paused process may fire when no time is left.
        Server idle = request.remainingMs(nowMs) > 0 ? selector.select(request, true, nowMs) : null;
        if (idle != null) {
            send(request, idle);
        } else {
            giveUp(request);
        }
    }

    // ---- Ends of requests ----

    /** A response no longer counts, but an attempt that goes on anyway is awaited until the deadline. */
    private void onRequestEnd(Request request) {
        if (request.isClosed || request.isStreaming) {
            return;
        }
        if (nowMs < request.deadlineMs - END_TICKS * settings.tickMs()
                && request.openAttemptCount > 0
                && !mayAbandonAttempts(request)) {
            setTimer(request.deadlineMs - settings.tickMs(), RequestTimers.Kind.REQUEST_END, request);
            return;
        }
        giveUp(request);
    }

    private void giveUp(Request request) {
        if (idempotency.mayReject(request)) {
            actions.accept(new RejectRequest(request.id, loadShedding.retryAfterMs(request, nowMs)));
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
        forgetIfDone(request);
    }

    private void forgetIfDone(Request request) {
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
