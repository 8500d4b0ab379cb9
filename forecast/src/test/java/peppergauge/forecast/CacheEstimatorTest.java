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

    /** Returns responses with log-uniform gaps, of which those within the reach have a shorter service time. */
    private static ServiceTimes.Snapshot snapshot(int responses, double share, double reachMs, long seed) {
        return snapshot(responses, share, reachMs, seed, 300, 100);
    }

    private static ServiceTimes.Snapshot snapshot(
            int responses, double share, double reachMs, long seed, int keys, int requestsPerKey) {
        SplittableRandom random = new SplittableRandom(seed);
        ServiceTimes times = new ServiceTimes(1_000);
        for (int i = 0; i < responses; i++) {
            double gapMs = 250 * Math.pow(128, random.nextDouble());
            // Requests of the other sidecar also cause hits.
            boolean cachedByOthers =
                    random.nextDouble() < 1 - Math.exp(-requestsPerKey * share / 2 * reachMs / SPAN_MS);
            boolean known = i % 2 == 0;
            times.onResponse(
                    i % keys,
                    known ? gapMs : Double.POSITIVE_INFINITY,
                    (cachedByOthers || known && gapMs < reachMs ? 0.6 : 1) * (0.5 + random.nextDouble()));
        }
        return times.snapshot();
    }

    private static CacheEstimate estimate(double share, int responses, double reachMs) {
        return CacheEstimator.estimate(
                PLACEMENT, List.of(new CacheEstimator.ServerKind(share, snapshot(responses, share, reachMs, 1))), KEYS);
    }

    /** Returns the number of distinct keys that a server with this share of the requests receives in a time. */
    private static double distinctKeys(double share, double ms) {
        return 300 * (1 - Math.exp(-100 * share * ms / SPAN_MS));
    }

    private static double reachMs(Point point, double share) {
        double ms = 0;
        while (ms < point.lifeMs() && distinctKeys(share, ms) < point.keys()) {
            ms += 10;
        }
        return ms;
    }

    @DataProvider
    public Object[][] reachesMs() {
        return new Object[][] {{1_500.0}, {4_000.0}, {11_000.0}};
    }

    @Test(dataProvider = "reachesMs")
    public void estimatesReachWhetherLifetimeOrSizeLimitsIt(double reachMs) {
        CacheEstimate estimate = estimate(0.1, 16_000, reachMs);
        double mean = estimate.points().stream()
                .mapToDouble(point -> reachMs(point, 0.1))
                .average()
                .orElseThrow();
        assertEquals(mean / reachMs, 1, 0.12);
        assertEquals(estimate.saving(), 0.4, 0.03);
    }

    @Test
    public void fewResponsesOfOneServerKindDoNotDistinguishLifetimeFromSize() {
        double reachMs = 4_000;
        CacheEstimate estimate = estimate(0.1, 600, reachMs);
        assertTrue(estimate.points().stream().anyMatch(point -> point.lifeMs() > 1.5 * reachMs));
        assertTrue(estimate.points().stream().anyMatch(point -> point.keys() > 1.5 * distinctKeys(0.1, reachMs)));
    }

    @Test
    public void serverKindsWithDifferentSharesDistinguishLifetimeFromSize() {
        CacheEstimate estimate = CacheEstimator.estimate(
                PLACEMENT,
                List.of(
                        new CacheEstimator.ServerKind(0.05, snapshot(8_000, 0.05, 4_000, 1)),
                        new CacheEstimator.ServerKind(0.2, snapshot(8_000, 0.2, 4_000, 2))),
                KEYS);
        assertTrue(
                estimate.points().stream().allMatch(point -> Math.abs(point.lifeMs() / 4_000 - 1) < 0.15),
                estimate.points().toString());
    }

    /**
     * The 200 most frequent keys have two thirds of the requests, and none of them is sampled. The estimated cache size
     * has to include them.
     */
    @Test(dataProvider = "reachesMs")
    public void forecastWithEstimatedCacheReproducesObservedHitRate(double reachMs) {
        KeyPopularity popularity = new KeyPopularity(
                0.02,
                300_000,
                SPAN_MS,
                IntStream.range(0, 200).mapToObj(i -> new KeyCount(i, "s", 10)).toList(),
                IntStream.range(0, 200)
                        .mapToObj(i -> new KeyCount((i + 1L) << 48, "s", 1_000))
                        .toList());
        CacheEstimator.ServerKind kind = new CacheEstimator.ServerKind(0.1, snapshot(16_000, 0.1, reachMs, 1, 200, 10));
        CacheEstimate estimate = CacheEstimator.estimate(PLACEMENT, List.of(kind), popularity);
        double forecast = new HitRateForecaster(popularity, estimate, PLACEMENT)
                .now()
                .fleet()
                .mean();
        // Of a key with n requests, n - 1 can precede a given one.
        double expected = (100_000 * (1 - Math.pow(1 - 0.1 * reachMs / SPAN_MS, 9))
                        + 200_000 * (1 - Math.pow(1 - 0.1 * reachMs / SPAN_MS, 999)))
                / 300_000;
        assertEquals(forecast, expected, 0.02);
    }

    @Test
    public void withoutResponsesEstimateCoversAllPossibleCaches() {
        CacheEstimate estimate = estimate(0.1, 0, 4_000);
        assertTrue(estimate.points().stream().mapToDouble(Point::lifeMs).min().orElseThrow() < 1_000
                || estimate.points().stream()
                                .mapToDouble(point -> reachMs(point, 0.1))
                                .min()
                                .orElseThrow()
                        < 1_000);
        assertTrue(estimate.points().stream().mapToDouble(Point::lifeMs).max().orElseThrow() > 16_000);
        assertEquals(estimate.savingError(), 1.0);
    }

    /** A faulty daemon may report such service times. They once left an estimate without any point to forecast with. */
    @Test
    public void overflowingServiceTimesLeaveEstimateWithAllPoints() {
        ServiceTimes times = new ServiceTimes(1_000);
        for (int i = 0; i < 2_000; i++) {
            times.onResponse(i % 300, i % 2 == 0 ? 250 + 10 * i : Double.POSITIVE_INFINITY, 1e200 * (1 + i % 3));
        }
        CacheEstimate estimate =
                CacheEstimator.estimate(PLACEMENT, List.of(new CacheEstimator.ServerKind(0.1, times.snapshot())), KEYS);
        assertEquals(estimate.points().stream().mapToDouble(Point::weight).sum(), 1, 1e-9);
        assertTrue(
                estimate.saving() >= 0 && estimate.saving() <= 1,
                "expected a saving from 0 to 1 but was " + estimate.saving());
    }
}
