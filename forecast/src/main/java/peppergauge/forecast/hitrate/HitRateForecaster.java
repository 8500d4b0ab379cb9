package peppergauge.forecast.hitrate;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import peppergauge.forecast.cache.CacheEstimate;
import peppergauge.forecast.cache.CacheEstimate.Point;
import peppergauge.forecast.placement.Placement;
import peppergauge.forecast.placement.PlacementChange;
import peppergauge.forecast.placement.PlacementStep;
import peppergauge.forecast.popularity.KeyClass;
import peppergauge.forecast.popularity.KeyPopularity;
import peppergauge.forecast.popularity.KeyPopularity.KeyCount;

/** Forecasts what a change of placement does to hit rates, by key popularity and cache model. */
public final class HitRateForecaster {

    /** Length of the time "soon" after a change, in which caches warm up. */
    public static final double SOON_MS = 30_000;

    /** Number of moments within {@link #SOON_MS} at which the hit rate is computed. */
    private static final int SOON_SAMPLES = 20;
    /** Time of the steady state, long after any change. */
    private static final double STEADY_AT_MS = 1e9;
    /** Standard error of the model itself. */
    private static final double MODEL_ERROR = 0.007;
    /** Standard error of the model while caches are cold. */
    private static final double COLD_MODEL_ERROR = 0.006;
    /** Additional standard error with bounded loads, whose overflow is computed from means alone. */
    private static final double BOUNDED_LOAD_ERROR = 0.012;

    private final KeyPopularity popularity;
    private final CacheEstimate cache;
    private final Placement placement;
    private final List<String> tenants;
    /** Possible key populations; one if all keys are sampled. */
    private final List<List<KeyClass>> populations = new ArrayList<>();

    private final List<Point> points = new ArrayList<>();

    /**
     * Creates a forecaster.
     *
     * @throws IllegalArgumentException if no key was sampled
     */
    public HitRateForecaster(KeyPopularity popularity, CacheEstimate cache, Placement placement) {
        this.popularity = popularity;
        this.cache = cache;
        this.placement = placement;
        tenants =
                List.copyOf(new TreeSet<>(Stream.concat(popularity.keys().stream(), popularity.frequentKeys().stream())
                        .map(KeyCount::tenant)
                        .toList()));
        if (tenants.isEmpty()) {
            throw new IllegalArgumentException("no key was sampled");
        }
        List<KeyClass> only = KeyClass.fromCounts(popularity, tenants);
        if (!only.isEmpty()) {
            populations.add(only);
            points.addAll(cache.points());
        } else {
            // The relative error of the rank at the end of the curve is inverse to the square root of the number
            // of keys that the curve replaces.
            double rankError = Math.min(0.6, Math.sqrt(0.75 / KeyClass.headSize(popularity)));
            for (double each : new double[] {-rankError, 0, rankError}) {
                populations.add(KeyClass.withHead(popularity, tenants, each));
            }
            // Point i is combined with population i modulo 3. If there are few points, each is repeated for all three.
            int times = cache.points().size() < 9 ? 3 : 1;
            for (Point point : cache.points()) {
                points.addAll(
                        Collections.nCopies(times, new Point(point.lifeMs(), point.keys(), point.weight() / times)));
            }
        }
    }

    /** Returns the hit rates without a change, soon after it, and once caches are warm. */
    public Forecast forecast(PlacementChange change) {
        List<PlacementStep> steps = change.steps(placement);
        return new Forecast(
                rates(List.of(), STEADY_AT_MS, 1), rates(steps, 0, SOON_SAMPLES), rates(steps, STEADY_AT_MS, 1));
    }

    /** Returns the hit rates without a change. */
    public HitRates now() {
        return rates(List.of(), STEADY_AT_MS, 1);
    }

    /**
     * Returns the additional work of a tenant's requests in a zone while caches are cold, if its share there grows by
     * zone weights: mean over {@link #SOON_MS}, in units of the tenant's mean work there.
     */
    public double extraWork(String tenant, String zone, double fromShare, double toShare) {
        if (toShare <= fromShare || !tenants.contains(tenant) || !(fromShare >= 0 && toShare <= 1)) {
            return 0;
        }
        Placement from = withZoneShare(tenant, zone, fromShare);
        Placement to = withZoneShare(tenant, zone, toShare);
        HitRateForecaster usual = new HitRateForecaster(popularity, cache, from);
        List<PlacementStep> steps = List.of(new PlacementStep(0, to));
        double steady = usual.hitRateInZone(steps, STEADY_AT_MS, 1, tenant, zone);
        double cold = Math.max(0, steady - usual.hitRateInZone(steps, 0, SOON_SAMPLES, tenant, zone));
        double work = cache.saving() * cold / (1 - cache.saving() * steady);
        assert work >= 0 && work < Double.POSITIVE_INFINITY
                : "expected finite extra work of 0 or more but was " + work + " for " + tenant + " in zone " + zone;
        return work;
    }

    /** Returns the hit rate of one tenant's requests in one zone. */
    private double hitRateInZone(List<PlacementStep> steps, double fromMs, int moments, String tenant, String zone) {
        PlacementTimeline timeline = new PlacementTimeline(placement, steps, tenants, popularity);
        Set<String> inside = placement.servers().stream()
                .filter(server -> server.zone().equals(zone))
                .map(Placement.Server::id)
                .collect(Collectors.toSet());
        int at = tenants.indexOf(tenant);
        double rate = 0;
        List<MissModel> models = missModels(timeline, fromMs, moments);
        for (int i = 0; i < models.size(); i++) {
            double missed = 0;
            double requests = 0;
            for (int group = 0; group < timeline.groups.size(); group++) {
                // A group may have servers in several zones: it counts in proportion to its servers in this zone.
                List<String> ids = timeline.groups.get(group).ids();
                double part = (double) ids.stream().filter(inside::contains).count() / ids.size();
                missed += part * models.get(i).groupMisses[group][at];
                requests += part * models.get(i).groupRequests[group][at];
            }
            rate += requests > 0 ? points.get(i).weight() * (1 - missed / requests) : 0;
        }
        return rate;
    }

    /** Returns the placement with zone weights that give a tenant this share in the zone. */
    private Placement withZoneShare(String tenant, String zone, double share) {
        double inside = 0;
        double outside = 0;
        for (Placement.Server server : placement.servers()) {
            if (server.zone().equals(zone)) {
                inside += server.weight();
            } else {
                outside += server.weight();
            }
        }
        double clampedShare = Math.max(1e-6, Math.min(1 - 1e-6, share));
        double factor = inside == 0 || outside == 0 ? 1 : clampedShare / (1 - clampedShare) * outside / inside;
        Map<String, Map<String, Double>> zoneWeights = new HashMap<>(placement.zoneWeights());
        zoneWeights.put(tenant, Map.of(zone, factor));
        return new Placement(
                placement.servers(), placement.rule(), placement.subsetSize(), placement.sidecars(), zoneWeights);
    }

    // ---- Means and intervals ----

    /** @param moments number of moments spread over {@link #SOON_MS}, or 1 for {@code fromMs} alone */
    private HitRates rates(List<PlacementStep> steps, double fromMs, int moments) {
        PlacementTimeline timeline = new PlacementTimeline(placement, steps, tenants, popularity);
        List<MissModel> models = missModels(timeline, fromMs, moments);
        double modelError = (moments == 1 ? MODEL_ERROR : COLD_MODEL_ERROR)
                + (timeline.placements.stream().anyMatch(HitRateForecaster::hasBoundedLoad) ? BOUNDED_LOAD_ERROR : 0);
        Map<String, HitRate> ratesByTenant = new HashMap<>();
        for (int tenant = 0; tenant < tenants.size(); tenant++) {
            int only = tenant;
            ratesByTenant.put(tenants.get(tenant), rate(models, each -> each.tenant() == only, false, modelError));
        }
        double requests = popularity.requests() * SOON_MS / popularity.spanMs();
        return new HitRates(
                rate(models, each -> true, true, modelError),
                ratesByTenant,
                ratesByServer(timeline, models, modelError),
                hitRateSlope(timeline, models),
                requests,
                timeline.placements.get(timeline.placements.size() - 1));
    }

    private static boolean hasBoundedLoad(Placement placement) {
        return placement.rule() instanceof Placement.Rendezvous rule && rule.bound() > 1;
    }

    private List<MissModel> missModels(PlacementTimeline timeline, double fromMs, int moments) {
        List<MissModel> models = new ArrayList<>();
        for (Point point : points) {
            MissModel model = new MissModel(
                    timeline,
                    populations.get(models.size() % populations.size()),
                    popularity.spanMs(),
                    popularity.share());
            double settledMs = timeline.stepStartsMs[timeline.stepStartsMs.length - 1] + point.lifeMs();
            int settled = 0;
            for (int i = 0; i < moments; i++) {
                double atMs = moments == 1 ? fromMs : SOON_MS * (i + 0.5) / moments;
                if (atMs >= settledMs) {
                    settled++;
                } else {
                    model.add(atMs, point.lifeMs(), point.keys(), 1.0 / moments);
                }
            }
            if (settled > 0) {
                // No key from before the last step is cached any more, so all such moments have the same hit rate.
                model.add(STEADY_AT_MS, point.lifeMs(), point.keys(), (double) settled / moments);
            }
            models.add(model);
        }
        return models;
    }

    /** Returns the slope of the hit rate by a server's load factor: least squares over servers of the same kind. */
    private double hitRateSlope(PlacementTimeline timeline, List<MissModel> models) {
        double cross = 0;
        double squares = 0;
        for (int first = 0; first < timeline.groups.size(); ) {
            List<String> ids = timeline.groups.get(first).ids();
            int next = first;
            double requests = 0;
            double missed = 0;
            while (next < timeline.groups.size() && timeline.groups.get(next).ids() == ids) {
                requests += sum(models, next, true);
                missed += sum(models, next++, false);
            }
            for (int at = first; at < next && requests > 0; at++) {
                double loadFactor = sum(models, at, true) * (next - first) / requests - 1;
                double own = sum(models, at, true);
                cross += own * loadFactor * (missed / requests - sum(models, at, false) / Math.max(1e-9, own));
                squares += own * loadFactor * loadFactor;
            }
            first = next;
        }
        return squares > 0 ? cross / squares : 0;
    }

    private static double sum(List<MissModel> models, int group, boolean requests) {
        return models.stream()
                .mapToDouble(model -> Arrays.stream(requests ? model.groupRequests[group] : model.groupMisses[group])
                        .sum())
                .sum();
    }

    /** @param total whether the number of all requests is known, not only of the sampled ones */
    private HitRate rate(List<MissModel> models, Predicate<KeyClass> which, boolean total, double modelError) {
        double[] means = new double[models.size()];
        double[] errors = new double[models.size()];
        for (int i = 0; i < means.length; i++) {
            double[] found = estimate(models.get(i), which, total);
            means[i] = found[0];
            errors[i] = Math.sqrt(found[1] + modelError * modelError);
        }
        return mixture(means, errors);
    }

    /**
     * Returns the hit rate and its variance. If the number of all requests is known, the general regression estimator
     * (Sarndal, Swensson and Wretman 1992) corrects for popular keys in the sample or missing from it.
     */
    private double[] estimate(MissModel model, Predicate<KeyClass> which, boolean total) {
        double requests = 0;
        double missed = 0;
        double cross = 0;
        double squares = 0;
        double keys = 0;
        for (int i = 0; i < model.classes.size(); i++) {
            KeyClass each = model.classes.get(i);
            if (which.test(each)) {
                requests += each.keys() * each.count();
                missed += each.keys() * model.misses[i];
                if (!each.known()) {
                    keys += each.keys();
                    cross += each.keys() * model.misses[i] * each.count();
                    squares += each.keys() * each.count() * each.count();
                }
            }
        }
        if (requests <= 0) {
            // All selected keys were replaced by the power-law curve, so nothing is known of them.
            return new double[] {0.5, 1};
        }
        double all = total ? popularity.requests() * popularity.share() : requests;
        double slope = total && squares > 0 ? cross / squares : missed / requests;
        double rate = Math.max(0, Math.min(1, (missed + slope * (all - requests)) / all));
        double variance = 0;
        for (int i = 0; i < model.classes.size(); i++) {
            KeyClass each = model.classes.get(i);
            if (which.test(each)) {
                double off = model.misses[i] - slope * each.count();
                double counted = model.slopes[i] - rate;
                variance += each.keys()
                        * (each.known()
                                ? popularity.share() * each.count() * counted * counted
                                : (1 - popularity.share()) * off * off + each.count() * counted * counted);
            }
        }
        // Corrections for the variance of few keys, and for the number of future requests.
        double smallSampleFactor = 1 + 4 * (1 - popularity.share()) / Math.max(1, keys);
        double futureRequests = all / popularity.share() * SOON_MS / popularity.spanMs();
        double futureVariance = rate * (1 - rate) / Math.max(1, futureRequests);
        return new double[] {1 - rate, smallSampleFactor * variance / (all * all) + futureVariance};
    }

    private Map<String, HitRate> ratesByServer(PlacementTimeline timeline, List<MissModel> models, double modelError) {
        Map<String, HitRate> rates = new HashMap<>();
        for (int first = 0; first < timeline.groups.size(); ) {
            List<String> ids = timeline.groups.get(first).ids();
            int next = first + 1;
            while (next < timeline.groups.size() && timeline.groups.get(next).ids() == ids) {
                next++;
            }
            double[] means = new double[models.size()];
            double[] errors = new double[models.size()];
            boolean used = true;
            for (int i = 0; i < means.length; i++) {
                ServerShare share = new ServerShare(models.get(i), first, next, ids.size());
                used &= share.requests > 0;
                means[i] = 1 - share.missed();
                double futureRequests = share.requests / popularity.share() * SOON_MS / popularity.spanMs();
                errors[i] = Math.sqrt(means[i] * (1 - means[i]) / Math.max(1, futureRequests)
                        + modelError * modelError
                        + share.variance()
                        + estimate(models.get(i), any -> true, true)[1]);
            }
            if (used) {
                HitRate rate = mixture(means, errors);
                ids.forEach(id -> rates.put(id, rate));
            }
            first = next;
        }
        return rates;
    }

    /** Requests and misses of one server of a range of groups, and the variance between such servers. */
    private static final class ServerShare {
        private double requests;
        private double misses;
        private double between;
        private final double[] squares = new double[3];

        ServerShare(MissModel model, int first, int next, int servers) {
            for (int at = first; at < next; at++) {
                double own = Arrays.stream(model.groupRequests[at]).sum() / servers;
                double missed = Arrays.stream(model.groupMisses[at]).sum() / servers;
                requests += own;
                misses += missed;
                between += own > 0 ? missed * missed / own : 0;
                for (int i = 0; i < squares.length; i++) {
                    squares[i] += model.groupSquares[at][i] / (next - first);
                }
            }
        }

        double missed() {
            return requests > 0 ? Math.min(1, misses / requests) : 1;
        }

        /** Returns the variance caused by the server's keys and by the sidecars whose subset contains it. */
        double variance() {
            double keys = squares[2] - 2 * missed() * squares[1] + missed() * missed() * squares[0];
            return requests > 0
                    ? Math.max(0, keys) / (requests * requests) + Math.max(0, between / requests - missed() * missed())
                    : 0;
        }
    }

    private HitRate mixture(double[] means, double[] errors) {
        return NormalMixture.hitRate(points.stream().mapToDouble(Point::weight).toArray(), means, errors);
    }
}
