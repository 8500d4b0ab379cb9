package peppergauge.promises.outcome;

/**
 * The cumulative probability of beta distributions, the same on every kind of machine: only arithmetic and
 * {@link StrictMath} are used. Libraries use {@link Math#exp} and {@link Math#log}, whose last bit may differ.
 */
final class BetaDistribution {

    /** Relative change by a term of the continued fraction at which it ends. */
    private static final double PRECISION = 0x1p-50;

    /** Far more terms than are needed: 94 at a million requests and 132 at a billion, with x two deviations off. */
    private static final int MAX_TERMS = 10_000;

    /** Keeps the numerators and denominators of the fraction from 0, by which they are divided. */
    private static final double TINY = 1e-300;

    /** From here on, the series of {@link #stirlingError} has an error below 1e-16. */
    private static final double MIN_SERIES_ARGUMENT = 16;

    private BetaDistribution() {}

    /**
     * Returns the probability of a value of Beta(a, b) of at most {@code x}: the regularized incomplete beta function.
     *
     * @param x 0 to 1
     * @param a greater than 0
     * @param b greater than 0
     */
    static double cumulativeProbability(double x, double a, double b) {
        if (x <= 0 || x >= 1) {
            return x <= 0 ? 0 : 1;
        }
        // The fraction converges quickly up to about the mean only.
        return x <= (a + 1) / (a + b + 2)
                ? density(x, 1 - x, a, b) / (a * fraction(x, a, b))
                : 1 - density(1 - x, x, b, a) / (b * fraction(1 - x, b, a));
    }

    /** Returns {@code x^a y^b / B(a, b)}, in which the great terms of Stirling's formula cancel out. */
    private static double density(double x, double y, double a, double b) {
        double sum = a + b;
        double fromMean = x * b - y * a;
        double exponent = a * logOfRatio(x * sum, a, fromMean)
                + b * logOfRatio(y * sum, b, -fromMean)
                + stirlingError(sum)
                - stirlingError(a)
                - stirlingError(b);
        return StrictMath.exp(exponent) * StrictMath.sqrt(a / sum * b / (2 * StrictMath.PI));
    }

    /** Returns the logarithm of value / of, from the difference of both if they are near each other. */
    private static double logOfRatio(double value, double of, double difference) {
        return Math.abs(difference) < of / 2 ? StrictMath.log1p(difference / of) : StrictMath.log(value / of);
    }

    /** Returns the logarithm of the gamma function less that of Stirling's formula. */
    private static double stirlingError(double argument) {
        double error = 0;
        double z = argument;
        for (; z < MIN_SERIES_ARGUMENT; z++) {
            error += (z + 0.5) * StrictMath.log1p(1 / z) - 1;
        }
        double square = z * z;
        return error
                + (1.0 / 12
                                - (1.0 / 360 - (1.0 / 1260 - (1.0 / 1680 - 1.0 / 1188 / square) / square) / square)
                                        / square)
                        / z;
    }

    /** Evaluates the continued fraction 1 + d1/(1 + d2/(1 + ...)) of the incomplete beta function by Lentz's method. */
    private static double fraction(double x, double a, double b) {
        double value = 1;
        double numerator = 1;
        double denominator = 0;
        for (int i = 1; i <= MAX_TERMS; i++) {
            int half = i / 2;
            double term = i % 2 == 0
                    ? half * (b - half) / (a + i - 1) / (a + i) * x
                    : -(a + half) / (a + i - 1) * (a + b + half) / (a + i) * x;
            denominator = 1 / awayFromZero(1 + term * denominator);
            numerator = awayFromZero(1 + term / numerator);
            double change = numerator * denominator;
            value *= change;
            if (Math.abs(change - 1) <= PRECISION) {
                break;
            }
        }
        return value;
    }

    private static double awayFromZero(double value) {
        return Math.abs(value) < TINY ? TINY : value;
    }
}
