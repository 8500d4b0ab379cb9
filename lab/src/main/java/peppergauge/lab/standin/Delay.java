package peppergauge.lab.standin;

import java.util.SplittableRandom;

/** The time that a stand-in takes to answer, either constant or exponentially distributed. */
public record Delay(double meanMs, boolean exponential) {

    /**
     * Parses {@code 35} or {@code exp:35}, in ms.
     *
     * @throws IllegalArgumentException if the text is malformed or the delay is not below a minute
     */
    public static Delay parse(String text) {
        boolean exponential = text.startsWith("exp:");
        double meanMs = Double.parseDouble(exponential ? text.substring(4) : text);
        if (!(meanMs >= 0 && meanMs < 60_000)) {
            throw new IllegalArgumentException(
                    "expected a delay from 0 to under 60000 ms, such as 35 or exp:35, got " + text);
        }
        return new Delay(meanMs, exponential);
    }

    /** Draws a delay, in ns. */
    public long drawNs(SplittableRandom random) {
        return (long) (1e6 * (exponential ? exponential(random, meanMs) : meanMs));
    }

    /** Draws from the exponential distribution with this mean. */
    public static double exponential(SplittableRandom random, double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    @Override
    public String toString() {
        return meanMs + " ms" + (exponential ? " by the exponential distribution" : "");
    }
}
