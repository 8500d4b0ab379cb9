package peppergauge.overload;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class OverloadControllerTest {

    static OverloadController<String, String> overload() {
        return new OverloadController<>(OverloadConfig.of(List.of(5.0, 1.0, 10.0), 0.05, true, 1_200, 20, 1));
    }

    /** When attempts ended and their latency; the remaining time at 9 s, and whether it is too short; in ms. */
    @DataProvider
    public Object[][] remainingTimes() {
        return new Object[][] {
            {-2_000, 40, 2.9, true},
            {-2_000, 40, 3, false},
            {8_000, 40, 39, true},
            {8_000, 40, 40, false},
            {8_000, 700, 100, false},
            {8_000, 0.1, 2.9, true},
        };
    }

    @Test(dataProvider = "remainingTimes")
    public void rejectsRequestAsTooLateBelowMinimumLatency(
            double endedMs, double latencyMs, double remainingMs, boolean isTooLate) {
        OverloadController<String, String> overload = overload();
        overload.onResponse(endedMs, latencyMs);
        overload.onResponse(endedMs, latencyMs + 20);
        overload.onSelectReturned(9_000);
        assertEquals(
                overload.admit(9_000, new AdmissionRequest("a", 0, false, false, remainingMs))
                        == AdmissionDecision.TOO_LATE,
                isTooLate);
    }

    @Test
    public void standingQueueTakesEffectImmediately() {
        OverloadController<String, String> overload = overload();
        for (double nowMs = 0; nowMs <= 150; nowMs += 30) {
            assertEquals(overload.admittedShare(), 1.0);
            overload.onSelectReturned(nowMs);
            overload.onRoundEnded(nowMs + 30, true);
        }
        assertEquals(overload.level(), OverloadLevel.SHEDDING);
        assertTrue(overload.queue().addNew("1", "older") && overload.queue().addNew("2", "newer"));
        assertEquals(overload.poll(), "newer");
        assertFalse(overload.isAllowed(150, BackgroundTask.HEALTH_CHECK));
        assertTrue(overload.acceptRateLimiter().ratePerS() < AcceptRateLimiter.MAX_RATE_PER_S);
    }
}
