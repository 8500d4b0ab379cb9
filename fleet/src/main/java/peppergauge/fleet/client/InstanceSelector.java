package peppergauge.fleet.client;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;

/** Selects the instance to call, and the delay until the next call. Not thread-safe. */
final class InstanceSelector {

    private static final double JITTER = 0.2;
    /** Longest delay in the first round of failures, and base of the backoff in later rounds, ms. */
    private static final long BASE_BACKOFF_MS = 1_000;

    private static final int MAX_DOUBLINGS = 20;

    private final List<String> order;
    private final long maxIntervalMs;
    private final Random random;
    private int index;
    private int failures;

    /** @param random generator with another seed in each daemon, so that daemons spread over the instances */
    InstanceSelector(List<String> addresses, long maxIntervalMs, Random random) {
        order = new ArrayList<>(addresses);
        Collections.shuffle(order, random);
        this.maxIntervalMs = maxIntervalMs;
        this.random = random;
    }

    /** Returns the address of the selected instance. */
    String current() {
        return order.get(index);
    }

    /** Returns the delay until the next call in ms: the interval, with jitter. */
    long onSuccess(long intervalMs) {
        failures = 0;
        return jitter(Math.min(maxIntervalMs, intervalMs), random);
    }

    /**
     * Selects the next instance. In the first round delays are short, since other instances may be up; afterwards the
     * backoff doubles with each round.
     *
     * @return the delay until the next call, ms
     */
    long onFailure(long intervalMs) {
        index = (index + 1) % order.size();
        failures++;
        int rounds = failures / order.size();
        double base = Math.min(BASE_BACKOFF_MS, intervalMs);
        double factor = Math.pow(2, Math.min(rounds, MAX_DOUBLINGS));
        double maxDelayMs = rounds == 0 ? base : Math.min(maxIntervalMs, base * factor);
        return (long) (maxDelayMs * (0.5 + random.nextDouble() / 2));
    }

    static long jitter(long intervalMs, RandomGenerator random) {
        return (long) (intervalMs * (1 - JITTER + 2 * JITTER * random.nextDouble()));
    }
}
