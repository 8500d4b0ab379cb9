package peppergauge.decision;

/** Mixes the bits of a 64-bit value into a uniformly distributed hash, with the finalizer of SplitMix64. */
final class HashMixer {

    private HashMixer() {}

    static long mix(long bits) {
        long z = (bits ^ bits >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
