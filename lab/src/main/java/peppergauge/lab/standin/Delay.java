package peppergauge.lab.standin;

import java.util.SplittableRandom;

/** How long a stand-in takes to answer: always the mean, or drawn from the exponential distribution around it. */
public record Delay(double meanMs, boolean exponential) {

    /** {@code 35} or {@code exp:35}, in ms. */
    public static Delay parse(String text) {
        boolean exponential = text.startsWith("exp:");
        double meanMs = Double.parseDouble(exponential ? text.substring(4) : text);
        if (!(meanMs >= 0 && meanMs < 60_000)) {
            throw new IllegalArgumentException("not a delay: " + text);
        }
        return new Delay(meanMs, exponential);
    }

    public long drawNs(SplittableRandom random) {
        return (long) (1e6 * (exponential ? exponential(random, meanMs) : meanMs));
    }

    public static double exponential(SplittableRandom random, double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    @Override
    public String toString() {
        return meanMs + " ms" + (exponential ? " by the exponential distribution" : "");
    }
}
