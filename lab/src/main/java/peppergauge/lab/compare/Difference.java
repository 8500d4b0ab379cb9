package peppergauge.lab.compare;

import java.util.Arrays;
import org.apache.commons.statistics.distribution.TDistribution;

/**
 * The mean difference of pairs, B less A, with its 95% confidence interval by the paired t method.
 *
 * @param pairs how many
 * @param meanA of A alone; {@code meanB} likewise
 * @param low end of the interval, {@code high} the other; infinite for a single pair
 * @param least difference of a single pair; {@code most} likewise
 */
public record Difference(
        int pairs, double meanA, double meanB, double mean, double low, double high, double least, double most) {

    private static final double TAIL = 0.025;

    /**
     * From pairs in the same order.
     *
     * @throws IllegalArgumentException if there are none, or unequally many
     */
    public static Difference of(double[] a, double[] b) {
        if (a.length == 0 || a.length != b.length) {
            throw new IllegalArgumentException(a.length + " values against " + b.length);
        }
        int n = a.length;
        double[] differences = new double[n];
        Arrays.setAll(differences, i -> b[i] - a[i]);
        double mean = Arrays.stream(differences).average().orElseThrow();
        double half = Double.POSITIVE_INFINITY;
        if (n > 1) {
            double squares = Arrays.stream(differences)
                    .map(one -> (one - mean) * (one - mean))
                    .sum();
            half = TDistribution.of(n - 1).inverseSurvivalProbability(TAIL) * Math.sqrt(squares / (n - 1) / n);
        }
        return new Difference(
                n,
                Arrays.stream(a).average().orElseThrow(),
                Arrays.stream(b).average().orElseThrow(),
                mean,
                mean - half,
                mean + half,
                Arrays.stream(differences).min().orElseThrow(),
                Arrays.stream(differences).max().orElseThrow());
    }

    /** Whether the interval leaves nothing out: 1 for more, -1 for less, 0 if it holds no difference at all. */
    public int sign() {
        return low > 0 ? 1 : high < 0 ? -1 : 0;
    }
}
