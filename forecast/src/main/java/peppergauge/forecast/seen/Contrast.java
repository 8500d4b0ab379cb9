package peppergauge.forecast.seen;

import java.util.List;
import peppergauge.forecast.seen.Seen.Lack;

/**
 * The hit rate from three mean times: of all answers, of sure hits and of sure misses. It is how far all lie between
 * the two. Whatever is added to every answer (waiting, the way there) or multiplies it (a slow hour, other units) falls
 * out.
 */
final class Contrast {

    /** The longest that a memory is thought to keep a key: no inference, a bound. */
    static final double LONGEST_MS = 32_000;
    /** Keys that come to a server less often than this in that time show what a miss takes, in the limit of none. */
    static final double RARE = 1;

    static final long LEAST = 20;
    /** Standard errors by which misses have to take longer than hits. */
    private static final double CLEAR = 5;

    /** Answers in the window, with fractions of those at its edges. */
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

    /** @param often how many times it comes to one server in {@link #LONGEST_MS} */
    record Key(double often, Total answers) {}

    private Contrast() {}

    static Seen of(Total all, Total near, List<Key> keys) {
        if (!(all.count >= LEAST)) {
            return Seen.no(Lack.ANSWERS);
        }
        if (!(near.count >= LEAST)) {
            return Seen.no(Lack.SURE_HITS);
        }
        double[] missed = missed(keys);
        if (missed == null) {
            return Seen.no(Lack.SURE_MISSES);
        }
        double span = missed[0] - near.mean();
        double missedVariance = missed[1];
        double nearVariance = near.variance() / near.count;
        if (!(span > CLEAR * Math.sqrt(missedVariance + nearVariance))) {
            return Seen.no(Lack.SAVING);
        }
        double rate = (missed[0] - all.mean()) / span;
        double variance =
                ((1 - rate) * (1 - rate) * missedVariance + all.variance() / all.count + rate * rate * nearVariance)
                        / (span * span);
        return new Seen(rate, Math.sqrt(variance), Lack.NOTHING);
    }

    /** Mean time of a miss and its variance: where a line through rare keys' times by how often they come meets 0. */
    private static double[] missed(List<Key> keys) {
        double w = 0;
        double x = 0;
        double xx = 0;
        double y = 0;
        double xy = 0;
        double squares = 0;
        for (Key key : keys) {
            if (key.often() <= RARE) {
                double n = key.answers().count;
                w += n;
                x += n * key.often();
                xx += n * key.often() * key.often();
                y += key.answers().sum;
                xy += key.answers().sum * key.often();
                squares += key.answers().squares;
            }
        }
        double across = w * xx - x * x;
        if (!(w >= LEAST) || !(across > 0)) {
            return null;
        }
        double variance = Math.max(1e-9, squares / w - y / w * (y / w));
        return new double[] {(xx * y - x * xy) / across, variance * xx / across};
    }
}
