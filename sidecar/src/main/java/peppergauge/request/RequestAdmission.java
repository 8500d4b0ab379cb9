package peppergauge.request;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.log.Log;
import peppergauge.overload.AdmissionDecision;
import peppergauge.overload.AdmissionRequest;
import peppergauge.overload.OverloadController;

/**
 * Queues received requests, rejects duplicates of known ids, and opens the requests that the overload controller
 * admits. Event-loop thread only, except for {@link #submit}.
 */
final class RequestAdmission {

    private final OverloadController<?, PendingRequest> overload;
    private final RequestLifecycle requests;
    private final List<RequestClass> classes;
    private final Clock clock;
    private final Scheduler scheduler;
    private final Runnable idleCheck;
    /** Requests that were submitted and are not in the queue yet. */
    private final AtomicInteger submitted = new AtomicInteger();

    private boolean isQueueRunScheduled;

    RequestAdmission(RequestLifecycle requests, DispatchContext context) {
        this.requests = requests;
        overload = context.overload();
        classes = context.classes();
        clock = context.clock();
        scheduler = context.scheduler();
        idleCheck = context.idleCheck();
    }

    /** Submits a request to the event loop. From any thread. */
    void submit(IncomingRequest request, ResponseListener listener) {
        submitted.incrementAndGet();
        scheduler.execute(() -> runOrReject(new PendingRequest(request, listener), this::enqueue));
    }

    boolean hasPending() {
        return submitted.get() > 0 || overload.queue().size() > 0;
    }

    /** Removes from the queue a request whose client has disconnected. */
    void cancel(String id, ResponseListener listener) {
        PendingRequest pending = overload.queue().remove(id);
        if (pending != null && pending.listener() != listener) {
            // The client sent a duplicate, which was rejected immediately: the queued request with this id stays.
            overload.queue().addNew(id, pending);
        }
    }

    /** Adds a request to the queue, which a separate task processes after the waiting tasks of open requests. */
    private void enqueue(PendingRequest pending) {
        String id = pending.request().id();
        submitted.decrementAndGet();
        if (requests.isKnown(id) || !overload.queue().addNew(id, pending)) {
            ErrorContainment.run(pending.listener()::onDuplicateId);
            idleCheck.run();
        } else if (!isQueueRunScheduled) {
            isQueueRunScheduled = true;
            scheduler.execute(this::processQueue);
        }
    }

    private void processQueue() {
        isQueueRunScheduled = false;
        for (PendingRequest next = overload.poll(); next != null; next = overload.poll()) {
            runOrReject(next, this::admitOrReject);
        }
        idleCheck.run();
    }

    private void admitOrReject(PendingRequest pending) {
        IncomingRequest request = pending.request();
        assert !requests.isOpen(request.id()) : "one id for two open requests: " + request.id();
        double now = clock.nowMs();
        AdmissionDecision decision = overload.admit(
                now,
                new AdmissionRequest(
                        request.id(),
                        request.requestClass(),
                        request.clientRetry(),
                        // The load balancer enforces quotas.
                        false,
                        request.deadlineMs() - now));
        if (decision == AdmissionDecision.ADMIT) {
            requests.open(request, pending.listener());
        } else {
            requests.rejectionLog().notAdmitted(request, decision, overload);
            requests.rememberRejected(request.id());
            double classDeadlineMs = classes.get(request.requestClass()).deadlineMs();
            double remainingMs = classDeadlineMs - (now - request.arrivedMs());
            pending.listener().onRejected(overload.retryAfterMs(now, remainingMs));
        }
    }

    /** Rejects the request if the step throws before the request is open: no attempt was made, so a retry is safe. */
    private void runOrReject(PendingRequest pending, Consumer<PendingRequest> step) {
        try {
            step.accept(pending);
        } catch (RuntimeException | StackOverflowError unexpected) {
            Log.error("request_task_failed", unexpected);
            String id = pending.request().id();
            if (!requests.isOpen(id)) {
                overload.queue().remove(id);
                ErrorContainment.run(() -> pending.listener().onRejected(0));
            }
        }
    }
}
