package peppergauge.forecast.popularity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import peppergauge.forecast.popularity.Popularity.KeyCount;
import peppergauge.forecast.sample.HeavyKeys;

/**
 * Sampled keys of one station that came about as often: told apart up to 16 times, then in steps of an eighth.
 *
 * @param station its place among the stations
 * @param keys how many; a fraction where they stand for keys that were not sampled
 * @param count sessions with each, in the mean
 * @param known whether the keys are told one by one, sampled or not, so that nothing hangs on which were sampled
 */
public record KeyClass(int station, double keys, double count, boolean known) {

    /** Where more keys are sampled than this share, the popular ones among them stand for themselves. */
    private static final double MOST_SAMPLED = 0.5;
    /** Of the most popular sampled keys so many, or a fourth of all, give way to a curve. */
    private static final int HEAD = 12;

    private static final double STEEPEST = 3;
    /** Of all sessions: if heavy keys leave less, they stand for all. */
    private static final double LEAST_LEFT = 0.02;
    /** From fewer the memory is inferred too surely; the wide interval of the curve makes up for that. */
    private static final int LEAST_SAMPLED = 50;
    /** Sampled keys beside the heavy ones that stand for the rest. */
    private static final int LEAST_REST = 8;
    /** None of them counts for less than this of a key, however the sum is off. */
    private static final double LEAST_WEIGHT = 0.05;

    /**
     * The keys that are told: the sampled ones where they are more than half, else heavy and sampled ones together.
     * Empty where neither says enough, so that a curve has to.
     */
    public static List<KeyClass> told(Popularity popularity, List<String> stations) {
        return popularity.share() > MOST_SAMPLED
                ? grouped(popularity.keys(), stations)
                : withKnown(popularity, stations);
    }

    private static List<KeyClass> grouped(List<KeyCount> keys, List<String> stations) {
        return grouped(keys, stations, 1, false);
    }

    /** @param weight of one key */
    private static List<KeyClass> grouped(List<KeyCount> keys, List<String> stations, double weight, boolean known) {
        Map<Long, long[]> sums = new TreeMap<>();
        for (KeyCount key : keys) {
            long step =
                    key.count() <= 16 ? key.count() : 16 + Math.round(Math.log(key.count() / 16.0) / Math.log(1.125));
            long[] sum = sums.computeIfAbsent((long) stations.indexOf(key.station()) << 32 | step, any -> new long[2]);
            sum[0]++;
            sum[1] += key.count();
        }
        List<KeyClass> classes = new ArrayList<>();
        sums.forEach((at, sum) ->
                classes.add(new KeyClass((int) (at >> 32), weight * sum[0], (double) sum[1] / sum[0], known)));
        return classes;
    }

    /** Sampled keys that give way to the curve. */
    public static int head(Popularity popularity) {
        return Math.max(1, Math.min(HEAD, popularity.keys().size() / 4));
    }

    /**
     * Heavy keys as they are told, and the sampled ones among the rest for all sessions that the heavy ones leave: what
     * the sample is off in that known sum is laid on the more popular of them, as in a forecast's estimate.
     * Empty where too few are known to reach down to the ranks that the sample stands for, or too few are sampled.
     */
    private static List<KeyClass> withKnown(Popularity popularity, List<String> stations) {
        Set<KeyCount> known = popularity.heavy().stream().map(KeyClass::name).collect(Collectors.toSet());
        List<KeyCount> rest = popularity.keys().stream()
                .filter(key -> !known.contains(name(key)))
                .toList();
        double left = popularity.sessions()
                - popularity.heavy().stream().mapToLong(KeyCount::count).sum();
        boolean whole = left <= LEAST_LEFT * popularity.sessions();
        boolean deep = known.size() >= 1 / popularity.share() && rest.size() >= LEAST_REST;
        if (known.isEmpty() || popularity.keys().size() < LEAST_SAMPLED || !whole && !deep) {
            return List.of();
        }
        List<KeyClass> classes = new ArrayList<>(grouped(rest, stations));
        double off = popularity.share() * left
                - rest.stream().mapToLong(KeyCount::count).sum();
        double squares = rest.stream()
                .mapToDouble(key -> (double) key.count() * key.count())
                .sum();
        classes.replaceAll(each -> new KeyClass(
                each.station(),
                each.keys() * Math.max(LEAST_WEIGHT, 1 + off * each.count() / squares),
                each.count(),
                false));
        classes.addAll(grouped(popularity.heavy(), stations, popularity.share(), true));
        return classes;
    }

    /** By which a key is known again, sampled or heavy. */
    private static KeyCount name(KeyCount key) {
        return new KeyCount(HeavyKeys.masked(key.hash()), key.station(), 1);
    }

    /**
     * Where a small share of keys is sampled, the few that most sessions come with are hardly ever among them. So the
     * most popular sampled ones give way to a power law of the rank, which goes through the next one, and whose sum
     * is all sessions less what the others stand for; that sum is known. SHARDS adds the same difference to one
     * bucket of its histogram.
     *
     * @param off by how much the rank of the last one that gives way is taken to be off, as a share
     */
    public static List<KeyClass> withHead(Popularity popularity, List<String> stations, double off) {
        List<KeyCount> order = new ArrayList<>(popularity.keys());
        order.sort(Comparator.comparingLong(KeyCount::count).reversed());
        int head = head(popularity);
        List<KeyCount> rest = order.subList(Math.min(order.size(), head), order.size());
        double restSessions = rest.stream().mapToLong(KeyCount::count).sum() / popularity.share();
        double ranks = Math.max(1, (head + 0.5) / popularity.share() * (1 + off));
        double sessions = popularity.sessions() - restSessions;
        double edge = rest.isEmpty() ? sessions / ranks : edge(order, head);
        List<KeyClass> classes = grouped(rest, stations);
        if (sessions > 0) {
            double[] parts = parts(popularity, stations);
            curve(ranks, sessions, edge).forEach(each -> {
                for (int station = 0; station < parts.length; station++) {
                    classes.add(new KeyClass(
                            station, each.keys() * parts[station] * popularity.share(), each.count(), false));
                }
            });
        }
        return classes;
    }

    /** Sessions of a key between the last that gives way and the next, on a line through the sampled ones around. */
    private static double edge(List<KeyCount> order, int head) {
        int last = Math.min(order.size(), 4 * head);
        double[] sums = new double[4];
        int first = Math.max(1, head / 4);
        for (int rank = first; rank <= last; rank++) {
            double x = Math.log((rank - 0.5) / head);
            double y = Math.log(order.get(rank - 1).count());
            sums[0] += x;
            sums[1] += y;
            sums[2] += x * x;
            sums[3] += x * y;
        }
        int count = last - first + 1;
        double spread = sums[2] - sums[0] * sums[0] / count;
        double slope = spread > 0 ? (sums[3] - sums[0] * sums[1] / count) / spread : 0;
        return Math.exp(sums[1] / count - slope * sums[0] / count);
    }

    private static double[] parts(Popularity popularity, List<String> stations) {
        double[] parts = new double[stations.size()];
        popularity
                .keys()
                .forEach(key -> parts[stations.indexOf(key.station())] +=
                        1.0 / popularity.keys().size());
        return parts;
    }

    /** Ranks up to the last, so many sessions in all, so many at the edge if that can be. */
    private static List<KeyClass> curve(double ranks, double sessions, double edge) {
        double low = 0;
        double high = STEEPEST;
        for (int halving = 0; halving < 40; halving++) {
            double steep = (low + high) / 2;
            if (power(ranks, steep, edge).stream()
                            .mapToDouble(each -> each.keys() * each.count())
                            .sum()
                    < sessions) {
                low = steep;
            } else {
                high = steep;
            }
        }
        List<KeyClass> found = power(ranks, low, edge);
        double scale = sessions
                / found.stream().mapToDouble(each -> each.keys() * each.count()).sum();
        return found.stream()
                .map(each -> new KeyClass(0, each.keys(), each.count() * scale, false))
                .toList();
    }

    private static List<KeyClass> power(double ranks, double steep, double edge) {
        List<KeyClass> classes = new ArrayList<>();
        double from = 0;
        while (from < ranks) {
            double to = Math.min(ranks, from < 8 ? from + 1 : from * 1.25);
            classes.add(new KeyClass(0, to - from, edge * Math.pow((from + to + 1) / 2 / ranks, -steep), false));
            from = to;
        }
        return classes;
    }
}
