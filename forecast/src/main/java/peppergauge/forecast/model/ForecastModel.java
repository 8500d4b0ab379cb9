package peppergauge.forecast.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.accuracy.ForecastAccuracy;
import peppergauge.forecast.cache.CacheEstimator;
import peppergauge.forecast.cache.CacheEstimator.ServerKind;
import peppergauge.forecast.cache.ServiceTimes;
import peppergauge.forecast.cache.ServiceTimes.Snapshot;
import peppergauge.forecast.hitrate.Forecast;
import peppergauge.forecast.hitrate.HitRateForecaster;
import peppergauge.forecast.placement.Placement;
import peppergauge.forecast.placement.PlacementChange;
import peppergauge.forecast.popularity.KeyMerge;
import peppergauge.forecast.popularity.KeyPopularity;

/** Accepts daemons' reports, and forecasts what a change would do to hit rates. Not thread-safe. */
public final class ForecastModel {

    private final KeyMerge merge;
    private final ForecastAccuracy accuracy = new ForecastAccuracy();
    private final Map<String, Map<String, Snapshot>> serviceTimes = new HashMap<>();
    private final long lifetimeMs;
    private HitRateForecaster cached;
    private Placement cachedPlacement;
    private long cachedAtMs;

    /**
     * Creates an empty model.
     *
     * @param windowMs time over which requests count, ms
     * @param daemonTimeoutMs time without a report after which a daemon does not count, ms
     * @param lifetimeMs time for which an inferred forecaster is reused, ms
     */
    public ForecastModel(long windowMs, long daemonTimeoutMs, long lifetimeMs) {
        merge = new KeyMerge(windowMs, daemonTimeoutMs);
        this.lifetimeMs = lifetimeMs;
    }

    /**
     * Accepts a report unless it is older than the last one.
     *
     * @param times service times by kind of server
     * @return whether it was accepted
     */
    public boolean accept(String daemon, long incarnation, long nowMs, KeyReport keys, Map<String, Snapshot> times) {
        boolean accepted = merge.accept(daemon, incarnation, nowMs, keys);
        if (accepted) {
            serviceTimes.put(daemon, Map.copyOf(times));
        }
        return accepted;
    }

    /**
     * Returns a forecast, trusted or not; empty if too little was reported.
     *
     * @param shares share of all requests that one server of each kind gets
     */
    public Optional<Forecast> forecast(Placement now, Map<String, Double> shares, PlacementChange change, long nowMs) {
        return forecaster(now, shares, nowMs).map(found -> found.forecast(change));
    }

    /**
     * Returns the additional work of a tenant in a zone while caches are cold, if its share there grows, in units of
     * its mean work there; 0 if nothing is known or forecasts are not trusted.
     */
    public double extraWork(
            Placement now,
            Map<String, Double> shares,
            String tenant,
            String zone,
            double fromShare,
            double toShare,
            long nowMs) {
        return accuracy.isTrusted()
                ? forecaster(now, shares, nowMs)
                        .map(found -> found.extraWork(tenant, zone, fromShare, toShare))
                        .orElse(0.0)
                : 0;
    }

    /** Returns the accuracy of past forecasts. */
    public ForecastAccuracy accuracy() {
        return accuracy;
    }

    private Optional<HitRateForecaster> forecaster(Placement now, Map<String, Double> shares, long nowMs) {
        if (cached == null || nowMs - cachedAtMs >= lifetimeMs || !now.equals(cachedPlacement)) {
            Optional<KeyPopularity> popularity =
                    merge.popularity(nowMs).filter(found -> !found.keys().isEmpty());
            serviceTimes.keySet().retainAll(merge.daemons());
            cached = popularity
                    .map(found -> new HitRateForecaster(found, CacheEstimator.estimate(now, kinds(shares), found), now))
                    .orElse(null);
            cachedPlacement = now;
            cachedAtMs = nowMs;
        }
        return Optional.ofNullable(cached);
    }

    private List<ServerKind> kinds(Map<String, Double> shares) {
        List<ServerKind> kinds = new ArrayList<>();
        new TreeMap<>(shares).forEach((kind, part) -> {
            List<Snapshot> snapshots = serviceTimes.values().stream()
                    .filter(own -> own.containsKey(kind))
                    .map(own -> own.get(kind))
                    .toList();
            if (!snapshots.isEmpty()) {
                kinds.add(new ServerKind(part, ServiceTimes.merge(snapshots)));
            }
        });
        // The estimator needs at least one kind of server, even without any service times.
        return kinds.isEmpty()
                ? List.of(new ServerKind(
                        shares.values().stream()
                                .mapToDouble(Double::doubleValue)
                                .max()
                                .orElse(1),
                        ServiceTimes.merge(List.of())))
                : kinds;
    }
}
