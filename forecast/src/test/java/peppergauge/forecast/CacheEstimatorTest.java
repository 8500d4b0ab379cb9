package peppergauge.forecast;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.forecast.cache.CacheEstimate;
import peppergauge.forecast.cache.CacheEstimate.Point;
import peppergauge.forecast.cache.CacheEstimator;
import peppergauge.forecast.cache.ServiceTimes;
import peppergauge.forecast.hitrate.HitRateForecaster;
import peppergauge.forecast.placement.Placement;
import peppergauge.forecast.placement.Placement.Server;
import peppergauge.forecast.placement.Placement.WeightedRandom;
import peppergauge.forecast.popularity.KeyPopularity;
import peppergauge.forecast.popularity.KeyPopularity.KeyCount;

public class CacheEstimatorTest {

    private static final double SPAN_MS = 300_000;
    private static final KeyPopularity KEYS = new KeyPopularity(
            1,
            30_000,
            SPAN_MS,
            IntStream.range(0, 300).mapToObj(i -> new KeyCount(i, "s", 100)).toList());
    private static final Placement PLACEMENT = new Placement(
            IntStream.range(0, 10).mapToObj(i -> new Server("s" + i, "z", 1)).toList(),
            new WeightedRandom(),
            0,
            List.of(0.5, 0.5),
            Map.of());

    /** Answers with gaps drawn evenly by their logarithm; what comes within the reach took less. */
    private static ServiceTimes.Snapshot seen(int answers, double part, double reachMs, long seed) {
        return seen(answers, part, reachMs, seed, 300, 100);
    }

    private static ServiceTimes.Snapshot seen(int answers, double part, double reachMs, long seed, int keys, int each) {
        SplittableRandom random = new SplittableRandom(seed);
        ServiceTimes times = new ServiceTimes(1_000);
        for (int i = 0; i < answers; i++) {
            double gapMs = 250 * Math.pow(128, random.nextDouble());
            // What the other sidecar sends hits, too.
            boolean others = random.nextDouble() < 1 - Math.exp(-each * part / 2 * reachMs / SPAN_MS);
            boolean known = i % 2 == 0;
            times.onResponse(
                    i % keys,
                    known ? gapMs : Double.POSITIVE_INFINITY,
                    (others || known && gapMs < reachMs ? 0.6 : 1) * (0.5 + random.nextDouble()));
        }
        return times.snapshot();
    }

    private static CacheEstimate estimate(double part, int answers, double reachMs) {
        return CacheEstimator.estimate(
                PLACEMENT, List.of(new CacheEstimator.Kind(part, seen(answers, part, reachMs, 1))), KEYS);
    }

    /** Keys that a server with this part of the sessions meets. */
    private static double met(double part, double ms) {
        return 300 * (1 - Math.exp(-100 * part * ms / SPAN_MS));
    }

    private static double reachMs(Point point, double part) {
        double ms = 0;
        while (ms < point.lifeMs() && met(part, ms) < point.keys()) {
            ms += 10;
        }
        return ms;
    }

    @DataProvider
    public Object[][] reaches() {
        return new Object[][] {{1_500.0}, {4_000.0}, {11_000.0}};
    }

    @Test(dataProvider = "reaches")
    public void theReachIsFoundWhetherTimeOrSizeSetsIt(double reachMs) {
        CacheEstimate found = estimate(0.1, 16_000, reachMs);
        double mean = found.points().stream()
                .mapToDouble(point -> reachMs(point, 0.1))
                .average()
                .orElseThrow();
        assertEquals(mean / reachMs, 1, 0.12);
        assertEquals(found.saving(), 0.4, 0.03);
    }

    @Test
    public void aFewAnswersOfOneKindOfServerCannotTellTimeFromSize() {
        double reachMs = 4_000;
        CacheEstimate found = estimate(0.1, 600, reachMs);
        assertTrue(found.points().stream().anyMatch(point -> point.lifeMs() > 1.5 * reachMs));
        assertTrue(found.points().stream().anyMatch(point -> point.keys() > 1.5 * met(0.1, reachMs)));
    }

    @Test
    public void serversWithUnlikePartsTellTimeFromSize() {
        CacheEstimate life = CacheEstimator.estimate(
                PLACEMENT,
                List.of(
                        new CacheEstimator.Kind(0.05, seen(8_000, 0.05, 4_000, 1)),
                        new CacheEstimator.Kind(0.2, seen(8_000, 0.2, 4_000, 2))),
                KEYS);
        assertTrue(
                life.points().stream().allMatch(point -> Math.abs(point.lifeMs() / 4_000 - 1) < 0.15),
                life.points().toString());
    }

    /** 200 heavy keys, none of them sampled, are half of what a server meets: a memory has to hold them, too. */
    @Test(dataProvider = "reaches")
    public void aMemoryIsAsLargeAsAForecastNeedsItForTheReachThatWasSeen(double reachMs) {
        KeyPopularity known = new KeyPopularity(
                0.02,
                300_000,
                SPAN_MS,
                IntStream.range(0, 200).mapToObj(i -> new KeyCount(i, "s", 10)).toList(),
                IntStream.range(0, 200)
                        .mapToObj(i -> new KeyCount((i + 1L) << 48, "s", 1_000))
                        .toList());
        CacheEstimate found = CacheEstimator.estimate(
                PLACEMENT, List.of(new CacheEstimator.Kind(0.1, seen(16_000, 0.1, reachMs, 1, 200, 10))), known);
        double said =
                new HitRateForecaster(known, found, PLACEMENT).now().fleet().mean();
        // A key that came n times counts one less: the session itself is not met before it.
        double seen = (100_000 * (1 - Math.pow(1 - 0.1 * reachMs / SPAN_MS, 9))
                        + 200_000 * (1 - Math.pow(1 - 0.1 * reachMs / SPAN_MS, 999)))
                / 300_000;
        assertEquals(said, seen, 0.02);
    }

    @Test
    public void withoutAnswersAllThatMayBeStaysInTheEstimate() {
        CacheEstimate found = estimate(0.1, 0, 4_000);
        assertTrue(found.points().stream().mapToDouble(Point::lifeMs).min().orElseThrow() < 1_000
                || found.points().stream()
                                .mapToDouble(point -> reachMs(point, 0.1))
                                .min()
                                .orElseThrow()
                        < 1_000);
        assertTrue(found.points().stream().mapToDouble(Point::lifeMs).max().orElseThrow() > 16_000);
        assertEquals(found.savingError(), 1.0);
    }

    /** A broken daemon's: one such report left no point of the estimate, and a forecast has to reckon with some. */
    @Test
    public void answersBeyondAllNumbersSayNothing() {
        ServiceTimes times = new ServiceTimes(1_000);
        for (int i = 0; i < 2_000; i++) {
            times.onResponse(i % 300, i % 2 == 0 ? 250 + 10 * i : Double.POSITIVE_INFINITY, 1e200 * (1 + i % 3));
        }
        CacheEstimate found =
                CacheEstimator.estimate(PLACEMENT, List.of(new CacheEstimator.Kind(0.1, times.snapshot())), KEYS);
        assertEquals(found.points().stream().mapToDouble(Point::weight).sum(), 1, 1e-9);
        assertTrue(found.saving() >= 0 && found.saving() <= 1, found.saving() + " is saved");
    }
}
