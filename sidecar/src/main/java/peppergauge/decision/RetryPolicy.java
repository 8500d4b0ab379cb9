package peppergauge.decision;

import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.Outcome;

/**
 * Decides whether a request may have an attempt, first or further, and whether a failed attempt justifies another.
 *
 * <p>Inputs are the limits of the settings, the retry budget, the idempotency rules and the outcome of attempts.
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

    /** Whether the rules permit an attempt of the request now, at some server. */
    boolean permitsAttempt(Request request, double nowMs) {
        return !request.isClosed
                && request.attempts.size() < limits.maxAttempts()
                && nowMs < request.deadlineMs
                && (request.openAttemptCount == 0 || limits.parallelAttempts())
                && (request.attempts.isEmpty() || budget.permitsRetry(nowMs));
    }

    /** Whether the rules permit such an attempt at this server. */
    boolean permitsServer(Request request, Server server, double nowMs) {
        return server.isUsable && idempotency.mayRunAt(request, server, nowMs);
    }

    /** Whether a request that finds no server may wait for one: attempts and budget are left. */
    boolean mayWait(Request request, double nowMs) {
        return request.mayBeSentAgain(limits.maxAttempts())
                && (request.attempts.isEmpty() || budget.permitsRetry(nowMs));
    }

    /**
     * Whether the outcome of an attempt gives reason to believe that the next would fail too: the
     * request may have broken its server's connection, and errors at all servers are caused by the requests.
     */
    boolean isCausedByRequest(Outcome outcome, double nowMs) {
        return outcome == Outcome.BROKEN || (outcome == Outcome.ERROR && outliers.areErrorsOfRequests(nowMs));
    }
}
