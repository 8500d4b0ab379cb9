package peppergauge.decision;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.RetryBudgetConfig;

public class RetryBudgetTest {

    @Test
    public void limitsRetriesToShareOfRequestsInWindow() {
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
        assertFalse(budget.permitsRetry(1_000), "expected requests at the start of the window not to count");
    }

    @Test
    public void retryAtStartOfWindowCounts() {
        RetryBudget budget = new RetryBudget(new RetryBudgetConfig(1, 0, 1_000));
        budget.onRetry(0);
        assertFalse(budget.permitsRetry(1_000));
        assertTrue(budget.permitsRetry(1_001));
    }
}
