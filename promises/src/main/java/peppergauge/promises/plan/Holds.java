package peppergauge.promises.plan;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import peppergauge.promises.Cell;
import peppergauge.promises.evidence.Tally;

/**
 * What each data centre was seen to hold: sessions a second that it answered in time. It grows with what is kept there,
 * fades slowly, shrinks towards what is kept while some of it is surely missed, and falls to that at once when a
 * quarter is. So a plan that tries a little more than was ever held finds the end of it by few misses.
 */
public final class Holds {

    /** Half-life of what was once seen, ms: a peak of the morning still counts in the evening, yesterday's little. */
    private static final double HALF_LIFE_MS = 4 * 3_600_000.0;
    /** Weight of the newest rate: a single period's peak is chance. */
    private static final double NEWEST = 0.3;
    /** Share missed from which on a data centre does not hold what it has. */
    private static final double FAILS = 0.25;
    /** And from which on it has too much, or is slow: it is not seen to hold more, but by this part less each time. */
    private static final double STRAINED = 0.02;

    private static final double LESS = 0.03;
    /** Sessions under which nothing is said of it. */
    private static final int ENOUGH = 20;
    /** What the former periods' sessions still weigh: one period's are few. */
    private static final double FORMER = 0.7;

    private final Map<String, Double> rate = new TreeMap<>();
    private final Map<String, Double> seen = new TreeMap<>();
    private final Map<Cell, Tally> recent = new HashMap<>();

    /**
     * Too much comes to all alike: what only some stations or classes miss says nothing of what a zone can hold, and a
     * promise that it cannot keep at all would leave no room for others.
     *
     * @param tally of all sessions that the zone answered in so many ms
     * @param promised the same, of each station and class that something is promised
     */
    public void saw(String zone, Tally tally, Map<Cell, Tally> promised, double ms) {
        double now = tally.kept() * 1e3 / ms;
        double mean = rate.merge(zone, now, (before, fresh) -> before + NEWEST * (fresh - before));
        double faded = seen.getOrDefault(zone, 0.0) * Math.pow(0.5, ms / HALF_LIFE_MS);
        Tally best = promised.entrySet().stream()
                .map(each -> lately(each.getKey(), each.getValue()))
                .filter(each -> each.all() >= ENOUGH)
                .min(Comparator.comparingDouble(Tally::missShare))
                .orElse(Tally.NONE);
        double fallen = Math.min(faded, mean);
        seen.put(
                zone,
                best.surelyOver(FAILS)
                        ? fallen
                        : best.surelyOver(STRAINED) ? Math.max(fallen, faded * (1 - LESS)) : Math.max(faded, mean));
        assert seen.get(zone) >= 0 && seen.get(zone) <= Math.max(faded, mean)
                : zone + " is seen to hold " + seen.get(zone) + " where " + mean + " came and " + faded + " were held";
    }

    private Tally lately(Cell cell, Tally fresh) {
        return recent.merge(
                cell,
                fresh,
                (before, now) -> new Tally(
                        Math.round(FORMER * before.kept()) + now.kept(),
                        Math.round(FORMER * before.missed()) + now.missed()));
    }

    /** Sessions a second; 0 of a zone that was never seen. */
    public double holds(String zone) {
        return seen.getOrDefault(zone, 0.0);
    }

    public Map<String, Double> kept() {
        return new TreeMap<>(seen);
    }

    /** Takes in what was kept, {@code ageMs} ago; of what both know, the lesser: the other may have been wrong. */
    public void join(Map<String, Double> kept, double ageMs) {
        kept.forEach((zone, held) ->
                seen.merge(zone, held * Math.pow(0.5, Math.max(0, ageMs) / HALF_LIFE_MS), Math::min));
    }
}
