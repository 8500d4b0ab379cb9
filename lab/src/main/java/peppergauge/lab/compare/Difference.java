package peppergauge.lab.compare;

import java.util.Arrays;
import org.apache.commons.statistics.distribution.TDistribution;

/**
 * The mean difference B - A of paired samples, with its 95% confidence interval by the paired t-test.
 *
 * @param pairs number of pairs
 * @param meanA mean of A
 * @param meanB mean of B
 * @param mean mean difference
 * @param low lower end of the confidence interval; negative infinity for a single pair
 * @param high upper end of the confidence interval; infinity for a single pair
 * @param least smallest difference of a pair
 * @param most largest difference of a pair
 */
public record Difference(
        int pairs, double meanA, double meanB, double mean, double low, double high, double least, double most) {

    private static final double TAIL_PROBABILITY = 0.025;

    /**
     * Computes the difference of two samples whose values are paired by index.
     *
     * @throws IllegalArgumentException if the samples are empty or differ in size
     */
    public static Difference of(double[] a, double[] b) {
        if (a.length == 0 || a.length != b.length) {
            throw new IllegalArgumentException(
                    "expected two non-empty samples of equal size, but the sizes are " + a.length + " and " + b.length);
        }
        int n = a.length;
        double[] differences = new double[n];
        Arrays.setAll(differences, i -> b[i] - a[i]);
        double mean = Arrays.stream(differences).average().orElseThrow();
        double halfWidth = Double.POSITIVE_INFINITY;
        if (n > 1) {
            double squaredDeviations = Arrays.stream(differences)
                    .map(difference -> (difference - mean) * (difference - mean))
                    .sum();
            halfWidth = TDistribution.of(n - 1).inverseSurvivalProbability(TAIL_PROBABILITY)
                    * Math.sqrt(squaredDeviations / (n - 1) / n);
        }
        return new Difference(
                n,
                Arrays.stream(a).average().orElseThrow(),
                Arrays.stream(b).average().orElseThrow(),
                mean,
                mean - halfWidth,
                mean + halfWidth,
                Arrays.stream(differences).min().orElseThrow(),
                Arrays.stream(differences).max().orElseThrow());
    }

    /** 1 if the whole confidence interval is above zero, -1 if it is below zero, 0 if it contains zero. */
    public int sign() {
        return low > 0 ? 1 : high < 0 ? -1 : 0;
    }
}
