package peppergauge.forecast.memory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.apache.commons.statistics.distribution.NormalDistribution;
import peppergauge.forecast.memory.MemoryEstimate.Point;
import peppergauge.forecast.memory.ServiceTimes.Seen;
import peppergauge.forecast.memory.ServiceTimes.Sum;
import peppergauge.forecast.placement.Homes;
import peppergauge.forecast.placement.Placement;
import peppergauge.forecast.popularity.KeyClass;
import peppergauge.forecast.popularity.Popularity;
import peppergauge.forecast.popularity.Popularity.KeyCount;

/**
 * Infers life and size of backend servers' key memories from service times. An answer whose gap is shorter than the
 * memory's reach is a hit. Of a longer one, or where this sidecar sent none, it depends on what others sent there: the
 * more popular the key, the likelier. So service time steps up where the gap passes the reach, and falls with the key's
 * popularity in a curve whose bend is the reach too; both are fitted at once, for each life and size that may be.
 *
 * <p>Whether time or size sets the reach, servers of one kind cannot tell: both explain it equally well, and both stay
 * in the estimate. Servers that get unlike parts of the sessions can tell, since a reach by size shrinks as the part
 * grows, and one by time does not.
 */
public final class MemoryEstimator {

    private static final int LIVES = 61;
    private static final double LEAST_LIFE_MS = 500;
    private static final double MOST_LIFE_MS = 32_000;
    private static final int SIZES = 41;
    private static final double LEAST_KEYS = 4;
    /** Points that stand for all that may be. */
    private static final int POINTS = 15;
    /** Answers tell as if there were fewer by this: the curve fitted is not quite that of real memories. */
    private static final double TEMPER = 1.2;
    /** A memory that saves less than this of the work, or all but this, is the less likely by e to this power. */
    private static final double LEAST_SAVING = 0.1;

    private static final double UNLIKELY = 6;
    /** Fewer answers than this tell nothing. */
    private static final long LEAST_ANSWERS = 50;
    /** Regressors: the unsaved work, what a hit saves of it, far answers' level and its slope. */
    private static final int REGRESSORS = 4;

    private static final NormalDistribution NORMAL = NormalDistribution.of(0, 1);

    /**
     * Servers that get alike parts of the sessions.
     *
     * @param part of all sessions that one of them gets
     */
    public record Kind(double part, Seen seen) {}

    private record Cell(double lifeMs, double keys, double reachMs, double logLikelihood) {}

    /** Keys that came about as often: how many, how often, and what was seen of them where no gap was known. */
    private record Popular(double keys, double count, Sum fresh) {}

    private final Homes homes;
    private final double[] luck;
    private final List<Kind> kinds;
    private final Popularity popularity;
    /** All sessions, as far as keys are told, in sampled ones. */
    private final double whole;

    private final double alone;
    private final double variance;
    private final List<List<Popular>> classes = new ArrayList<>();
    private final double[][] met;
    private final double[][] metVariance;

    private MemoryEstimator(Placement placement, List<Kind> kinds, Popularity popularity) {
        homes = new Homes(placement, popularity);
        luck = placement.luck();
        this.kinds = kinds;
        this.popularity = popularity;
        List<KeyClass> told = popularity.share() < 1 ? told(popularity) : List.of();
        whole = told.isEmpty() ? popularity.sampled() : popularity.share() * popularity.sessions();
        alone = placement.sidecars().stream()
                .mapToDouble(share -> share * share)
                .sum();
        variance = within();
        met = new double[kinds.size()][ServiceTimes.BUCKETS + 1];
        metVariance = new double[kinds.size()][ServiceTimes.BUCKETS + 1];
        for (int kind = 0; kind < met.length; kind++) {
            classes.add(classes(kinds.get(kind)));
            List<KeyClass> all = told.isEmpty()
                    ? classes.get(kind).stream()
                            .map(each -> new KeyClass(0, each.keys(), each.count(), false))
                            .toList()
                    : told;
            for (int edge = 0; edge < met[kind].length; edge++) {
                meet(kind, edge, all);
            }
        }
    }

    /**
     * Those that a forecast reckons with: a memory of so many keys has to reach as far here as there. A sample that has
     * more or less of the popular keys than its share has other sums of sessions and of keys met.
     */
    private static List<KeyClass> told(Popularity popularity) {
        return KeyClass.told(
                popularity,
                Stream.concat(popularity.keys().stream(), popularity.heavy().stream())
                        .map(KeyCount::station)
                        .distinct()
                        .sorted()
                        .toList());
    }

    private List<Popular> classes(Kind kind) {
        Map<Long, Popular> classes = new TreeMap<>();
        for (KeyCount key : popularity.keys()) {
            long step = Math.round(Math.log(key.count()) / Math.log(1.125));
            Sum fresh = kind.seen().fresh().getOrDefault(key.hash(), Sum.NONE);
            classes.merge(
                    step,
                    new Popular(1, key.count(), fresh),
                    (a, b) -> new Popular(
                            a.keys + b.keys,
                            (a.keys * a.count + b.keys * b.count) / (a.keys + b.keys),
                            a.fresh.plus(b.fresh)));
        }
        return List.copyOf(classes.values());
    }

    /** Part of a key's sessions that one of its servers gets. */
    private double keyPart(int kind, double count) {
        double part = kinds.get(kind).part();
        return part / homes.chance(part, count / whole);
    }

    /** Keys that one server meets in the time up to this edge, and how much that differs from time to time. */
    private void meet(int kind, int edge, List<KeyClass> all) {
        for (KeyClass each : all) {
            double part = keyPart(kind, each.count());
            double chance = kinds.get(kind).part() / part;
            for (double factor : luck) {
                // Where more sessions go, more answers come from.
                double often = each.keys() * factor / luck.length / popularity.share();
                double came = chance * (1 - Math.exp(each.count() * missed(part * factor * ServiceTimes.edgeMs(edge))));
                met[kind][edge] += often * came;
                metVariance[kind][edge] += often * came * (1 - came);
            }
        }
    }

    private double missed(double partMs) {
        return Math.log1p(-Math.min(0.999, partMs / popularity.spanMs()));
    }

    private double within() {
        double sum = 0;
        long count = 0;
        for (Kind kind : kinds) {
            for (Sum bucket : kind.seen().gaps()) {
                if (bucket.count() > 0) {
                    sum += bucket.squares() - bucket.sum() * bucket.sum() / bucket.count();
                    count += bucket.count() - 1;
                }
            }
            for (Sum fresh : kind.seen().fresh().values()) {
                sum += fresh.squares() - fresh.sum() * fresh.sum() / fresh.count();
                count += fresh.count() - 1;
            }
        }
        return Math.max(1e-6, sum / Math.max(1, count));
    }

    /** What may be, by all answers told so far; with too few, all lives and sizes that are thought of. */
    public static MemoryEstimate estimate(Placement placement, List<Kind> kinds, Popularity popularity) {
        return new MemoryEstimator(placement, kinds, popularity).estimate();
    }

    private long answers() {
        return kinds.stream()
                .mapToLong(kind ->
                        kind.seen().gaps().stream().mapToLong(Sum::count).sum()
                                + kind.seen().fresh().values().stream()
                                        .mapToLong(Sum::count)
                                        .sum())
                .sum();
    }

    private MemoryEstimate estimate() {
        boolean told = answers() >= LEAST_ANSWERS;
        double most = 2 * Math.max(LEAST_KEYS, popularity.keys().size() / popularity.share());
        List<Cell> cells = new ArrayList<>();
        for (int i = 0; i < LIVES; i++) {
            double lifeMs = LEAST_LIFE_MS * Math.pow(MOST_LIFE_MS / LEAST_LIFE_MS, i / (LIVES - 1.0));
            for (int j = 0; j < SIZES; j++) {
                double keys = LEAST_KEYS * Math.pow(most / LEAST_KEYS, j / (SIZES - 1.0));
                cells.add(new Cell(lifeMs, keys, reachMs(0, lifeMs, keys), told ? fit(lifeMs, keys) : 0));
            }
        }
        double[] saving = saving(cells.stream()
                .max(Comparator.comparingDouble(Cell::logLikelihood))
                .orElseThrow());
        return new MemoryEstimate(points(cells), saving[0], saving[1]);
    }

    /** How long a server of the kind remembers: what comes first, its time or so many other keys. */
    private double reachMs(int kind, double lifeMs, double keys) {
        double[] curve = met[kind];
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
        double unlikely = 2 * TEMPER * variance * UNLIKELY;
        for (int kind = 0; kind < kinds.size(); kind++) {
            LeastSquares line = line(kind, lifeMs, keys);
            double[] factors = line.solve()[0];
            double saving = -factors[1] / Math.max(1e-6, factors[0]);
            squares += line.left(factors) + (saving < LEAST_SAVING || saving > 1 - LEAST_SAVING ? unlikely : 0);
        }
        double found = -squares / (2 * TEMPER * variance);
        return Double.isFinite(found) ? found : Double.NEGATIVE_INFINITY;
    }

    private LeastSquares line(int kind, double lifeMs, double keys) {
        LeastSquares line = new LeastSquares(REGRESSORS);
        double reachMs = reachMs(kind, lifeMs, keys);
        List<Sum> gaps = kinds.get(kind).seen().gaps();
        for (int i = 0; i < gaps.size(); i++) {
            if (gaps.get(i).count() > 0) {
                double near = Math.max(0, Math.min(1, eighths(lifeMs, i))) * roomLeft(kind, i, keys);
                double beyond = Math.max(0, 0.5 - eighths(reachMs, i)) / ServiceTimes.OF_OCTAVE;
                line.add(gaps.get(i).count(), gaps.get(i).sum(), near, near, 1 - near, (1 - near) * beyond);
            }
        }
        for (Popular each : classes.get(kind)) {
            if (each.fresh().count() > 0) {
                line.add(each.fresh().count(), each.fresh().sum(), 1, hitByOthers(kind, each, reachMs), 0, 0);
            }
        }
        return line;
    }

    /** From the beginning of a bucket to this time, in buckets. */
    private static double eighths(double ms, int bucket) {
        return Math.log(ms / ServiceTimes.edgeMs(bucket)) / Math.log(2) * ServiceTimes.OF_OCTAVE;
    }

    /** How likely a memory of so many keys still has one, after the other keys met in a bucket's time. */
    private double roomLeft(int kind, int bucket, double keys) {
        double mean = (met[kind][bucket] + met[kind][bucket + 1]) / 2;
        double deviation = Math.sqrt((metVariance[kind][bucket] + metVariance[kind][bucket + 1]) / 2 + 0.1);
        return NORMAL.cumulativeProbability((keys - 0.5 - mean) / deviation);
    }

    /** In the mean over servers that by the luck of sidecars' members get more or less. */
    private double hitByOthers(int kind, Popular each, double reachMs) {
        double part = keyPart(kind, each.count()) * (1 - alone);
        double missed = 0;
        for (double factor : luck) {
            missed += Math.exp((each.count() - 1) * missed(part * factor * reachMs)) / luck.length;
        }
        return 1 - missed;
    }

    /** Points of equal weight, taken at even distances through the cells in order of reach. */
    private static List<Point> points(List<Cell> cells) {
        List<Cell> order = new ArrayList<>(cells);
        order.sort(Comparator.comparingDouble(Cell::reachMs)
                .thenComparingDouble(Cell::lifeMs)
                .thenComparingDouble(Cell::keys));
        double best = cells.stream().mapToDouble(Cell::logLikelihood).max().orElseThrow();
        // Of answers that no numbers explain (a broken daemon's) nothing is learned: all is as likely.
        boolean told = best > Double.NEGATIVE_INFINITY;
        double whole = cells.stream()
                .mapToDouble(cell -> told ? Math.exp(cell.logLikelihood() - best) : 1)
                .sum();
        List<Point> points = new ArrayList<>();
        double at = 0;
        for (Cell cell : order) {
            at += (told ? Math.exp(cell.logLikelihood() - best) : 1) / whole;
            while (points.size() < POINTS && at > (points.size() + 0.5) / POINTS) {
                points.add(new Point(cell.lifeMs(), cell.keys(), 1.0 / POINTS));
            }
        }
        return points;
    }

    /** Share of the work saved, and its standard error (1 if only a least one is known): how far the curve falls. */
    private double[] saving(Cell best) {
        double sum = 0;
        double weights = 0;
        for (int kind = 0; kind < kinds.size(); kind++) {
            double[][] found = line(kind, best.lifeMs(), best.keys()).solve();
            double whole = found[0][0];
            double error = Math.sqrt(variance * (found[1][0] + found[1][1])) / Math.max(whole, 1e-6);
            if (whole > 0 && error > 0 && error < 1 && Double.isFinite(found[0][1])) {
                sum += Math.max(0, Math.min(1, -found[0][1] / whole)) / (error * error);
                weights += 1 / (error * error);
            }
        }
        return weights == 0
                ? new double[] {leastSaving(best), 1}
                : new double[] {sum / weights, Math.sqrt(1 / weights)};
    }

    /** Where each key's gap is known, unsaved work is never seen for sure: far answers may be hits of others' sends. */
    private double leastSaving(Cell best) {
        double least = 0;
        for (int kind = 0; kind < kinds.size(); kind++) {
            double[] found = line(kind, best.lifeMs(), best.keys()).solve()[0];
            if (found[2] > 1e-6 && Double.isFinite(found[0] + found[1])) {
                least = Math.max(least, Math.min(1, 1 - (found[0] + found[1]) / found[2]));
            }
        }
        return least;
    }
}
