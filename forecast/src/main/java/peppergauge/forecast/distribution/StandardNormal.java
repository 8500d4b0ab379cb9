package peppergauge.forecast.distribution;

/**
 * The cumulative probability of the standard normal distribution, the same on every kind of machine: only arithmetic
 * and {@link StrictMath} are used. Libraries use {@link Math#exp}, whose last bit may differ.
 *
 * <p>The upper tail is the density times Mills' ratio {@code R}, which is interpolated by Taylor series from its values
 * at {@link #KNOTS} points. As {@code R'(z) = z R(z) - 1}, so {@code R''(z) = z R'(z) + R(z)} and so on, all
 * derivatives follow from the value.
 */
public final class StandardNormal {

    private static final double DENSITY_AT_0 = 1 / StrictMath.sqrt(2 * StrictMath.PI);

    private static final double KNOT_DISTANCE = 0.125;
    private static final int KNOTS = 65;
    private static final int TERMS = 13;

    /** From here on, the continued fraction converges within {@link #FRACTION_TERMS}. */
    private static final double MAX_KNOT = (KNOTS - 1) * KNOT_DISTANCE;

    private static final int FRACTION_TERMS = 40;

    private static final double[][] SERIES = series();

    private StandardNormal() {}

    /** Returns the probability of a value of at most {@code x}; NaN if it is NaN. */
    public static double cumulativeProbability(double x) {
        double z = Math.abs(x);
        // The density is 0 long before, and the ratio's fraction would be divided by infinity.
        double tail = z > 1e3 ? 0 : DENSITY_AT_0 * StrictMath.exp(-z * z / 2) * millsRatio(z);
        return x > 0 ? 1 - tail : tail;
    }

    private static double millsRatio(double z) {
        if (!(z < MAX_KNOT)) {
            return continuedFraction(z);
        }
        int knot = (int) Math.round(z / KNOT_DISTANCE);
        return sum(SERIES[knot], z - knot * KNOT_DISTANCE);
    }

    private static double continuedFraction(double z) {
        double denominator = z;
        for (int i = FRACTION_TERMS; i > 0; i--) {
            denominator = z + i / denominator;
        }
        return 1 / denominator;
    }

    /** Returns the coefficients by knot. Errors shrink from each knot to the one below it, so it begins at the end. */
    private static double[][] series() {
        double[][] series = new double[KNOTS][];
        double ratio = continuedFraction(MAX_KNOT);
        for (int i = KNOTS - 1; i >= 0; i--) {
            series[i] = new double[TERMS];
            double z = i * KNOT_DISTANCE;
            series[i][0] = ratio;
            series[i][1] = z * ratio - 1;
            for (int j = 2; j < TERMS; j++) {
                series[i][j] = (z * series[i][j - 1] + series[i][j - 2]) / j;
            }
            ratio = sum(series[i], -KNOT_DISTANCE);
        }
        return series;
    }

    private static double sum(double[] coefficients, double distance) {
        double sum = 0;
        for (int i = coefficients.length - 1; i >= 0; i--) {
            sum = sum * distance + coefficients[i];
        }
        return sum;
    }
}
