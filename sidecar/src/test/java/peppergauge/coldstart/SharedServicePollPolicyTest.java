package peppergauge.coldstart;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the load that all instances together put on a shared discovery service, in virtual time. */
public class SharedServicePollPolicyTest {

    /** Twice the configured rate, since random deviations and retries add to it. */
    private static final double MAX_PEAK_PER_S = 2 * ColdStartByHand.CONFIGURED_CALLS_PER_S;

    private static final double DURATION_MS = 300_000;
    private static final SharedServicePollPolicy.Config CONFIG =
            new SharedServicePollPolicy.Config(50, 2_000, 2_000, 10_000, 60_000, 2_500);

    @DataProvider
    public Object[][] cases() {
        List<Object[]> cases = new ArrayList<>();
        ColdStartByHand.cases().forEach((name, at) -> {
            for (int instances : new int[] {300, 1_000, 3_000}) {
                cases.add(new Object[] {name, instances, at});
            }
        });
        return cases.toArray(new Object[0][]);
    }

    /** The bound does not depend on the number of instances, also if all calls fail at the same time. */
    @Test(dataProvider = "cases")
    public void limitsPeakCallRateForAnyNumberOfInstances(String which, int instances, ColdStartByHand.Case at) {
        SharedDiscoverySimulation.Result result = SharedDiscoverySimulation.run(
                instances,
                ColdStartByHand.ANSWERED_CALLS_PER_S,
                at.fault(),
                at.restartIntervalMs(),
                DURATION_MS,
                seed -> ColdStartByHand.shared(instances, seed, ColdStartByHand.CONFIGURED_CALLS_PER_S));
        assertTrue(result.peak() <= MAX_PEAK_PER_S, which + ": peak " + result.peak());
        // If one call in twenty is answered, the instances still without an update must not call more often.
        assertTrue(result.peakOverMean() <= 4, which + ": peak " + result.peak() + ", mean " + result.mean());
    }

    @Test
    public void updatesAllInstancesInLittleMoreThanOneInterval() {
        SharedDiscoverySimulation.Result result = SharedDiscoverySimulation.run(
                3_000,
                ColdStartByHand.ANSWERED_CALLS_PER_S,
                SharedDiscoverySimulation.Fault.NONE,
                0,
                DURATION_MS,
                seed -> ColdStartByHand.shared(3_000, seed, ColdStartByHand.CONFIGURED_CALLS_PER_S));
        assertTrue(result.updatedS() <= 62, "expected updates within 62 s, was " + result.updatedS());
        assertTrue(result.calls() < 3_100, "expected less than 3100 calls, was " + result.calls());
    }

    /** Guards against a simulation in which every policy passes: a policy without random delays must fail. */
    @Test
    public void policyWithoutJitterExceedsBounds() {
        SharedDiscoverySimulation.Result result = SharedDiscoverySimulation.run(
                1_000,
                ColdStartByHand.ANSWERED_CALLS_PER_S,
                SharedDiscoverySimulation.Fault.NONE,
                0,
                DURATION_MS,
                seed -> ColdStartByHand.withoutJitter());
        assertTrue(
                result.peak() > MAX_PEAK_PER_S && result.updatedS() > DURATION_MS / 1_000,
                "expected the bounds to be exceeded, was updated after " + result.updatedS() + " s");
    }

    @Test
    public void backsOffWithJitterIfNumberOfInstancesIsUnknown() {
        SharedServicePollPolicy policy =
                new SharedServicePollPolicy(CONFIG, 0, SharedServicePollPolicy.PriorState.NONE, 3);
        double[] delaysMs = LongStream.range(0, 1_000)
                .mapToDouble(i -> policy.delayAfterFailureMs())
                .toArray();
        double maxMs = Arrays.stream(delaysMs).max().orElseThrow();
        assertTrue(maxMs > 30_000 && maxMs <= 60_000, "expected a longest delay of 30 to 60 s, was " + maxMs + " ms");
        assertTrue(delaysMs[0] <= 300, "expected a first delay of at most 300 ms, was " + delaysMs[0]);
        policy.onSuccess();
        assertTrue(policy.delayAfterFailureMs() <= 300);
    }

    @Test
    public void responseTimeoutCountsTowardsCallInterval() {
        SharedServicePollPolicy timedOut =
                new SharedServicePollPolicy(CONFIG, 300, SharedServicePollPolicy.PriorState.NONE, 3);
        SharedServicePollPolicy refused =
                new SharedServicePollPolicy(CONFIG, 300, SharedServicePollPolicy.PriorState.NONE, 3);
        double timeoutMs = timedOut.responseTimeoutMs();
        assertEquals(refused.responseTimeoutMs(), timeoutMs);
        assertEquals(timedOut.delayAfterTimeoutMs() + timeoutMs, refused.delayAfterFailureMs(), 1e-6);
    }

    @Test
    public void startsLaterWithCachedEndpoints() {
        double withoutCacheMs =
                new SharedServicePollPolicy(CONFIG, 300, SharedServicePollPolicy.PriorState.NONE, 3).initialDelayMs();
        assertEquals(
                new SharedServicePollPolicy(CONFIG, 300, SharedServicePollPolicy.PriorState.CACHED_ENDPOINTS, 3)
                        .initialDelayMs(),
                1.5 * withoutCacheMs,
                1e-6);
    }

    @DataProvider
    public Object[][] invalidConfigs() {
        return new Object[][] {
            {0, 0, 1, 1, 100, 1},
            {1, -1, 1, 1, 100, 1},
            {1, 0, 0, 1, 100, 1},
            {1, 0, 2, 1, 100, 1},
            {1, 0, 1, 1, 99, 1},
            {1, 0, 1, 1, 100, 0}
        };
    }

    @Test(dataProvider = "invalidConfigs")
    public void rejectsInvalidConfig(
            double callsPerSecond,
            double minInitialSpreadMs,
            double responseTimeoutMs,
            double maxResponseTimeoutMs,
            double maxBackoffMs,
            double idleTimeoutMs) {
        assertThrows(
                IllegalArgumentException.class,
                () -> new SharedServicePollPolicy.Config(
                        callsPerSecond,
                        minInitialSpreadMs,
                        responseTimeoutMs,
                        maxResponseTimeoutMs,
                        maxBackoffMs,
                        idleTimeoutMs));
    }
}
