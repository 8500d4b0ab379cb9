package peppergauge.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** Remembers departures by address. Guards against a server that comes and goes and is sent to each time it comes. */
final class Flapping {

    private static final int MOST_REMEMBERED = 16;

    private final Policy policy;
    private final Map<String, Deque<Double>> departures = new HashMap<>();

    Flapping(Policy policy) {
        this.policy = policy;
    }

    void left(String address, double nowMs) {
        Deque<Double> times = departures.computeIfAbsent(address, fresh -> new ArrayDeque<>());
        times.add(nowMs);
        if (times.size() > MOST_REMEMBERED) {
            times.poll();
        }
        assert times.size() <= MOST_REMEMBERED : "departures are kept without bound: " + times.size();
    }

    /** Until when a return is held up, ms; 0 if it is not. */
    double heldUntilMs(String address, double nowMs) {
        Deque<Double> times = departures.get(address);
        if (times == null || !prune(times, nowMs) || times.size() < policy.flaps()) {
            return 0;
        }
        int beyond = Math.min(MOST_REMEMBERED, times.size() - policy.flaps());
        return times.getLast() + Math.min(policy.longestHoldMs(), policy.firstHoldMs() * (1 << beyond));
    }

    /** Forgets what is too old to count. */
    void prune(double nowMs) {
        departures.values().removeIf(times -> !prune(times, nowMs));
    }

    private boolean prune(Deque<Double> times, double nowMs) {
        while (!times.isEmpty() && times.peek() < nowMs - policy.flapWindowMs()) {
            times.poll();
        }
        return !times.isEmpty();
    }
}
