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
import peppergauge.forecast.popularity.Popularity.KeyCount;
import peppergauge.forecast.sample.KeySampler;

/**
 * Merges the daemons' cumulative reports into what came over the last so many ms. Of each daemon the newest counts,
 * less the one from before the window. Where thresholds differ, only keys below the lowest count: of the others some
 * daemons know nothing, and a sum over the rest would make them look less popular than they are.
 */
public final class KeyMerge {

    /** Parts of the window and two; of each two reports of a daemon are kept at most, however often it reports. */
    private static final int MOST_KEPT = 8;

    private final long windowMs;
    private final long forgetMs;
    private final Map<String, Source> sources = new HashMap<>();

    private record Kept(long atMs, KeyReport report) {}

    private static final class Source {
        private final long incarnation;
        private final Deque<Kept> kept = new ArrayDeque<>();

        Source(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    /**
     * @param windowMs over which sessions count
     * @param forgetMs a daemon that was silent for so long counts no more
     */
    public KeyMerge(long windowMs, long forgetMs) {
        this.windowMs = windowMs;
        this.forgetMs = forgetMs;
    }

    /**
     * Takes a report; one of an earlier incarnation, or with fewer sessions than an earlier one, changes nothing.
     *
     * @return whether it was taken
     */
    public boolean accept(String daemon, long incarnation, long nowMs, KeyReport report) {
        Source source = sources.get(daemon);
        if (source == null || incarnation > source.incarnation) {
            source = new Source(incarnation);
            sources.put(daemon, source);
        } else if (incarnation < source.incarnation
                || report.sessions() < source.kept.getLast().report().sessions()) {
            return false;
        }
        while (!source.kept.isEmpty() && source.kept.getLast().atMs() >= nowMs) {
            // Of one moment the newest counts: a span between two of them would be none.
            source.kept.removeLast();
        }
        if (source.kept.size() > 1 && nowMs - before(source.kept).atMs() < windowMs / (MOST_KEPT - 2)) {
            // The last but one is too young to be a beginning: the newest takes the place of the last.
            source.kept.removeLast();
        }
        source.kept.addLast(new Kept(nowMs, report));
        while (source.kept.size() > 2 && second(source.kept).atMs() <= nowMs - windowMs) {
            source.kept.removeFirst();
        }
        assert source.kept.size() <= 2 * MOST_KEPT - 2 : source.kept.size() + " reports of " + daemon + " are kept";
        return true;
    }

    private static Kept before(Deque<Kept> kept) {
        var backwards = kept.descendingIterator();
        backwards.next();
        return backwards.next();
    }

    private static Kept second(Deque<Kept> kept) {
        var forwards = kept.iterator();
        forwards.next();
        return forwards.next();
    }

    /** What came lately; empty until some daemon has reported twice, or where nothing came. */
    public Optional<Popularity> popularity(long nowMs) {
        sources.values().removeIf(source -> nowMs - source.kept.getLast().atMs() > forgetMs);
        List<Source> telling = sources.values().stream()
                .filter(source -> source.kept.size() > 1)
                .toList();
        long lowest = KeySampler.ALL;
        for (Source source : telling) {
            // Thresholds only fall within an incarnation: the newest is the lowest.
            long own = source.kept.getLast().report().threshold();
            lowest = Long.compareUnsigned(own, lowest) < 0 ? own : lowest;
        }
        double spanMs = telling.stream().mapToDouble(KeyMerge::spanMs).average().orElse(0);
        Map<Named, Double> counts = new HashMap<>();
        HeavyMerge heavy = new HeavyMerge();
        double sessions = 0;
        for (Source source : telling) {
            // Daemons report at moments of their own: each counts as over the mean span.
            double scale = spanMs / spanMs(source);
            sessions += scale * add(source, lowest, scale, counts);
            heavy.add(source.kept.getFirst().report(), source.kept.getLast().report(), scale);
        }
        List<KeyCount> keys = new ArrayList<>();
        counts.forEach((named, count) -> {
            if (count >= 0.5) {
                keys.add(new KeyCount(named.hash(), named.station(), Math.round(count)));
            }
        });
        keys.sort((a, b) -> a.hash() != b.hash()
                ? Long.compareUnsigned(a.hash(), b.hash())
                : a.station().compareTo(b.station()));
        return sessions < 1
                ? Optional.empty()
                : Optional.of(new Popularity(
                        KeySampler.share(lowest),
                        Math.round(sessions),
                        spanMs,
                        keys,
                        lowest == KeySampler.ALL ? List.of() : heavy.heavy()));
    }

    /** Those whose reports count. */
    public Set<String> daemons() {
        return Set.copyOf(sources.keySet());
    }

    private record Named(long hash, String station) {}

    private static double spanMs(Source source) {
        return Math.max(1, source.kept.getLast().atMs() - source.kept.getFirst().atMs());
    }

    private static long add(Source source, long lowest, double scale, Map<Named, Double> counts) {
        KeyReport first = source.kept.getFirst().report();
        KeyReport last = source.kept.getLast().report();
        for (KeyReport.Key key : last.keys()) {
            if (Long.compareUnsigned(key.hash(), lowest) < 0) {
                counts.merge(new Named(key.hash(), key.station()), scale * key.count(), Double::sum);
            }
        }
        for (KeyReport.Key key : first.keys()) {
            if (Long.compareUnsigned(key.hash(), lowest) < 0) {
                counts.merge(new Named(key.hash(), key.station()), -scale * key.count(), Double::sum);
            }
        }
        return last.sessions() - first.sessions();
    }
}
