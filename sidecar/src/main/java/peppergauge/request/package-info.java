/**
 * Dispatches requests to backend servers. {@link peppergauge.request.RequestDispatcher} is the entry point; its parts
 * each have one concern:
 *
 * <ul>
 *   <li>{@link peppergauge.request.RequestAdmission}: pending requests, duplicates, overload control;
 *   <li>{@link peppergauge.request.RequestLifecycle}: the state machine of open requests, their single response;
 *   <li>{@link peppergauge.request.AttemptLifecycle}: attempts, their timeouts and outcomes;
 *   <li>{@link peppergauge.request.EndpointList}: the known servers;
 *   <li>{@link peppergauge.request.LoadBalancerDriver}, {@link peppergauge.request.LoadBalancerTimers},
 *       {@link peppergauge.request.HealthChecks}: the load balancer's events, timers and health checks;
 *   <li>{@link peppergauge.request.IdleCallbacks}: callbacks for the end of a graceful shutdown;
 *   <li>{@link peppergauge.request.ErrorContainment}: unexpected exceptions.
 * </ul>
 *
 * <p>All state is confined to the event-loop thread behind a {@link peppergauge.request.Scheduler}. The package does
 * not depend on any protocol: frontends implement {@link peppergauge.request.ResponseListener}, backends implement
 * {@link peppergauge.request.Backend}.
 */
package peppergauge.request;
