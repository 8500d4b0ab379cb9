package peppergauge.promises.allocation;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.outcome.OutcomeCounts;

/**
 * Estimates the capacity of each zone: requests per second that it was observed to answer within their objectives.
 *
 * <p>The estimate rises to the observed rate, decays slowly, shrinks step by step while the zone is strained, and falls
 * to the observed rate at once when it fails. Not thread-safe.
 */
public final class CapacityEstimator {

    /** Half-life of the estimate, ms. */
    private static final double HALF_LIFE_MS = 4 * 3_600_000.0;
    /** Weight of the newest period in the mean rate. */
    private static final double RATE_SMOOTHING = 0.3;
    /** Miss ratio from which on a zone fails: the estimate falls to the observed rate. */
    private static final double FAILING_MISS_RATIO = 0.25;
    /** Miss ratio from which on a zone is strained: the estimate does not rise. */
    private static final double STRAINED_MISS_RATIO = 0.02;
    /** Part by which the estimate shrinks in each period of strain. */
    private static final double STRAINED_REDUCTION = 0.03;
    /** Requests of a key below which its miss ratio is not considered. */
    private static final int MIN_REQUESTS = 20;
    /** Decay of the recent outcomes in each period. */
    private static final double RECENT_DECAY = 0.7;

    private final Map<String, Double> meanRate = new TreeMap<>();
    private final Map<String, Double> capacity = new TreeMap<>();
    private final Map<TrafficKey, OutcomeCounts> recent = new HashMap<>();

    /**
     * Updates the estimate of a zone by one period. Overload affects all keys alike, so the key with the lowest miss
     * ratio decides whether the zone is strained or fails.
     *
     * @param all outcomes of all requests that the zone answered in the period
     * @param ofObjectives the same by key, of keys that have an objective
     * @param periodMs length of the period, ms
     */
    public void observe(String zone, OutcomeCounts all, Map<TrafficKey, OutcomeCounts> ofObjectives, double periodMs) {
        double now = all.met() * 1e3 / periodMs;
        double mean = meanRate.merge(zone, now, (before, fresh) -> before + RATE_SMOOTHING * (fresh - before));
        double decayed = capacity.getOrDefault(zone, 0.0) * StrictMath.pow(0.5, periodMs / HALF_LIFE_MS);
        OutcomeCounts best = ofObjectives.entrySet().stream()
                .map(each -> addRecent(each.getKey(), each.getValue()))
                .filter(each -> each.total() >= MIN_REQUESTS)
                .min(Comparator.comparingDouble(OutcomeCounts::missRatio))
                .orElse(OutcomeCounts.ZERO);
        capacity.put(zone, next(decayed, mean, best));
        assert capacity.get(zone) >= 0 && capacity.get(zone) <= Math.max(decayed, mean)
                : "expected a capacity from 0 to the greater of " + decayed + " and " + mean + " but was "
                        + capacity.get(zone) + " in zone " + zone;
    }

    private static double next(double decayed, double mean, OutcomeCounts best) {
        double lowered = Math.min(decayed, mean);
        if (best.isMissRatioAbove(FAILING_MISS_RATIO)) {
            return lowered;
        }
        return best.isMissRatioAbove(STRAINED_MISS_RATIO)
                ? Math.max(lowered, decayed * (1 - STRAINED_REDUCTION))
                : Math.max(decayed, mean);
    }

    private OutcomeCounts addRecent(TrafficKey key, OutcomeCounts fresh) {
        return recent.merge(
                key,
                fresh,
                (before, now) -> new OutcomeCounts(
                        Math.round(RECENT_DECAY * before.met()) + now.met(),
                        Math.round(RECENT_DECAY * before.missed()) + now.missed()));
    }

    /** Returns the capacity of a zone in requests per second, 0 if it was never observed. */
    public double requestsPerSecond(String zone) {
        return capacity.getOrDefault(zone, 0.0);
    }

    /** Returns the estimates by zone, for storage. */
    public Map<String, Double> exportState() {
        return new TreeMap<>(capacity);
    }

    /**
     * Merges stored estimates; if both have one for a zone, the lower counts.
     *
     * @param ageMs age of the stored estimates, ms
     */
    public void mergeState(Map<String, Double> stored, double ageMs) {
        stored.forEach((zone, estimate) ->
                capacity.merge(zone, estimate * StrictMath.pow(0.5, Math.max(0, ageMs) / HALF_LIFE_MS), Math::min));
    }
}
