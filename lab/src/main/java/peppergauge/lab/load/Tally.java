package peppergauge.lab.load;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** How the requests of a round ended. */
public final class Tally {

    private static final long MOST_NS = 120_000_000_000L;
    private static final int DIGITS = 3;

    private final Map<String, Integer> ends = new TreeMap<>();
    /** Of the requests that were served: a denial is fast, and would make a bad round look good. */
    private final Histogram latencies = new Histogram(MOST_NS, DIGITS);
    /** How late the generator itself was: the figures of a round are worth no more than this. */
    private final Histogram lags = new Histogram(MOST_NS, DIGITS);

    void ended(Ending ending, long latencyNs) {
        ends.merge(ending.how(), 1, Integer::sum);
        if (ending.served()) {
            note(latencies, latencyNs);
        }
    }

    void lag(long ns) {
        note(lags, ns);
    }

    private static void note(Histogram histogram, long ns) {
        histogram.recordValue(Math.max(0, Math.min(MOST_NS, ns)));
    }

    /** Adds another's counts. */
    public void add(Tally other) {
        other.ends.forEach((how, count) -> ends.merge(how, count, Integer::sum));
        latencies.add(other.latencies);
        lags.add(other.lags);
    }

    /** Counts by status, or by {@link Outcome}'s words. */
    public Map<String, Integer> ends() {
        return ends;
    }

    public int requests() {
        return ends.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** In ms, to three digits; not a number where nothing was served. */
    public double latencyMs(double percent) {
        return ms(latencies, percent);
    }

    /** In ms; not a number in the closed loop, which has no times to be late for. */
    public double lagMs(double percent) {
        return ms(lags, percent);
    }

    private static double ms(Histogram histogram, double percent) {
        return histogram.getTotalCount() == 0 ? Double.NaN : histogram.getValueAtPercentile(percent) / 1e6;
    }
}
