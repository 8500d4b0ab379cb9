package peppergauge.request;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import peppergauge.decision.LoadBalancer.ClientDisconnected;
import peppergauge.decision.LoadBalancer.FailRequest;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.RejectRequest;
import peppergauge.decision.LoadBalancer.RequestArrived;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.log.Log;

/**
 * The state machine of admitted requests: each gets exactly one response, is open until its last attempt has ended, and
 * is then remembered by its id. Event-loop thread only.
 */
final class RequestLifecycle {

    /** In the order in which a request passes through them; {@link #COMMITTED} may be skipped. */
    enum State {
        /** Admitted. The load balancer sends attempts, rejects or fails it; it fails at its deadline. */
        AWAITING_RESPONSE,
        /** Part of the body was streamed to a server and cannot be resent. No deadline until the body is complete. */
        COMMITTED,
        /** The response was delivered, or the client has disconnected. Attempts may still be in flight. */
        RESPONDED,
        /** No attempt is in flight; no longer open. */
        COMPLETED
    }

    private final Map<String, OpenRequest> open = new HashMap<>();
    private final RecentRequestIds recentIds = new RecentRequestIds();
    private final LoadBalancerDriver loadBalancer;
    private final AttemptLifecycle attempts;
    private final Clock clock;
    private final Scheduler scheduler;
    private final Runnable idleCheck;
    private final RejectionLog rejectionLog;
    private final List<RequestClass> classes;

    RequestLifecycle(DispatchContext context) {
        loadBalancer = context.loadBalancer();
        clock = context.clock();
        scheduler = context.scheduler();
        idleCheck = context.idleCheck();
        classes = context.classes();
        attempts = new AttemptLifecycle(this, context);
        rejectionLog = new RejectionLog(clock);
    }

    RejectionLog rejectionLog() {
        return rejectionLog;
    }

    AttemptLifecycle attempts() {
        return attempts;
    }

    /** The open request with this id, null if there is none. */
    OpenRequest find(String id) {
        return open.get(id);
    }

    boolean isOpen(String id) {
        return open.containsKey(id);
    }

    boolean hasOpen() {
        return !open.isEmpty();
    }

    /** Whether a request with this id is open, or completed a short time ago. */
    boolean isKnown(String id) {
        return open.containsKey(id) || recentIds.contains(id);
    }

    /** Remembers the id of a request that never ran, so that duplicates of it are detected. */
    void rememberRejected(String id) {
        assert !open.containsKey(id) : "rejected request is still open: " + id;
        recentIds.add(id, true);
    }

    private void rememberCompleted(OpenRequest request) {
        assert !open.containsKey(request.id()) : "completed request is still open: " + request.id();
        boolean neverRan = request.attempts.stream().allMatch(attempt -> attempt.neverExecuted);
        recentIds.add(request.id(), neverRan || isIdempotent(request));
    }

    private boolean isIdempotent(OpenRequest request) {
        return classes.get(request.incoming.requestClass()).idempotency() == Idempotency.IDEMPOTENT;
    }

    /** Opens an admitted request. It fails immediately if the load balancer throws without acting on it. */
    void open(IncomingRequest incoming, ResponseListener listener) {
        OpenRequest request = new OpenRequest(incoming, listener);
        open.put(incoming.id(), request);
        double now = clock.nowMs();
        request.deadline = scheduler.schedule(incoming.deadlineMs() - now, () -> onDeadline(request));
        if (request.bodyStream() != null) {
            request.bodyStream().addListener(new RequestBodyListener(request));
        }
        boolean handled = loadBalancer.handle(new RequestArrived(
                incoming.id(),
                incoming.requestClass(),
                incoming.tenant(),
                incoming.deadlineMs() - now,
                incoming.clientRetry()));
        if (!handled && request.attemptsInFlight == 0 && !request.hasResponded()) {
            fail(request, false);
            completeIfDone(request);
        }
    }

    /** Rejects a request for the load balancer. */
    void reject(RejectRequest action) {
        OpenRequest request = open.get(action.id());
        if (request != null && !request.hasResponded()) {
            rejectionLog.rejected(request, action);
            reject(request, action.retryAfterMs());
            completeIfDone(request);
        }
    }

    /** Fails a request for the load balancer, as timed out if an attempt is in flight. */
    void fail(FailRequest action) {
        OpenRequest request = open.get(action.id());
        if (request != null && !request.hasResponded()) {
            fail(request, request.attemptsInFlight > 0);
            completeIfDone(request);
        }
    }

    /** Ends a request whose client has disconnected; ignored unless the listener is the open request's. */
    void onClientDisconnected(OpenRequest request, ResponseListener listener) {
        if (request.listener == listener && !request.hasResponded()) {
            endWaiting(request);
            loadBalancer.handle(new ClientDisconnected(request.id()));
            completeIfDone(request);
        }
    }

    /** Delivers the response of a successful attempt. */
    void respond(OpenRequest request, Message response) {
        endWaiting(request);
        deliver(() -> request.listener.onResponse(response));
    }

    /** @param retryAfterMs delay after which the client should retry; 0 for no advice */
    void reject(OpenRequest request, double retryAfterMs) {
        endWaiting(request);
        deliver(() -> request.listener.onRejected(retryAfterMs));
    }

    void fail(OpenRequest request, boolean timedOut) {
        endWaiting(request);
        deliver(() -> request.listener.onFailed(timedOut));
    }

    /** Closes a request that has its response and no attempt in flight. */
    void completeIfDone(OpenRequest request) {
        if (request.hasResponded() && request.attemptsInFlight == 0 && open.remove(request.id(), request)) {
            request.state = State.COMPLETED;
            if (request.bodyStream() != null) {
                request.bodyStream().release();
            }
            rememberCompleted(request);
            idleCheck.run();
        }
    }

    /** Enters {@link State#RESPONDED}. Attempts that still wait for a connection are cancelled. */
    private void endWaiting(OpenRequest request) {
        assert !request.hasResponded() : "a second response to request " + request.id();
        request.state = State.RESPONDED;
        request.deadline.cancel();
        request.attempts.forEach(attempts::cancelIfUnsent);
    }

    private static void deliver(Runnable response) {
        try {
            response.run();
        } catch (RuntimeException unexpected) {
            Log.error("response_delivery_failed", unexpected);
        }
    }

    /** Fails a request at its deadline. A correct load balancer has ended it before. */
    private void onDeadline(OpenRequest request) {
        if (!request.hasResponded()) {
            Log.event("request_deadline_exceeded", "request", request.id());
            fail(request, true);
            loadBalancer.handle(new ClientDisconnected(request.id()));
            List.copyOf(request.attempts).forEach(attempts::abort);
            completeIfDone(request);
        }
    }

    /** Tracks a request body that is streamed to one server while the client still sends it. */
    private final class RequestBodyListener implements BodyStream.Listener {

        private final OpenRequest request;

        RequestBodyListener(OpenRequest request) {
            this.request = request;
        }

        @Override
        public void onCommitted() {
            scheduler.execute(() -> onBodyCommitted(request));
        }

        @Override
        public void onEnd(BodyStream.End end) {
            scheduler.execute(() -> onBodyEnd(request, end));
        }
    }

    /** Enters {@link State#COMMITTED}. Until the body is complete, only its minimum transfer rate limits its time. */
    private void onBodyCommitted(OpenRequest request) {
        if (!request.hasResponded() && !request.attempts.isEmpty()) {
            request.state = State.COMMITTED;
            request.deadline.cancel();
            attempts.onBodyCommitted(request.attempts.get(request.attempts.size() - 1));
        }
    }

    /** Restarts the client's timeout at the end of a complete body, as the time for the server to respond. */
    private void onBodyEnd(OpenRequest request, BodyStream.End end) {
        if (request.state == State.COMMITTED && end == BodyStream.End.COMPLETE) {
            request.deadline = scheduler.schedule(request.incoming.timeoutMs(), () -> onCommittedDeadline(request));
        }
    }

    private void onCommittedDeadline(OpenRequest request) {
        if (!request.hasResponded()) {
            fail(request, true);
            List.copyOf(request.attempts).forEach(attempts::onTimeout);
            completeIfDone(request);
        }
    }
}
