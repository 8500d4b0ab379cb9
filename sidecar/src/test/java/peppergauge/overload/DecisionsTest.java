package peppergauge.overload;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.DoubleStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The decisions one by one, by tables of cases. */
public class DecisionsTest {

    static OverloadController<String, String> overload() {
        return new OverloadController<>(OverloadConfig.of(List.of(5.0, 1.0, 10.0), 0.05, true, 1_200, 20, 1));
    }

    /** Select returned at 0, the round ended at 10, then: select returned, earliest arrival, delay, stalled. */
    @DataProvider
    public Object[][] rounds() {
        return new Object[][] {
            {10.1, 0, 10.1, 0},
            {10.25, 10.25, 0, 0},
            {15, 15, 0, 0},
            {35, 35, 0, 0},
            {35.1, 10, 25.1, 5.1},
            {910, 10, 900, 880},
            {9, 0, 10, 0},
        };
    }

    @Test(dataProvider = "rounds")
    public void bytesMayHaveComeInAsEarlyAsTheRoundsLeavePossible(
            double returned, double earliest, double delay, double stalled) {
        EventLoopLatency rounds = new EventLoopLatency(20, 5);
        rounds.onSelectReturned(0);
        rounds.onRoundEnded(10, true);
        rounds.onSelectReturned(returned);
        assertEquals(rounds.earliestArrivalMs(), earliest, 1e-9);
        assertEquals(rounds.queueDelayMs(), delay, 1e-9);
        assertEquals(rounds.stalledMs(), stalled, 1e-9);
    }

    /** Target 15 ms, interval 100 ms; samples as time and delay. */
    @DataProvider
    public Object[][] delays() {
        return new Object[][] {
            {"a burst", false, new double[] {0, 0, 10, 80, 50, 60, 90, 30, 120, 0}},
            {"over the target for less than an interval", false, new double[] {0, 20, 40, 20, 99, 20}},
            {"for an interval", true, new double[] {0, 20, 40, 20, 80, 20, 100, 20}},
            {"one low sample in between", false, new double[] {0, 20, 50, 20, 70, 15, 100, 20, 150, 20}},
            {"a pause and one round to catch up", false, new double[] {0, 20, 900, 900}},
            {"a queue that stands on after a pause", true, new double[] {0, 20, 900, 900, 950, 900}},
        };
    }

    @Test(dataProvider = "delays")
    public void onlyAQueueThatIsNeverShortStands(String what, boolean stands, double[] samples) {
        StandingQueueDetector delay = new StandingQueueDetector(15, 100);
        for (int i = 0; i < samples.length; i += 2) {
            delay.recordDelay(samples[i], samples[i + 1]);
        }
        assertEquals(delay.isStanding(), stands, what);
    }

    /** When services ended and how long they took; then the time left at 9 s, and whether that is late. */
    @DataProvider
    public Object[][] timesLeft() {
        return new Object[][] {
            {-2_000, 40, 2.9, true},
            {-2_000, 40, 3, false},
            {8_000, 40, 39, true},
            {8_000, 40, 40, false},
            {8_000, 700, 100, false},
            {8_000, 0.1, 2.9, true},
        };
    }

    @Test(dataProvider = "timesLeft")
    public void aSessionIsLateOnlyIfNoServiceEverWasSoShort(double atMs, double tookMs, double leftMs, boolean late) {
        OverloadController<String, String> overload = overload();
        overload.onResponse(atMs, tookMs);
        overload.onResponse(atMs, tookMs + 20);
        overload.onSelectReturned(9_000);
        assertEquals(
                overload.admit(9_000, new AdmissionRequest("a", 0, false, false, leftMs)) == AdmissionDecision.TOO_LATE,
                late);
    }

    @Test
    public void allDecisionsFollowAsSoonAsAQueueStands() {
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

    @Test
    public void theLevelFollowsTheMixOfLateAndNotThatOfOnceUponATime() {
        PriorityHistogram levels = new PriorityHistogram(4);
        for (int i = 0; i < 110; i++) {
            levels.decay();
            levels.record(i < 100 ? 0 : 2);
        }
        assertEquals(levels.levelsCovering(0.5), 3);
    }

    /** The longest time allowed, the share turned away, the time left; then the least and the most of the advice. */
    @DataProvider
    public Object[][] advice() {
        return new Object[][] {
            {0, 1, 9_000, 0, 0}, {1_200, 0, 9_000, 30, 60}, {1_200, 0.125, 9_000, 300, 600},
            {1_200, 0.25, 9_000, 600, 1_200}, {1_200, 0.98, 9_000, 600, 1_200}, {1_200, 0.98, 700, 600, 700},
            {1_200, 0.98, 599, 0, 0}, {1_200, 0, -5, 0, 0},
        };
    }

    @Test(dataProvider = "advice")
    public void adviceIsSpreadGrowsWithDepthAndKeepsItsBounds(
            double longest, double away, double left, double least, double most) {
        RetryAfter retryAfter = new RetryAfter(longest, 7);
        var told = DoubleStream.generate(() -> retryAfter.delayMs(away, left))
                .limit(1_000)
                .summaryStatistics();
        assertTrue(told.getMin() >= least && told.getMax() <= most, told.toString());
        assertTrue(told.getMax() - told.getMin() >= 0.9 * (most - least), told.toString());
    }

    @Test
    public void endsComeFirstAndSessionsOldestFirstUnlessAQueueStands() {
        for (boolean newestFirst : new boolean[] {false, true}) {
            ArrivalQueue<String> order = new ArrivalQueue<>();
            assertTrue(order.addNew("1", "session 1"));
            order.addInProgress("end 1");
            assertTrue(order.addNew("2", "session 2") && order.addNew("3", "session 3"));
            assertFalse(order.addNew("1", "another's copy"));
            order.addInProgress("end 2");
            assertEquals(order.remove("2"), "session 2");
            assertEquals(order.size(), 4);
            for (String task : newestFirst
                    ? List.of("end 1", "end 2", "session 3", "session 1")
                    : List.of("end 1", "end 2", "session 1", "session 3")) {
                assertEquals(order.poll(newestFirst), task);
            }
            assertNull(order.poll(newestFirst));
        }
    }

    @Test
    public void whatStopsFirstComesBackLast() {
        BackgroundTasks extras = new BackgroundTasks();
        extras.onOverloadLevel(0, OverloadLevel.STANDING_QUEUE);
        assertTrue(!extras.isAllowed(0, BackgroundTask.IDLE_CONNECTION_SWEEP)
                && extras.isAllowed(0, BackgroundTask.HEALTH_CHECK));
        extras.onOverloadLevel(0, OverloadLevel.SEVERE);
        BackgroundTask[] all = BackgroundTask.values();
        for (int i = 1; i < all.length; i++) {
            assertTrue(extras.isAllowed(all[i].resumeAfterMs, all[i])
                    && !extras.isAllowed(all[i].resumeAfterMs, all[i - 1]));
        }
    }

    @Test
    public void whatCannotBeIsRefusedAtTheStart() {
        for (double[] each : new double[][] {{-1, 1_200, 20}, {1, Double.POSITIVE_INFINITY, 20}, {1, 1_200, 0}}) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> new OverloadController<String, String>(
                            OverloadConfig.of(List.of(each[0]), 1, true, each[1], each[2], 1)));
        }
    }
}
