package peppergauge.forecast;

import static peppergauge.invariant.Loads.require;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
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

/**
 * Random load on sampling, merging and forecasting: daemons sample and restart; reports arrive twice, late or never;
 * the clock advances by minutes; and forecasts are made of random changes.
 */
public final class ForecastLoad {

    private static final int STEPS = Loads.steps(60);
    private static final int DAEMONS = 4;
    private static final long WINDOW_MS = 60_000;
    private static final long DAEMON_TIMEOUT_MS = 200_000;

    private final SplittableRandom random;
    private final KeyMerge merge = new KeyMerge(WINDOW_MS, DAEMON_TIMEOUT_MS);
    private final ForecastModel model = new ForecastModel(WINDOW_MS, DAEMON_TIMEOUT_MS, 10_000);
    private final Daemon[] daemons = new Daemon[DAEMONS];
    private final List<DaemonReport> late = new ArrayList<>();
    private final Map<String, DaemonReport> newest = new HashMap<>();
    private final int keys;
    private final double exponent;
    private long nowMs = 1_000_000;

    private record DaemonReport(
            String daemon, long incarnation, KeyReport keys, Map<String, ServiceTimes.Snapshot> times) {

        boolean isOlderThan(DaemonReport other) {
            return incarnation < other.incarnation()
                    || incarnation == other.incarnation()
                            && keys.sessions() < other.keys().sessions();
        }
    }

    private final class Daemon {
        private final long incarnation = nowMs;
        private final KeySampler sampler = new KeySampler(16 + random.nextInt(100), random.nextBoolean() ? 1 : 0.4);
        private final ServiceTimes times = new ServiceTimes(64);

        void serve(int requests, long overMs) {
            for (int i = 0; i < requests; i++) {
                String key = "k" + (int) (keys * Math.pow(random.nextDouble(), exponent));
                sampler.onRequest(key, "s" + key.length(), nowMs - overMs + overMs * i / requests);
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
        exponent = 1 + 3 * random.nextDouble();
    }

    /** @throws AssertionError if a check fails */
    public static void run(long seed) {
        ForecastLoad load = new ForecastLoad(seed);
        for (int i = 0; i < STEPS; i++) {
            load.step();
        }
        load.checkForecasts();
    }

    private void step() {
        long passedMs = random.nextInt(30) == 0 ? random.nextInt(300_000) : random.nextInt(8_000);
        nowMs += passedMs;
        for (int i = 0; i < DAEMONS; i++) {
            if (daemons[i] == null || random.nextInt(40) == 0) {
                daemons[i] = new Daemon();
            }
            daemons[i].serve(random.nextInt(100), passedMs);
            DaemonReport report = new DaemonReport(
                    "d" + i,
                    daemons[i].incarnation,
                    daemons[i].sampler.report(),
                    Map.of("gen", daemons[i].times.snapshot()));
            switch (random.nextInt(6)) {
                case 0 -> late.add(report);
                case 1 -> {}
                default -> accept(report);
            }
        }
        if (!late.isEmpty() && random.nextInt(3) == 0) {
            accept(late.remove(random.nextInt(late.size())));
        }
        merge.popularity(nowMs).ifPresent(this::check);
    }

    private void accept(DaemonReport report) {
        var previous =
                report.isOlderThan(newest.getOrDefault(report.daemon(), report)) ? merge.popularity(nowMs) : null;
        boolean older = previous != null && merge.daemons().contains(report.daemon());
        require(
                merge.accept(report.daemon(), report.incarnation(), nowMs, report.keys()) != older,
                "expected the report to be " + (older ? "ignored" : "accepted"));
        var once = merge.popularity(nowMs);
        require(!older || once.equals(previous), "expected an older report to change nothing");
        merge.accept(report.daemon(), report.incarnation(), nowMs, report.keys());
        require(merge.popularity(nowMs).equals(once), "expected a repeated report to change nothing");
        if (!older) {
            newest.put(report.daemon(), report);
        }
        model.accept(report.daemon(), report.incarnation(), nowMs, report.keys(), report.times());
    }

    private void check(KeyPopularity popularity) {
        long threshold = KeySampler.threshold(popularity.share());
        double sum = 0;
        Set<String> hashes = new HashSet<>();
        for (KeyPopularity.KeyCount key : popularity.keys()) {
            require(
                    key.count() >= 1 && hashes.add(key.hash() + key.tenant()),
                    "expected each key once, with a count of 1 or more, but was " + key);
            // The share is rounded, so the limit has a tolerance.
            require(
                    KeySampler.share(key.hash()) <= popularity.share() * (1 + 1e-9),
                    "expected hashes below " + threshold + " but was " + key);
            sum += key.count();
        }
        // Each count is rounded separately.
        require(
                sum <= popularity.requests() + popularity.keys().size() / 2.0 + 1,
                "expected sampled requests of at most " + popularity.requests() + " but was " + sum);
        require(popularity.spanMs() > 0, "expected a span above 0 ms but was " + popularity.spanMs());
    }

    private void checkForecasts() {
        int count = 2 + random.nextInt(12);
        List<Placement.Server> servers = new ArrayList<>();
        Map<String, Double> shares = new HashMap<>();
        for (int i = 0; i < count; i++) {
            servers.add(new Placement.Server("s" + i, i % 2 == 0 ? "x" : "y", 0.5 + random.nextDouble()));
        }
        shares.put("gen", 1.0 / count);
        Placement now = new Placement(
                servers,
                rule(count),
                random.nextInt(count + 1),
                List.of(0.1, 0.2, 0.3, 0.4),
                random.nextBoolean() ? Map.of() : Map.of("s2", Map.of("x", 0.05 + 0.95 * random.nextDouble())));
        PlacementChange change = change(count, now);
        model.forecast(now, shares, change, nowMs).ifPresent(this::check);
        double work = model.extraWork(
                now,
                shares,
                "s" + random.nextInt(4),
                random.nextBoolean() ? "x" : "z",
                random.nextDouble(),
                random.nextDouble(),
                nowMs);
        require(work >= 0 && work < 1e3, "expected extra work from 0 to 1000 but was " + work);
        double trustedWork = model.extraWork(now, shares, "s2", "x", 0.1, 0.9, nowMs);
        for (int i = 0; i < 6; i++) {
            model.accuracy().record(new HitRate(0.2, 0.1, 0.3), 0.6, 0.6);
        }
        require(
                model.extraWork(now, shares, "s2", "x", 0.1, 0.9, nowMs) == 0,
                "expected no extra work without trust; with trust it was " + trustedWork);
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

    private void check(Forecast forecast) {
        for (HitRates rates : List.of(forecast.now(), forecast.soon(), forecast.steady())) {
            check(rates.fleet());
            rates.tenants().values().forEach(ForecastLoad::check);
            rates.servers().values().forEach(ForecastLoad::check);
            require(Math.abs(rates.slope()) < 1e3, "expected a slope below 1000 but was " + rates.slope());
            check(rates.sidecar(Map.of("s2", 1.0, "other", 2.0), 0.1));
        }
    }

    private static void check(HitRate rate) {
        require(
                0 <= rate.low() && rate.low() <= rate.mean() && rate.mean() <= rate.high() && rate.high() <= 1,
                "expected 0 <= low <= mean <= high <= 1 but was " + rate);
    }
}
