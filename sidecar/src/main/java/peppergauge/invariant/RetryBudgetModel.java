package peppergauge.invariant;

import java.util.ArrayDeque;
import peppergauge.decision.LoadBalancer.RetryBudgetConfig;

/** Model of the retry budget. Retries at the start of its window count, requests at the start do not. */
final class RetryBudgetModel {

    private final RetryBudgetConfig config;
    private final ArrayDeque<Double> requestsMs = new ArrayDeque<>();
    private final ArrayDeque<Double> retriesMs = new ArrayDeque<>();

    RetryBudgetModel(RetryBudgetConfig config) {
        this.config = config;
    }

    void onRequest(double nowMs) {
        if (config.isLimited()) {
            requestsMs.addLast(nowMs);
        }
    }

    void onRetryNotSent(double sentMs) {
        retriesMs.removeLastOccurrence(sentMs);
    }

    /** Counts a retry and returns whether it is within the budget. */
    boolean countRetry(double nowMs) {
        if (!config.isLimited()) {
            return true;
        }
        retriesMs.addLast(nowMs);
        double fromMs = nowMs - config.windowMs();
        while (retriesMs.peekFirst() < fromMs) {
            retriesMs.removeFirst();
        }
        while (!requestsMs.isEmpty() && requestsMs.peekFirst() <= fromMs) {
            requestsMs.removeFirst();
        }
        return retriesMs.size() <= config.minRetries() + config.retryRatio() * requestsMs.size();
    }
}
