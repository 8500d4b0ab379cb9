package peppergauge.lab.load;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts how the requests of a round ended, with their latencies. */
public final class Tally {

    private static final long MAX_RECORDED_NS = 120_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Map<String, Integer> ends = new TreeMap<>();
    /** Latencies of served requests only, since fast rejections would make a bad round look good. */
    private final Histogram latencies = new Histogram(MAX_RECORDED_NS, SIGNIFICANT_DIGITS);
    /** Lateness of the generator itself, which bounds the accuracy of a round's figures. */
    private final Histogram lags = new Histogram(MAX_RECORDED_NS, SIGNIFICANT_DIGITS);

    void ended(RequestOutcome ending, long latencyNs) {
        ends.merge(ending.how(), 1, Integer::sum);
        if (ending.served()) {
            note(latencies, latencyNs);
        }
    }

    void lag(long ns) {
        note(lags, ns);
    }

    private static void note(Histogram histogram, long ns) {
        histogram.recordValue(Math.max(0, Math.min(MAX_RECORDED_NS, ns)));
    }

    /** Adds the counts of another tally. */
    public void add(Tally other) {
        other.ends.forEach((how, count) -> ends.merge(how, count, Integer::sum));
        latencies.add(other.latencies);
        lags.add(other.lags);
    }

    /** Returns the counts by status code or by constants of {@link RequestOutcome}. */
    public Map<String, Integer> ends() {
        return ends;
    }

    /** Returns the number of requests that ended. */
    public int requests() {
        return ends.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns a percentile of the latency in ms, to three digits; NaN if no request was served. */
    public double latencyMs(double percent) {
        return ms(latencies, percent);
    }

    /** Returns a percentile of the generator's lateness in ms; NaN in the closed loop, which has no arrival times. */
    public double lagMs(double percent) {
        return ms(lags, percent);
    }

    private static double ms(Histogram histogram, double percent) {
        return histogram.getTotalCount() == 0 ? Double.NaN : histogram.getValueAtPercentile(percent) / 1e6;
    }
}
