package peppergauge.decision;

import peppergauge.decision.LoadBalancer.RetryBudgetConfig;

/** Limits the number of retries in a sliding time window, in proportion to the requests in it. */
final class RetryBudget {

    private final RetryBudgetConfig config;
    private final SlidingWindowCounter requests = new SlidingWindowCounter();
    private final SlidingWindowCounter retries = new SlidingWindowCounter();

    RetryBudget(RetryBudgetConfig config) {
        this.config = config;
    }

    void onRequest(double nowMs) {
        requests.add(nowMs);
        // Counting discards events before the window, which bounds the memory even if no retry is ever needed.
        retriesInWindow(nowMs);
        requestsInWindow(nowMs);
    }

    void onRetry(double nowMs) {
        retries.add(nowMs);
    }

    /** Returns a retry that was never sent to the budget. */
    void onRetryNotSent(double sentMs) {
        retries.remove(sentMs);
    }

    /** Whether the budget permits one more retry in the window that ends now. */
    boolean permitsRetry(double nowMs) {
        return retriesInWindow(nowMs) + 1 <= config.minRetries() + config.retryRatio() * requestsInWindow(nowMs);
    }

    /** Counts the retries in the window, including those at its start. */
    private int retriesInWindow(double nowMs) {
        return retries.countSince(nowMs - config.windowMs(), true);
    }

    /** Counts the requests in the window, excluding those at its start. */
    private int requestsInWindow(double nowMs) {
        return requests.countSince(nowMs - config.windowMs(), false);
    }
}
