package peppergauge.invariant;

import java.util.ArrayDeque;
import peppergauge.decision.Balancer.Budget;

/** Further attempts and requests taken within the budget's window; both edges count against an attempt. */
final class CheckedBudget {

    private final Budget budget;
    private final ArrayDeque<Double> taken = new ArrayDeque<>();
    private final ArrayDeque<Double> further = new ArrayDeque<>();

    CheckedBudget(Budget budget) {
        this.budget = budget;
    }

    void taken(double nowMs) {
        if (budget.binds()) {
            taken.addLast(nowMs);
        }
    }

    void neverSent(double sentMs) {
        further.removeLastOccurrence(sentMs);
    }

    /** Counts one more attempt beyond a first; whether it lies within the budget. */
    boolean further(double nowMs) {
        if (!budget.binds()) {
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
        return further.size() <= budget.free() + budget.share() * taken.size();
    }
}
