package peppergauge.decision;

import java.util.SplittableRandom;

/** Picks an index at random, with a probability in proportion to its weight. */
final class WeightedRandomPicker {

    private final SplittableRandom random;

    WeightedRandomPicker(SplittableRandom random) {
        this.random = random;
    }

    /**
     * Picks one of the first {@code count} indices. Always takes one number from the random generator.
     *
     * @param weights weights by index, each 0 or more
     * @return -1 if all weights are 0
     */
    int pick(double[] weights, int count) {
        double total = 0;
        for (int i = 0; i < count; i++) {
            total += weights[i];
        }
        double remaining = random.nextDouble() * total;
        int picked = -1;
        for (int i = 0; i < count && remaining >= 0; i++) {
            if (weights[i] > 0) {
                picked = i;
                remaining -= weights[i];
            }
        }
        return picked;
    }
}
