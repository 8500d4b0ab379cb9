package peppergauge.request;

import java.util.List;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Action;
import peppergauge.decision.LoadBalancer.DiscoveryFailed;
import peppergauge.decision.LoadBalancer.EndpointsUpdated;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.log.Log;
import peppergauge.overload.OverloadController;

/**
 * Dispatches requests to backend servers as a load balancer decides. The public methods may be called from any thread;
 * each of them submits a task to the event loop, which owns the load balancer and all other state.
 */
public final class RequestDispatcher implements RequestHandler {

    private final ClosableScheduler scheduler;
    private final LoadBalancerDriver loadBalancer;
    private final EndpointList endpoints;
    private final RequestAdmission admission;
    private final RequestLifecycle requests;
    private final AttemptLifecycle attempts;
    private final LoadBalancerTimers timers;
    private final HealthChecks healthChecks;
    private final IdleCallbacks idleCallbacks = new IdleCallbacks(this::isIdle);

    /**
     * @param scheduler runs tasks on the event loop
     * @param overload decides on the admission of each request, and is notified of response times
     * @param classes the request classes in the order of the settings
     * @param healthCheckTimeoutMs after which a health check without a response ends
     */
    public RequestDispatcher(
            LoadBalancer loadBalancer,
            Backend backend,
            Clock clock,
            Scheduler scheduler,
            OverloadController<?, PendingRequest> overload,
            List<RequestClass> classes,
            double healthCheckTimeoutMs) {
        this.scheduler = new ClosableScheduler(scheduler);
        this.loadBalancer = new LoadBalancerDriver(loadBalancer, clock, this::execute);
        endpoints = new EndpointList(backend, clock::wallStepMs);
        DispatchContext context = new DispatchContext(
                this.loadBalancer,
                backend,
                endpoints,
                overload,
                classes,
                clock,
                this.scheduler,
                this::runIdleCallbacks);
        requests = new RequestLifecycle(context);
        attempts = requests.attempts();
        admission = new RequestAdmission(requests, context);
        timers = new LoadBalancerTimers(context);
        healthChecks = new HealthChecks(context, healthCheckTimeoutMs);
    }

    /** Logs no rejections; for a dispatcher whose requests are not sent by clients. To be called before any request. */
    public void disableRejectionLog() {
        requests.rejectionLog().disable();
    }

    @Override
    public void handle(IncomingRequest request, ResponseListener listener) {
        admission.submit(request, listener);
    }

    @Override
    public void cancel(String id, ResponseListener listener) {
        scheduler.execute(() -> onClientDisconnected(id, listener));
    }

    /** Applies an update of the endpoint list. */
    public void onEndpointUpdate(EndpointUpdate update) {
        scheduler.execute(() -> apply(update));
    }

    /** Notifies the load balancer that the watch of the endpoint list is lost; the last list stays in use. */
    public void onWatchLost() {
        scheduler.execute(() -> loadBalancer.handle(new DiscoveryFailed()));
    }

    /** Runs a callback on the event loop, once, as soon as no request is pending or open. */
    public void whenIdle(Runnable callback) {
        scheduler.execute(() -> {
            idleCallbacks.add(callback);
            runIdleCallbacks();
        });
    }

    /** Drops all further tasks, including ends of attempts and timers; open requests get no response any more. */
    public void close() {
        scheduler.close();
    }

    private void onClientDisconnected(String id, ResponseListener listener) {
        OpenRequest request = requests.find(id);
        if (request == null) {
            admission.cancel(id, listener);
        } else {
            requests.onClientDisconnected(request, listener);
        }
    }

    private void apply(EndpointUpdate update) {
        EndpointList.Change change = endpoints.apply(update);
        attempts.cancelUnsentTo(change.leaving());
        change.previous().values().forEach(endpoints::releaseIfRemoved);
        loadBalancer.handle(new EndpointsUpdated(update.complete(), true, change.endpoints()));
    }

    private void execute(Action action) {
        if (action instanceof LoadBalancer.SendAttempt send) {
            attempts.start(send);
        } else if (action instanceof LoadBalancer.ScheduleTimer timer) {
            timers.schedule(timer);
        } else if (action instanceof LoadBalancer.CancelTimer timer) {
            timers.cancel(timer);
        } else if (action instanceof LoadBalancer.RejectRequest rejection) {
            requests.reject(rejection);
        } else if (action instanceof LoadBalancer.FailRequest failure) {
            requests.fail(failure);
        } else if (action instanceof LoadBalancer.CancelAttempt cancellation) {
            attempts.cancel(cancellation);
        } else if (action instanceof LoadBalancer.ProbeServer probe) {
            healthChecks.start(probe.server());
        } else if (action instanceof LoadBalancer.LogMessage message) {
            Log.event("load_balancer_message", "text", message.text());
        }
        // OpenWatch: the endpoint list is watched from the start.
    }

    private void runIdleCallbacks() {
        assert requests.hasOpen() || !attempts.hasInFlight() : "attempts of completed requests are in flight";
        idleCallbacks.runIfIdle();
    }

    private boolean isIdle() {
        return !admission.hasPending() && !requests.hasOpen();
    }
}
