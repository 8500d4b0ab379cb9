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

    /** So many keys of two stations, each as often. */
    private static KeyPopularity alike(int keys, long count) {
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
        return new HitRateForecaster(alike(100, 2_000), CacheEstimate.known(5_000, keys, 0.4), placement);
    }

    private static double hit(double ratePerS, double seconds) {
        return 1 - Math.exp(-ratePerS * seconds);
    }

    @DataProvider
    public Object[][] steady() {
        // 100 keys, each twice a second, over 10 servers: 0.2 a second at each; life 5 s.
        return new Object[][] {
            {new PlacementChange.SubsetSizeChanged(0), hit(0.2, 5)},
            {new PlacementChange.ServersRemoved(Set.of("s0", "s1", "s2", "s3", "s4")), hit(0.4, 5)},
            {new PlacementChange.ZoneLost("x"), hit(0.4, 5)},
            {
                new PlacementChange.ServersAdded(IntStream.range(0, 10)
                        .mapToObj(i -> new Server("n" + i, "x", 1))
                        .toList()),
                hit(0.1, 5)
            },
            {new PlacementChange.ServersReplaced(List.of("s0", "s1", "s2", "s3", "s4", "s5"), 7_000), hit(0.2, 5)},
            {new PlacementChange.RuleChanged(new Rendezvous(2, 0, 1)), hit(1, 5)},
            {new PlacementChange.ZoneShunned("x", 1e-9), hit(0.4, 5)},
            {new PlacementChange.ZoneWeightsChanged("a", Map.of("x", 1e-9)), (hit(0.4, 5) + hit(0.2, 5)) / 2},
        };
    }

    @Test(dataProvider = "steady")
    public void steadyRatesAreThoseOfPoissonSessionsAndALife(PlacementChange change, double rate) {
        Forecast found = forecaster(placement(10, new WeightedRandom()), 1e9).forecast(change);
        assertEquals(found.steady().fleet().mean(), rate, 0.002);
        assertEquals(found.now().fleet().mean(), hit(0.2, 5), 0.002);
    }

    @Test
    public void aSmallMemoryHasTheReachInWhichItMeetsAsManyKeys() {
        // Of 100 keys 50 are met in the time in which each is with chance one half, which is then the hit rate.
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
        // Mean over 30 s of 1 - exp(-0.2 min(t, 5)) at a server that starts cold.
        double cold = (5 - hit(0.2, 5) / 0.2 + 25 * hit(0.2, 5)) / 30;
        // Of a reach of 5 s, t are at the new rate and the rest at the old one.
        double doubled = (25 * hit(0.4, 5) + 5 - Math.exp(-1) * hit(0.2, 5) / 0.2) / 30;
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
    public void memoriesFillAfterTheChange(PlacementChange change, double rate) {
        Forecast found = forecaster(placement(10, new WeightedRandom()), 1e9).forecast(change);
        assertEquals(found.soon().fleet().mean(), rate, 0.004);
    }

    @Test
    public void onlyNewServersAndTheStationThatMovesAreCold() {
        Forecast come = forecaster(placement(10, new WeightedRandom()), 1e9)
                .forecast(new PlacementChange.ServersAdded(List.of(new Server("new", "x", 1))));
        assertTrue(come.soon().servers().get("new").mean()
                < come.soon().servers().get("s1").mean() - 0.03);
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
    public void extraWorkIsThatOfColdMemoriesAndNoneWhereNothingMovesIn() {
        HitRateForecaster forecaster = forecaster(placement(10, new WeightedRandom()), 1e9);
        double small = forecaster.extraWork("a", "x", 0.5, 0.6);
        double great = forecaster.extraWork("a", "x", 0.0, 1.0);
        assertTrue(0 < small && small < great && great < 0.4, small + " " + great);
        assertEquals(forecaster.extraWork("a", "x", 0.5, 0.5), 0.0);
        assertEquals(forecaster.extraWork("a", "x", 0.6, 0.5), 0.0);
        assertEquals(forecaster.extraWork("unknown", "x", 0.1, 0.5), 0.0);
    }

    @Test
    public void popularKeysThatWereNotSampledAreReckonedWithTheSumThatIsKnown() {
        List<KeyCount> all = IntStream.rangeClosed(1, 20_000)
                .mapToObj(i -> new KeyCount(i, i % 3 == 0 ? "a" : "b", Math.round(100_000 * Math.pow(i, -0.8))))
                .toList();
        List<KeyCount> some = all.stream().filter(key -> key.hash() % 100 == 50).toList();
        long sessions = all.stream().mapToLong(KeyCount::count).sum();
        CacheEstimate memory = CacheEstimate.known(5_000, 2_000, 0.4);
        Placement placement = placement(10, new WeightedRandom());
        HitRate whole = new HitRateForecaster(new KeyPopularity(1, sessions, SPAN_MS, all), memory, placement)
                .now()
                .fleet();
        HitRate sampled = new HitRateForecaster(new KeyPopularity(0.01, sessions, SPAN_MS, some), memory, placement)
                .now()
                .fleet();
        assertEquals(sampled.mean(), whole.mean(), 0.02);
        assertTrue(sampled.contains(whole.mean()), sampled + " " + whole);
    }

    /** 300 keys alike with six of ten sessions, of which none is sampled: no power law is like that. */
    @Test
    public void knownHeavyKeysStandForThemselvesAndNoCurveForThem() {
        List<KeyCount> all = IntStream.rangeClosed(1, 20_300)
                .mapToObj(i -> new KeyCount((long) i << 20, i % 3 == 0 ? "a" : "b", i <= 300 ? 2_000 : 20))
                .toList();
        List<KeyCount> some = all.stream()
                .skip(300)
                .filter(key -> (key.hash() >> 20) % 100 == 50)
                .toList();
        List<KeyCount> heavy = all.subList(0, 300);
        CacheEstimate memory = CacheEstimate.known(5_000, 1e9, 0.4);
        Placement placement = placement(10, new WeightedRandom());
        HitRate whole = new HitRateForecaster(new KeyPopularity(1, 1_000_000, SPAN_MS, all), memory, placement)
                .now()
                .fleet();
        HitRateForecaster known =
                new HitRateForecaster(new KeyPopularity(0.01, 1_000_000, SPAN_MS, some, heavy), memory, placement);
        HitRate plain = new HitRateForecaster(new KeyPopularity(0.01, 1_000_000, SPAN_MS, some), memory, placement)
                .now()
                .fleet();
        assertEquals(known.now().fleet().mean(), whole.mean(), 0.01);
        assertTrue(known.now().fleet().contains(whole.mean()), known.now().fleet() + " " + whole);
        assertTrue(Math.abs(plain.mean() - whole.mean()) > 0.1, plain + " " + whole);
        assertEquals(known.now().tenants().get("a").mean(), whole.mean(), 0.01);
        // Where all keys are sampled the heavy ones are told already.
        assertEquals(
                new HitRateForecaster(
                                new KeyPopularity(1, 1_000_000, SPAN_MS, all, heavy.subList(0, 9)), memory, placement)
                        .now()
                        .fleet(),
                whole);
    }

    @Test
    public void nothingIsSaidOfAStationWhoseSampledKeysAllGaveWay() {
        // The sampled ones happen to be the popular ones: what they stand for is more than all sessions.
        List<KeyCount> some = List.of(
                new KeyCount(1, "b", 500),
                new KeyCount(2, "a", 400),
                new KeyCount(3, "a", 400),
                new KeyCount(4, "a", 400));
        HitRateForecaster forecaster = new HitRateForecaster(
                new KeyPopularity(0.1, 2_000, SPAN_MS, some),
                CacheEstimate.known(5_000, 100, 0.4),
                placement(10, new WeightedRandom()));
        assertEquals(forecaster.now().tenants().get("b"), HitRate.UNKNOWN);
        // Nor of what its move would cost; that no key is left of it ended the reckoning.
        assertEquals(forecaster.extraWork("b", "x", 0.1, 0.5), 0.0);
    }

    @Property(tries = 40, seed = "12")
    void rarerSamplesAndUnsureMemoriesWidenTheInterval(
            @ForAll @IntRange(min = 3, max = 60) int servers, @ForAll @DoubleRange(min = 10, max = 200) double keys) {
        Placement placement = placement(servers, new WeightedRandom());
        List<KeyCount> some = IntStream.range(0, 20)
                .mapToObj(i -> new KeyCount(i, "a", 1 + 3_000 / (i + 1)))
                .toList();
        long sessions = some.stream().mapToLong(KeyCount::count).sum();
        HitRate sure = new HitRateForecaster(
                        new KeyPopularity(1, sessions, SPAN_MS, some), CacheEstimate.known(5_000, keys, 0.4), placement)
                .now()
                .fleet();
        HitRate sampled = new HitRateForecaster(
                        new KeyPopularity(0.1, 10 * sessions, SPAN_MS, some),
                        CacheEstimate.known(5_000, keys, 0.4),
                        placement)
                .now()
                .fleet();
        HitRate unsure = new HitRateForecaster(
                        new KeyPopularity(1, sessions, SPAN_MS, some),
                        new CacheEstimate(
                                List.of(
                                        new CacheEstimate.Point(2_500, 1e9, 0.5),
                                        new CacheEstimate.Point(10_000, 1e9, 0.5)),
                                0.4,
                                0.1),
                        placement)
                .now()
                .fleet();
        HitRate partly = new HitRateForecaster(
                        new KeyPopularity(0.6, Math.round(sessions / 0.6), SPAN_MS, some),
                        CacheEstimate.known(5_000, keys, 0.4),
                        placement)
                .now()
                .fleet();
        assertTrue(partly.high() - partly.low() > 1.02 * (sure.high() - sure.low()), partly + " " + sure);
        assertTrue(sampled.high() - sampled.low() >= sure.high() - sure.low());
        assertTrue(unsure.high() - unsure.low() > sure.high() - sure.low());
    }
}
