package peppergauge.lab.flood;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The result of a run.
 *
 * @param exchanges the usual clients' requests
 * @param peakRssKb peak resident memory of the sidecar, KiB
 * @param alive whether the sidecar runs at the end
 * @param sentBytes what the flood has sent, and {@code readBytes} what it has read
 */
public record FloodOutcome(
        FloodPlan plan,
        List<UsualClient.Exchange> exchanges,
        long peakRssKb,
        boolean alive,
        long sentBytes,
        long readBytes,
        String log) {

    /** A response may come this long after its deadline. */
    private static final double DEADLINE_SLACK_MS = 500;
    /** Share of usual requests that are served beside a flood that causes no work of servers. */
    private static final double MIN_SERVED = 0.9;
    /** Share of usual requests that are served beside a flood that does. */
    private static final double MIN_SERVED_BESIDE_REQUESTS = 0.5;

    private static final long MEMORY_LIMIT_KB = 192 * 1024;
    private static final int MIN_REQUESTS = 10;

    /** Number of usual requests that were served. */
    public long served() {
        return count(UsualClient.End.SERVED);
    }

    private long count(UsualClient.End end) {
        return exchanges.stream().filter(exchange -> exchange.end() == end).count();
    }

    /** The longest time to a response, ms. */
    public double worstMs() {
        return exchanges.stream()
                .mapToDouble(UsualClient.Exchange::tookMs)
                .max()
                .orElse(0);
    }

    /** Number of usual requests without a response by their deadline and the slack after it. */
    public long late() {
        return exchanges.stream()
                .filter(exchange -> exchange.end() == UsualClient.End.CLOSED
                        || exchange.end() == UsualClient.End.UNANSWERED
                        || exchange.tookMs() > UsualClient.DEADLINE_MS + DEADLINE_SLACK_MS)
                .count();
    }

    /** Returns what is not as it must be, a text each. */
    public List<String> violations() {
        List<String> found = new ArrayList<>();
        if (!alive) {
            found.add("the process has ended");
        }
        if (peakRssKb >= MEMORY_LIMIT_KB) {
            found.add("peak memory " + peakRssKb + " KiB");
        }
        if (late() > 0) {
            found.add(late() + " requests without a response in time");
        }
        double minServed = plan.kind().usesServers() ? MIN_SERVED_BESIDE_REQUESTS : MIN_SERVED;
        if (exchanges.size() < MIN_REQUESTS || served() < minServed * exchanges.size()) {
            found.add("served " + served() + " of " + exchanges.size());
        }
        return found;
    }

    @Override
    public String toString() {
        return plan
                + String.format(
                        Locale.ROOT,
                        " sent_mb=%.1f read_mb=%.1f peak_rss_mb=%d usual=%d served=%d rejected=%d worst_ms=%.0f ",
                        sentBytes / 1e6,
                        readBytes / 1e6,
                        peakRssKb / 1024,
                        exchanges.size(),
                        served(),
                        count(UsualClient.End.REJECTED),
                        worstMs())
                + (violations().isEmpty() ? "passed" : "violations=" + violations());
    }
}
