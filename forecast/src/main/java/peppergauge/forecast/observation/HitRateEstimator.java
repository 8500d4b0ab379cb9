package peppergauge.forecast.observation;

import java.util.List;
import peppergauge.forecast.observation.ObservedHitRate.Missing;

/**
 * Estimates a hit rate from three mean response times: of all responses, of sure hits and of sure misses. The rate is
 * the position of the first between the others, so that anything added to all responses (queueing, network) or
 * multiplying them cancels out.
 */
final class HitRateEstimator {

    /** Longest time for which a cache is assumed to retain a key. */
    static final double MAX_RETENTION_MS = 32_000;
    /**
     * Highest frequency of a key at a server, in {@link #MAX_RETENTION_MS}, at which its responses are used to estimate
     * the time of a miss.
     */
    static final double MAX_RARE_FREQUENCY = 1;

    static final long MIN_RESPONSES = 20;
    /** Minimum difference between the mean times of misses and hits, in standard errors. */
    private static final double MIN_SEPARATION = 5;

    /** Sums over the responses in a window, with fractions at its edges. */
    static final class Total {
        double count;
        double sum;
        double squares;

        void add(Total other, double part) {
            count += other.count * part;
            sum += other.sum * part;
            squares += other.squares * part;
        }

        double mean() {
            return sum / count;
        }

        double variance() {
            return Math.max(1e-9, squares / count - mean() * mean());
        }
    }

    /**
     * Responses of one key.
     *
     * @param frequency number of its requests to one server in {@link #MAX_RETENTION_MS}
     */
    record Key(double frequency, Total responses) {}

    private HitRateEstimator() {}

    static ObservedHitRate estimate(Total all, Total near, List<Key> keys) {
        if (!(all.count >= MIN_RESPONSES)) {
            return ObservedHitRate.unknown(Missing.ANSWERS);
        }
        if (!(near.count >= MIN_RESPONSES)) {
            return ObservedHitRate.unknown(Missing.SURE_HITS);
        }
        double[] missed = missTime(keys);
        if (missed == null) {
            return ObservedHitRate.unknown(Missing.SURE_MISSES);
        }
        double span = missed[0] - near.mean();
        double missedVariance = missed[1];
        double nearVariance = near.variance() / near.count;
        if (!(span > MIN_SEPARATION * Math.sqrt(missedVariance + nearVariance))) {
            return ObservedHitRate.unknown(Missing.SAVING);
        }
        double rate = (missed[0] - all.mean()) / span;
        double variance =
                ((1 - rate) * (1 - rate) * missedVariance + all.variance() / all.count + rate * rate * nearVariance)
                        / (span * span);
        return new ObservedHitRate(rate, Math.sqrt(variance), Missing.NOTHING);
    }

    /**
     * Returns mean and variance of the time of a miss: the intercept of a regression of rare keys' times by
     * frequency.
     */
    private static double[] missTime(List<Key> keys) {
        double w = 0;
        double x = 0;
        double xx = 0;
        double y = 0;
        double xy = 0;
        double squares = 0;
        for (Key key : keys) {
            if (key.frequency() <= MAX_RARE_FREQUENCY) {
                double n = key.responses().count;
                w += n;
                x += n * key.frequency();
                xx += n * key.frequency() * key.frequency();
                y += key.responses().sum;
                xy += key.responses().sum * key.frequency();
                squares += key.responses().squares;
            }
        }
        double across = w * xx - x * x;
        if (!(w >= MIN_RESPONSES) || !(across > 0)) {
            return null;
        }
        double variance = Math.max(1e-9, squares / w - y / w * (y / w));
        return new double[] {(xx * y - x * xy) / across, variance * xx / across};
    }
}
