package peppergauge.lab.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random number streams, one for each purpose and entity, derived from the run's seed and the stream's name. Additional
 * draws from one stream do not affect others, and streams do not depend on the order of their creation.
 */
record RandomStreams(long seed) {

    /** A new generator for the stream of this name. */
    UniformRandomProvider of(String name) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {number(name), number(name + '\'')});
    }

    /** A seed, derived from a name, for components with their own generator. */
    long number(String name) {
        long mixed = mix(seed + 0x9E3779B97F4A7C15L);
        for (int i = 0; i < name.length(); i++) {
            mixed = mix(mixed ^ name.charAt(i)) + 0x9E3779B97F4A7C15L;
        }
        return mix(mixed);
    }

    /** Finaliser of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014). */
    private static long mix(long bits) {
        long z = (bits ^ bits >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    /** Exponential variate with mean 1. Uses StrictMath, since Math may differ in the last bit between machines. */
    static double exponential(UniformRandomProvider random) {
        return -StrictMath.log(1 - random.nextDouble());
    }

    /** Lognormal variate with this mean and coefficient of variation. */
    static double spread(UniformRandomProvider random, double mean, double spread) {
        if (spread <= 0) {
            return mean;
        }
        double variance = StrictMath.log(1 + spread * spread);
        double normal = StrictMath.sqrt(-2 * StrictMath.log(1 - random.nextDouble()))
                * StrictMath.cos(2 * StrictMath.PI * random.nextDouble());
        return mean * StrictMath.exp(StrictMath.sqrt(variance) * normal - variance / 2);
    }
}
