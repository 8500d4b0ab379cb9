package peppergauge.invariant;

import static peppergauge.invariant.InvariantViolation.require;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LoadBalancer;

/**
 * Wraps a load balancer and checks each event and each action against the {@link Invariant}s.
 *
 * <p>The checks use separate models, built only from events and actions. The first violation is thrown as an
 * {@link InvariantViolation} before the action is passed on. Events and actions are not changed. Not safe for use by
 * several threads at once.
 */
public final class InvariantCheckingLoadBalancer implements LoadBalancer {

    /** Tolerance for rounding errors in sums of times, ms. */
    private static final double ROUNDING_MS = 1e-6;

    private final LoadBalancer balancer;
    private final Settings settings;
    private final EndpointModel endpoints;
    private final TimerModel timers = new TimerModel();
    private final RetryBudgetModel retryBudget;
    private final Map<String, RequestModel> requests = new HashMap<>();
    private final PriorityQueue<RequestModel> byDeadline =
            new PriorityQueue<>(Comparator.comparingDouble((RequestModel request) -> request.deadlineMs));
    /** Requests whose client has disconnected, until their deadline. */
    private final Map<String, RequestModel> disconnected = new HashMap<>();
    /** Requests that the current event may have completed. */
    private final List<RequestModel> possiblyCompleted = new ArrayList<>();

    private double nowMs = Double.NEGATIVE_INFINITY;
    private boolean isDiscoveryEvent;

    private InvariantCheckingLoadBalancer(LoadBalancer balancer, Settings settings) {
        this.balancer = balancer;
        this.settings = settings;
        endpoints = new EndpointModel(settings.rules().removalForbidsSends());
        retryBudget = new RetryBudgetModel(settings.rules().retryBudget());
    }

    /**
     * Wraps a load balancer.
     *
     * @param settings the settings with which the load balancer was created
     */
    public static LoadBalancer wrap(LoadBalancer balancer, Settings settings) {
        return new InvariantCheckingLoadBalancer(balancer, settings);
    }

    @Override
    public void handle(double eventMs, Event event, Consumer<Action> actions) {
        require(Double.isFinite(eventMs) && eventMs >= nowMs, Invariant.CLOCK, eventMs + " after " + nowMs);
        nowMs = eventMs;
        isDiscoveryEvent =
                settings.watchRequired() && (event instanceof EndpointsUpdated || event instanceof DiscoveryFailed);
        checkEvent(event);
        balancer.handle(eventMs, event, action -> {
            checkAction(action);
            actions.accept(action);
        });
        checkAfterEvent(event);
    }

    @Override
    public LearnedState exportState(double eventMs, int offset, int maxServers) {
        LearnedState learned = balancer.exportState(eventMs, offset, maxServers);
        require(LearnedStateCheck.isValid(learned), Invariant.FIGURES, learned);
        return learned;
    }

    @Override
    public void importState(double eventMs, LearnedState learned, double ageMs) {
        balancer.importState(eventMs, learned, ageMs);
    }

    /** The number of requests that are open or have open attempts. */
    int openRequestCount() {
        return requests.size();
    }

    // ---- Events ----

    private void checkEvent(Event event) {
        if (event instanceof RequestArrived arrived) {
            onRequestArrived(arrived);
        } else if (event instanceof AttemptEnded ended) {
            onAttemptEnded(ended);
        } else if (event instanceof TimerFired fired) {
            timers.remove(fired.token());
        } else if (event instanceof EndpointsUpdated update) {
            endpoints.update(update);
        } else if (event instanceof ClientDisconnected disconnect && requests.containsKey(disconnect.id())) {
            RequestModel request = requests.get(disconnect.id());
            request.isClosed = true;
            disconnected.put(disconnect.id(), request);
            possiblyCompleted.add(request);
        } else if (event instanceof ResponseStarted started && requests.containsKey(started.id())) {
            RequestModel request = requests.get(started.id());
            request.isStreaming |= request.openAttempt(started.attempt()) != null;
        }
    }

    private void onRequestArrived(RequestArrived arrived) {
        require(Double.isFinite(arrived.timeoutMs()), Invariant.HOST, arrived);
        RequestModel request = new RequestModel(
                arrived.id(), settings.classes().get(arrived.requestClass()), nowMs + arrived.timeoutMs());
        require(requests.put(arrived.id(), request) == null, Invariant.HOST, arrived);
        disconnected.remove(arrived.id());
        byDeadline.add(request);
        retryBudget.onRequest(nowMs);
    }

    private void onAttemptEnded(AttemptEnded ended) {
        require(
                ended.latencyMs() >= 0 && ended.latencyMs() < Double.POSITIVE_INFINITY && ended.localDelayMs() >= 0,
                Invariant.HOST,
                ended);
        RequestModel request = requests.get(ended.id());
        RequestModel.AttemptModel attempt = request == null ? null : request.openAttempt(ended.attempt());
        if (attempt == null) {
            return;
        }
        require(attempt.server.equals(ended.server()), Invariant.HOST, ended);
        require(!request.isStreaming || request.isClosed || ended.requestCompleted(), Invariant.HOST, ended);
        attempt.outcome = ended.outcome();
        request.isClosed |= ended.requestCompleted();
        possiblyCompleted.add(request);
        if (ended.outcome() == Outcome.NEVER_SENT && ended.attempt() > 0) {
            retryBudget.onRetryNotSent(attempt.sentMs);
        }
    }

    // ---- Actions ----

    private void checkAction(Action action) {
        if (action instanceof SendAttempt send) {
            checkSend(send);
        } else if (action instanceof RejectRequest rejection) {
            checkRejection(rejection);
        } else if (action instanceof FailRequest failure) {
            checkFinalAnswer(failure.id(), failure);
        } else if (action instanceof CancelAttempt cancel) {
            RequestModel request = requests.get(cancel.id());
            require(
                    settings.limits().cancellation()
                            && request != null
                            && request.openAttempt(cancel.attempt()) != null,
                    Invariant.ALLOWED,
                    cancel);
        } else if (action instanceof ProbeServer probe) {
            require(
                    settings.limits().healthChecks() && endpoints.usable(probe.server()) != null,
                    Invariant.ALLOWED,
                    probe);
        } else if (action instanceof OpenWatch) {
            require(settings.watchRequired(), Invariant.ALLOWED, action);
        } else if (action instanceof ScheduleTimer timer) {
            require(Double.isFinite(timer.dueMs()) && timer.dueMs() >= nowMs, Invariant.TIMER, timer + " at " + nowMs);
            require(timers.add(timer, isDiscoveryEvent), Invariant.TIMER, timer);
        } else if (action instanceof CancelTimer timer) {
            require(timers.remove(timer.token()), Invariant.TIMER, timer);
        }
    }

    private void checkSend(SendAttempt send) {
        RequestModel request = requests.get(send.id());
        require(!disconnected.containsKey(send.id()), Invariant.CLIENT_LEFT, send);
        require(request != null && !request.isClosed && !request.isStreaming, Invariant.OPEN_SESSION, send);
        require(request.attempts.size() < settings.limits().maxAttempts(), Invariant.MOST_ATTEMPTS, send);
        require(settings.limits().parallelAttempts() || !request.hasOpenAttempt(), Invariant.ONE_OUT, send);
        EndpointModel.EndpointStatus endpoint = endpoints.usable(send.server());
        require(endpoint != null, Invariant.SERVER, send);
        require(!request.mayRunTwice(endpoint, nowMs), Invariant.RAN_TWICE, send);
        require(
                send.timeoutMs() > 0 && nowMs + send.timeoutMs() <= request.deadlineMs + ROUNDING_MS,
                Invariant.TIME_OUT,
                send);
        require(request.attempts.isEmpty() || retryBudget.countRetry(nowMs), Invariant.BUDGET, send);
        request.attempts.add(new RequestModel.AttemptModel(send.server(), endpoint.zone(), endpoint.cell(), nowMs));
    }

    private void checkRejection(RejectRequest rejection) {
        RequestModel request = checkFinalAnswer(rejection.id(), rejection);
        require(request.mayBeRejected(), Invariant.REFUSED_WHAT_RAN, rejection);
        double maxMs = settings.limits().retryAfter() ? settings.limits().maxRetryAfterMs() : 0;
        require(rejection.retryAfterMs() >= 0 && rejection.retryAfterMs() <= maxMs, Invariant.RETRY_AFTER, rejection);
    }

    private RequestModel checkFinalAnswer(String id, Action answer) {
        RequestModel request = requests.get(id);
        require(request != null && !request.isClosed && !request.isStreaming, Invariant.ONE_ANSWER, answer);
        request.isClosed = true;
        possiblyCompleted.add(request);
        return request;
    }

    // ---- After each event ----

    private void checkAfterEvent(Event event) {
        for (RequestModel request : possiblyCompleted) {
            removeIfCompleted(request);
        }
        possiblyCompleted.clear();
        boolean areDueTimersDelivered = !timers.hasDueTimer(nowMs);
        while (!byDeadline.isEmpty()
                && byDeadline.peek().deadlineMs < nowMs
                && (areDueTimersDelivered || byDeadline.peek().isClosed || byDeadline.peek().isStreaming)) {
            RequestModel expired = byDeadline.poll();
            disconnected.remove(expired.id, expired);
            require(
                    expired.isClosed || expired.isStreaming,
                    Invariant.DEADLINE,
                    "request " + expired.id + " is still open after its deadline");
        }
        require(!requests.isEmpty() || !timers.hasRequestTimer(), Invariant.NOTHING_LEFT, event);
    }

    private void removeIfCompleted(RequestModel request) {
        if (request.isClosed && !request.hasOpenAttempt()) {
            requests.remove(request.id, request);
        }
    }
}
