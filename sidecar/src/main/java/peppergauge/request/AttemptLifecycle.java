package peppergauge.request;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.CancelAttempt;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.decision.LoadBalancer.ResponseStarted;
import peppergauge.decision.LoadBalancer.SendAttempt;
import peppergauge.log.Log;
import peppergauge.overload.OverloadController;

/**
 * Sends attempts to backend servers, ends each of them exactly once, and notifies the load balancer of its outcome.
 * Event-loop thread only.
 */
final class AttemptLifecycle {

    /** The exchange of an attempt that was not handed to the backend. */
    private static final Backend.Exchange UNSENT = new Backend.Exchange() {
        @Override
        public boolean cancelIfUnsent() {
            return true;
        }

        @Override
        public boolean abort() {
            return true;
        }
    };

    /** All attempts that have started and not ended, in order of their starts. */
    private final Set<Attempt> inFlight = new LinkedHashSet<>();

    private final RequestLifecycle requests;
    private final LoadBalancerDriver loadBalancer;
    private final Backend backend;
    private final EndpointList endpoints;
    private final OverloadController<?, PendingRequest> overload;
    private final List<RequestClass> classes;
    private final Clock clock;
    private final Scheduler scheduler;

    AttemptLifecycle(RequestLifecycle requests, DispatchContext context) {
        this.requests = requests;
        loadBalancer = context.loadBalancer();
        backend = context.backend();
        endpoints = context.endpoints();
        overload = context.overload();
        classes = context.classes();
        clock = context.clock();
        scheduler = context.scheduler();
    }

    boolean hasInFlight() {
        return !inFlight.isEmpty();
    }

    /** Starts an attempt, unless its request has a response. It ends at the request's deadline at the latest. */
    void start(SendAttempt action) {
        OpenRequest request = requests.find(action.id());
        Backend.Server server = endpoints.find(action.server());
        if (request == null || request.hasResponded()) {
            return;
        }
        double now = clock.nowMs();
        assert request.state != RequestLifecycle.State.COMMITTED
                : "attempt started after the request's body was committed to a server: " + request.id();
        Attempt attempt = new Attempt(request, action.server(), server, now);
        attempt.exchange = UNSENT;
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        inFlight.add(attempt);
        double requestDeadlineMs = request.incoming.deadlineMs();
        double deadlineMs =
                action.timeoutMs() > 0 ? Math.min(now + action.timeoutMs(), requestDeadlineMs) : requestDeadlineMs;
        attempt.timeout = scheduler.schedule(deadlineMs - now, () -> onTimeout(attempt));
        BodyStream body = request.bodyStream();
        boolean isBodyLost = body != null && !body.isReadableFromStart();
        if (server == null || isBodyLost || deadlineMs <= now) {
            endLater(attempt, isBodyLost ? Outcome.CANCELLED : Outcome.NEVER_SENT);
        } else {
            send(attempt, deadlineMs);
        }
    }

    private void send(Attempt attempt, double deadlineMs) {
        try {
            Message message = attempt.request.incoming.message();
            attempt.exchange = backend.send(attempt.server, message, deadlineMs, new ExchangeListener(attempt));
        } catch (RuntimeException unexpected) {
            Log.error("attempt_start_failed", unexpected);
            // Part of the request may have been written.
            endLater(attempt, Outcome.BROKEN);
        }
    }

    /** Passes the backend's result to the event loop. */
    private final class ExchangeListener implements Backend.AttemptListener {

        private final Attempt attempt;

        ExchangeListener(Attempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public void onEnded(Backend.Result result) {
            scheduler.execute(() -> AttemptLifecycle.this.onEnded(attempt, result));
        }

        @Override
        public boolean isClientWaiting() {
            return !attempt.request.hasResponded() && attempt.request.listener.isClientWaiting();
        }
    }

    /** Cancels an attempt for the load balancer, whether it was written or not. */
    void cancel(CancelAttempt action) {
        OpenRequest request = requests.find(action.id());
        if (request != null && action.attempt() < request.attempts.size()) {
            abort(request.attempts.get(action.attempt()));
        }
    }

    /** Aborts an attempt in flight and ends it as cancelled, whether it was written or not. */
    void abort(Attempt attempt) {
        if (attempt.state == Attempt.State.IN_FLIGHT) {
            attempt.exchange.abort();
            endLater(attempt, Outcome.CANCELLED);
        }
    }

    /** Cancels an attempt that still waits for its connection; one that was written goes on. */
    void cancelIfUnsent(Attempt attempt) {
        if (attempt.state == Attempt.State.IN_FLIGHT && attempt.exchange.cancelIfUnsent()) {
            attempt.timeout.cancel();
            endLater(attempt, Outcome.CANCELLED);
        }
    }

    /**
     * Ends the attempts that still wait for their connections to these servers, or to an address at which the list has
     * their server no more; they count as never sent. A connection under way may reach another process there.
     */
    void cancelUnsentTo(Set<String> serverIds) {
        for (Attempt attempt : List.copyOf(inFlight)) {
            boolean isReplaced = attempt.server != null && endpoints.isReplaced(attempt.server);
            if ((isReplaced || serverIds.contains(attempt.serverId)) && attempt.exchange.cancelIfUnsent()) {
                onEnded(attempt, new Backend.Result(Outcome.NEVER_SENT));
            }
        }
    }

    /** Ends an attempt in flight as timed out, or as its exchange says if nothing of it was written. */
    void onTimeout(Attempt attempt) {
        if (attempt.state == Attempt.State.IN_FLIGHT) {
            Outcome outcomeIfUnsent = attempt.exchange.outcomeIfUnsent();
            boolean isUnsent = attempt.exchange.abort();
            onEnded(attempt, new Backend.Result(isUnsent ? outcomeIfUnsent : Outcome.TIMED_OUT));
        }
    }

    /** Cancels the attempt's timeout: part of the request's body was streamed to its server alone. */
    void onBodyCommitted(Attempt attempt) {
        if (attempt.state != Attempt.State.ENDED) {
            attempt.timeout.cancel();
            loadBalancer.handle(new ResponseStarted(attempt.request.id(), attempt.number));
        }
    }

    private void endLater(Attempt attempt, Outcome outcome) {
        scheduler.execute(() -> onEnded(attempt, new Backend.Result(outcome)));
    }

    private void onEnded(Attempt attempt, Backend.Result result) {
        if (attempt.state != Attempt.State.IN_FLIGHT) {
            return;
        }
        if (result.response() != null && result.response().stream() != null) {
            onResponseStarted(attempt, result);
            return;
        }
        end(attempt);
        OpenRequest request = attempt.request;
        double now = clock.nowMs();
        double elapsedMs = now - attempt.sentMs;
        double latencyMs = result.latencyMs() < elapsedMs ? result.latencyMs() : elapsedMs;
        if (result.outcome() == Outcome.SUCCESS) {
            overload.onResponse(now, latencyMs);
            if (!request.hasResponded()) {
                requests.respond(request, result.response());
            }
        }
        attempt.neverExecuted = result.outcome().neverRan();
        boolean hasStreamedBody = request.bodyStream() != null;
        Outcome outcome = hasStreamedBody ? outcomeOfStreamedBody(attempt, result) : result.outcome();
        // How long a streamed body takes depends on its sender, not on this program.
        double localDelayMs = hasStreamedBody ? 0 : elapsedMs - latencyMs;
        loadBalancer.handle(new AttemptEnded(
                request.id(),
                attempt.number,
                attempt.serverId,
                outcome,
                latencyMs,
                request.hasResponded(),
                result.loadReport(),
                localDelayMs));
        requests.completeIfDone(request);
    }

    private void end(Attempt attempt) {
        attempt.state = Attempt.State.ENDED;
        attempt.timeout.cancel();
        inFlight.remove(attempt);
        attempt.request.attemptsInFlight--;
        assert attempt.request.attemptsInFlight >= 0 : "more ends than attempts of request " + attempt.request.id();
        if (attempt.server != null) {
            endpoints.releaseIfRemoved(attempt.server);
        }
    }

    /**
     * The outcome of an attempt with a streamed request body, for the load balancer. If the body cannot be sent again,
     * the request gets its response first, so that the load balancer does not retry it.
     */
    private Outcome outcomeOfStreamedBody(Attempt attempt, Backend.Result result) {
        OpenRequest request = attempt.request;
        Outcome outcome = result.outcome();
        if (outcome == Outcome.SUCCESS || request.hasResponded()) {
            return outcome;
        }
        RequestClass requestClass = classes.get(request.incoming.requestClass());
        if (!request.bodyStream().isReadableFromStart()) {
            if (outcome.neverRan() && isClientRetrySafe(request, requestClass)) {
                requests.reject(request, 0);
            } else {
                requests.fail(request, outcome == Outcome.TIMED_OUT);
            }
        } else if (outcome == Outcome.BROKEN
                && result.requestTruncated()
                && requestClass.idempotency() != Idempotency.NON_IDEMPOTENT) {
            // The server has only part of the body and cannot have executed the request.
            attempt.neverExecuted = true;
            return Outcome.UNREACHABLE;
        }
        return outcome;
    }

    /** Whether the client may retry anywhere: no attempt may have been executed, or executing it twice does no harm. */
    private static boolean isClientRetrySafe(OpenRequest request, RequestClass requestClass) {
        boolean isIdempotentAnywhere = requestClass.idempotency() == Idempotency.IDEMPOTENT
                || requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY && requestClass.keyScope() == KeyScope.ALL;
        if (isIdempotentAnywhere) {
            return true;
        }
        for (Attempt attempt : request.attempts) {
            if (!attempt.neverExecuted) {
                return false;
            }
        }
        return true;
    }

    /**
     * Handles the start of a response with a streamed body. Neither deadline nor timeout applies any more, and the
     * attempt ends when the body ends. If the request already has a response, the body is discarded.
     */
    private void onResponseStarted(Attempt attempt, Backend.Result result) {
        OpenRequest request = attempt.request;
        BodyStream body = result.response().stream();
        double now = clock.nowMs();
        double reportedMs = Double.isNaN(result.latencyMs()) ? Double.MAX_VALUE : result.latencyMs();
        double latencyMs = Math.min(reportedMs, now - attempt.sentMs);
        attempt.state = Attempt.State.STREAMING_RESPONSE;
        attempt.timeout.cancel();
        overload.onResponse(now, latencyMs);
        boolean isNeeded = !request.hasResponded();
        if (isNeeded) {
            requests.respond(request, result.response());
            loadBalancer.handle(new ResponseStarted(request.id(), attempt.number));
        }
        body.addListener(new BodyStream.Listener() {
            @Override
            public void onEnd(BodyStream.End end) {
                scheduler.execute(() -> onResponseBodyEnded(attempt, end, latencyMs, result.loadReport()));
            }
        });
        if (!isNeeded) {
            body.release();
        }
    }

    private void onResponseBodyEnded(Attempt attempt, BodyStream.End bodyEnd, double latencyMs, double[] loadReport) {
        if (attempt.state != Attempt.State.ENDED) {
            end(attempt);
            Outcome outcome = switch (bodyEnd) {
                case COMPLETE -> Outcome.SUCCESS;
                case BROKEN -> Outcome.BROKEN;
                case CANCELLED -> Outcome.CANCELLED;
            };
            loadBalancer.handle(new AttemptEnded(
                    attempt.request.id(), attempt.number, attempt.serverId, outcome, latencyMs, true, loadReport, 0));
            requests.completeIfDone(attempt.request);
        }
    }
}
