package peppergauge.forecast;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.forecast.KeyReport.Heavy;
import peppergauge.forecast.popularity.KeyMerge;
import peppergauge.forecast.popularity.KeyPopularity.KeyCount;
import peppergauge.forecast.sample.FrequentKeys;
import peppergauge.forecast.sample.KeySampler;

public class FrequentKeysTest {

    @DataProvider
    public Object[][] streams() {
        ToIntFunction<SplittableRandom> steep = random -> (int) Math.pow(100_000, random.nextDouble());
        ToIntFunction<SplittableRandom> flat = random -> random.nextInt(100_000);
        ToIntFunction<SplittableRandom> few = random -> random.nextInt(400);
        int[] next = new int[1];
        return new Object[][] {
            // Name, stream, number of reported keys, largest error. If all keys fit, counts are exact. In the last
            // stream no key is repeated.
            {"few", few, 400, 0},
            {"steep", steep, FrequentKeys.MAX_REPORTED, 60},
            {"flat", flat, FrequentKeys.MAX_REPORTED, 60},
            {"new", (ToIntFunction<SplittableRandom>) random -> next[0]++, FrequentKeys.MAX_REPORTED, 60},
        };
    }

    @Test(dataProvider = "streams")
    public void countsExceedTruthByAtMostErrorAndUnreportedKeysDoNotExceedFloor(
            String name, ToIntFunction<SplittableRandom> stream, int reportedKeys, long maxError) {
        KeySampler sampler = new KeySampler(64, 0.01);
        SplittableRandom random = new SplittableRandom(3);
        Map<Long, Long> truth = new HashMap<>();
        for (int i = 0; i < 300_000; i++) {
            String key = name + stream.applyAsInt(random);
            sampler.onRequest(key, "s", i);
            truth.merge(FrequentKeys.masked(KeySampler.hash(key)), 1L, Long::sum);
        }
        Heavy heavy = sampler.report().heavy();
        assertEquals(heavy.keys().size(), reportedKeys);
        assertTrue(
                heavy.error() <= maxError && heavy.error() <= heavy.floor(),
                "expected an error of at most " + maxError + " and of at most the floor " + heavy.floor() + " but was "
                        + heavy.error());
        for (Heavy.Count key : heavy.keys()) {
            long count = truth.remove(key.hash());
            assertTrue(
                    key.count() >= count && key.count() <= count + heavy.error(),
                    "expected a count from " + count + " to " + (count + heavy.error()) + " but was " + key);
        }
        assertTrue(truth.values().stream().allMatch(count -> count <= heavy.floor()));
    }

    @Test
    public void countsTenantsSeparatelyAndReportsNoneIfAllKeysAreSampled() {
        KeySampler sampler = new KeySampler(64, 0.5);
        KeySampler all = new KeySampler(64);
        for (int i = 0; i < 600 * 3; i++) {
            sampler.onRequest("k", "s" + i % 600, i);
            all.onRequest("k", "s" + i % 30, i);
        }
        List<Heavy.Count> reported = sampler.report().heavy().keys();
        assertEquals(reported.size(), 512);
        assertEquals(reported.get(0), new Heavy.Count(FrequentKeys.masked(KeySampler.hash("k")), "", 3 * 89));
        assertTrue(reported.stream().skip(1).allMatch(key -> key.count() == 3));
        assertNull(all.report().heavy());
    }

    private static final long LOW_THRESHOLD = KeySampler.threshold(0.01);

    private static KeyReport report(long requests, long floor, long... hashesAndCounts) {
        List<Heavy.Count> keys = new ArrayList<>();
        for (int i = 0; i < hashesAndCounts.length; i += 2) {
            keys.add(new Heavy.Count(hashesAndCounts[i] << 9, "s", hashesAndCounts[i + 1]));
        }
        return new KeyReport(LOW_THRESHOLD, requests, List.of(), new Heavy(0, floor, keys));
    }

    private static KeyReport withoutFrequentKeys(long requests) {
        return new KeyReport(LOW_THRESHOLD, requests, List.of());
    }

    private static KeyReport ofAllKeys(long requests, long hash, long count) {
        return new KeyReport(KeySampler.ALL, requests, List.of(new KeyReport.Key(hash << 9, "s", count, List.of())));
    }

    @DataProvider
    public Object[][] merges() {
        KeyReport a = report(1_000, 10, 1, 300, 2, 100, 3, 20);
        return new Object[][] {
            // One daemon: only keys above its floor plus a standard deviation are returned.
            {List.of(report(0, 0), a), List.of(1L, 300L, 2L, 100L, 3L, 20L)},
            {List.of(report(0, 0), report(1_000, 16, 1, 300, 2, 100, 3, 20)), List.of(1L, 300L, 2L, 100L, 3L, 20L)},
            {List.of(report(0, 0), report(1_000, 17, 1, 300, 2, 100, 3, 20)), List.of(1L, 300L, 2L, 100L)},
            // Requests before the window do not count, whether the key was reported then or not.
            {List.of(a, report(2_000, 20, 1, 500, 2, 200, 3, 40)), List.of(1L, 200L, 2L, 100L, 3L, 20L)},
            {List.of(report(1_000, 10, 1, 300), report(2_000, 20, 1, 500, 2, 200)), List.of(1L, 200L, 2L, 190L)},
            // A daemon that does not report a key is assumed to have it as often as others, up to its floor.
            {List.of(report(0, 0), a, report(0, 0), report(1_000, 10, 1, 300)), List.of(1L, 600L, 2L, 110L, 3L, 30L)},
            {List.of(report(0, 0), a, report(0, 0), report(1_000, 40, 1, 300)), List.of(1L, 600L, 2L, 140L)},
            // A daemon without frequent keys is assumed to be like the others; if most are, nothing is known.
            {
                List.of(report(0, 0), a, withoutFrequentKeys(0), withoutFrequentKeys(1_000)),
                List.of(1L, 600L, 2L, 200L, 3L, 40L)
            },
            {List.of(report(0, 0), a, withoutFrequentKeys(0), withoutFrequentKeys(1_010)), List.of()},
            {List.of(withoutFrequentKeys(0), a), List.of()},
            // A daemon that samples all keys reports all of them.
            {List.of(report(0, 0), a, ofAllKeys(0, 1, 0), ofAllKeys(1_000, 1, 5)), List.of(1L, 305L, 2L, 100L, 3L, 20L)
            },
        };
    }

    @Test(dataProvider = "merges")
    public void sumsFrequentKeysOfAllDaemons(List<KeyReport> reports, List<Long> hashesAndCounts) {
        KeyMerge merge = new KeyMerge(60_000, 300_000);
        for (int i = 0; i < reports.size(); i++) {
            assertTrue(merge.accept("d" + i / 2, 1, 60_000L * (i % 2), reports.get(i)));
        }
        List<Long> hashesAndMergedCounts = new ArrayList<>();
        for (KeyCount key : merge.popularity(60_000).orElseThrow().frequentKeys()) {
            hashesAndMergedCounts.add(key.hash() >> 9);
            hashesAndMergedCounts.add(key.count());
        }
        assertEquals(hashesAndMergedCounts, hashesAndCounts);
    }
}
