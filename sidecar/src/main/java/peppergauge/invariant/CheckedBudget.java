package peppergauge.invariant;

import java.util.ArrayDeque;
import peppergauge.decision.LoadBalancer.RetryBudgetConfig;

/** Further attempts and requests taken within the budget's window; both edges count against an attempt. */
final class CheckedBudget {

    private final RetryBudgetConfig budget;
    private final ArrayDeque<Double> taken = new ArrayDeque<>();
    private final ArrayDeque<Double> further = new ArrayDeque<>();

    CheckedBudget(RetryBudgetConfig budget) {
        this.budget = budget;
    }

    void taken(double nowMs) {
        if (budget.isLimited()) {
            taken.addLast(nowMs);
        }
    }

    void neverSent(double sentMs) {
        further.removeLastOccurrence(sentMs);
    }

    /** Counts one more attempt beyond a first; whether it lies within the budget. */
    boolean further(double nowMs) {
        if (!budget.isLimited()) {
            return true;
        }
        further.addLast(nowMs);
        double fromMs = nowMs - budget.windowMs();
        while (further.peekFirst() < fromMs) {
            further.removeFirst();
        }
        while (!taken.isEmpty() && taken.peekFirst() <= fromMs) {
            taken.removeFirst();
        }
        return further.size() <= budget.minRetries() + budget.retryRatio() * taken.size();
    }
}
