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
            // Where there is room for all keys nothing is in error; the last never sees a key twice.
            {"few", few, 400, 0},
            {"steep", steep, FrequentKeys.MAX_REPORTED, 60},
            {"flat", flat, FrequentKeys.MAX_REPORTED, 60},
            {"new", (ToIntFunction<SplittableRandom>) random -> next[0]++, FrequentKeys.MAX_REPORTED, 60},
        };
    }

    @Test(dataProvider = "streams")
    public void aCountIsAtMostSoMuchTooHighAndWhatIsLeftOutIsNotAboveTheFloor(
            String name, ToIntFunction<SplittableRandom> stream, int told, long mostError) {
        KeySampler sampler = new KeySampler(64, 0.01);
        SplittableRandom random = new SplittableRandom(3);
        Map<Long, Long> truth = new HashMap<>();
        for (int i = 0; i < 300_000; i++) {
            String key = name + stream.applyAsInt(random);
            sampler.onRequest(key, "s", i);
            truth.merge(FrequentKeys.masked(KeySampler.hash(key)), 1L, Long::sum);
        }
        Heavy heavy = sampler.report().heavy();
        assertEquals(heavy.keys().size(), told);
        assertTrue(heavy.error() <= mostError && heavy.error() <= heavy.floor(), heavy.error() + " " + heavy.floor());
        for (Heavy.Count key : heavy.keys()) {
            long count = truth.remove(key.hash());
            assertTrue(key.count() >= count && key.count() <= count + heavy.error(), key + " of " + count);
        }
        assertTrue(truth.values().stream().allMatch(count -> count <= heavy.floor()));
    }

    @Test
    public void stationsAreToldApartAndWhoSamplesAllKeysTellsNone() {
        KeySampler sampler = new KeySampler(64, 0.5);
        KeySampler all = new KeySampler(64);
        for (int i = 0; i < 600 * 3; i++) {
            sampler.onRequest("k", "s" + i % 600, i);
            all.onRequest("k", "s" + i % 30, i);
        }
        List<Heavy.Count> told = sampler.report().heavy().keys();
        assertEquals(told.size(), 512);
        assertEquals(told.get(0), new Heavy.Count(FrequentKeys.masked(KeySampler.hash("k")), "", 3 * 89));
        assertTrue(told.stream().skip(1).allMatch(key -> key.count() == 3));
        assertNull(all.report().heavy());
    }

    // ---- Merging ----

    private static final long LOW = KeySampler.threshold(0.01);

    private static KeyReport report(long sessions, long floor, long... hashesAndCounts) {
        List<Heavy.Count> keys = new ArrayList<>();
        for (int i = 0; i < hashesAndCounts.length; i += 2) {
            keys.add(new Heavy.Count(hashesAndCounts[i] << 9, "s", hashesAndCounts[i + 1]));
        }
        return new KeyReport(LOW, sessions, List.of(), new Heavy(0, floor, keys));
    }

    private static KeyReport without(long sessions) {
        return new KeyReport(LOW, sessions, List.of());
    }

    private static KeyReport all(long sessions, long hash, long count) {
        return new KeyReport(KeySampler.ALL, sessions, List.of(new KeyReport.Key(hash << 9, "s", count, List.of())));
    }

    @DataProvider
    public Object[][] merges() {
        KeyReport a = report(1_000, 10, 1, 300, 2, 100, 3, 20);
        return new Object[][] {
            // One daemon; nothing is told of up to its floor and the chance of that.
            {List.of(report(0, 0), a), List.of(1L, 300L, 2L, 100L, 3L, 20L)},
            {List.of(report(0, 0), report(1_000, 16, 1, 300, 2, 100, 3, 20)), List.of(1L, 300L, 2L, 100L, 3L, 20L)},
            {List.of(report(0, 0), report(1_000, 17, 1, 300, 2, 100, 3, 20)), List.of(1L, 300L, 2L, 100L)},
            // What came before the window counts no more, told or not.
            {List.of(a, report(2_000, 20, 1, 500, 2, 200, 3, 40)), List.of(1L, 200L, 2L, 100L, 3L, 20L)},
            {List.of(report(1_000, 10, 1, 300), report(2_000, 20, 1, 500, 2, 200)), List.of(1L, 200L, 2L, 190L)},
            // A daemon that leaves a key out had it as often as others, but up to its floor only.
            {List.of(report(0, 0), a, report(0, 0), report(1_000, 10, 1, 300)), List.of(1L, 600L, 2L, 110L, 3L, 30L)},
            {List.of(report(0, 0), a, report(0, 0), report(1_000, 40, 1, 300)), List.of(1L, 600L, 2L, 140L)},
            // One of a release that does not tell is as the others; where most do not tell, nothing is known.
            {List.of(report(0, 0), a, without(0), without(1_000)), List.of(1L, 600L, 2L, 200L, 3L, 40L)},
            {List.of(report(0, 0), a, without(0), without(1_010)), List.of()},
            {List.of(without(0), a), List.of()},
            // One that samples all keys knows all of them.
            {List.of(report(0, 0), a, all(0, 1, 0), all(1_000, 1, 5)), List.of(1L, 305L, 2L, 100L, 3L, 20L)},
        };
    }

    @Test(dataProvider = "merges")
    public void heavyKeysOfAllDaemonsAddUp(List<KeyReport> reports, List<Long> hashesAndCounts) {
        KeyMerge merge = new KeyMerge(60_000, 300_000);
        for (int i = 0; i < reports.size(); i++) {
            assertTrue(merge.accept("d" + i / 2, 1, 60_000L * (i % 2), reports.get(i)));
        }
        List<Long> found = new ArrayList<>();
        for (KeyCount key : merge.popularity(60_000).orElseThrow().frequentKeys()) {
            found.add(key.hash() >> 9);
            found.add(key.count());
        }
        assertEquals(found, hashesAndCounts);
    }
}
