package peppergauge.forecast.popularity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.popularity.KeyPopularity.KeyCount;
import peppergauge.forecast.sample.KeySampler;

/**
 * Merges daemons' cumulative reports into the counts of a recent window: of each daemon the newest report less the one
 * from before the window. If thresholds differ, only keys below the lowest one count, which all daemons sample. Not
 * thread-safe.
 */
public final class KeyMerge {

    /** Number of parts of the window; of a daemon, at most two reports for each part are stored, and two more. */
    private static final int WINDOW_PARTS = 6;

    private static final int MAX_REPORTS = 2 * WINDOW_PARTS + 2;

    private final long windowMs;
    private final long daemonTimeoutMs;
    private final Map<String, Source> sources = new HashMap<>();

    private record TimedReport(long atMs, KeyReport report) {}

    private static final class Source {
        private final long incarnation;
        private final Deque<TimedReport> reports = new ArrayDeque<>();

        Source(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    /**
     * Creates an empty merge.
     *
     * @param windowMs time over which requests count, ms
     * @param daemonTimeoutMs time without a report after which a daemon does not count, ms
     */
    public KeyMerge(long windowMs, long daemonTimeoutMs) {
        this.windowMs = windowMs;
        this.daemonTimeoutMs = daemonTimeoutMs;
    }

    /**
     * Accepts a report unless it is of an earlier incarnation, or has fewer requests than an earlier one.
     *
     * @return whether it was accepted
     */
    public boolean accept(String daemon, long incarnation, long nowMs, KeyReport report) {
        Source source = sources.get(daemon);
        if (source == null || incarnation > source.incarnation) {
            source = new Source(incarnation);
            sources.put(daemon, source);
        } else if (incarnation < source.incarnation
                || report.sessions() < source.reports.getLast().report().sessions()) {
            return false;
        }
        while (!source.reports.isEmpty() && source.reports.getLast().atMs() >= nowMs) {
            // Of two reports with the same time only the newer is stored, since no time lies between them.
            source.reports.removeLast();
        }
        if (source.reports.size() > 1 && nowMs - lastButOne(source.reports).atMs() < windowMs / WINDOW_PARTS) {
            // The last but one report is too recent to be the start of a window, so this report replaces the last one.
            source.reports.removeLast();
        }
        source.reports.addLast(new TimedReport(nowMs, report));
        while (source.reports.size() > 2 && second(source.reports).atMs() <= nowMs - windowMs) {
            source.reports.removeFirst();
        }
        assert source.reports.size() <= MAX_REPORTS
                : "expected at most " + MAX_REPORTS + " stored reports of " + daemon + " but was "
                        + source.reports.size();
        return true;
    }

    private static TimedReport lastButOne(Deque<TimedReport> reports) {
        var backwards = reports.descendingIterator();
        backwards.next();
        return backwards.next();
    }

    private static TimedReport second(Deque<TimedReport> reports) {
        var forwards = reports.iterator();
        forwards.next();
        return forwards.next();
    }

    /** Returns the counts of the window; empty until a daemon has reported twice, or without requests. */
    public Optional<KeyPopularity> popularity(long nowMs) {
        sources.values().removeIf(source -> nowMs - source.reports.getLast().atMs() > daemonTimeoutMs);
        List<Source> reporting = sources.values().stream()
                .filter(source -> source.reports.size() > 1)
                .toList();
        long lowestThreshold = KeySampler.ALL;
        for (Source source : reporting) {
            // Within an incarnation a threshold only falls, so the newest is the lowest.
            long own = source.reports.getLast().report().threshold();
            lowestThreshold = Long.compareUnsigned(own, lowestThreshold) < 0 ? own : lowestThreshold;
        }
        double spanMs =
                reporting.stream().mapToDouble(KeyMerge::spanMs).average().orElse(0);
        Map<TenantKey, Double> counts = new HashMap<>();
        FrequentKeyMerge frequentKeyMerge = new FrequentKeyMerge();
        double requests = 0;
        for (Source source : reporting) {
            // Daemons report at different times, so counts are scaled to the mean span.
            double scale = spanMs / spanMs(source);
            requests += scale * add(source, lowestThreshold, scale, counts);
            frequentKeyMerge.add(
                    source.reports.getFirst().report(), source.reports.getLast().report(), scale);
        }
        List<KeyCount> keys = new ArrayList<>();
        counts.forEach((tenantKey, count) -> {
            if (count >= 0.5) {
                keys.add(new KeyCount(tenantKey.hash(), tenantKey.tenant(), Math.round(count)));
            }
        });
        keys.sort((a, b) -> a.hash() != b.hash()
                ? Long.compareUnsigned(a.hash(), b.hash())
                : a.tenant().compareTo(b.tenant()));
        return requests < 1
                ? Optional.empty()
                : Optional.of(new KeyPopularity(
                        KeySampler.share(lowestThreshold),
                        Math.round(requests),
                        spanMs,
                        keys,
                        lowestThreshold == KeySampler.ALL ? List.of() : frequentKeyMerge.frequentKeys()));
    }

    /** Returns the daemons whose reports count. */
    public Set<String> daemons() {
        return Set.copyOf(sources.keySet());
    }

    private record TenantKey(long hash, String tenant) {}

    private static double spanMs(Source source) {
        return Math.max(
                1, source.reports.getLast().atMs() - source.reports.getFirst().atMs());
    }

    private static long add(Source source, long threshold, double scale, Map<TenantKey, Double> counts) {
        KeyReport first = source.reports.getFirst().report();
        KeyReport last = source.reports.getLast().report();
        for (KeyReport.Key key : last.keys()) {
            if (Long.compareUnsigned(key.hash(), threshold) < 0) {
                counts.merge(new TenantKey(key.hash(), key.station()), scale * key.count(), Double::sum);
            }
        }
        for (KeyReport.Key key : first.keys()) {
            if (Long.compareUnsigned(key.hash(), threshold) < 0) {
                counts.merge(new TenantKey(key.hash(), key.station()), -scale * key.count(), Double::sum);
            }
        }
        return last.sessions() - first.sessions();
    }
}
