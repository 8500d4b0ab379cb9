package peppergauge.coldstart;

import static org.testng.Assert.assertTrue;

import java.util.function.LongToDoubleFunction;
import java.util.stream.DoubleStream;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the delays and timeouts of the policy over many seeds. Times are in ms since the watch became idle. */
public class LocalAgentPollPolicyTest {

    private static final int SIDECARS = 1_000;
    /** The event loop checks each timeout once in this interval. */
    private static final double SELECT_INTERVAL_MS = 20;

    /** The start of the call with this number, from 1, if no call before it gets a response. */
    private static double callAfterIdleTimeoutMs(long seed, int number) {
        LocalAgentPollPolicy policy = new LocalAgentPollPolicy(seed);
        policy.responseTimeoutMs();
        policy.onSuccess();
        double startMs = policy.idleTimeoutMs() + SELECT_INTERVAL_MS + policy.delayAfterTimeoutMs();
        for (int i = 1; i < number; i++) {
            startMs += policy.responseTimeoutMs() + SELECT_INTERVAL_MS + policy.delayAfterTimeoutMs();
        }
        return startMs;
    }

    /** The start of the second call if the first receives only a response head. */
    private static double callAfterHeadOnlyMs(long seed) {
        LocalAgentPollPolicy policy = new LocalAgentPollPolicy(seed);
        double startMs = policy.idleTimeoutMs() + SELECT_INTERVAL_MS + policy.delayAfterTimeoutMs();
        policy.responseTimeoutMs();
        return startMs + policy.idleTimeoutMs() + SELECT_INTERVAL_MS + policy.delayAfterTimeoutMs();
    }

    /** The start of the call with this number, from 1, if each call before it is refused immediately. */
    private static double callAfterRefusedCallsMs(long seed, int number) {
        LocalAgentPollPolicy policy = new LocalAgentPollPolicy(seed);
        double startMs = 0;
        for (int i = 0; i < number; i++) {
            startMs += policy.delayAfterFailureMs();
        }
        return startMs;
    }

    private static DoubleStream overSeeds(LongToDoubleFunction startMs) {
        return LongStream.range(0, SIDECARS).mapToDouble(startMs);
    }

    @DataProvider
    public Object[][] calls() {
        return new Object[][] {
            // Missed updates must be received by 6,000; draining servers may receive no request from 7,000 on.
            {"the first", overSeeds(seed -> callAfterIdleTimeoutMs(seed, 1)), 3_300},
            {"the second", overSeeds(seed -> callAfterIdleTimeoutMs(seed, 2)), 4_200},
            {"the third", overSeeds(seed -> callAfterIdleTimeoutMs(seed, 3)), 5_700},
            {"after a response head", overSeeds(LocalAgentPollPolicyTest::callAfterHeadOnlyMs), 6_600},
        };
    }

    @Test(dataProvider = "calls")
    public void callsInTimeAfterIdleTimeout(String call, DoubleStream starts, double latestMs) {
        double maxMs = starts.max().orElseThrow();
        assertTrue(maxMs < latestMs, call + " call: expected a start before " + latestMs + " ms, was " + maxMs);
    }

    /** Heartbeats are sent every 2 s, and a short stall of the machine must not end the watch. */
    @Test
    public void idleTimeoutExceedsHeartbeatInterval() {
        assertTrue(overSeeds(seed -> new LocalAgentPollPolicy(seed).idleTimeoutMs())
                        .min()
                        .orElseThrow()
                >= 2_500);
    }

    @DataProvider
    public Object[][] simultaneousFailures() {
        return new Object[][] {
            {"idle, the first call", overSeeds(seed -> callAfterIdleTimeoutMs(seed, 1))},
            {"idle, the third call", overSeeds(seed -> callAfterIdleTimeoutMs(seed, 3))},
            {"refused, the first call", overSeeds(seed -> callAfterRefusedCallsMs(seed, 1))},
            {"refused, the fourth call", overSeeds(seed -> callAfterRefusedCallsMs(seed, 4))},
            {"refused, the tenth call", overSeeds(seed -> callAfterRefusedCallsMs(seed, 10))},
        };
    }

    /** All watches are lost at the same time: at most a third of the sidecars may call within any 20 ms. */
    @Test(dataProvider = "simultaneousFailures")
    public void spreadsCallsOfSidecarsAfterSimultaneousFailure(String which, DoubleStream starts) {
        double[] startMs = starts.sorted().toArray();
        int maxCalls = 0;
        for (int i = 0, from = 0; i < startMs.length; i++) {
            while (startMs[i] - startMs[from] > 20) {
                from++;
            }
            maxCalls = Math.max(maxCalls, i - from + 1);
        }
        assertTrue(
                maxCalls <= SIDECARS / 3, which + ": expected at most a third of the calls in 20 ms, was " + maxCalls);
    }

    @Test
    public void backsOffUpToOneSecondAndResetsAfterSuccess() {
        LocalAgentPollPolicy policy = new LocalAgentPollPolicy(5);
        double maxMs = DoubleStream.generate(policy::delayAfterFailureMs)
                .limit(1_000)
                .max()
                .orElseThrow();
        assertTrue(maxMs > 500 && maxMs <= 1_000, "expected a longest delay of 500 to 1000 ms, was " + maxMs);
        policy.onSuccess();
        assertTrue(policy.delayAfterFailureMs() <= 150);
    }
}
