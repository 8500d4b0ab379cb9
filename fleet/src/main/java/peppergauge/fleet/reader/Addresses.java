package peppergauge.fleet.reader;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;

/** Which instance is asked, and after how long. Decides only. */
final class Addresses {

    private static final double SPREAD = 0.2;

    private final List<String> order;
    private final long longestMs;
    private final Random random;
    private int at;
    private int failures;

    /** @param random its own in each daemon: else all keep to the same instance, and leave it together */
    Addresses(List<String> addresses, long longestMs, Random random) {
        order = new ArrayList<>(addresses);
        Collections.shuffle(order, random);
        this.longestMs = longestMs;
        this.random = random;
    }

    String present() {
        return order.get(at);
    }

    /** Drawn round the interval, so that daemons that were told together do not speak together. @return ms */
    long worked(long intervalMs) {
        failures = 0;
        return spread(Math.min(longestMs, intervalMs), random);
    }

    /**
     * The next one's turn. The first round goes by quickly, for the others may well be there; then the wait doubles.
     *
     * @return ms
     */
    long failed(long intervalMs) {
        at = (at + 1) % order.size();
        failures++;
        int rounds = failures / order.size();
        double most = rounds == 0
                ? Math.min(1_000, intervalMs)
                : Math.min(longestMs, Math.min(1_000, intervalMs) * Math.pow(2, Math.min(rounds, 20)));
        return (long) (most * (0.5 + random.nextDouble() / 2));
    }

    static long spread(long intervalMs, RandomGenerator random) {
        return (long) (intervalMs * (1 - SPREAD + 2 * SPREAD * random.nextDouble()));
    }
}
