package peppergauge.forecast.popularity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.KeyReport.Heavy;
import peppergauge.forecast.popularity.KeyPopularity.KeyCount;
import peppergauge.forecast.sample.FrequentKeys;
import peppergauge.forecast.sample.KeySampler;

/**
 * Merges the most frequent keys of all daemons. A daemon that does not report a key is assumed to have it as often as
 * elsewhere, but not more often than the least frequent key that it reports. Only keys whose count exceeds the sum of
 * these limits and their standard deviations are returned, since below it some are missing.
 */
final class FrequentKeyMerge {

    /** Maximum number of keys returned. */
    private static final int MAX_KEYS = 2_048;

    private record TenantKey(long hash, String tenant) {}

    /** Sums of one key: its reported requests, all requests of the daemons that report it, and their limits. */
    private static final class Sum {
        private double reported;
        private double requests;
        private double floors;
    }

    private final Map<TenantKey, Sum> sums = new HashMap<>();
    private double requests;
    private double reportingRequests;
    private double floors;
    private double minCount;

    /**
     * Adds the growth between two reports of a daemon.
     *
     * @param scale factor for counts of this daemon's span
     */
    void add(KeyReport first, KeyReport last, double scale) {
        double own = scale * (last.sessions() - first.sessions());
        requests += own;
        Heavy before = frequentKeys(first);
        Heavy after = frequentKeys(last);
        if (before == null || after == null || own <= 0) {
            return;
        }
        reportingRequests += own;
        // The growth of the limit bounds the growth of a key that is in neither report.
        double floor = scale * Math.max(0, after.floor() - before.floor());
        floors += floor;
        minCount += floor + Math.sqrt(scale * floor);
        Map<TenantKey, Long> known = new HashMap<>();
        before.keys().forEach(key -> known.put(new TenantKey(key.hash(), key.station()), key.count()));
        double earlierShare = (double) first.sessions() / last.sessions();
        for (Heavy.Count key : after.keys()) {
            TenantKey tenantKey = new TenantKey(key.hash(), key.station());
            Sum sum = sums.computeIfAbsent(tenantKey, any -> new Sum());
            long assumed = (long) Math.min(before.floor(), earlierShare * key.count());
            sum.reported += scale * Math.max(0, key.count() - known.getOrDefault(tenantKey, assumed));
            sum.requests += own;
            sum.floors += floor;
        }
    }

    /** Returns a report's frequent keys: all keys if all are sampled, null if unknown. */
    private static Heavy frequentKeys(KeyReport report) {
        if (report.heavy() != null || report.threshold() != KeySampler.ALL) {
            return report.heavy();
        }
        return new Heavy(
                0,
                0,
                report.keys().stream()
                        .map(key -> new Heavy.Count(FrequentKeys.masked(key.hash()), key.station(), key.count()))
                        .toList());
    }

    /** Returns the most frequent keys, descending; none unless daemons with half of all requests report theirs. */
    List<KeyCount> frequentKeys() {
        List<KeyCount> found = new ArrayList<>();
        if (reportingRequests * 2 < requests || reportingRequests <= 0) {
            return found;
        }
        sums.forEach((tenantKey, sum) -> {
            double proportional = sum.reported / sum.requests * (reportingRequests - sum.requests);
            double unreported = Math.min(floors - sum.floors, proportional);
            long count = Math.round((sum.reported + unreported) * requests / reportingRequests);
            if (sum.reported + unreported >= minCount && sum.reported >= unreported && count > 0) {
                found.add(new KeyCount(tenantKey.hash(), tenantKey.tenant(), count));
            }
        });
        found.sort(Comparator.comparingLong(KeyCount::count)
                .reversed()
                .thenComparingLong(KeyCount::hash)
                .thenComparing(KeyCount::tenant));
        return found.size() > MAX_KEYS ? found.subList(0, MAX_KEYS) : found;
    }
}
