package peppergauge.decision;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.Test;

public class EndpointWatchBackoffTest {

    private static EndpointWatchBackoff backoff(int instances) {
        return new EndpointWatchBackoff(instances, new SplittableRandom(1));
    }

    private static void assertDelay(double delayMs, double backoffMs) {
        assertTrue(
                delayMs >= backoffMs / 2 && delayMs <= backoffMs,
                "expected half of " + backoffMs + " ms to all of it but was " + delayMs);
    }

    @Test
    public void delayDoublesUpToLimitAndIsResetBySuccess() {
        EndpointWatchBackoff backoff = backoff(1);
        for (double backoffMs : new double[] {500, 1_000, 2_000, 4_000, 4_000}) {
            assertDelay(backoff.nextDelayMs(), backoffMs);
        }
        Fixtures.repeat(50, i -> assertDelay(backoff.nextDelayMs(), 4_000));
        backoff.onSuccess();
        assertDelay(backoff.nextDelayMs(), 500);
    }

    @Test
    public void delayGrowsWithNumberOfInstances() {
        assertDelay(backoff(200).nextDelayMs(), 2_000);
        assertDelay(backoff(10_000).nextDelayMs(), 4_000);
    }

    @Test
    public void firstDelayMarksWatchAsStarted() {
        EndpointWatchBackoff backoff = backoff(1);
        assertFalse(backoff.isStarted());
        double delayMs = backoff.firstDelayMs();
        assertTrue(delayMs >= 0 && delayMs < 500);
        assertTrue(backoff.isStarted());
    }
}
