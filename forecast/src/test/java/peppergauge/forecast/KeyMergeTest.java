package peppergauge.forecast;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import peppergauge.forecast.popularity.KeyMerge;
import peppergauge.forecast.popularity.KeyPopularity;
import peppergauge.forecast.popularity.KeyPopularity.KeyCount;
import peppergauge.forecast.sample.KeySampler;

public class KeyMergeTest {

    private KeyMerge merge;

    @BeforeMethod
    public void createMerge() {
        merge = new KeyMerge(60_000, 300_000);
    }

    private static KeyReport report(long threshold, long requests, long... hashesAndCounts) {
        List<KeyReport.Key> keys = new ArrayList<>();
        for (int i = 0; i < hashesAndCounts.length; i += 2) {
            keys.add(new KeyReport.Key(hashesAndCounts[i], "s", hashesAndCounts[i + 1], List.of()));
        }
        return new KeyReport(threshold, requests, keys);
    }

    @Test
    public void popularityIsNewestReportLessTheOneBeforeTheWindowSummedOverDaemons() {
        merge.accept("a", 1, 0, report(KeySampler.ALL, 100, 7, 50, 8, 50));
        assertTrue(merge.popularity(0).isEmpty());
        merge.accept("b", 1, 0, report(KeySampler.ALL, 10, 7, 10));
        merge.accept("a", 1, 60_000, report(KeySampler.ALL, 160, 7, 100, 8, 50, 9, 10));
        merge.accept("b", 1, 60_000, report(KeySampler.ALL, 15, 7, 15));
        KeyPopularity popularity = merge.popularity(60_000).orElseThrow();
        assertEquals(popularity.keys(), List.of(new KeyCount(7, "s", 55), new KeyCount(9, "s", 10)));
        assertEquals(popularity.requests(), 65);
        assertEquals(popularity.spanMs(), 60_000.0);
        assertEquals(popularity.share(), 1.0, 1e-9);
    }

    @Test
    public void restartResetsCountsAndDaemonWithoutReportsIsDropped() {
        merge.accept("a", 1, 0, report(KeySampler.ALL, 500, 7, 500));
        merge.accept("a", 2, 10_000, report(KeySampler.ALL, 1, 7, 1));
        assertTrue(merge.popularity(10_000).isEmpty());
        merge.accept("a", 2, 70_000, report(KeySampler.ALL, 4, 7, 4));
        assertEquals(merge.popularity(70_000).orElseThrow().requests(), 3);
        assertTrue(merge.popularity(400_000).isEmpty());
    }

    @Test
    public void countsOnlyKeysBelowLowestThreshold() {
        for (int i = 0; i < 2; i++) {
            merge.accept("a", 1, 60_000 * i, report(KeySampler.threshold(0.5), 100 * i, 5, 40 * i, 1L << 62, 60 * i));
            merge.accept("b", 1, 60_000 * i, report(KeySampler.threshold(0.25), 100 * i, 5, 40 * i));
        }
        KeyPopularity popularity = merge.popularity(60_000).orElseThrow();
        assertEquals(popularity.share(), 0.25, 1e-9);
        assertEquals(popularity.keys(), List.of(new KeyCount(5, "s", 80)));
        assertEquals(popularity.requests(), 200);
    }

    @Test
    public void frequentReportsKeepTheWindowLength() {
        for (int i = 0; i <= 1_000; i++) {
            merge.accept("a", 1, i * 1_000L, report(KeySampler.ALL, i * 10L, 7, i * 10L));
        }
        KeyPopularity popularity = merge.popularity(1_000_000).orElseThrow();
        assertTrue(
                popularity.spanMs() >= 60_000 && popularity.spanMs() <= 80_000,
                "expected a span of 60 to 80 s but was " + popularity.spanMs() + " ms");
        assertEquals(popularity.requests(), Math.round(popularity.spanMs() / 100));
    }
}
