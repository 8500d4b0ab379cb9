package peppergauge.decision;

import peppergauge.decision.LearnedState.WeightedSum;

/** An exponentially decaying sum of samples and their weight: both halve every half-life. */
final class DecayingAverage {

    /** Half-life of failure shares and latencies, ms. */
    static final double HALF_LIFE_MS = 5_000;

    /** Half-life of figures that must follow a change within a second, ms. */
    static final double SHORT_HALF_LIFE_MS = 1_000;

    /** Half-life of figures that are few or must stay steady, ms. */
    static final double LONG_HALF_LIFE_MS = 4 * HALF_LIFE_MS;

    private static final double LN2 = Math.log(2);

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

    /** The weight as of the last update, not decayed to the present. */
    double lastWeight() {
        return weight;
    }

    /**
     * Samples per ms, corrected for the time since sampling began.
     *
     * @param sinceMs when sampling began; NaN if it did not, which gives 0
     * @param minObservedMs the least time that counts as observed, ms
     */
    double ratePerMs(double nowMs, double sinceMs, double minObservedMs) {
        double observedMs = Math.max(minObservedMs, nowMs - sinceMs);
        double share = 1 - remainingShare(observedMs, halfLifeMs);
        return share > 0 ? weight(nowMs) * LN2 / halfLifeMs / share : 0;
    }

    void clear() {
        sum = 0;
        weight = 0;
    }

    /** Replaces sum and weight by imported ones, as of {@code nowMs}. */
    void restore(double nowMs, double restoredSum, double restoredWeight) {
        sum = restoredSum;
        weight = restoredWeight;
        updatedMs = nowMs;
    }

    /** The value at {@code nowMs}, without updating this average: decaying in two steps would round differently. */
    WeightedSum peek(double nowMs) {
        double remaining = remainingShare(nowMs - updatedMs, halfLifeMs);
        return weight > 0 ? new WeightedSum(sum * remaining, weight * remaining) : WeightedSum.NONE;
    }

    /** What is left of a weight of 1 after {@code elapsedMs}; 1 if that is negative. */
    static double remainingShare(double elapsedMs, double halfLifeMs) {
        return Math.exp(-LN2 * Math.max(0, elapsedMs) / halfLifeMs);
    }

    private void decay(double nowMs) {
        if (nowMs > updatedMs) {
            double remaining = remainingShare(nowMs - updatedMs, halfLifeMs);
            sum *= remaining;
            weight *= remaining;
            updatedMs = nowMs;
        }
    }
}
