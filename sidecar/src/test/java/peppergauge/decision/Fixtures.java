package peppergauge.decision;

import java.util.List;
import java.util.function.Consumer;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.EndpointsUpdated;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.decision.LoadBalancer.RetryBudgetConfig;
import peppergauge.decision.LoadBalancer.Rules;
import peppergauge.decision.LoadBalancer.Settings;

/** Creates the objects that tests of single mechanisms need. */
final class Fixtures {

    static final double NOW_MS = 100_000;
    static final double OBJECTIVE_MS = 400;
    static final double DEADLINE_MS = 1_000;
    static final Limits LIMITS = new Limits(3, false, true, false, true, 1_500, true, 10_000);
    static final Rules RULES = new Rules(0.2, 10_000, 2, 3_000, true, RetryBudgetConfig.UNLIMITED);

    private Fixtures() {}

    static RequestClass requestClass(Idempotency idempotency, KeyScope scope) {
        return new RequestClass(OBJECTIVE_MS, DEADLINE_MS, 1, 0, idempotency, scope, 4_000);
    }

    static Request request(Idempotency idempotency, KeyScope scope) {
        return new Request("r", requestClass(idempotency, scope), new RequestClassStats(), NOW_MS, DEADLINE_MS, 0);
    }

    static Request request() {
        return request(Idempotency.IDEMPOTENT, KeyScope.ALL);
    }

    /** A usable, warm server. */
    static Server server(String id) {
        Server server = new Server(id, 0, 0);
        server.kindStats = new MachineKindStats();
        server.startedMs = Double.NEGATIVE_INFINITY;
        server.isUsable = true;
        server.successScore = 1;
        server.loadFactor = 1;
        server.concurrencyLimit = 2;
        return server;
    }

    /** Adds an attempt to the request, which has ended with the given outcome or, if that is null, is open. */
    static Request.Attempt attempt(Request request, Server server, Outcome outcome) {
        Request.Attempt attempt = new Request.Attempt(request.attempts.size(), server, NOW_MS, 50);
        attempt.outcome = outcome;
        request.attempts.add(attempt);
        request.openAttemptCount += outcome == null ? 1 : 0;
        return attempt;
    }

    static LatencyEstimator latency() {
        return new LatencyEstimator(OBJECTIVE_MS, new RequestClassStats[] {new RequestClassStats()});
    }

    static Settings settings(int instances) {
        return new Settings(
                0,
                instances,
                0,
                1,
                false,
                1,
                List.of(requestClass(Idempotency.IDEMPOTENT, KeyScope.ALL)),
                List.of(),
                LIMITS,
                RULES,
                List.of(LoadField.IN_FLIGHT, LoadField.LATENCY_MS));
    }

    static ServerRegistry registry(int servers) {
        ServerRegistry registry = new ServerRegistry(true, 7);
        for (int i = 0; i < servers; i++) {
            registry.update(update(false, new Endpoint("s" + i, 0, 0, EndpointState.READY, 0)));
        }
        return registry;
    }

    static EndpointsUpdated update(boolean complete, Endpoint... endpoints) {
        return new EndpointsUpdated(complete, false, List.of(endpoints));
    }

    static void repeat(int times, Consumer<Integer> step) {
        for (int i = 0; i < times; i++) {
            step.accept(i);
        }
    }
}
