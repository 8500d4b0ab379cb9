package peppergauge.forecast.cache;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import peppergauge.forecast.cache.CacheEstimate.Point;
import peppergauge.forecast.cache.ServiceTimes.Snapshot;
import peppergauge.forecast.cache.ServiceTimes.Sum;
import peppergauge.forecast.distribution.StandardNormal;
import peppergauge.forecast.placement.KeyPlacement;
import peppergauge.forecast.placement.Placement;
import peppergauge.forecast.popularity.KeyClass;
import peppergauge.forecast.popularity.KeyPopularity;
import peppergauge.forecast.popularity.KeyPopularity.KeyCount;

/**
 * Infers size and lifetime of the backend servers' caches from service times.
 *
 * <p>A response whose gap is shorter than the cache's reach is a hit. With a longer gap, or none, it depends on the
 * requests of other sidecars: the more popular the key, the likelier a hit. So service time steps up where the gap
 * passes the reach, and falls with popularity in a curve whose bend is the reach. Both are fitted at once over a grid
 * of sizes and lifetimes.
 *
 * <p>Servers of one kind do not show whether size or lifetime limits the reach, and both stay in the estimate. Kinds
 * with different shares of the requests do: a reach limited by size shrinks as the share grows, one limited by lifetime
 * does not.
 */
public final class CacheEstimator {

    private static final int LIFETIME_STEPS = 61;
    private static final double MIN_LIFETIME_MS = 500;
    private static final double MAX_LIFETIME_MS = 32_000;
    private static final int SIZE_STEPS = 41;
    private static final double MIN_KEYS = 4;
    /** Number of points of the estimate, which represent the grid. */
    private static final int POINTS = 15;
    /** Factor by which the log likelihood is divided, since the fitted curve is not exact. */
    private static final double LIKELIHOOD_DIVISOR = 1.2;
    /** Savings below this, or above 1 less this, are implausible. */
    private static final double MIN_SAVING = 0.1;

    /** Log likelihood by which an implausible saving is penalized. */
    private static final double IMPLAUSIBLE_PENALTY = 6;
    /** Responses below which nothing is fitted. */
    private static final long MIN_RESPONSES = 50;
    /** Number of regressors: work of a miss, saving of a hit, and level and slope of responses beyond the reach. */
    private static final int REGRESSORS = 4;

    /** Least relative service time of a miss by which the fit divides. */
    private static final double MIN_MISS_TIME = 1e-6;
    /** Ratio between the counts of two successive classes of keys. */
    private static final double COUNT_RATIO = 1.125;

    /**
     * Servers with equal shares of the requests.
     *
     * @param share share of all requests that one of them gets
     */
    public record ServerKind(double share, Snapshot serviceTimes) {}

    private record GridPoint(double lifeMs, double keys, double reachMs, double logLikelihood) {}

    /** Keys with about equal counts: their number, their mean count, and their service times without a gap. */
    private record CountClass(double keys, double count, Sum fresh) {}

    private final KeyPlacement keyPlacement;
    private final double[] loadFactors;
    private final List<ServerKind> kinds;
    private final KeyPopularity popularity;
    /** All requests, in units of sampled ones. */
    private final double totalRequests;

    private final double ownShare;
    private final double variance;
    private final List<List<CountClass>> classes = new ArrayList<>();
    private final double[][] distinctKeys;
    private final double[][] distinctKeysVariance;

    private CacheEstimator(Placement placement, List<ServerKind> kinds, KeyPopularity popularity) {
        keyPlacement = new KeyPlacement(placement, popularity);
        loadFactors = placement.loadFactors();
        this.kinds = kinds;
        this.popularity = popularity;
        List<KeyClass> fitted = popularity.share() < 1 ? fitted(popularity) : List.of();
        totalRequests = fitted.isEmpty() ? popularity.sampledRequests() : popularity.share() * popularity.requests();
        ownShare = placement.sidecars().stream()
                .mapToDouble(share -> share * share)
                .sum();
        variance = varianceWithin();
        distinctKeys = new double[kinds.size()][ServiceTimes.BUCKETS + 1];
        distinctKeysVariance = new double[kinds.size()][ServiceTimes.BUCKETS + 1];
        for (int kind = 0; kind < distinctKeys.length; kind++) {
            classes.add(classes(kinds.get(kind)));
            List<KeyClass> all = fitted.isEmpty()
                    ? classes.get(kind).stream()
                            .map(each -> new KeyClass(0, each.keys(), each.count(), false))
                            .toList()
                    : fitted;
            for (int edge = 0; edge < distinctKeys[kind].length; edge++) {
                addDistinctKeys(kind, edge, all);
            }
        }
    }

    /** Returns the classes of keys that forecasts use, so that a cache size has the same reach here and there. */
    private static List<KeyClass> fitted(KeyPopularity popularity) {
        return KeyClass.fromCounts(
                popularity,
                Stream.concat(popularity.keys().stream(), popularity.frequentKeys().stream())
                        .map(KeyCount::tenant)
                        .distinct()
                        .sorted()
                        .toList());
    }

    private List<CountClass> classes(ServerKind kind) {
        Map<Long, CountClass> classes = new TreeMap<>();
        for (KeyCount key : popularity.keys()) {
            long step = Math.round(StrictMath.log(key.count()) / StrictMath.log(COUNT_RATIO));
            Sum fresh = kind.serviceTimes().fresh().getOrDefault(key.hash(), Sum.ZERO);
            classes.merge(
                    step,
                    new CountClass(1, key.count(), fresh),
                    (a, b) -> new CountClass(
                            a.keys + b.keys,
                            (a.keys * a.count + b.keys * b.count) / (a.keys + b.keys),
                            a.fresh.plus(b.fresh)));
        }
        return List.copyOf(classes.values());
    }

    /** Returns the share of a key's requests that one of its servers gets. */
    private double shareOfKey(int kind, double count) {
        double part = kinds.get(kind).share();
        return part / keyPlacement.probability(part, count / totalRequests);
    }

    /** Adds mean and variance of the distinct keys that one server gets in the time up to an edge. */
    private void addDistinctKeys(int kind, int edge, List<KeyClass> all) {
        for (KeyClass each : all) {
            double part = shareOfKey(kind, each.count());
            double probability = kinds.get(kind).share() / part;
            for (double factor : loadFactors) {
                // Servers with more requests have more responses.
                double weight = each.keys() * factor / loadFactors.length / popularity.share();
                double arrival = probability
                        * (1
                                - StrictMath.exp(
                                        each.count() * logMissProbability(part * factor * ServiceTimes.edgeMs(edge))));
                distinctKeys[kind][edge] += weight * arrival;
                distinctKeysVariance[kind][edge] += weight * arrival * (1 - arrival);
            }
        }
    }

    private double logMissProbability(double partMs) {
        return StrictMath.log1p(-Math.min(0.999, partMs / popularity.spanMs()));
    }

    private double varianceWithin() {
        double sum = 0;
        long count = 0;
        for (ServerKind kind : kinds) {
            for (Sum bucket : kind.serviceTimes().gaps()) {
                if (bucket.count() > 0) {
                    sum += bucket.squares() - bucket.sum() * bucket.sum() / bucket.count();
                    count += bucket.count() - 1;
                }
            }
            for (Sum fresh : kind.serviceTimes().fresh().values()) {
                sum += fresh.squares() - fresh.sum() * fresh.sum() / fresh.count();
                count += fresh.count() - 1;
            }
        }
        return Math.max(1e-6, sum / Math.max(1, count));
    }

    /** Returns the estimate from all responses, or all points of the grid alike if there are too few responses. */
    public static CacheEstimate estimate(Placement placement, List<ServerKind> kinds, KeyPopularity popularity) {
        return new CacheEstimator(placement, kinds, popularity).estimate();
    }

    private long responseCount() {
        return kinds.stream()
                .mapToLong(kind -> kind.serviceTimes().gaps().stream()
                                .mapToLong(Sum::count)
                                .sum()
                        + kind.serviceTimes().fresh().values().stream()
                                .mapToLong(Sum::count)
                                .sum())
                .sum();
    }

    private CacheEstimate estimate() {
        boolean fitted = responseCount() >= MIN_RESPONSES;
        double most = 2 * Math.max(MIN_KEYS, popularity.keys().size() / popularity.share());
        List<GridPoint> grid = new ArrayList<>();
        for (int i = 0; i < LIFETIME_STEPS; i++) {
            double lifeMs =
                    MIN_LIFETIME_MS * StrictMath.pow(MAX_LIFETIME_MS / MIN_LIFETIME_MS, i / (LIFETIME_STEPS - 1.0));
            for (int j = 0; j < SIZE_STEPS; j++) {
                double keys = MIN_KEYS * StrictMath.pow(most / MIN_KEYS, j / (SIZE_STEPS - 1.0));
                grid.add(new GridPoint(lifeMs, keys, reachMs(0, lifeMs, keys), fitted ? fit(lifeMs, keys) : 0));
            }
        }
        double[] saving = saving(grid.stream()
                .max(Comparator.comparingDouble(GridPoint::logLikelihood))
                .orElseThrow());
        return new CacheEstimate(points(grid), saving[0], saving[1]);
    }

    /** Returns the reach at servers of a kind, ms: the lifetime, or the time until the size is used up. */
    private double reachMs(int kind, double lifeMs, double keys) {
        double[] curve = distinctKeys[kind];
        double before = 0;
        double beforeMs = 0;
        for (int edge = 0; edge < curve.length && beforeMs < lifeMs; edge++) {
            double edgeMs = ServiceTimes.edgeMs(edge);
            if (curve[edge] > keys) {
                return Math.min(lifeMs, beforeMs + (keys - before) / (curve[edge] - before) * (edgeMs - beforeMs));
            }
            before = curve[edge];
            beforeMs = edgeMs;
        }
        return lifeMs;
    }

    private double fit(double lifeMs, double keys) {
        double squares = 0;
        double penalty = 2 * LIKELIHOOD_DIVISOR * variance * IMPLAUSIBLE_PENALTY;
        for (int kind = 0; kind < kinds.size(); kind++) {
            LeastSquares regression = regression(kind, lifeMs, keys);
            double[] factors = regression.solve()[0];
            double saving = -factors[1] / Math.max(MIN_MISS_TIME, factors[0]);
            boolean implausible = saving < MIN_SAVING || saving > 1 - MIN_SAVING;
            squares += regression.residualSquares(factors) + (implausible ? penalty : 0);
        }
        double found = -squares / (2 * LIKELIHOOD_DIVISOR * variance);
        return Double.isFinite(found) ? found : Double.NEGATIVE_INFINITY;
    }

    /**
     * Returns a regression of service times with four coefficients: the time of a miss of a key without an earlier
     * send, the change of that time by a hit, the time after a gap whose key was dropped, and the change of the latter
     * with the gap's distance from the reach.
     */
    private LeastSquares regression(int kind, double lifeMs, double keys) {
        LeastSquares regression = new LeastSquares(REGRESSORS);
        double reachMs = reachMs(kind, lifeMs, keys);
        List<Sum> gaps = kinds.get(kind).serviceTimes().gaps();
        for (int i = 0; i < gaps.size(); i++) {
            if (gaps.get(i).count() > 0) {
                double near = Math.max(0, Math.min(1, bucketDistance(lifeMs, i))) * retainedProbability(kind, i, keys);
                double beyond = Math.max(0, 0.5 - bucketDistance(reachMs, i)) / ServiceTimes.BUCKETS_PER_DOUBLING;
                regression.add(gaps.get(i).count(), gaps.get(i).sum(), near, near, 1 - near, (1 - near) * beyond);
            }
        }
        for (CountClass each : classes.get(kind)) {
            if (each.fresh().count() > 0) {
                regression.add(
                        each.fresh().count(), each.fresh().sum(), 1, hitByOthersProbability(kind, each, reachMs), 0, 0);
            }
        }
        return regression;
    }

    /** Returns the distance from the start of a bucket to a time, as a number of buckets. */
    private static double bucketDistance(double ms, int bucket) {
        return StrictMath.log(ms / ServiceTimes.edgeMs(bucket)) / StrictMath.log(2) * ServiceTimes.BUCKETS_PER_DOUBLING;
    }

    /** Returns the probability that a cache of a size still has a key after the other keys of a bucket's time. */
    private double retainedProbability(int kind, int bucket, double keys) {
        double mean = (distinctKeys[kind][bucket] + distinctKeys[kind][bucket + 1]) / 2;
        double deviation =
                Math.sqrt((distinctKeysVariance[kind][bucket] + distinctKeysVariance[kind][bucket + 1]) / 2 + 0.1);
        return StandardNormal.cumulativeProbability((keys - 0.5 - mean) / deviation);
    }

    /** Returns the probability of a hit by requests of other sidecars, mean over the quantiles of the load factor. */
    private double hitByOthersProbability(int kind, CountClass each, double reachMs) {
        double part = shareOfKey(kind, each.count()) * (1 - ownShare);
        double missProbability = 0;
        for (double factor : loadFactors) {
            missProbability += StrictMath.exp((each.count() - 1) * logMissProbability(part * factor * reachMs))
                    / loadFactors.length;
        }
        return 1 - missProbability;
    }

    /** Returns points of equal weight: quantiles of the grid in order of reach. */
    private static List<Point> points(List<GridPoint> grid) {
        List<GridPoint> order = new ArrayList<>(grid);
        order.sort(Comparator.comparingDouble(GridPoint::reachMs)
                .thenComparingDouble(GridPoint::lifeMs)
                .thenComparingDouble(GridPoint::keys));
        double best = grid.stream().mapToDouble(GridPoint::logLikelihood).max().orElseThrow();
        // No point explains the responses, as with a faulty daemon: all points are equally likely.
        boolean fitted = best > Double.NEGATIVE_INFINITY;
        double totalLikelihood = grid.stream()
                .mapToDouble(gridPoint -> fitted ? StrictMath.exp(gridPoint.logLikelihood() - best) : 1)
                .sum();
        List<Point> points = new ArrayList<>();
        double at = 0;
        for (GridPoint gridPoint : order) {
            at += (fitted ? StrictMath.exp(gridPoint.logLikelihood() - best) : 1) / totalLikelihood;
            while (points.size() < POINTS && at > (points.size() + 0.5) / POINTS) {
                points.add(new Point(gridPoint.lifeMs(), gridPoint.keys(), 1.0 / POINTS));
            }
        }
        return points;
    }

    /** Returns the saving and its standard error; the error is 1 if only a lower bound of the saving is known. */
    private double[] saving(GridPoint best) {
        double sum = 0;
        double weights = 0;
        for (int kind = 0; kind < kinds.size(); kind++) {
            double[][] found = regression(kind, best.lifeMs(), best.keys()).solve();
            double missTime = found[0][0];
            double error = Math.sqrt(variance * (found[1][0] + found[1][1])) / Math.max(missTime, MIN_MISS_TIME);
            if (missTime > 0 && error > 0 && error < 1 && Double.isFinite(found[0][1])) {
                sum += Math.max(0, Math.min(1, -found[0][1] / missTime)) / (error * error);
                weights += 1 / (error * error);
            }
        }
        return weights == 0
                ? new double[] {savingLowerBound(best), 1}
                : new double[] {sum / weights, Math.sqrt(1 / weights)};
    }

    /**
     * Returns a lower bound of the saving: with all gaps known, responses beyond the reach may be hits by others. It is
     * one less the ratio of the time of a hit to the time after a gap whose key was dropped, the greatest of all kinds.
     */
    private double savingLowerBound(GridPoint best) {
        double least = 0;
        for (int kind = 0; kind < kinds.size(); kind++) {
            double[] found = regression(kind, best.lifeMs(), best.keys()).solve()[0];
            if (found[2] > MIN_MISS_TIME && Double.isFinite(found[0] + found[1])) {
                least = Math.max(least, Math.min(1, 1 - (found[0] + found[1]) / found[2]));
            }
        }
        return least;
    }
}
