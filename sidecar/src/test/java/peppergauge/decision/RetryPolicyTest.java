package peppergauge.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RetryBudgetConfig;

public class RetryPolicyTest {

    private static final Server SERVER = Fixtures.server("s");

    private static RetryPolicy policy(RetryBudgetConfig budget) {
        return new RetryPolicy(
                Fixtures.LIMITS,
                new RetryBudget(budget),
                new IdempotencyRules(1),
                new OutlierDetection(Fixtures.latency()));
    }

    private static boolean permits(Request request, Server server, double nowMs) {
        RetryPolicy policy = policy(RetryBudgetConfig.UNLIMITED);
        return policy.permitsAttempt(request, nowMs) && policy.permitsServer(request, server, nowMs);
    }

    @Test
    public void attemptNeedsUsableServerOpenRequestAndTime() {
        Server unusable = Fixtures.server("u");
        unusable.isUsable = false;
        Request request = Fixtures.request();
        assertTrue(permits(request, SERVER, Fixtures.NOW_MS));
        assertFalse(permits(request, unusable, Fixtures.NOW_MS));
        assertFalse(permits(request, SERVER, request.deadlineMs));
        request.isClosed = true;
        assertFalse(permits(request, SERVER, Fixtures.NOW_MS));
    }

    @Test
    public void attemptsAreLimitedByMaxAttemptsAndRetryBudget() {
        Request request = Fixtures.request();
        Fixtures.attempt(request, SERVER, Outcome.UNREACHABLE);
        assertTrue(permits(request, SERVER, Fixtures.NOW_MS));
        RetryBudgetConfig none = new RetryBudgetConfig(0, 0, 1_000);
        assertFalse(policy(none).permitsAttempt(request, Fixtures.NOW_MS));
        assertFalse(policy(none).mayWait(request, Fixtures.NOW_MS));
        Fixtures.attempt(request, SERVER, Outcome.UNREACHABLE);
        Fixtures.attempt(request, SERVER, Outcome.UNREACHABLE);
        assertFalse(permits(request, SERVER, Fixtures.NOW_MS));
    }

    @Test
    public void openAttemptForbidsAnotherIfParallelAttemptsAreNotAllowed() {
        Request request = Fixtures.request();
        Fixtures.attempt(request, SERVER, null);
        assertFalse(permits(request, SERVER, Fixtures.NOW_MS));
    }

    @Test
    public void brokenConnectionCountsAsCausedByRequest() {
        RetryPolicy policy = policy(RetryBudgetConfig.UNLIMITED);
        assertTrue(policy.isCausedByRequest(Outcome.BROKEN, Fixtures.NOW_MS));
        assertFalse(policy.isCausedByRequest(Outcome.ERROR, Fixtures.NOW_MS));
        assertFalse(policy.isCausedByRequest(Outcome.UNREACHABLE, Fixtures.NOW_MS));
    }

    /**
     * Idempotency, key scope and outcome of the first attempt; whether a retry is allowed in the same cell, in the same
     * zone and elsewhere, and whether a rejection is allowed.
     */
    @DataProvider
    public Object[][] retries() {
        return new Object[][] {
            {Idempotency.IDEMPOTENT, KeyScope.ALL, Outcome.ERROR, true, true, true, true},
            {Idempotency.NON_IDEMPOTENT, KeyScope.ALL, Outcome.ERROR, false, false, false, false},
            {Idempotency.NON_IDEMPOTENT, KeyScope.ALL, Outcome.UNREACHABLE, true, true, true, true},
            {Idempotency.IDEMPOTENCY_KEY, KeyScope.ALL, Outcome.ERROR, true, true, true, true},
            {Idempotency.IDEMPOTENCY_KEY, KeyScope.ZONE, Outcome.ERROR, true, true, false, false},
            {Idempotency.IDEMPOTENCY_KEY, KeyScope.CELL, Outcome.ERROR, true, false, false, false},
        };
    }

    @Test(dataProvider = "retries")
    public void idempotencyDeterminesRetriesAndRejections(
            Idempotency idempotency,
            KeyScope scope,
            Outcome outcome,
            boolean inCell,
            boolean inZone,
            boolean elsewhere,
            boolean rejection) {
        IdempotencyRules rules = new IdempotencyRules(1);
        Request request = Fixtures.request(idempotency, scope);
        Fixtures.attempt(request, SERVER, outcome);
        assertEquals(rules.mayRunAt(request, new Server("a", 0, 0), Fixtures.NOW_MS), inCell);
        assertEquals(rules.mayRunAt(request, new Server("b", 0, 1), Fixtures.NOW_MS), inZone);
        assertEquals(rules.mayRunAt(request, new Server("c", 1, 0), Fixtures.NOW_MS), elsewhere);
        assertEquals(rules.mayReject(request), rejection);
    }

    @Test
    public void idempotencyKeyIsValidWithinItsWindow() {
        IdempotencyRules rules = new IdempotencyRules(1);
        Request request = Fixtures.request(Idempotency.IDEMPOTENCY_KEY, KeyScope.ALL);
        Fixtures.attempt(request, SERVER, Outcome.ERROR);
        assertTrue(rules.mayRunAt(request, SERVER, Fixtures.NOW_MS + 3_998));
        assertFalse(rules.mayRunAt(request, SERVER, Fixtures.NOW_MS + 3_999));
    }
}
