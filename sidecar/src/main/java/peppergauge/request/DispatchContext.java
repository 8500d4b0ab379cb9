package peppergauge.request;

import java.util.List;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.overload.OverloadController;

/**
 * The dependencies that the components of a {@link RequestDispatcher} share.
 *
 * @param overload decides on the admission of each request, and is notified of response times
 * @param classes the request classes in the order of the settings
 * @param scheduler runs tasks on the event loop until the dispatcher is closed
 * @param idleCheck runs when a request is neither pending nor open any more
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
