package peppergauge.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Suppresses the return of servers that depart repeatedly. Servers are identified by address. All times in
 * milliseconds.
 */
final class FlapDetector {

    /** Maximum number of recorded departures per address. */
    private static final int MAX_DEPARTURES = 16;

    private final MembershipConfig config;
    private final Map<String, Deque<Double>> departures = new HashMap<>();

    FlapDetector(MembershipConfig config) {
        this.config = config;
    }

    void onDeparture(String address, double nowMs) {
        Deque<Double> times = departures.computeIfAbsent(address, absent -> new ArrayDeque<>());
        times.add(nowMs);
        if (times.size() > MAX_DEPARTURES) {
            times.poll();
        }
        assert times.size() <= MAX_DEPARTURES : "departures are not bounded: " + times.size();
    }

    /** Returns the time until which the return of the server at this address is suppressed; 0 if it is not. */
    double suppressedUntilMs(String address, double nowMs) {
        Deque<Double> times = departures.get(address);
        if (times == null || !prune(times, nowMs) || times.size() < config.flapThreshold()) {
            return 0;
        }
        int excess = Math.min(MAX_DEPARTURES, times.size() - config.flapThreshold());
        double suppressionMs = Math.min(config.maxSuppressionMs(), config.initialSuppressionMs() * (1 << excess));
        return times.getLast() + suppressionMs;
    }

    /** Removes departures outside the flap window. */
    void prune(double nowMs) {
        departures.values().removeIf(times -> !prune(times, nowMs));
    }

    private boolean prune(Deque<Double> times, double nowMs) {
        while (!times.isEmpty() && times.peek() < nowMs - config.flapWindowMs()) {
            times.poll();
        }
        return !times.isEmpty();
    }
}
