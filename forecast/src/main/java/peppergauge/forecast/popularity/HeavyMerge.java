package peppergauge.forecast.popularity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.KeyReport.Heavy;
import peppergauge.forecast.popularity.Popularity.KeyCount;
import peppergauge.forecast.sample.HeavyKeys;
import peppergauge.forecast.sample.KeySampler;

/**
 * The keys that came most often over all daemons, each of which tells its own. Where one does not tell a key, it came
 * there as often as elsewhere, but no oftener than the least of those told. Only keys that came more often in all than
 * those leasts together, each with its chance, are told of: of the others some are missing, and those told are the
 * lucky ones.
 */
final class HeavyMerge {

    /** More than that tell little that the sample does not. */
    private static final int MOST = 2_048;

    private record Named(long hash, String station) {}

    /** Of one key: sessions told, all sessions of the daemons that told it, and what others leave out at most. */
    private static final class Sum {
        private double told;
        private double sessions;
        private double floors;
    }

    private final Map<Named, Sum> sums = new HashMap<>();
    private double sessions;
    private double telling;
    private double floors;
    private double least;

    /** @param scale by which a count of this daemon's span counts */
    void add(KeyReport first, KeyReport last, double scale) {
        double own = scale * (last.sessions() - first.sessions());
        sessions += own;
        Heavy before = heavy(first);
        Heavy after = heavy(last);
        if (before == null || after == null || own <= 0) {
            return;
        }
        telling += own;
        // Of a key left out both times it is the steady growth; errors count from the start, too.
        double floor = scale * Math.max(0, after.floor() - before.floor());
        floors += floor;
        least += floor + Math.sqrt(scale * floor);
        Map<Named, Long> known = new HashMap<>();
        before.keys().forEach(key -> known.put(new Named(key.hash(), key.station()), key.count()));
        double past = (double) first.sessions() / last.sessions();
        for (Heavy.Count key : after.keys()) {
            Named named = new Named(key.hash(), key.station());
            Sum sum = sums.computeIfAbsent(named, any -> new Sum());
            sum.told += scale
                    * Math.max(
                            0,
                            key.count()
                                    - known.getOrDefault(named, (long) Math.min(before.floor(), past * key.count())));
            sum.sessions += own;
            sum.floors += floor;
        }
    }

    /** Null if nothing is known. Who samples all keys knows all of them. */
    private static Heavy heavy(KeyReport report) {
        if (report.heavy() != null || report.threshold() != KeySampler.ALL) {
            return report.heavy();
        }
        return new Heavy(
                0,
                0,
                report.keys().stream()
                        .map(key -> new Heavy.Count(HeavyKeys.masked(key.hash()), key.station(), key.count()))
                        .toList());
    }

    /** The first came most often; none unless daemons with half of all sessions tell theirs. */
    List<KeyCount> heavy() {
        List<KeyCount> found = new ArrayList<>();
        if (telling * 2 < sessions || telling <= 0) {
            return found;
        }
        sums.forEach((named, sum) -> {
            double untold = Math.min(floors - sum.floors, sum.told / sum.sessions * (telling - sum.sessions));
            long count = Math.round((sum.told + untold) * sessions / telling);
            if (sum.told + untold >= least && sum.told >= untold && count > 0) {
                found.add(new KeyCount(named.hash(), named.station(), count));
            }
        });
        found.sort(Comparator.comparingLong(KeyCount::count)
                .reversed()
                .thenComparingLong(KeyCount::hash)
                .thenComparing(KeyCount::station));
        return found.size() > MOST ? found.subList(0, MOST) : found;
    }
}
