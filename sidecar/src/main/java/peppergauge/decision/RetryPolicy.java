package peppergauge.decision;

import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.Outcome;

/**
 * Decides whether a request may be sent to a server, for the first time or again, and whether a retry after a failure
 * is useful.
 *
 * <p>Inputs are the limits of the settings, the retry budget, the idempotency rules and the outcomes of attempts.
 */
final class RetryPolicy {

    private final Limits limits;
    private final RetryBudget budget;
    private final IdempotencyRules idempotency;
    private final OutlierDetection outliers;

    RetryPolicy(Limits limits, RetryBudget budget, IdempotencyRules idempotency, OutlierDetection outliers) {
        this.limits = limits;
        this.budget = budget;
        this.idempotency = idempotency;
        this.outliers = outliers;
    }

    /** Whether the limits and the retry budget permit an attempt of the request now. */
    boolean permitsAttempt(Request request, double nowMs) {
        return !request.isClosed
                && request.attempts.size() < limits.maxAttempts()
                && nowMs < request.deadlineMs
                && (request.openAttemptCount == 0 || limits.parallelAttempts())
                && (request.attempts.isEmpty() || budget.permitsRetry(nowMs));
    }

    /** Whether the endpoint list and the idempotency rules permit an attempt of the request at this server. */
    boolean permitsServer(Request request, Server server, double nowMs) {
        return server.isUsable && idempotency.mayRunAt(request, server, nowMs);
    }

    /** Whether a request for which no server is available may wait for one, since it has attempts and budget left. */
    boolean mayWait(Request request, double nowMs) {
        return request.mayBeSentAgain(limits.maxAttempts())
                && (request.attempts.isEmpty() || budget.permitsRetry(nowMs));
    }

    /**
     * Whether the request itself has probably caused the failure of an attempt, so that a retry would fail too: its
     * connection broke, or all servers respond to many requests with errors.
     */
    boolean isCausedByRequest(Outcome outcome, double nowMs) {
        return outcome == Outcome.BROKEN || (outcome == Outcome.ERROR && outliers.areErrorsCausedByRequests(nowMs));
    }
}
