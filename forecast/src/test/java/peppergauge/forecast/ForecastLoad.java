package peppergauge.forecast;

import static peppergauge.invariant.Loads.require;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import peppergauge.forecast.cache.ServiceTimes;
import peppergauge.forecast.hitrate.Forecast;
import peppergauge.forecast.hitrate.HitRate;
import peppergauge.forecast.hitrate.HitRates;
import peppergauge.forecast.model.ForecastModel;
import peppergauge.forecast.placement.Placement;
import peppergauge.forecast.placement.PlacementChange;
import peppergauge.forecast.popularity.KeyMerge;
import peppergauge.forecast.popularity.KeyPopularity;
import peppergauge.forecast.sample.KeySampler;
import peppergauge.invariant.Loads;

/** Daemons that sample and start anew; reports that come twice, late or never; pauses of minutes; any change asked. */
public final class ForecastLoad {

    private static final int STEPS = Loads.steps(60);
    private static final int DAEMONS = 4;
    private static final long WINDOW_MS = 60_000;
    private static final long FORGET_MS = 200_000;

    private final SplittableRandom random;
    private final KeyMerge merge = new KeyMerge(WINDOW_MS, FORGET_MS);
    private final ForecastModel answers = new ForecastModel(WINDOW_MS, FORGET_MS, 10_000);
    private final Daemon[] daemons = new Daemon[DAEMONS];
    private final List<Told> late = new ArrayList<>();
    private final Map<String, Told> newest = new HashMap<>();
    private final int keys;
    private final double steep;
    private long nowMs = 1_000_000;

    private record Told(String daemon, long incarnation, KeyReport keys, Map<String, ServiceTimes.Snapshot> times) {

        boolean isOlderThan(Told other) {
            return incarnation < other.incarnation()
                    || incarnation == other.incarnation()
                            && keys.sessions() < other.keys().sessions();
        }
    }

    private final class Daemon {
        private final long incarnation = nowMs;
        private final KeySampler sampler = new KeySampler(16 + random.nextInt(100), random.nextBoolean() ? 1 : 0.4);
        private final ServiceTimes times = new ServiceTimes(64);

        void serve(int sessions, long overMs) {
            for (int i = 0; i < sessions; i++) {
                String key = "k" + (int) (keys * Math.pow(random.nextDouble(), steep));
                sampler.onRequest(key, "s" + key.length(), nowMs - overMs + overMs * i / sessions);
                if (sampler.isSampled(KeySampler.hash(key))) {
                    double gapMs = random.nextInt(3) == 0 ? Double.POSITIVE_INFINITY : 60_000 * random.nextDouble();
                    times.onResponse(
                            KeySampler.hash(key), gapMs, (gapMs < 9_000 ? 0.6 : 1) * (0.5 + random.nextDouble()));
                }
            }
        }
    }

    private ForecastLoad(long seed) {
        random = new SplittableRandom(seed);
        keys = 1 + random.nextInt(random.nextBoolean() ? 10 : 1_000);
        steep = 1 + 3 * random.nextDouble();
    }

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) {
        ForecastLoad load = new ForecastLoad(seed);
        for (int i = 0; i < STEPS; i++) {
            load.step();
        }
        load.ask();
    }

    private void step() {
        long passedMs = random.nextInt(30) == 0 ? random.nextInt(300_000) : random.nextInt(8_000);
        nowMs += passedMs;
        for (int i = 0; i < DAEMONS; i++) {
            if (daemons[i] == null || random.nextInt(40) == 0) {
                daemons[i] = new Daemon();
            }
            daemons[i].serve(random.nextInt(100), passedMs);
            Told told = new Told(
                    "d" + i,
                    daemons[i].incarnation,
                    daemons[i].sampler.report(),
                    Map.of("gen", daemons[i].times.snapshot()));
            switch (random.nextInt(6)) {
                case 0 -> late.add(told);
                case 1 -> {}
                default -> tell(told);
            }
        }
        if (!late.isEmpty() && random.nextInt(3) == 0) {
            tell(late.remove(random.nextInt(late.size())));
        }
        merge.popularity(nowMs).ifPresent(this::check);
    }

    private void tell(Told told) {
        var former = told.isOlderThan(newest.getOrDefault(told.daemon(), told)) ? merge.popularity(nowMs) : null;
        boolean older = former != null && merge.daemons().contains(told.daemon());
        require(merge.accept(told.daemon(), told.incarnation(), nowMs, told.keys()) != older, "taken: " + older);
        var once = merge.popularity(nowMs);
        require(!older || once.equals(former), "an older report counts");
        merge.accept(told.daemon(), told.incarnation(), nowMs, told.keys());
        require(merge.popularity(nowMs).equals(once), "the same report twice counts more");
        if (!older) {
            newest.put(told.daemon(), told);
        }
        answers.accept(told.daemon(), told.incarnation(), nowMs, told.keys(), told.times());
    }

    private void check(KeyPopularity found) {
        long threshold = KeySampler.threshold(found.share());
        double sum = 0;
        Set<String> met = new java.util.HashSet<>();
        for (KeyPopularity.KeyCount key : found.keys()) {
            require(key.count() >= 1 && met.add(key.hash() + key.tenant()), "a key that did not come, or twice");
            // A threshold from a share is off by rounding.
            require(KeySampler.share(key.hash()) <= found.share() * (1 + 1e-9), "a key over " + threshold);
            sum += key.count();
        }
        // Each count is rounded by itself.
        require(sum <= found.requests() + found.keys().size() / 2.0 + 1, sum + " of " + found.requests() + " sampled");
        require(found.spanMs() > 0, "over " + found.spanMs() + " ms");
    }

    private void ask() {
        int count = 2 + random.nextInt(12);
        List<Placement.Server> servers = new ArrayList<>();
        Map<String, Double> parts = new HashMap<>();
        for (int i = 0; i < count; i++) {
            servers.add(new Placement.Server("s" + i, i % 2 == 0 ? "x" : "y", 0.5 + random.nextDouble()));
        }
        parts.put("gen", 1.0 / count);
        Placement now = new Placement(
                servers,
                rule(count),
                random.nextInt(count + 1),
                List.of(0.1, 0.2, 0.3, 0.4),
                random.nextBoolean() ? Map.of() : Map.of("s2", Map.of("x", 0.05 + 0.95 * random.nextDouble())));
        PlacementChange change = change(count, now);
        answers.forecast(now, parts, change, nowMs).ifPresent(this::check);
        double work = answers.extraWork(
                now,
                parts,
                "s" + random.nextInt(4),
                random.nextBoolean() ? "x" : "z",
                random.nextDouble(),
                random.nextDouble(),
                nowMs);
        require(work >= 0 && work < 1e3, "a move makes work of " + work);
        double moved = answers.extraWork(now, parts, "s2", "x", 0.1, 0.9, nowMs);
        for (int i = 0; i < 6; i++) {
            answers.accuracy().record(new HitRate(0.2, 0.1, 0.3), 0.6, 0.6);
        }
        require(answers.extraWork(now, parts, "s2", "x", 0.1, 0.9, nowMs) == 0, "a cost without trust: " + moved);
    }

    private Placement.Rule rule(int count) {
        return random.nextBoolean()
                ? new Placement.WeightedRandom()
                : new Placement.Rendezvous(
                        1 + random.nextInt(count), random.nextBoolean() ? 0 : 1.1 + random.nextDouble(), 1_000);
    }

    private PlacementChange change(int count, Placement now) {
        return switch (random.nextInt(7)) {
            case 0 -> new PlacementChange.ZoneLost(random.nextBoolean() ? "x" : "z");
            case 1 -> new PlacementChange.ZoneShunned("x", 0.05);
            case 2 ->
                new PlacementChange.ServersReplaced(
                        now.servers().subList(0, 1 + random.nextInt(count)).stream()
                                .map(Placement.Server::id)
                                .toList(),
                        7_000);
            case 3 -> new PlacementChange.ServersAdded(List.of(new Placement.Server("new", "z", 1)));
            case 4 -> new PlacementChange.SubsetSizeChanged(random.nextInt(count));
            case 5 -> new PlacementChange.RuleChanged(rule(count));
            default -> new PlacementChange.ZoneWeightsChanged("s2", Map.of("y", 0.05));
        };
    }

    private void check(Forecast said) {
        for (HitRates rates : List.of(said.now(), said.soon(), said.steady())) {
            check(rates.fleet());
            rates.tenants().values().forEach(ForecastLoad::check);
            rates.servers().values().forEach(ForecastLoad::check);
            require(Math.abs(rates.slope()) < 1e3, "a rise of " + rates.slope());
            check(rates.sidecar(Map.of("s2", 1.0, "other", 2.0), 0.1));
        }
    }

    private static void check(HitRate rate) {
        require(
                0 <= rate.low() && rate.low() <= rate.mean() && rate.mean() <= rate.high() && rate.high() <= 1,
                "no hit rate: " + rate);
    }
}
