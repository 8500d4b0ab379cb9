package peppergauge.plugin;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.log.Log;
import peppergauge.plugin.abi.ResponseView;
import peppergauge.plugin.rules.PluginChain;
import peppergauge.plugin.rules.Verdict;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;
import peppergauge.request.RequestHandler;
import peppergauge.request.ResponseListener;
import peppergauge.request.Scheduler;
import peppergauge.settings.SettingsNames;

/**
 * Asks the plug-ins for a verdict on each request before the next handler gets it. All state belongs to the event-loop
 * thread, which queues calls and never waits for them: the result of a call, the end of its budget, the deadline of the
 * request and the cancellation by the client arrive as events, and the first one decides.
 *
 * <p>An unexpected exception in this class, outside the plug-ins, ends the request with a response: no deadline is set
 * for the request before the next handler gets it, so the client would otherwise wait without end.
 */
final class PluginRequestHandler implements RequestHandler {

    private final RequestHandler next;
    private final Scheduler eventLoop;
    private final BooleanSupplier isOnEventLoop;
    private final DoubleSupplier nowMs;
    private final SettingsNames names;
    private final Limits limits;
    private final AttemptTracker attempts;
    private final RecentRequestIds recentIds = new RecentRequestIds();
    private final Map<ResponseListener, InterceptedRequest> intercepted = new IdentityHashMap<>();
    private final Map<ResponseListener, ObservedResponseListener> observed = new IdentityHashMap<>();
    private volatile PluginSet plugins = PluginSet.EMPTY;
    private boolean isStopping;
    private Runnable onIdle;

    /**
     * The parts of the sidecar that the handler works with.
     *
     * @param isOnEventLoop whether the caller is on the event-loop thread
     * @param nowMs clock, ms since the epoch
     */
    record Environment(RequestHandler next, Scheduler eventLoop, BooleanSupplier isOnEventLoop, DoubleSupplier nowMs) {}

    PluginRequestHandler(Environment environment, SettingsNames names, Limits limits, AttemptTracker attempts) {
        next = environment.next();
        eventLoop = environment.eventLoop();
        isOnEventLoop = environment.isOnEventLoop();
        nowMs = environment.nowMs();
        this.names = names;
        this.limits = limits;
        this.attempts = attempts;
    }

    @Override
    public void handle(IncomingRequest request, ResponseListener listener) {
        runOnEventLoop(() -> intercept(request, listener));
    }

    @Override
    public void cancel(String id, ResponseListener listener) {
        runOnEventLoop(() -> cancelled(id, listener));
    }

    /** Sets the first plug-ins. Must be called before the event loop runs. */
    void setInitialPlugins(PluginSet initial) {
        plugins = initial;
    }

    /** Uses these plug-ins for requests from now on; the previous ones end with their last request. Thread-safe. */
    void replacePlugins(PluginSet replacement) {
        eventLoop.execute(() -> {
            PluginSet previous = plugins;
            plugins = replacement;
            previous.retire();
        });
    }

    /**
     * From now on treats each plug-in as failed instead of calling it, and runs the callback on the event loop once no
     * request waits for a plug-in. Thread-safe.
     */
    void stop(Runnable callback) {
        eventLoop.execute(() -> {
            isStopping = true;
            onIdle = callback;
            checkIdle();
        });
    }

    /** The plug-ins for new requests. Thread-safe. */
    PluginSet plugins() {
        return plugins;
    }

    private void runOnEventLoop(Runnable task) {
        if (isOnEventLoop.getAsBoolean()) {
            task.run();
        } else {
            eventLoop.execute(task);
        }
    }

    private void intercept(IncomingRequest request, ResponseListener listener) {
        if (plugins.isEmpty()) {
            next.handle(request, listener);
        } else if (!recentIds.add(request.id())) {
            listener.onDuplicateId();
        } else {
            InterceptedRequest current = new InterceptedRequest(request, listener, plugins);
            current.plugins.requestStarted();
            intercepted.put(listener, current);
            runOrReject(current, () -> {
                current.classPlugins = plugins.ofClass(request.requestClass());
                advance(
                        current,
                        current.classPlugins.chain().start(request.message().fields()));
            });
        }
    }

    /** Rejects the request if the step throws: the request has not been executed at that point. */
    private void runOrReject(InterceptedRequest current, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | StackOverflowError thrown) {
            Log.error("plugin_request_handling_failed", thrown);
            reject(current);
        }
    }

    private void reject(InterceptedRequest current) {
        cancelCall(current);
        if (intercepted.get(current.listener) == current) {
            remove(current);
        }
        if (!current.isCompleted) {
            current.isCompleted = true;
            current.listener.onRejected(0);
        }
        checkIdle();
    }

    private void cancelCall(InterceptedRequest current) {
        if (current.call != null) {
            current.call.cancel();
            current.call = null;
        }
        if (current.timeout != null) {
            current.timeout.cancel();
        }
    }

    private void advance(InterceptedRequest current, PluginChain.Step first) {
        PluginChain.Step step = first;
        while (step.next() == PluginChain.NextAction.ASK) {
            current.position = step.position();
            Optional<String> rejection = call(current);
            if (rejection.isEmpty()) {
                return;
            }
            step = current.classPlugins.chain().afterFailure(current.position, rejection.get());
        }
        current.position = step.position();
        remove(current);
        if (step.next() == PluginChain.NextAction.DENY) {
            deny(current, step.denial().orElseThrow());
        } else {
            forward(current);
        }
        checkIdle();
    }

    /** Queues the call of the current plug-in; returns the reason if that is not possible. */
    private Optional<String> call(InterceptedRequest current) {
        RunningPlugin plugin = current.currentPlugin();
        if (isStopping) {
            return Optional.of("sidecar is stopping");
        }
        IncomingRequest request = current.request;
        RequestCall call = new RequestCall(
                plugin,
                request,
                current.position.headers(),
                new RequestCall.Names(names.classes().get(request.requestClass()), tenantName(request), nowMs),
                (of, verdict, failure, tookMs) -> eventLoop.execute(
                        () -> runOrReject(current, () -> callEnded(current, of, verdict, failure, tookMs))));
        double now = nowMs.getAsDouble();
        Optional<String> rejection = plugin.offer(now, call);
        if (rejection.isEmpty()) {
            boolean isDeadlineFirst = request.deadlineMs() - now <= plugin.budget.callMs();
            current.call = call;
            current.timeout = eventLoop.schedule(
                    plugin.budget.waitMs(now, request.deadlineMs()),
                    () -> runOrReject(current, () -> timedOut(current, call, isDeadlineFirst)));
        }
        return rejection;
    }

    private String tenantName(IncomingRequest request) {
        return request.tenant() < names.tenants().size() ? names.tenants().get(request.tenant()) : "";
    }

    /** Handles the result of a call, possibly long after its request continued without it. */
    private void callEnded(
            InterceptedRequest current, RequestCall call, Verdict verdict, String failure, double tookMs) {
        double now = nowMs.getAsDouble();
        RunningPlugin plugin = call.plugin;
        plugin.recordDuration(tookMs);
        boolean isAwaited = current.call == call;
        if (isAwaited) {
            current.call = null;
            current.timeout.cancel();
        }
        if (verdict == null) {
            if (!call.isFailureRecorded) {
                plugin.recordFailure(now, failure);
            }
            if (isAwaited) {
                advance(current, current.classPlugins.chain().afterFailure(current.position, failure));
            }
            return;
        }
        if (!isAwaited) {
            return;
        }
        PluginChain.Step step = current.classPlugins.chain().afterVerdict(current.position, verdict);
        step.fault().ifPresentOrElse(fault -> plugin.recordFailure(now, fault), () -> plugin.recordSuccess(now));
        if (verdict instanceof Verdict.Deny) {
            plugin.statistics.denied++;
        }
        advance(current, step);
    }

    /** Handles the end of the budget, or the deadline of the request, without a verdict. */
    private void timedOut(InterceptedRequest current, RequestCall call, boolean isDeadlineFirst) {
        if (current.call != call) {
            return;
        }
        current.call = null;
        call.cancel();
        if (isDeadlineFirst) {
            remove(current);
            current.isCompleted = true;
            current.listener.onFailed(true);
            checkIdle();
        } else {
            call.isFailureRecorded = true;
            String failure = "no verdict within the budget of " + call.plugin.budget.callMs() + " ms";
            call.plugin.recordFailure(nowMs.getAsDouble(), failure);
            advance(current, current.classPlugins.chain().afterFailure(current.position, failure));
        }
    }

    private void cancelled(String id, ResponseListener listener) {
        InterceptedRequest current = intercepted.get(listener);
        if (current == null) {
            ObservedResponseListener observing = observed.remove(listener);
            if (observing != null) {
                attempts.remove(id);
            }
            next.cancel(id, observing == null ? listener : observing);
            return;
        }
        current.isCompleted = true;
        cancelCall(current);
        remove(current);
        checkIdle();
    }

    private void remove(InterceptedRequest current) {
        intercepted.remove(current.listener);
        current.plugins.requestEnded();
    }

    private void checkIdle() {
        if (onIdle != null && intercepted.isEmpty()) {
            Runnable callback = onIdle;
            onIdle = null;
            callback.run();
        }
    }

    private void deny(InterceptedRequest current, Verdict.Deny denial) {
        Log.event(
                "plugin_denied_request",
                "plugin",
                current.currentPlugin().spec.name(),
                "position",
                current.position.index() + 1,
                "plugins",
                current.classPlugins.plugins().size(),
                "reason",
                denial.reason());
        current.isCompleted = true;
        // The settings on Retry-After apply to denials by plug-ins, too.
        current.listener.onRejected(
                limits.retryAfter() ? Math.min(denial.retryAfterMs(), limits.maxRetryAfterMs()) : 0);
        notifyResponse(current.request, current.plugins, 503, AttemptTracker.Attempts.NONE);
    }

    private void forward(InterceptedRequest current) {
        IncomingRequest original = current.request;
        List<Message.Field> headers = current.position.headers();
        Message message = original.message();
        IncomingRequest request = headers.equals(message.fields())
                ? original
                : new IncomingRequest(
                        original.id(),
                        original.requestClass(),
                        original.tenant(),
                        original.timeoutMs(),
                        original.clientRetry(),
                        original.arrivedMs(),
                        message.with(headers));
        ResponseListener listener = current.listener;
        if (!current.plugins.observesResponses) {
            forward(current, request, listener);
            return;
        }
        attempts.track(original.id());
        ObservedResponseListener observing = new ObservedResponseListener(listener, status -> {
            observed.remove(listener);
            // The load balancer gets the end of the attempt after the client gets the response: the zone and the
            // number of attempts are known in the next task.
            eventLoop.execute(() -> notifyResponse(original, current.plugins, status, attempts.remove(original.id())));
        });
        observed.put(listener, observing);
        forward(current, request, observing);
    }

    /** Passes the request on; if the next handler throws, the request may have been executed and counts as failed. */
    private void forward(InterceptedRequest current, IncomingRequest request, ResponseListener listener) {
        current.isCompleted = true;
        try {
            next.handle(request, listener);
        } catch (RuntimeException | StackOverflowError thrown) {
            Log.error("plugin_request_handling_failed", thrown);
            listener.onFailed(false);
        }
    }

    private void notifyResponse(
            IncomingRequest request, PluginSet notified, int status, AttemptTracker.Attempts requestAttempts) {
        double now = nowMs.getAsDouble();
        if (notified.observesResponses) {
            ResponseView response = new ResponseView(
                    status,
                    now - request.arrivedMs(),
                    requestAttempts.count(),
                    names.classes().get(request.requestClass()),
                    tenantName(request),
                    requestAttempts.zone());
            notified.all()
                    .forEach(plugin -> plugin.offerNotification(
                            now, new NotificationCall(response, notificationCallback(plugin))));
        }
    }

    /** Notifies the plug-ins of a timer tick. Event-loop thread only. */
    void tick() {
        plugins.all().stream()
                .filter(plugin -> plugin.observesTicks && !plugin.isCircuitOpen(nowMs.getAsDouble()))
                .forEach(plugin -> plugin.pool.offer(new NotificationCall(null, notificationCallback(plugin))));
    }

    private BiConsumer<String, Double> notificationCallback(RunningPlugin plugin) {
        return (failure, tookMs) -> eventLoop.execute(() -> {
            plugin.recordDuration(tookMs);
            if (failure != null) {
                plugin.recordFailure(nowMs.getAsDouble(), failure);
            }
        });
    }
}
