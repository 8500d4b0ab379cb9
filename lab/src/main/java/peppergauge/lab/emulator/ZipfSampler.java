package peppergauge.lab.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.DiscreteUniformSampler;

/**
 * Draws numbers from 1 by Zipf's law, the same on every kind of machine: the sampler of Commons RNG uses
 * {@link Math#exp} and the like, whose last bit may differ, and a draw at the border between two numbers with it.
 *
 * <p>The algorithm is rejection-inversion (Hörmann and Derflinger, "Rejection-inversion to generate variates from
 * monotone discrete distributions", ACM TOMACS 6, 1996).
 */
final class ZipfSampler implements DiscreteSampler {

    /** Below this, the quotients of 0 by 0 are replaced by the first terms of their series. */
    private static final double SMALL = 1e-8;

    private final UniformRandomProvider random;
    private final int numbers;
    private final double exponent;
    private final double lowest;
    private final double highest;
    private final double accepted;

    private ZipfSampler(UniformRandomProvider random, int numbers, double exponent) {
        this.random = random;
        this.numbers = numbers;
        this.exponent = exponent;
        lowest = integral(1.5) - 1;
        highest = integral(numbers + 0.5);
        accepted = 2 - inverse(integral(2.5) - hat(2));
    }

    /**
     * Returns a sampler.
     *
     * @param numbers how many there are, 1 or more
     * @param exponent 0, which makes them equally likely, or more
     */
    static DiscreteSampler of(UniformRandomProvider random, int numbers, double exponent) {
        return exponent == 0
                ? DiscreteUniformSampler.of(random, 1, numbers)
                : new ZipfSampler(random, numbers, exponent);
    }

    @Override
    public int sample() {
        while (true) {
            double area = highest + random.nextDouble() * (lowest - highest);
            double x = inverse(area);
            int number = Math.max(1, Math.min(numbers, (int) (x + 0.5)));
            if (number - x <= accepted || area >= integral(number + 0.5) - hat(number)) {
                return number;
            }
        }
    }

    /** The density x^-exponent, from which the numbers' probabilities follow. */
    private double hat(double x) {
        return StrictMath.exp(-exponent * StrictMath.log(x));
    }

    /** The integral of the density from 1 to x. */
    private double integral(double x) {
        double log = StrictMath.log(x);
        double power = (1 - exponent) * log;
        return log * (Math.abs(power) > SMALL ? StrictMath.expm1(power) / power : 1 + power / 2);
    }

    /** The x with this integral. */
    private double inverse(double area) {
        // Rounding must not lead below the range of the integral.
        double part = Math.max(-1, area * (1 - exponent));
        return StrictMath.exp(area * (Math.abs(part) > SMALL ? StrictMath.log1p(part) / part : 1 - part / 2));
    }
}
