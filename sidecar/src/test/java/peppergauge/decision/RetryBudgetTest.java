package peppergauge.decision;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.RetryBudgetConfig;

public class RetryBudgetTest {

    @Test
    public void retriesAreLimitedByAShareOfTheRequestsInTheWindow() {
        RetryBudget budget = new RetryBudget(new RetryBudgetConfig(0, 0.25, 1_000));
        Fixtures.repeat(3, i -> budget.onRequest(0));
        assertFalse(budget.permitsRetry(0));
        budget.onRequest(0);
        assertTrue(budget.permitsRetry(0));
        budget.onRetry(0);
        assertFalse(budget.permitsRetry(0));
        budget.onRetryNotSent(0);
        assertTrue(budget.permitsRetry(0));
        assertTrue(budget.permitsRetry(999));
        assertFalse(budget.permitsRetry(1_000), "requests at the window's edge don't count");
    }

    @Test
    public void aRetryAtTheEdgeOfTheWindowCounts() {
        RetryBudget budget = new RetryBudget(new RetryBudgetConfig(1, 0, 1_000));
        budget.onRetry(0);
        assertFalse(budget.permitsRetry(1_000));
        assertTrue(budget.permitsRetry(1_001));
    }
}
