package peppergauge.forecast;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.forecast.cache.CacheEstimate;
import peppergauge.forecast.hitrate.Forecast;
import peppergauge.forecast.hitrate.HitRate;
import peppergauge.forecast.hitrate.HitRateForecaster;
import peppergauge.forecast.placement.Placement;
import peppergauge.forecast.placement.Placement.Rendezvous;
import peppergauge.forecast.placement.Placement.Server;
import peppergauge.forecast.placement.Placement.WeightedRandom;
import peppergauge.forecast.placement.PlacementChange;
import peppergauge.forecast.popularity.KeyPopularity;
import peppergauge.forecast.popularity.KeyPopularity.KeyCount;

public class HitRateForecasterTest {

    private static final double SPAN_MS = 1_000_000;

    /** Returns a number of keys of two tenants, all with the same count. */
    private static KeyPopularity equalKeys(int keys, long count) {
        List<KeyCount> all = new ArrayList<>();
        for (int i = 0; i < keys; i++) {
            all.add(new KeyCount(i, i % 2 == 0 ? "a" : "b", count));
        }
        return new KeyPopularity(1, keys * count, SPAN_MS, all);
    }

    private static Placement placement(int servers, Placement.Rule rule) {
        return new Placement(
                IntStream.range(0, servers)
                        .mapToObj(i -> new Server("s" + i, i % 2 == 0 ? "x" : "y", 1))
                        .toList(),
                rule,
                0,
                List.of(0.5, 0.5),
                Map.of());
    }

    private static HitRateForecaster forecaster(Placement placement, double keys) {
        return new HitRateForecaster(equalKeys(100, 2_000), CacheEstimate.known(5_000, keys, 0.4), placement);
    }

    private static double hitRate(double requestsPerSecond, double seconds) {
        return 1 - Math.exp(-requestsPerSecond * seconds);
    }

    @DataProvider
    public Object[][] steady() {
        // 100 keys with 2 requests/s each over 10 servers: 0.2 requests/s at each; lifetime 5 s.
        return new Object[][] {
            {new PlacementChange.SubsetSizeChanged(0), hitRate(0.2, 5)},
            {new PlacementChange.ServersRemoved(Set.of("s0", "s1", "s2", "s3", "s4")), hitRate(0.4, 5)},
            {new PlacementChange.ZoneLost("x"), hitRate(0.4, 5)},
            {
                new PlacementChange.ServersAdded(IntStream.range(0, 10)
                        .mapToObj(i -> new Server("n" + i, "x", 1))
                        .toList()),
                hitRate(0.1, 5)
            },
            {new PlacementChange.ServersReplaced(List.of("s0", "s1", "s2", "s3", "s4", "s5"), 7_000), hitRate(0.2, 5)},
            {new PlacementChange.RuleChanged(new Rendezvous(2, 0, 1)), hitRate(1, 5)},
            {new PlacementChange.ZoneShunned("x", 1e-9), hitRate(0.4, 5)},
            {new PlacementChange.ZoneWeightsChanged("a", Map.of("x", 1e-9)), (hitRate(0.4, 5) + hitRate(0.2, 5)) / 2},
        };
    }

    @Test(dataProvider = "steady")
    public void steadyHitRateIsThatOfPoissonRequestsAndLifetime(PlacementChange change, double rate) {
        Forecast found = forecaster(placement(10, new WeightedRandom()), 1e9).forecast(change);
        assertEquals(found.steady().fleet().mean(), rate, 0.002);
        assertEquals(found.now().fleet().mean(), hitRate(0.2, 5), 0.002);
    }

    @Test
    public void hitRateOfSmallCacheFollowsFromTheTimeInWhichItFills() {
        // 50 of 100 keys arrive in the time in which each does with probability one half, which is the hit rate.
        assertEquals(
                forecaster(placement(10, new WeightedRandom()), 50)
                        .now()
                        .fleet()
                        .mean(),
                0.5,
                0.002);
    }

    @DataProvider
    public Object[][] soon() {
        // Mean over 30 s of 1 - exp(-0.2 min(t, 5)) at a server with a cold cache.
        double cold = (5 - hitRate(0.2, 5) / 0.2 + 25 * hitRate(0.2, 5)) / 30;
        // At time t, the last t of the 5 s of the reach have the new rate, and the rest the old one.
        double doubled = (25 * hitRate(0.4, 5) + 5 - Math.exp(-1) * hitRate(0.2, 5) / 0.2) / 30;
        return new Object[][] {
            {
                new PlacementChange.ServersReplaced(
                        IntStream.range(0, 10).mapToObj(i -> "s" + i).toList(), 0),
                cold
            },
            {new PlacementChange.ZoneLost("x"), doubled},
        };
    }

    @Test(dataProvider = "soon")
    public void cachesWarmUpAfterTheChange(PlacementChange change, double rate) {
        Forecast found = forecaster(placement(10, new WeightedRandom()), 1e9).forecast(change);
        assertEquals(found.soon().fleet().mean(), rate, 0.004);
    }

    @Test
    public void onlyNewServersAndTheMigratedTenantHaveColdCaches() {
        Forecast added = forecaster(placement(10, new WeightedRandom()), 1e9)
                .forecast(new PlacementChange.ServersAdded(List.of(new Server("new", "x", 1))));
        assertTrue(added.soon().servers().get("new").mean()
                < added.soon().servers().get("s1").mean() - 0.03);
        Forecast moved = forecaster(placement(10, new WeightedRandom()), 1e9)
                .forecast(new PlacementChange.ZoneWeightsChanged("a", Map.of("x", 0.1)));
        assertEquals(
                moved.soon().tenants().get("b").mean(),
                moved.now().tenants().get("b").mean(),
                0.002);
        assertTrue(moved.steady().tenants().get("a").mean()
                > moved.soon().tenants().get("a").mean());
        HitRate own = moved.steady().sidecar(Map.of("a", 1.0), 0.5);
        assertEquals(own.mean(), moved.steady().tenants().get("a").mean(), 1e-9);
    }

    @Test
    public void extraWorkIsThatOfColdCachesAndZeroIfShareDoesNotGrow() {
        HitRateForecaster forecaster = forecaster(placement(10, new WeightedRandom()), 1e9);
        double small = forecaster.extraWork("a", "x", 0.5, 0.6);
        double large = forecaster.extraWork("a", "x", 0.0, 1.0);
        assertTrue(
                0 < small && small < large && large < 0.4,
                "expected extra work that grows with the share but was " + small + " and " + large);
        assertEquals(forecaster.extraWork("a", "x", 0.5, 0.5), 0.0);
        assertEquals(forecaster.extraWork("a", "x", 0.6, 0.5), 0.0);
        assertEquals(forecaster.extraWork("unknown", "x", 0.1, 0.5), 0.0);
    }

    @Test
    public void popularKeysThatWereNotSampledAreEstimatedFromTotalRequests() {
        List<KeyCount> all = IntStream.rangeClosed(1, 20_000)
                .mapToObj(i -> new KeyCount(i, i % 3 == 0 ? "a" : "b", Math.round(100_000 * Math.pow(i, -0.8))))
                .toList();
        List<KeyCount> sampledKeys =
                all.stream().filter(key -> key.hash() % 100 == 50).toList();
        long requests = all.stream().mapToLong(KeyCount::count).sum();
        CacheEstimate cache = CacheEstimate.known(5_000, 2_000, 0.4);
        Placement placement = placement(10, new WeightedRandom());
        HitRate exact = new HitRateForecaster(new KeyPopularity(1, requests, SPAN_MS, all), cache, placement)
                .now()
                .fleet();
        HitRate sampled = new HitRateForecaster(
                        new KeyPopularity(0.01, requests, SPAN_MS, sampledKeys), cache, placement)
                .now()
                .fleet();
        assertEquals(sampled.mean(), exact.mean(), 0.02);
        assertTrue(sampled.contains(exact.mean()), "expected " + sampled + " to contain the mean of " + exact);
    }

    /** 300 keys with equal counts have 60% of the requests, and none is sampled: a power law does not fit them. */
    @Test
    public void knownFrequentKeysAreUsedInsteadOfPowerLaw() {
        List<KeyCount> all = IntStream.rangeClosed(1, 20_300)
                .mapToObj(i -> new KeyCount((long) i << 20, i % 3 == 0 ? "a" : "b", i <= 300 ? 2_000 : 20))
                .toList();
        List<KeyCount> sampledKeys = all.stream()
                .skip(300)
                .filter(key -> (key.hash() >> 20) % 100 == 50)
                .toList();
        List<KeyCount> frequent = all.subList(0, 300);
        CacheEstimate cache = CacheEstimate.known(5_000, 1e9, 0.4);
        Placement placement = placement(10, new WeightedRandom());
        HitRate exact = new HitRateForecaster(new KeyPopularity(1, 1_000_000, SPAN_MS, all), cache, placement)
                .now()
                .fleet();
        HitRateForecaster known = new HitRateForecaster(
                new KeyPopularity(0.01, 1_000_000, SPAN_MS, sampledKeys, frequent), cache, placement);
        HitRate withPowerLaw = new HitRateForecaster(
                        new KeyPopularity(0.01, 1_000_000, SPAN_MS, sampledKeys), cache, placement)
                .now()
                .fleet();
        assertEquals(known.now().fleet().mean(), exact.mean(), 0.01);
        assertTrue(
                known.now().fleet().contains(exact.mean()),
                "expected " + known.now().fleet() + " to contain the mean of " + exact);
        assertTrue(
                Math.abs(withPowerLaw.mean() - exact.mean()) > 0.1,
                "expected means more than 0.1 apart but was " + withPowerLaw + " and " + exact);
        assertEquals(known.now().tenants().get("a").mean(), exact.mean(), 0.01);
        // If all keys are sampled, frequent keys add nothing.
        assertEquals(
                new HitRateForecaster(
                                new KeyPopularity(1, 1_000_000, SPAN_MS, all, frequent.subList(0, 9)), cache, placement)
                        .now()
                        .fleet(),
                exact);
    }

    @Test
    public void hitRateIsUnknownForTenantWhoseSampledKeysAreAllReplaced() {
        // The sampled keys happen to be the popular ones: they represent more requests than there are.
        List<KeyCount> sampledKeys = List.of(
                new KeyCount(1, "b", 500),
                new KeyCount(2, "a", 400),
                new KeyCount(3, "a", 400),
                new KeyCount(4, "a", 400));
        HitRateForecaster forecaster = new HitRateForecaster(
                new KeyPopularity(0.1, 2_000, SPAN_MS, sampledKeys),
                CacheEstimate.known(5_000, 100, 0.4),
                placement(10, new WeightedRandom()));
        assertEquals(forecaster.now().tenants().get("b"), HitRate.UNKNOWN);
        // The extra work is also unknown. A tenant without any keys left once made this computation fail.
        assertEquals(forecaster.extraWork("b", "x", 0.1, 0.5), 0.0);
    }

    @Property(tries = 40, seed = "12")
    void smallerSamplesAndUncertainCachesWidenTheInterval(
            @ForAll @IntRange(min = 3, max = 60) int servers, @ForAll @DoubleRange(min = 10, max = 200) double keys) {
        Placement placement = placement(servers, new WeightedRandom());
        List<KeyCount> sampledKeys = IntStream.range(0, 20)
                .mapToObj(i -> new KeyCount(i, "a", 1 + 3_000 / (i + 1)))
                .toList();
        long requests = sampledKeys.stream().mapToLong(KeyCount::count).sum();
        HitRate exact = new HitRateForecaster(
                        new KeyPopularity(1, requests, SPAN_MS, sampledKeys),
                        CacheEstimate.known(5_000, keys, 0.4),
                        placement)
                .now()
                .fleet();
        HitRate sampled = new HitRateForecaster(
                        new KeyPopularity(0.1, 10 * requests, SPAN_MS, sampledKeys),
                        CacheEstimate.known(5_000, keys, 0.4),
                        placement)
                .now()
                .fleet();
        HitRate uncertain = new HitRateForecaster(
                        new KeyPopularity(1, requests, SPAN_MS, sampledKeys),
                        new CacheEstimate(
                                List.of(
                                        new CacheEstimate.Point(2_500, 1e9, 0.5),
                                        new CacheEstimate.Point(10_000, 1e9, 0.5)),
                                0.4,
                                0.1),
                        placement)
                .now()
                .fleet();
        HitRate mostlySampled = new HitRateForecaster(
                        new KeyPopularity(0.6, Math.round(requests / 0.6), SPAN_MS, sampledKeys),
                        CacheEstimate.known(5_000, keys, 0.4),
                        placement)
                .now()
                .fleet();
        assertTrue(
                mostlySampled.high() - mostlySampled.low() > 1.02 * (exact.high() - exact.low()),
                "expected a wider interval than " + exact + " but was " + mostlySampled);
        assertTrue(sampled.high() - sampled.low() >= exact.high() - exact.low());
        assertTrue(uncertain.high() - uncertain.low() > exact.high() - exact.low());
    }
}
