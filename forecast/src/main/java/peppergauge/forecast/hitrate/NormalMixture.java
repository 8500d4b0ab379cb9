package peppergauge.forecast.hitrate;

import peppergauge.forecast.distribution.StandardNormal;

/** Mean and 90% interval of a mixture of normal distributions. */
final class NormalMixture {

    private static final double LOW_QUANTILE = 0.05;
    private static final double HIGH_QUANTILE = 0.95;
    private static final int BISECTIONS = 30;

    private NormalMixture() {}

    /**
     * Returns the mixture as a hit rate.
     *
     * @param weights of the components; sum to 1
     * @param means of the components
     * @param errors standard deviations of the components
     */
    static HitRate hitRate(double[] weights, double[] means, double[] errors) {
        double mean = 0;
        for (int i = 0; i < means.length; i++) {
            mean += weights[i] * means[i];
        }
        double low = quantile(weights, means, errors, LOW_QUANTILE);
        double high = quantile(weights, means, errors, HIGH_QUANTILE);
        return new HitRate(mean, Math.max(0, Math.min(mean, low)), Math.min(1, Math.max(mean, high)));
    }

    private static double quantile(double[] weights, double[] means, double[] errors, double share) {
        double low = -1;
        double high = 2;
        for (int i = 0; i < BISECTIONS; i++) {
            double mid = (low + high) / 2;
            double below = 0;
            for (int j = 0; j < means.length; j++) {
                below += weights[j] * StandardNormal.cumulativeProbability((mid - means[j]) / errors[j]);
            }
            if (below < share) {
                low = mid;
            } else {
                high = mid;
            }
        }
        return low;
    }
}
