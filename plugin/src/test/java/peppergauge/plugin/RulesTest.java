package peppergauge.plugin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.plugin.rules.Allowance;
import peppergauge.plugin.rules.Breaker;
import peppergauge.plugin.rules.Budget;
import peppergauge.plugin.rules.Chain;
import peppergauge.plugin.rules.HeaderRules;
import peppergauge.plugin.rules.OnFailure;
import peppergauge.plugin.rules.Rule;
import peppergauge.plugin.rules.Verdict;
import peppergauge.request.Message;

public class RulesTest {

    private static final HeaderRules HEADERS = new HeaderRules(List.of("X-Tag", "x-other"));
    private static final Chain CHAIN = new Chain(
            List.of(new Rule("a", OnFailure.OPEN, HEADERS, 0), new Rule("b", OnFailure.CLOSED, HEADERS, 700)));
    private static final Verdict TAG = new Verdict.Tag(List.of(new Verdict.Change(true, "X-Tag", "v")));
    private static final Verdict UNTAG = new Verdict.Tag(List.of(new Verdict.Change(false, "x-tag", "")));

    /** What becomes of a session; a null verdict is a failure. */
    @DataProvider
    public Object[][] ways() {
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
            {new Verdict.Tag(List.of(new Verdict.Change(true, "Host", "x"))), Verdict.PASS, "PASS [Host=h]"},
            {Verdict.PASS, new Verdict.Tag(List.of(new Verdict.Change(true, "Host", "x"))), "DENY closed 700.0"},
        };
    }

    @Test(dataProvider = "ways")
    public void theFirstDenialEndsAndFailuresGoByTheFile(Verdict first, Verdict second, String outcome) {
        Chain.Step step = CHAIN.begin(List.of(new Message.Field("Host", "h")));
        for (Verdict verdict : new Verdict[] {first, second}) {
            if (step.next() == Chain.Next.ASK) {
                step = verdict == null ? CHAIN.failed(step.where(), "broken") : CHAIN.heard(step.where(), verdict);
            }
        }
        assertEquals(
                step.next() + " "
                        + step.denial()
                                .map(no -> no.reason() + " " + no.retryAfterMs())
                                .orElse(step.where().fields().stream()
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
    public void onlyGrantedHeadersAndUsableValuesPass(String name, String value, boolean fine) {
        assertEquals(
                HEADERS.fault(List.of(new Verdict.Change(true, name, value))).isEmpty(), fine);
    }

    @Test
    public void whatSpeaksForTheClientOrTheConnectionIsNeverGranted() {
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
            assertThrows(IllegalArgumentException.class, () -> new HeaderRules(List.of(name)));
        }
        Verdict.Change change = new Verdict.Change(true, "X-Tag", "v");
        assertEquals(HEADERS.fault(java.util.Collections.nCopies(33, change)), Optional.of("more than 32 headers"));
    }

    @Test
    public void theTimeThatAPlugInIsLeftOutGrowsAndShrinksAgain() {
        Breaker breaker = new Breaker(3);
        double now = 0;
        double[] offs = {1_000, 2_000, 4_000, 8_000};
        assertTrue(breaker.failed(now).isEmpty());
        assertTrue(breaker.failed(now).isEmpty());
        for (double off : offs) {
            assertEquals(breaker.failed(now).orElseThrow(), off);
            assertTrue(breaker.isOff(now + off - 1));
            now += off;
            assertFalse(breaker.isOff(now));
        }
        for (int i = 0; i < 20; i++) {
            now += breaker.failed(now).orElseThrow();
        }
        assertEquals(breaker.failed(now).orElseThrow(), 300_000.0);
        now += 300_000 + 600_001;
        breaker.succeeded(now);
        assertTrue(breaker.failed(now).isEmpty());
        assertTrue(breaker.failed(now).isEmpty());
        assertEquals(breaker.failed(now).orElseThrow(), 1_000.0);
    }

    @Test
    public void failuresFarApartAreNotAddedUp() {
        Breaker breaker = new Breaker(2);
        for (double now = 0; now < 1e6; now += 10_001) {
            assertTrue(breaker.failed(now).isEmpty());
        }
    }

    @Test
    public void callsTakeTheirShareAndNoMore() {
        Allowance allowance = new Allowance(0.1, 50);
        double spent = 0;
        for (double now = 0; now < 10_000; now += 5) {
            if (allowance.allows(now)) {
                allowance.spent(4.5);
                spent += 4.5;
            }
        }
        assertTrue(spent > 1_000 && spent < 1_060, "spent " + spent);
    }

    @DataProvider
    public Object[][] waits() {
        return new Object[][] {{0, 100, 5}, {96, 100, 4}, {100, 100, 0}, {101, 100, 0}};
    }

    @Test(dataProvider = "waits")
    public void aSessionWaitsTheBudgetAndNeverPastItsDeadline(double now, double deadline, double wait) {
        assertEquals(new Budget(5).waitMs(now, deadline), wait);
    }
}
