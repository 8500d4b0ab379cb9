package peppergauge.forecast;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.forecast.sample.KeySampler;

public class KeySamplerTest {

    @DataProvider
    public Object[][] tableSizes() {
        return new Object[][] {{16, 10, 1.0}, {16, 5_000, 1.0}, {1_000, 100_000, 1.0}, {4_096, 200_000, 0.01}};
    }

    @Test(dataProvider = "tableSizes")
    public void countsAllRequestsOfKeysBelowThresholdAndNoOthers(int tableSize, int keys, double share) {
        KeySampler sampler = new KeySampler(tableSize, share);
        for (int i = 0; i < 2 * keys; i++) {
            sampler.onRequest("k" + i % keys, "s", i);
        }
        KeyReport report = sampler.report();
        long below = 0;
        for (int i = 0; i < keys; i++) {
            below += Long.compareUnsigned(KeySampler.hash("k" + i), report.threshold()) < 0 ? 1 : 0;
        }
        assertEquals(report.sessions(), 2L * keys);
        assertEquals(report.keys().size(), below);
        assertTrue(below <= tableSize);
        assertTrue(
                report.keys().stream().allMatch(key -> key.count() == 2),
                report.keys().toString());
        assertEquals(below / (double) keys, KeySampler.share(report.threshold()), 4 / Math.sqrt(below));
    }

    @Test
    public void countsGapsInPowersOfTwoAndTenantsSeparately() {
        KeySampler sampler = new KeySampler(16);
        long[] times = {0, 1, 4, 1_000, 1_000, 9_000_000};
        for (long ms : times) {
            sampler.onRequest("k", "a", ms);
        }
        sampler.onRequest("k", "b", 7);
        sampler.onRequest("", "b", 7);
        sampler.onRequest(null, "b", 7);
        List<KeyReport.Key> keys = sampler.report().keys();
        assertEquals(keys.size(), 2);
        Long[] gaps = new Long[KeySampler.GAPS];
        Arrays.fill(gaps, 0L);
        gaps[0] = 2L;
        gaps[1] = 1L;
        gaps[9] = 1L;
        gaps[KeySampler.GAPS - 1] = 1L;
        assertEquals(keys.get(0).gaps(), List.of(gaps));
        assertEquals(sampler.report().sessions(), 7);
    }

    @Test
    public void tableOf32768KeysUsesAtMostFourMegabytes() {
        assertTrue(KeySampler.maxBytes(32_768) <= 4 << 20);
    }
}
