package peppergauge.forecast.hits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import peppergauge.forecast.popularity.Popularity;
import peppergauge.forecast.popularity.Popularity.KeyCount;

/**
 * Sampled keys of one station that came about as often: told apart up to 16 times, then in steps of an eighth.
 *
 * @param station its place among the stations
 * @param keys how many; a fraction where they stand for keys that were not sampled
 * @param count sessions with each, in the mean
 */
record KeyClass(int station, double keys, double count) {

    /** Of the most popular sampled keys so many, or a fourth of all, give way to a curve. */
    private static final int HEAD = 12;
    private static final double STEEPEST = 3;

    static List<KeyClass> of(Popularity popularity, List<String> stations) {
        return grouped(popularity.keys(), stations);
    }

    private static List<KeyClass> grouped(List<KeyCount> keys, List<String> stations) {
        Map<Long, long[]> sums = new TreeMap<>();
        for (KeyCount key : keys) {
            long step = key.count() <= 16 ? key.count()
                    : 16 + Math.round(Math.log(key.count() / 16.0) / Math.log(1.125));
            long[] sum = sums.computeIfAbsent((long) stations.indexOf(key.station()) << 32 | step, any -> new long[2]);
            sum[0]++;
            sum[1] += key.count();
        }
        List<KeyClass> classes = new ArrayList<>();
        sums.forEach((at, sum) -> classes.add(new KeyClass((int) (at >> 32), sum[0], (double) sum[1] / sum[0])));
        return classes;
    }

    /** Sampled keys that give way to the curve. */
    static int head(Popularity popularity) {
        return Math.max(1, Math.min(HEAD, popularity.keys().size() / 4));
    }

    /**
     * Where a small share of keys is sampled, the few that most sessions come with are hardly ever among them. So the
     * most popular sampled ones give way to a power law of the rank, which goes through the next one, and whose sum
     * is all sessions less what the others stand for; that sum is known. SHARDS adds the same difference to one
     * bucket of its histogram.
     *
     * @param off by how much the rank of the last one that gives way is taken to be off, as a share
     */
    static List<KeyClass> withHead(Popularity popularity, List<String> stations, double off) {
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
                    classes.add(new KeyClass(station, each.keys() * parts[station] * popularity.share(), each.count()));
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
        popularity.keys().forEach(key -> parts[stations.indexOf(key.station())] += 1.0 / popularity.keys().size());
        return parts;
    }

    /** Ranks up to the last, so many sessions in all, so many at the edge if that can be. */
    private static List<KeyClass> curve(double ranks, double sessions, double edge) {
        double low = 0;
        double high = STEEPEST;
        for (int halving = 0; halving < 40; halving++) {
            double steep = (low + high) / 2;
            if (power(ranks, steep, edge).stream().mapToDouble(each -> each.keys() * each.count()).sum() < sessions) {
                low = steep;
            } else {
                high = steep;
            }
        }
        List<KeyClass> found = power(ranks, low, edge);
        double scale = sessions / found.stream().mapToDouble(each -> each.keys() * each.count()).sum();
        return found.stream().map(each -> new KeyClass(0, each.keys(), each.count() * scale)).toList();
    }

    private static List<KeyClass> power(double ranks, double steep, double edge) {
        List<KeyClass> classes = new ArrayList<>();
        double from = 0;
        while (from < ranks) {
            double to = Math.min(ranks, from < 8 ? from + 1 : from * 1.25);
            classes.add(new KeyClass(0, to - from, edge * Math.pow((from + to + 1) / 2 / ranks, -steep)));
            from = to;
        }
        return classes;
    }
}
