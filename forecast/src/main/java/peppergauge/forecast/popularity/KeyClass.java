package peppergauge.forecast.popularity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import peppergauge.forecast.popularity.KeyPopularity.KeyCount;
import peppergauge.forecast.sample.FrequentKeys;

/**
 * Keys of one tenant with about equal counts: equal up to 16, then in steps of an eighth.
 *
 * @param tenant index of the tenant
 * @param keys number of keys; a fraction if they represent keys that are not sampled
 * @param count mean number of requests of a key
 * @param known whether the keys are counted one by one, so that nothing depends on which were sampled
 */
public record KeyClass(int tenant, double keys, double count, boolean known) {

    /** Sampled share of keys above which the most popular keys need not be replaced by a curve. */
    private static final double MIN_SHARE_WITHOUT_CURVE = 0.5;
    /** Maximum number of sampled keys that are replaced by a curve; a fourth of them at most. */
    private static final int MAX_HEAD = 12;

    /** Steepest exponent of the curve. */
    private static final double MAX_EXPONENT = 3;
    /** Share of all requests below which keys other than the frequent ones are ignored. */
    private static final double MIN_REST_SHARE = 0.02;
    /** Number of sampled keys below which the curve is used, with its wider interval. */
    private static final int MIN_SAMPLED = 50;
    /** Minimum number of sampled keys, other than the frequent ones, that represent the rest. */
    private static final int MIN_REST = 8;
    /** Minimum weight of a sampled key that is not frequent. */
    private static final double MIN_WEIGHT = 0.05;
    /** Largest count up to which each count has a class of its own. */
    private static final int MAX_EXACT_COUNT = 16;
    /** Ratio between the counts of two successive classes above {@link #MAX_EXACT_COUNT}. */
    private static final double COUNT_RATIO = 1.125;

    private static final int BISECTIONS = 40;

    /**
     * Returns the classes by counts alone: of the sampled keys if they are more than half, else of frequent and sampled
     * keys together. Empty if neither is enough, and {@link #withHead} is needed.
     */
    public static List<KeyClass> fromCounts(KeyPopularity popularity, List<String> tenants) {
        return popularity.share() > MIN_SHARE_WITHOUT_CURVE
                ? grouped(popularity.keys(), tenants)
                : withFrequentKeys(popularity, tenants);
    }

    private static List<KeyClass> grouped(List<KeyCount> keys, List<String> tenants) {
        return grouped(keys, tenants, 1, false);
    }

    /** @param weight weight of one key */
    private static List<KeyClass> grouped(List<KeyCount> keys, List<String> tenants, double weight, boolean known) {
        Map<Long, long[]> sums = new TreeMap<>();
        for (KeyCount key : keys) {
            long step = countStep(key.count());
            long[] sum = sums.computeIfAbsent((long) tenants.indexOf(key.tenant()) << 32 | step, any -> new long[2]);
            sum[0]++;
            sum[1] += key.count();
        }
        List<KeyClass> classes = new ArrayList<>();
        sums.forEach((at, sum) ->
                classes.add(new KeyClass((int) (at >> 32), weight * sum[0], (double) sum[1] / sum[0], known)));
        return classes;
    }

    private static long countStep(long count) {
        return count <= MAX_EXACT_COUNT
                ? count
                : MAX_EXACT_COUNT
                        + Math.round(StrictMath.log((double) count / MAX_EXACT_COUNT) / StrictMath.log(COUNT_RATIO));
    }

    /** Returns the number of sampled keys that the curve replaces. */
    public static int headSize(KeyPopularity popularity) {
        return Math.max(1, Math.min(MAX_HEAD, popularity.keys().size() / 4));
    }

    /**
     * Returns classes of the frequent keys, and of the sampled ones among the rest, which are weighted so that they sum
     * to the rest of the requests. Empty if the frequent keys do not reach the ranks that the sample represents, or if
     * too few are sampled.
     */
    private static List<KeyClass> withFrequentKeys(KeyPopularity popularity, List<String> tenants) {
        Set<KeyCount> known =
                popularity.frequentKeys().stream().map(KeyClass::identity).collect(Collectors.toSet());
        List<KeyCount> rest = popularity.keys().stream()
                .filter(key -> !known.contains(identity(key)))
                .toList();
        double left = popularity.requests()
                - popularity.frequentKeys().stream().mapToLong(KeyCount::count).sum();
        boolean negligibleRest = left <= MIN_REST_SHARE * popularity.requests();
        boolean reachesSample = known.size() >= 1 / popularity.share() && rest.size() >= MIN_REST;
        if (known.isEmpty() || popularity.keys().size() < MIN_SAMPLED || !negligibleRest && !reachesSample) {
            return List.of();
        }
        List<KeyClass> classes = new ArrayList<>(grouped(rest, tenants));
        double off = popularity.share() * left
                - rest.stream().mapToLong(KeyCount::count).sum();
        double squares = rest.stream()
                .mapToDouble(key -> (double) key.count() * key.count())
                .sum();
        classes.replaceAll(each -> new KeyClass(
                each.tenant(),
                each.keys() * Math.max(MIN_WEIGHT, 1 + off * each.count() / squares),
                each.count(),
                false));
        classes.addAll(grouped(popularity.frequentKeys(), tenants, popularity.share(), true));
        return classes;
    }

    /** Returns a record that is equal for the same key, whether sampled or frequent. */
    private static KeyCount identity(KeyCount key) {
        return new KeyCount(FrequentKeys.masked(key.hash()), key.tenant(), 1);
    }

    /**
     * Returns classes in which a power law of the rank replaces the most popular sampled keys, since a small sample
     * hardly ever contains the few keys with the most requests. The curve goes through the next key, and its sum is the
     * number of all requests less those of the other classes. SHARDS adds the same difference to one bucket of its
     * histogram.
     *
     * @param off relative error of the rank of the last key that is replaced
     */
    public static List<KeyClass> withHead(KeyPopularity popularity, List<String> tenants, double off) {
        List<KeyCount> order = new ArrayList<>(popularity.keys());
        order.sort(Comparator.comparingLong(KeyCount::count).reversed());
        int head = headSize(popularity);
        List<KeyCount> rest = order.subList(Math.min(order.size(), head), order.size());
        double restRequests = rest.stream().mapToLong(KeyCount::count).sum() / popularity.share();
        // Number of all keys that the sampled keys of the head represent; the curve covers these ranks.
        double ranks = Math.max(1, (head + 0.5) / popularity.share() * (1 + off));
        double requests = popularity.requests() - restRequests;
        double edge = rest.isEmpty() ? requests / ranks : edge(order, head);
        List<KeyClass> classes = grouped(rest, tenants);
        if (requests > 0) {
            double[] tenantShares = tenantShares(popularity, tenants);
            curve(ranks, requests, edge).forEach(each -> {
                for (int tenant = 0; tenant < tenantShares.length; tenant++) {
                    classes.add(new KeyClass(
                            tenant, each.keys() * tenantShares[tenant] * popularity.share(), each.count(), false));
                }
            });
        }
        return classes;
    }

    /** Returns the count at the end of the curve: on a regression line through the sampled keys around it. */
    private static double edge(List<KeyCount> order, int head) {
        int last = Math.min(order.size(), 4 * head);
        double[] sums = new double[4];
        int first = Math.max(1, head / 4);
        for (int rank = first; rank <= last; rank++) {
            double x = StrictMath.log((rank - 0.5) / head);
            double y = StrictMath.log(order.get(rank - 1).count());
            sums[0] += x;
            sums[1] += y;
            sums[2] += x * x;
            sums[3] += x * y;
        }
        int count = last - first + 1;
        double spread = sums[2] - sums[0] * sums[0] / count;
        double slope = spread > 0 ? (sums[3] - sums[0] * sums[1] / count) / spread : 0;
        return StrictMath.exp(sums[1] / count - slope * sums[0] / count);
    }

    private static double[] tenantShares(KeyPopularity popularity, List<String> tenants) {
        double[] tenantShares = new double[tenants.size()];
        popularity
                .keys()
                .forEach(key -> tenantShares[tenants.indexOf(key.tenant())] +=
                        1.0 / popularity.keys().size());
        return tenantShares;
    }

    /** Returns the curve with a number of ranks, a sum of requests, and a count at its end if possible. */
    private static List<KeyClass> curve(double ranks, double requests, double edge) {
        double low = 0;
        double high = MAX_EXPONENT;
        for (int i = 0; i < BISECTIONS; i++) {
            double exponent = (low + high) / 2;
            if (power(ranks, exponent, edge).stream()
                            .mapToDouble(each -> each.keys() * each.count())
                            .sum()
                    < requests) {
                low = exponent;
            } else {
                high = exponent;
            }
        }
        List<KeyClass> found = power(ranks, low, edge);
        double scale = requests
                / found.stream().mapToDouble(each -> each.keys() * each.count()).sum();
        return found.stream()
                .map(each -> new KeyClass(0, each.keys(), each.count() * scale, false))
                .toList();
    }

    private static List<KeyClass> power(double ranks, double exponent, double edge) {
        List<KeyClass> classes = new ArrayList<>();
        double from = 0;
        while (from < ranks) {
            double to = Math.min(ranks, from < 8 ? from + 1 : from * 1.25);
            classes.add(
                    new KeyClass(0, to - from, edge * StrictMath.pow((from + to + 1) / 2 / ranks, -exponent), false));
            from = to;
        }
        return classes;
    }
}
