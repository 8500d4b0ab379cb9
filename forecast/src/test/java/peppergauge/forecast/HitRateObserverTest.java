package peppergauge.forecast;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.forecast.cache.ServiceTimes.Sum;
import peppergauge.forecast.observation.HitRateObserver;
import peppergauge.forecast.observation.ObservedHitRate;
import peppergauge.forecast.observation.ObservedHitRate.Missing;
import peppergauge.forecast.observation.ResponseTimeCounter;
import peppergauge.forecast.observation.ResponseTimes;

public class HitRateObserverTest {

    private static final int SERVERS = 200;
    private static final long STEP_MS = 5_000;
    private static final double SAVING = 0.4;

    /** One daemon's answers: 17 keys that hit or not, and 22 that come too seldom to be remembered. */
    private static final class Daemon {
        private final SplittableRandom random = new SplittableRandom(1);
        private final Map<Long, Sum> keys = new HashMap<>();
        private final double factor;
        private final double waits;
        private final double saving;
        private final boolean nears;
        private Sum all = new Sum(0, 0, 0);
        private Sum near = all;

        Daemon(double factor, double waits) {
            this(factor, waits, SAVING, true);
        }

        Daemon(double factor, double waits, double saving, boolean nears) {
            this.factor = factor;
            this.waits = waits;
            this.saving = saving;
            this.nears = nears;
        }

        private Sum plus(Sum sum, double took) {
            return new Sum(sum.count() + 1, sum.sum() + took, sum.squares() + took * took);
        }

        /** So many answers, of which those of popular keys hit by this chance; the fleet's hit rate is 0.9 of it. */
        ResponseTimes after(int answers, double hits) {
            for (int i = 0; i < answers; i++) {
                boolean rare = i % 10 == 0;
                boolean isNear = !rare && i % 5 == 1;
                boolean hit = !rare && (isNear || random.nextDouble() < (hits - 0.2) / 0.7 * 0.9 + 0.02);
                double took = factor * ((hit ? 1 - saving : 1) * (0.4 + 1.2 * random.nextDouble()) + waits);
                all = plus(all, took);
                near = isNear && nears ? plus(near, took) : near;
                long key = rare ? 1_000 + i / 10 * (i / 10) % 50 : i % 17;
                keys.merge(
                        key,
                        plus(new Sum(0, 0, 0), took),
                        (a, b) -> new Sum(a.count() + b.count(), a.sum() + b.sum(), a.squares() + b.squares()));
            }
            return new ResponseTimes(-1, all, near, keys);
        }
    }

    /** What hits make of all answers above. */
    private static double rate(double hits) {
        return 0.2 + 0.7 * ((hits - 0.2) / 0.7 * 0.9 + 0.02);
    }

    private static HitRateObserver told(Daemon daemon, double first, double second) {
        HitRateObserver hits = new HitRateObserver();
        for (int i = 0; i <= 48; i++) {
            hits.accept("d", 1, i * STEP_MS, daemon.after(1_000, i <= 24 ? first : second));
        }
        return hits;
    }

    @DataProvider
    public Object[][] levels() {
        return new Object[][] {
            // Hits of popular keys in the first and second 120 s; all times' factor; wait of each answer.
            {0.3, 0.3, 1.0, 0.0},
            {0.3, 0.6, 1.0, 0.0},
            {0.8, 0.25, 1.0, 0.0},
            {0.3, 0.6, 7.0, 0.0},
            {0.6, 0.3, 1.0, 0.8},
        };
    }

    @Test(dataProvider = "levels")
    public void aChangeOfHitsIsSeenWhateverIsAddedToAllAnswers(
            double first, double second, double factor, double waits) {
        HitRateObserver hits = told(new Daemon(factor, waits), first, second);
        ObservedHitRate before = hits.between(0, 120_000, SERVERS);
        ObservedHitRate after = hits.between(120_000, 240_000, SERVERS);
        assertTrue(before.isKnown() && after.isKnown() && after.error() < 0.04, before + " " + after);
        assertEquals(before.rate(), rate(first), 3 * before.error());
        assertEquals(after.rate(), rate(second), 3 * after.error());
    }

    /** A window of 30 s hangs on its own answers alone, and says that it knows less. */
    @Test
    public void fewerAnswersMakeAGreaterError() {
        HitRateObserver hits = told(new Daemon(1, 0), 0.3, 0.6);
        assertTrue(hits.between(120_000, 150_000, SERVERS).error()
                > 1.5 * hits.between(120_000, 240_000, SERVERS).error());
    }

    @Property(tries = 30)
    public void unitsAndWaitsFallOut(
            @ForAll @DoubleRange(min = 0.1, max = 20) double factor,
            @ForAll @DoubleRange(min = 0, max = 5) double waits) {
        ObservedHitRate plain = told(new Daemon(1, 0), 0.5, 0.5).between(0, 240_000, SERVERS);
        ObservedHitRate moved = told(new Daemon(factor, waits), 0.5, 0.5).between(0, 240_000, SERVERS);
        assertEquals(moved.rate(), plain.rate(), 1e-6);
        assertEquals(moved.error(), plain.error(), 1e-6);
    }

    @DataProvider
    public Object[][] lacks() {
        return new Object[][] {
            // Reports each so many ms; saving; sure hits; servers; window.
            {STEP_MS, SAVING, true, SERVERS, 240_000L, Missing.NOTHING},
            {STEP_MS, SAVING, true, 1, 240_000L, Missing.SURE_MISSES},
            {STEP_MS, SAVING, false, SERVERS, 240_000L, Missing.SURE_HITS},
            {STEP_MS, 0.0, true, SERVERS, 240_000L, Missing.SAVING},
            {STEP_MS, SAVING, true, SERVERS, 0L, Missing.ANSWERS},
            {40_000L, SAVING, true, SERVERS, 30_000L, Missing.CLOSE_REPORTS},
            {70_000L, SAVING, true, SERVERS, 240_000L, Missing.ANSWERS},
        };
    }

    @Test(dataProvider = "lacks")
    public void whatIsNotKnownIsNotSaidAndWhy(
            long everyMs, double saving, boolean nears, int servers, long windowMs, Missing lack) {
        HitRateObserver hits = new HitRateObserver();
        Daemon daemon = new Daemon(1, 0, saving, nears);
        for (long ms = 0; ms <= 240_000; ms += everyMs) {
            hits.accept("d", 1, ms, daemon.after(1_000, 0.4));
        }
        assertEquals(hits.between(240_000 - windowMs, 240_000, servers).missing(), lack);
    }

    @Test
    public void repeatedLateAndOlderReportsChangeNothingAndARestartIsNoBurst() {
        HitRateObserver hits = told(new Daemon(1, 0), 0.5, 0.5);
        ObservedHitRate before = hits.between(0, 240_000, SERVERS);
        ResponseTimes burst = new Daemon(1, 0).after(50_000, 0.9);
        hits.accept("d", 1, 200_000, burst);
        hits.accept("d", 0, 239_000, burst);
        hits.accept("d", 2, 241_000, burst);
        hits.accept("new", 1, 200_000, burst);
        assertEquals(hits.between(0, 240_000, SERVERS), before);
    }

    /** A key that one daemon does not tell any more would pass for a rare one. */
    @Test
    public void keysBeyondTheLowestThresholdCountAsUnknown() {
        HitRateObserver hits = told(new Daemon(1, 0), 0.5, 0.5);
        Sum none = new Sum(0, 0, 0);
        hits.accept("low", 1, 230_000, new ResponseTimes(1_000, none, none, Map.of()));
        hits.accept("low", 1, 239_000, new ResponseTimes(1_000, none, none, Map.of()));
        assertEquals(hits.between(0, 240_000, SERVERS).missing(), Missing.SURE_MISSES);
    }

    @Test
    public void aDaemonTellsTheLowestHashesOfBoundedNumberAndAllAnswersOfThem() {
        ResponseTimeCounter counter = new ResponseTimeCounter();
        for (int i = 0; i < 16; i++) {
            counter.onResponse(0, true, 0, 0, Double.NaN, 100);
        }
        for (long hash = 2_000; hash > 0; hash--) {
            counter.onResponse(hash, true, 0, 0, 500, 50);
        }
        assertEquals(counter.snapshot().keys().size(), ResponseTimeCounter.MAX_KEYS);
        assertEquals(counter.snapshot().threshold(), ResponseTimeCounter.MAX_KEYS + 1);
        assertEquals(counter.snapshot().all().count(), 2_000);
        assertEquals(counter.snapshot().near().count(), 2_000);
        // Of a key that is not sampled, only that there was an answer.
        counter.onResponse(100, false, 0, 0, Double.NaN, 50);
        assertEquals(counter.snapshot().threshold(), 100);
        assertEquals(counter.snapshot().keys().size(), 99);
        assertEquals(counter.snapshot().all().count(), 2_001);
    }
}
