package peppergauge.decision;

import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;

/** Decides, for requests of which an attempt may have run, whether a server may run them again and whether to reject. */
final class IdempotencyRules {

    private final double tickMs;

    /**
     * Rules for a clock of that resolution.
     *
     * @param tickMs resolution of the clock, ms
     */
    IdempotencyRules(double tickMs) {
        this.tickMs = tickMs;
    }

    /**
     * Whether a server may get the request although an earlier attempt may have run: always if it is idempotent; with an
     * idempotency key within the key's window, at a server that shares the memory of the key.
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

    /** Whether the final answer may be a rejection, by which the client knows that a retry is safe. */
    boolean mayReject(Request request) {
        return request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || request.firstAttemptThatMayHaveRun() == null
                || (request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && request.requestClass.keyScope() == KeyScope.ALL);
    }
}
