package peppergauge.request;

import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.ProbeEnded;
import peppergauge.overload.BackgroundTask;
import peppergauge.overload.OverloadController;

/** Runs the health checks that the load balancer asks for. Event-loop thread only. */
final class HealthChecks {

    private final LoadBalancerDriver loadBalancer;
    private final Backend backend;
    private final EndpointList endpoints;
    private final OverloadController<?, ?> overload;
    private final Clock clock;
    private final Scheduler scheduler;
    private final double timeoutMs;

    HealthChecks(DispatchContext context, double timeoutMs) {
        loadBalancer = context.loadBalancer();
        backend = context.backend();
        endpoints = context.endpoints();
        overload = context.overload();
        clock = context.clock();
        scheduler = context.scheduler();
        this.timeoutMs = timeoutMs;
    }

    /** A health check; {@code timeout} is null once the check has ended. */
    private static final class HealthCheck {

        private final String server;
        private final double sentMs;
        private Backend.Exchange exchange;
        private Scheduler.ScheduledTask timeout;

        HealthCheck(String server, double sentMs) {
            this.server = server;
            this.sentMs = sentMs;
        }
    }

    /** Checks a server. The check ends as never sent if the server is not listed or health checks are suspended. */
    void start(String serverId) {
        Backend.Server server = endpoints.find(serverId);
        double sentMs = clock.nowMs();
        if (server == null || !overload.isAllowed(sentMs, BackgroundTask.HEALTH_CHECK)) {
            scheduler.execute(() -> loadBalancer.handle(new ProbeEnded(serverId, Outcome.NEVER_SENT, 0, null)));
            return;
        }
        HealthCheck check = new HealthCheck(serverId, sentMs);
        check.exchange =
                backend.probe(server, sentMs + timeoutMs, result -> scheduler.execute(() -> onEnded(check, result)));
        check.timeout = scheduler.schedule(timeoutMs, () -> {
            check.exchange.abort();
            onEnded(check, new Backend.Result(Outcome.TIMED_OUT));
        });
    }

    private void onEnded(HealthCheck check, Backend.Result result) {
        if (check.timeout != null) {
            check.timeout.cancel();
            check.timeout = null;
            double elapsedMs = clock.nowMs() - check.sentMs;
            double latencyMs = result.latencyMs() < elapsedMs ? result.latencyMs() : elapsedMs;
            loadBalancer.handle(new ProbeEnded(check.server, result.outcome(), latencyMs, result.loadReport()));
        }
    }
}
