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

    /** Response times of one daemon: 17 popular keys that hit or miss, and 22 keys too rare to be cached. */
    private static final class Daemon {
        private final SplittableRandom random = new SplittableRandom(1);
        private final Map<Long, Sum> keys = new HashMap<>();
        private final double factor;
        private final double queueing;
        private final double saving;
        private final boolean hasSureHits;
        private Sum all = new Sum(0, 0, 0);
        private Sum near = all;

        Daemon(double factor, double queueing) {
            this(factor, queueing, SAVING, true);
        }

        Daemon(double factor, double queueing, double saving, boolean hasSureHits) {
            this.factor = factor;
            this.queueing = queueing;
            this.saving = saving;
            this.hasSureHits = hasSureHits;
        }

        private Sum plus(Sum sum, double responseTime) {
            return new Sum(sum.count() + 1, sum.sum() + responseTime, sum.squares() + responseTime * responseTime);
        }

        /**
         * Adds responses and returns all so far. Popular keys hit with a probability that follows from {@code hits}, as
         * in {@link #expectedRate}.
         */
        ResponseTimes afterResponses(int responses, double hits) {
            for (int i = 0; i < responses; i++) {
                boolean rare = i % 10 == 0;
                boolean isNear = !rare && i % 5 == 1;
                boolean hit = !rare && (isNear || random.nextDouble() < (hits - 0.2) / 0.7 * 0.9 + 0.02);
                double responseTime = factor * ((hit ? 1 - saving : 1) * (0.4 + 1.2 * random.nextDouble()) + queueing);
                all = plus(all, responseTime);
                near = isNear && hasSureHits ? plus(near, responseTime) : near;
                long key = rare ? 1_000 + i / 10 * (i / 10) % 50 : i % 17;
                keys.merge(
                        key,
                        plus(new Sum(0, 0, 0), responseTime),
                        (a, b) -> new Sum(a.count() + b.count(), a.sum() + b.sum(), a.squares() + b.squares()));
            }
            return new ResponseTimes(-1, all, near, keys);
        }
    }

    /** Returns the hit rate over all responses of a {@link Daemon}, rare keys included. */
    private static double expectedRate(double hits) {
        return 0.2 + 0.7 * ((hits - 0.2) / 0.7 * 0.9 + 0.02);
    }

    private static HitRateObserver observerOf(Daemon daemon, double first, double second) {
        HitRateObserver observer = new HitRateObserver();
        for (int i = 0; i <= 48; i++) {
            observer.accept("d", 1, i * STEP_MS, daemon.afterResponses(1_000, i <= 24 ? first : second));
        }
        return observer;
    }

    @DataProvider
    public Object[][] levels() {
        return new Object[][] {
            // Hits in the first and second 120 s; factor of all response times; queueing time of each response.
            {0.3, 0.3, 1.0, 0.0},
            {0.3, 0.6, 1.0, 0.0},
            {0.8, 0.25, 1.0, 0.0},
            {0.3, 0.6, 7.0, 0.0},
            {0.6, 0.3, 1.0, 0.8},
        };
    }

    @Test(dataProvider = "levels")
    public void observesChangeOfHitRateWhateverIsAddedToAllResponseTimes(
            double first, double second, double factor, double queueing) {
        HitRateObserver observer = observerOf(new Daemon(factor, queueing), first, second);
        ObservedHitRate before = observer.between(0, 120_000, SERVERS);
        ObservedHitRate after = observer.between(120_000, 240_000, SERVERS);
        assertTrue(
                before.isKnown() && after.isKnown() && after.error() < 0.04,
                "expected known hit rates with errors below 0.04 but was " + before + " and " + after);
        assertEquals(before.rate(), expectedRate(first), 3 * before.error());
        assertEquals(after.rate(), expectedRate(second), 3 * after.error());
    }

    /** A window of 30 s uses its own responses alone, so its error is greater. */
    @Test
    public void fewerResponsesGiveLargerStandardError() {
        HitRateObserver observer = observerOf(new Daemon(1, 0), 0.3, 0.6);
        assertTrue(observer.between(120_000, 150_000, SERVERS).error()
                > 1.5 * observer.between(120_000, 240_000, SERVERS).error());
    }

    @Property(tries = 30)
    public void estimateIsIndependentOfUnitsAndQueueingTimes(
            @ForAll @DoubleRange(min = 0.1, max = 20) double factor,
            @ForAll @DoubleRange(min = 0, max = 5) double queueing) {
        ObservedHitRate plain = observerOf(new Daemon(1, 0), 0.5, 0.5).between(0, 240_000, SERVERS);
        ObservedHitRate scaled =
                observerOf(new Daemon(factor, queueing), 0.5, 0.5).between(0, 240_000, SERVERS);
        assertEquals(scaled.rate(), plain.rate(), 1e-6);
        assertEquals(scaled.error(), plain.error(), 1e-6);
    }

    @DataProvider
    public Object[][] insufficientReports() {
        return new Object[][] {
            // Report interval, ms; saving; whether there are sure hits; servers; window, ms; what is missing.
            {STEP_MS, SAVING, true, SERVERS, 240_000L, Missing.NOTHING},
            {STEP_MS, SAVING, true, 1, 240_000L, Missing.SURE_MISSES},
            {STEP_MS, SAVING, false, SERVERS, 240_000L, Missing.SURE_HITS},
            {STEP_MS, 0.0, true, SERVERS, 240_000L, Missing.SAVING},
            {STEP_MS, SAVING, true, SERVERS, 0L, Missing.ANSWERS},
            {40_000L, SAVING, true, SERVERS, 30_000L, Missing.CLOSE_REPORTS},
            {70_000L, SAVING, true, SERVERS, 240_000L, Missing.ANSWERS},
        };
    }

    @Test(dataProvider = "insufficientReports")
    public void reportsWhatIsMissingIfHitRateIsUnknown(
            long intervalMs, double saving, boolean hasSureHits, int servers, long windowMs, Missing missing) {
        HitRateObserver observer = new HitRateObserver();
        Daemon daemon = new Daemon(1, 0, saving, hasSureHits);
        for (long ms = 0; ms <= 240_000; ms += intervalMs) {
            observer.accept("d", 1, ms, daemon.afterResponses(1_000, 0.4));
        }
        assertEquals(observer.between(240_000 - windowMs, 240_000, servers).missing(), missing);
    }

    @Test
    public void ignoresRepeatedLateAndOlderReportsAndFirstReportAfterRestart() {
        HitRateObserver observer = observerOf(new Daemon(1, 0), 0.5, 0.5);
        ObservedHitRate before = observer.between(0, 240_000, SERVERS);
        ResponseTimes burst = new Daemon(1, 0).afterResponses(50_000, 0.9);
        observer.accept("d", 1, 200_000, burst);
        observer.accept("d", 0, 239_000, burst);
        observer.accept("d", 2, 241_000, burst);
        observer.accept("new", 1, 200_000, burst);
        assertEquals(observer.between(0, 240_000, SERVERS), before);
    }

    /** A key that one daemon no longer reports would be mistaken for a rare one. */
    @Test
    public void ignoresKeysAboveLowestThreshold() {
        HitRateObserver observer = observerOf(new Daemon(1, 0), 0.5, 0.5);
        Sum none = new Sum(0, 0, 0);
        observer.accept("low", 1, 230_000, new ResponseTimes(1_000, none, none, Map.of()));
        observer.accept("low", 1, 239_000, new ResponseTimes(1_000, none, none, Map.of()));
        assertEquals(observer.between(0, 240_000, SERVERS).missing(), Missing.SURE_MISSES);
    }

    @Test
    public void counterReportsLimitedNumberOfLowestHashesWithAllTheirResponses() {
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
        // Of a key that is not sampled, only the response is counted.
        counter.onResponse(100, false, 0, 0, Double.NaN, 50);
        assertEquals(counter.snapshot().threshold(), 100);
        assertEquals(counter.snapshot().keys().size(), 99);
        assertEquals(counter.snapshot().all().count(), 2_001);
    }
}
