package peppergauge.plugin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.plugin.rules.Budget;
import peppergauge.plugin.rules.CircuitBreaker;
import peppergauge.plugin.rules.HeaderPolicy;
import peppergauge.plugin.rules.OnFailure;
import peppergauge.plugin.rules.PluginChain;
import peppergauge.plugin.rules.PluginPolicy;
import peppergauge.plugin.rules.ThreadTimeLimiter;
import peppergauge.plugin.rules.Verdict;
import peppergauge.request.Message;

/** Tests for the decision logic in {@code peppergauge.plugin.rules}. */
public class PluginRulesTest {

    private static final HeaderPolicy HEADERS = new HeaderPolicy(List.of("X-Tag", "x-other"));
    private static final PluginChain CHAIN = new PluginChain(List.of(
            new PluginPolicy("a", OnFailure.OPEN, HEADERS, 0), new PluginPolicy("b", OnFailure.CLOSED, HEADERS, 700)));
    private static final Verdict TAG = new Verdict.Tag(List.of(new Verdict.HeaderChange(true, "X-Tag", "v")));
    private static final Verdict UNTAG = new Verdict.Tag(List.of(new Verdict.HeaderChange(false, "x-tag", "")));

    /** The verdicts of two plug-ins, null for a failure, and the result for the request. */
    @DataProvider
    public Object[][] verdicts() {
        Verdict no = new Verdict.Deny("no", 300);
        return new Object[][] {
            {Verdict.PASS, Verdict.PASS, "PASS [Host=h]"},
            {TAG, Verdict.PASS, "PASS [Host=h, X-Tag=v]"},
            {TAG, TAG, "PASS [Host=h, X-Tag=v]"},
            {TAG, UNTAG, "PASS [Host=h]"},
            {UNTAG, TAG, "PASS [Host=h, X-Tag=v]"},
            {no, TAG, "DENY no 300.0"},
            {TAG, no, "DENY no 300.0"},
            {null, TAG, "PASS [Host=h, X-Tag=v]"},
            {TAG, null, "DENY closed 700.0"},
            {new Verdict.Tag(List.of(new Verdict.HeaderChange(true, "Host", "x"))), Verdict.PASS, "PASS [Host=h]"},
            {Verdict.PASS, new Verdict.Tag(List.of(new Verdict.HeaderChange(true, "Host", "x"))), "DENY closed 700.0"},
        };
    }

    @Test(dataProvider = "verdicts")
    public void chainEndsAtFirstDenialAndAppliesOnFailure(Verdict first, Verdict second, String outcome) {
        PluginChain.Step step = CHAIN.start(List.of(new Message.Field("Host", "h")));
        for (Verdict verdict : new Verdict[] {first, second}) {
            if (step.next() == PluginChain.NextAction.ASK) {
                step = verdict == null
                        ? CHAIN.afterFailure(step.position(), "broken")
                        : CHAIN.afterVerdict(step.position(), verdict);
            }
        }
        assertEquals(
                step.next() + " "
                        + step.denial()
                                .map(no -> no.reason() + " " + no.retryAfterMs())
                                .orElse(step.position().headers().stream()
                                        .map(field -> field.name() + "=" + field.value())
                                        .toList()
                                        .toString()),
                outcome);
    }

    @DataProvider
    public Object[][] changes() {
        return new Object[][] {
            {"X-Tag", "v", true},
            {"x-OTHER", "", true},
            {"X-Tag", "a b", true},
            {"X-Tag", " a", false},
            {"X-Tag", "a\r\nB: c", false},
            {"X-Tag", "\u00e4", false},
            {"X-Tag", "x".repeat(1025), false},
            {"X-None", "v", false},
            {"X-Tag ", "v", false},
            {"X\r\nY", "v", false},
            {"", "v", false},
            {"X-Tag:", "v", false},
        };
    }

    @Test(dataProvider = "changes")
    public void allowsOnlyGrantedHeadersAndValidValues(String name, String value, boolean isAllowed) {
        assertEquals(
                HEADERS.violation(List.of(new Verdict.HeaderChange(true, name, value)))
                        .isEmpty(),
                isAllowed);
    }

    @Test
    public void neverGrantsReservedOrMalformedHeaders() {
        for (String name : new String[] {
            "Host",
            "content-length",
            "Connection",
            "X-Txn",
            "x-org",
            "X-Remaining-Ms",
            "X-Resent",
            "Transfer-Encoding",
            "X-Rehearsal",
            "a b",
            ""
        }) {
            assertThrows(IllegalArgumentException.class, () -> new HeaderPolicy(List.of(name)));
        }
        Verdict.HeaderChange change = new Verdict.HeaderChange(true, "X-Tag", "v");
        assertEquals(HEADERS.violation(Collections.nCopies(33, change)), Optional.of("more than 32 headers"));
    }

    @Test
    public void circuitBreakerOpensForIncreasingTimeAndResets() {
        CircuitBreaker breaker = new CircuitBreaker(3);
        double now = 0;
        double[] openMs = {1_000, 2_000, 4_000, 8_000};
        assertTrue(breaker.recordFailure(now).isEmpty());
        assertTrue(breaker.recordFailure(now).isEmpty());
        for (double expectedMs : openMs) {
            assertEquals(breaker.recordFailure(now).orElseThrow(), expectedMs);
            assertTrue(breaker.isOpen(now + expectedMs - 1));
            now += expectedMs;
            assertFalse(breaker.isOpen(now));
        }
        for (int i = 0; i < 20; i++) {
            now += breaker.recordFailure(now).orElseThrow();
        }
        assertEquals(breaker.recordFailure(now).orElseThrow(), 300_000.0);
        now += 300_000 + 600_001;
        breaker.recordSuccess(now);
        assertTrue(breaker.recordFailure(now).isEmpty());
        assertTrue(breaker.recordFailure(now).isEmpty());
        assertEquals(breaker.recordFailure(now).orElseThrow(), 1_000.0);
    }

    @Test
    public void circuitBreakerIgnoresFailuresOutsideWindow() {
        CircuitBreaker breaker = new CircuitBreaker(2);
        for (double now = 0; now < 1e6; now += 10_001) {
            assertTrue(breaker.recordFailure(now).isEmpty());
        }
    }

    @Test
    public void cpuShareLimiterAdmitsItsShare() {
        ThreadTimeLimiter limiter = new ThreadTimeLimiter(0.1, 50);
        double spent = 0;
        for (double now = 0; now < 10_000; now += 5) {
            if (limiter.tryAdmit(now)) {
                limiter.charge(4.5);
                spent += 4.5;
            }
        }
        assertTrue(spent > 1_000 && spent < 1_060, "spent " + spent + " ms, expected 1000 to 1060");
    }

    @DataProvider
    public Object[][] waits() {
        return new Object[][] {{0, 100, 5}, {96, 100, 4}, {100, 100, 0}, {101, 100, 0}};
    }

    @Test(dataProvider = "waits")
    public void waitsForBudgetButNotPastDeadline(double now, double deadline, double wait) {
        assertEquals(new Budget(5).waitMs(now, deadline), wait);
    }
}
