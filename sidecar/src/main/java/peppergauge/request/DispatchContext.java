package peppergauge.request;

import java.util.List;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.overload.OverloadController;

/**
 * What the parts of a {@link RequestDispatcher} share.
 *
 * @param overload asked to admit each request, and notified of response times
 * @param classes of the requests, in the order of the settings
 * @param scheduler runs tasks on the event loop until the dispatcher is closed
 * @param idleCheck to be run when a request is neither pending nor open any more
 */
record DispatchContext(
        LoadBalancerDriver loadBalancer,
        Backend backend,
        EndpointList endpoints,
        OverloadController<?, PendingRequest> overload,
        List<RequestClass> classes,
        Clock clock,
        Scheduler scheduler,
        Runnable idleCheck) {}
