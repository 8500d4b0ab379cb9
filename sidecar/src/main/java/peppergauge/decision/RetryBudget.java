package peppergauge.decision;

import peppergauge.decision.LoadBalancer.RetryBudgetConfig;

/** Limits the attempts beyond each request's first, by the requests of a sliding time window. */
final class RetryBudget {

    private final RetryBudgetConfig config;
    private final SlidingWindowCounter requests = new SlidingWindowCounter();
    private final SlidingWindowCounter retries = new SlidingWindowCounter();

    RetryBudget(RetryBudgetConfig config) {
        this.config = config;
    }

    void onRequest(double nowMs) {
        requests.add(nowMs);
        retriesInWindow(nowMs);
        requestsInWindow(nowMs);
    }

    void onRetry(double nowMs) {
        retries.add(nowMs);
    }

    /** Gives back a retry that was never sent. */
    void onRetryNotSent(double sentMs) {
        retries.remove(sentMs);
    }

    /** Whether one more retry fits into the window that ends now. */
    boolean permitsRetry(double nowMs) {
        return retriesInWindow(nowMs) + 1 <= config.minRetries() + config.retryRatio() * requestsInWindow(nowMs);
    }

    /** A retry at the very edge of the window still counts. */
    private int retriesInWindow(double nowMs) {
        return retries.countSince(nowMs - config.windowMs(), true);
    }

    /** A request at the very edge of the window no longer counts. */
    private int requestsInWindow(double nowMs) {
        return requests.countSince(nowMs - config.windowMs(), false);
    }
}
