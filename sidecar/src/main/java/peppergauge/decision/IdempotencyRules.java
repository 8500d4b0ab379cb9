package peppergauge.decision;

import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;

/**
 * Decides whether a request that a server may have executed may be sent to another server, and whether the request may
 * be rejected.
 */
final class IdempotencyRules {

    private final double tickMs;

    /**
     * Creates the rules.
     *
     * @param tickMs resolution of the clock, ms; key windows are taken to end that much earlier
     */
    IdempotencyRules(double tickMs) {
        this.tickMs = tickMs;
    }

    /**
     * Whether a server may get the request although an earlier attempt may have been executed. An idempotent request
     * may be sent to any server; one with an idempotency key only within the key's window, to a server in its scope.
     */
    boolean mayRunAt(Request request, Server server, double nowMs) {
        Request.Attempt earlier = request.firstAttemptThatMayHaveRun();
        if (earlier == null || request.requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        if (request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT
                || nowMs + tickMs - earlier.sentMs >= request.requestClass.keyWindowMs()) {
            return false;
        }
        return switch (request.requestClass.keyScope()) {
            case ALL -> true;
            case ZONE -> server.zone == earlier.server.zone;
            case CELL -> server.cell == earlier.server.cell && server.zone == earlier.server.zone;
        };
    }

    /** Whether the final answer may be a rejection, which tells the client that a retry is safe. */
    boolean mayReject(Request request) {
        return request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || request.firstAttemptThatMayHaveRun() == null
                || (request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && request.requestClass.keyScope() == KeyScope.ALL);
    }
}
