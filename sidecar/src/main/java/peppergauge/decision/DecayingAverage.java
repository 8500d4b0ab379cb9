package peppergauge.decision;

import peppergauge.decision.LearnedState.WeightedSum;

/** An exponentially decaying average: the sum and the weight of the samples halve every half-life. */
final class DecayingAverage {

    /** Half-life of failure rates and latencies, ms. */
    static final double HALF_LIFE_MS = 5_000;

    /** Half-life of averages that must follow a change within a second, ms. */
    static final double SHORT_HALF_LIFE_MS = 1_000;

    /** Half-life of averages that have few samples or must stay stable, ms. */
    static final double LONG_HALF_LIFE_MS = 4 * HALF_LIFE_MS;

    private static final double LN2 = StrictMath.log(2);

    final double halfLifeMs;
    private double sum;
    private double weight;
    private double updatedMs;

    DecayingAverage(double halfLifeMs) {
        this.halfLifeMs = halfLifeMs;
    }

    void add(double nowMs, double value) {
        decay(nowMs);
        sum += value;
        weight += 1;
    }

    double sum(double nowMs) {
        decay(nowMs);
        return sum;
    }

    double weight(double nowMs) {
        decay(nowMs);
        return weight;
    }

    /** The weighted mean, or 0 without samples. */
    double mean(double nowMs) {
        decay(nowMs);
        return weight > 0 ? sum / weight : 0;
    }

    /** The weight at the last update, without the decay since then. */
    double lastWeight() {
        return weight;
    }

    /**
     * Rate of samples per ms, corrected for a sampling time that is short against the half-life.
     *
     * @param sinceMs when sampling began, ms; NaN if there were no samples yet, for which the rate is 0
     * @param minObservedMs shortest sampling time that the rate is computed over, ms
     */
    double ratePerMs(double nowMs, double sinceMs, double minObservedMs) {
        double observedMs = Math.max(minObservedMs, nowMs - sinceMs);
        double share = 1 - decayFactor(observedMs, halfLifeMs);
        return share > 0 ? weight(nowMs) * LN2 / halfLifeMs / share : 0;
    }

    void clear() {
        sum = 0;
        weight = 0;
    }

    /** Replaces sum and weight by imported values, which are valid at {@code nowMs}. */
    void restore(double nowMs, double restoredSum, double restoredWeight) {
        sum = restoredSum;
        weight = restoredWeight;
        updatedMs = nowMs;
    }

    /** The value at {@code nowMs}. Does not update this average, since decay in two steps is rounded differently. */
    WeightedSum peek(double nowMs) {
        double remaining = remainingShare(nowMs - updatedMs, halfLifeMs);
        return weight > 0 ? new WeightedSum(sum * remaining, weight * remaining) : WeightedSum.NONE;
    }

    /** The share of a weight that remains after {@code elapsedMs}; 1 if the time is negative. */
    static double remainingShare(double elapsedMs, double halfLifeMs) {
        return decayFactor(Math.max(0, elapsedMs), halfLifeMs);
    }

    private static double decayFactor(double elapsedMs, double halfLifeMs) {
        return StrictMath.exp(-LN2 * elapsedMs / halfLifeMs);
    }

    private void decay(double nowMs) {
        if (nowMs > updatedMs) {
            // StrictMath.exp costs time, and averages without samples are frequent.
            if (weight != 0 || sum != 0) {
                double remaining = decayFactor(nowMs - updatedMs, halfLifeMs);
                sum *= remaining;
                weight *= remaining;
            }
            updatedMs = nowMs;
        }
    }
}
