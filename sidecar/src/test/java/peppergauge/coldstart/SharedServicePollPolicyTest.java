package peppergauge.coldstart;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The bound on the whole: what all callers together do to the service that they share, in virtual time. */
public class SharedServicePollPolicyTest {

    /** The least peak that chance allows where the bound is 50 calls a second, and as much again for retries. */
    private static final double MOST_PEAK = 2 * ColdStartByHand.SAID;

    private static final double LENGTH_MS = 300_000;

    @DataProvider
    public Object[][] cases() {
        List<Object[]> cases = new ArrayList<>();
        ColdStartByHand.cases().forEach((name, at) -> {
            for (int callers : new int[] {300, 1_000, 3_000}) {
                cases.add(new Object[] {name, callers, at});
            }
        });
        return cases.toArray(new Object[0][]);
    }

    /** The same figure for any number of callers: that the peak is flat, also where all calls fail at one moment. */
    @Test(dataProvider = "cases")
    public void thePeakIsBoundedWhateverTheNumberOfCallers(String which, int callers, ColdStartByHand.Case at) {
        SharedDiscovery.Seen seen = SharedDiscovery.run(
                callers,
                ColdStartByHand.ANSWERS,
                at.fault(),
                at.loopMs(),
                LENGTH_MS,
                life -> ColdStartByHand.spread(callers, life, ColdStartByHand.SAID));
        assertTrue(seen.peak() <= MOST_PEAK, which + ": peak " + seen.peak());
        // One call in twenty: as callers are told, those that are left call no more often.
        assertTrue(seen.peakOverMean() <= 4, which + ": peak " + seen.peak() + ", mean " + seen.mean());
    }

    @Test
    public void allAreToldInLittleMoreThanTheirTurns() {
        SharedDiscovery.Seen seen = SharedDiscovery.run(
                3_000,
                ColdStartByHand.ANSWERS,
                SharedDiscovery.Fault.NONE,
                0,
                LENGTH_MS,
                life -> ColdStartByHand.spread(3_000, life, ColdStartByHand.SAID));
        assertTrue(seen.toldS() <= 62, "told after " + seen.toldS() + " s");
        assertTrue(seen.calls() < 3_100, seen.calls() + " calls");
    }

    /** What the model's verdict rests on: a pace with no draw fails it. */
    @Test
    public void theFormerWatchFailsTheSameTest() {
        SharedDiscovery.Seen seen = SharedDiscovery.run(
                1_000,
                ColdStartByHand.ANSWERS,
                SharedDiscovery.Fault.NONE,
                0,
                LENGTH_MS,
                life -> ColdStartByHand.former());
        assertTrue(seen.peak() > MOST_PEAK && seen.toldS() > LENGTH_MS / 1_000, "told after " + seen.toldS());
    }

    @Test
    public void withoutANumberPausesGrowToTheLongestAndNeverLineUp() {
        SharedServicePollPolicy pace = new SharedServicePollPolicy(
                new SharedServicePollPolicy.Config(50, 2_000, 2_000, 10_000, 60_000, 2_500),
                0,
                SharedServicePollPolicy.PriorState.NONE,
                3);
        double[] pauses = LongStream.range(0, 1_000)
                .mapToDouble(i -> pace.delayAfterFailureMs())
                .toArray();
        double longest = java.util.Arrays.stream(pauses).max().orElseThrow();
        assertTrue(longest > 30_000 && longest <= 60_000, "longest " + longest);
        assertTrue(pauses[0] <= 300, "first " + pauses[0]);
        pace.onSuccess();
        assertTrue(pace.delayAfterFailureMs() <= 300);
    }

    /** A call that waited for long has had its turn in part: the pause after it is shorter. */
    @Test
    public void whatACallWaitedCountsTowardsItsTurn() {
        SharedServicePollPolicy.Config settings =
                new SharedServicePollPolicy.Config(50, 2_000, 2_000, 10_000, 60_000, 2_500);
        SharedServicePollPolicy silent =
                new SharedServicePollPolicy(settings, 300, SharedServicePollPolicy.PriorState.NONE, 3);
        SharedServicePollPolicy refused =
                new SharedServicePollPolicy(settings, 300, SharedServicePollPolicy.PriorState.NONE, 3);
        double waited = silent.responseTimeoutMs();
        assertEquals(refused.responseTimeoutMs(), waited);
        assertEquals(silent.delayAfterTimeoutMs() + waited, refused.delayAfterFailureMs(), 1e-6);
    }

    @Test
    public void oneThatKnowsSomethingLeavesTheFirstTurnsToOthers() {
        SharedServicePollPolicy.Config settings =
                new SharedServicePollPolicy.Config(50, 2_000, 2_000, 10_000, 60_000, 2_500);
        double nothing =
                new SharedServicePollPolicy(settings, 300, SharedServicePollPolicy.PriorState.NONE, 3).initialDelayMs();
        assertEquals(
                new SharedServicePollPolicy(settings, 300, SharedServicePollPolicy.PriorState.CACHED_ENDPOINTS, 3)
                        .initialDelayMs(),
                1.5 * nothing,
                1e-6);
    }

    @DataProvider
    public Object[][] unusable() {
        return new Object[][] {
            {0, 0, 1, 1, 100, 1},
            {1, -1, 1, 1, 100, 1},
            {1, 0, 0, 1, 100, 1},
            {1, 0, 2, 1, 100, 1},
            {1, 0, 1, 1, 99, 1},
            {1, 0, 1, 1, 100, 0}
        };
    }

    @Test(dataProvider = "unusable")
    public void whatIsNoPaceIsRefused(
            double calls, double spread, double answer, double longest, double pause, double silence) {
        assertThrows(
                IllegalArgumentException.class,
                () -> new SharedServicePollPolicy.Config(calls, spread, answer, longest, pause, silence));
    }
}
