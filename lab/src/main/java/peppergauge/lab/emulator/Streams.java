package peppergauge.lab.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random numbers: a stream of its own for each purpose and entity, made from the run's seed and its name. So one draw
 * more in one place moves nothing elsewhere, and no stream depends on which was asked for first.
 */
record Streams(long seed) {

    UniformRandomProvider of(String name) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {number(name), number(name + '\'')});
    }

    /** A seed of its own for what has its own generator. */
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

    /** Exponential with mean 1; StrictMath, since Math may differ in the last bit from machine to machine. */
    static double exponential(UniformRandomProvider random) {
        return -StrictMath.log(1 - random.nextDouble());
    }

    /** Lognormal with this mean and spread (standard deviation over mean). */
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
