package peppergauge.coldstart;

import static org.testng.Assert.assertTrue;

import java.util.function.LongToDoubleFunction;
import java.util.stream.DoubleStream;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The waits alone, over many seeds. Everything counts from the moment at which a watch fell silent, ms. */
public class LocalAgentPollPolicyTest {

    private static final int SIDECARS = 1_000;
    /** The loop looks at its time-outs once in this time, at each of them. */
    private static final double SELECT_MS = 20;

    /** When the call of this number begins, where none before it gets any answer. */
    private static double silentCallMs(long seed, int call) {
        LocalAgentPollPolicy pace = new LocalAgentPollPolicy(seed);
        pace.responseTimeoutMs();
        pace.onSuccess();
        double atMs = pace.idleTimeoutMs() + SELECT_MS + pace.delayAfterTimeoutMs();
        for (int made = 1; made < call; made++) {
            atMs += pace.responseTimeoutMs() + SELECT_MS + pace.delayAfterTimeoutMs();
        }
        return atMs;
    }

    /** When the second call begins, where the first is answered with a head and nothing more. */
    private static double afterHeadAloneMs(long seed) {
        LocalAgentPollPolicy pace = new LocalAgentPollPolicy(seed);
        double atMs = pace.idleTimeoutMs() + SELECT_MS + pace.delayAfterTimeoutMs();
        pace.responseTimeoutMs();
        return atMs + pace.idleTimeoutMs() + SELECT_MS + pace.delayAfterTimeoutMs();
    }

    /** When the call of this number begins, where each before it is refused at once. */
    private static double refusedCallMs(long seed, int call) {
        LocalAgentPollPolicy pace = new LocalAgentPollPolicy(seed);
        double atMs = 0;
        for (int made = 0; made < call; made++) {
            atMs += pace.delayAfterFailureMs();
        }
        return atMs;
    }

    private static DoubleStream each(LongToDoubleFunction when) {
        return LongStream.range(0, SIDECARS).mapToDouble(when);
    }

    @DataProvider
    public Object[][] calls() {
        return new Object[][] {
            // What was missed counts as told at 6,000; nothing may be sent to a leaving server from 7,000 on.
            {"the first", each(seed -> silentCallMs(seed, 1)), 3_300},
            {"the second", each(seed -> silentCallMs(seed, 2)), 4_200},
            {"the third", each(seed -> silentCallMs(seed, 3)), 5_700},
            {"after a head", each(LocalAgentPollPolicyTest::afterHeadAloneMs), 6_600},
        };
    }

    @Test(dataProvider = "calls")
    public void aSilentWatchIsAskedAnewInTime(String call, DoubleStream begun, double latestMs) {
        double worst = begun.max().orElseThrow();
        assertTrue(worst < latestMs, call + " call begins only after " + worst);
    }

    /** The empty line comes every 2 s, and some stall of a machine is no silence. */
    @Test
    public void aWatchThatOnlyHasNothingToTellIsNotGivenUp() {
        assertTrue(each(seed -> new LocalAgentPollPolicy(seed).idleTimeoutMs())
                        .min()
                        .orElseThrow()
                >= 2_500);
    }

    @DataProvider
    public Object[][] inStep() {
        return new Object[][] {
            {"silent, the first call", each(seed -> silentCallMs(seed, 1))},
            {"silent, the third call", each(seed -> silentCallMs(seed, 3))},
            {"refused, the first call", each(seed -> refusedCallMs(seed, 1))},
            {"refused, the fourth call", each(seed -> refusedCallMs(seed, 4))},
            {"refused, the tenth call", each(seed -> refusedCallMs(seed, 10))},
        };
    }

    /** All watches end at one moment: in no 20 ms may more than a third of the sidecars call. */
    @Test(dataProvider = "inStep")
    public void hundredsDoNotAskInStep(String which, DoubleStream begun) {
        double[] atMs = begun.sorted().toArray();
        int crowd = 0;
        for (int i = 0, from = 0; i < atMs.length; i++) {
            while (atMs[i] - atMs[from] > 20) {
                from++;
            }
            crowd = Math.max(crowd, i - from + 1);
        }
        assertTrue(crowd <= SIDECARS / 3, which + ": " + crowd + " of them within 20 ms");
    }

    @Test
    public void refusedCallsAreAtMostASecondApartAndSoonAgainOnceDiscoveryIsHeard() {
        LocalAgentPollPolicy pace = new LocalAgentPollPolicy(5);
        double longest = DoubleStream.generate(pace::delayAfterFailureMs)
                .limit(1_000)
                .max()
                .orElseThrow();
        assertTrue(longest > 500 && longest <= 1_000, "paused for " + longest);
        pace.onSuccess();
        assertTrue(pace.delayAfterFailureMs() <= 150);
    }
}
