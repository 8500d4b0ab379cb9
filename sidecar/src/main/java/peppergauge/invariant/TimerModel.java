package peppergauge.invariant;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import peppergauge.decision.LoadBalancer.ScheduleTimer;

/** The timers that are set and have neither fired nor been cancelled. */
final class TimerModel {

    private final Map<Long, ScheduleTimer> pending = new HashMap<>();
    private final PriorityQueue<ScheduleTimer> byTime =
            new PriorityQueue<>(Comparator.comparingDouble(ScheduleTimer::dueMs));
    /** Timers of discovery, which may outlive all requests. */
    private final Map<Long, ScheduleTimer> discoveryTimers = new HashMap<>();

    /** Adds a timer; false if its token is in use. */
    boolean add(ScheduleTimer timer, boolean isOfDiscovery) {
        byTime.add(timer);
        if (isOfDiscovery) {
            discoveryTimers.put(timer.token(), timer);
        }
        return pending.put(timer.token(), timer) == null;
    }

    /** Removes a timer that fired or was cancelled; false if it is not set. */
    boolean remove(long token) {
        discoveryTimers.remove(token);
        return pending.remove(token) != null;
    }

    /** Whether a timer is due that has not fired yet. */
    boolean hasDueTimer(double nowMs) {
        while (!byTime.isEmpty() && pending.get(byTime.peek().token()) != byTime.peek()) {
            byTime.poll();
        }
        return !byTime.isEmpty() && byTime.peek().dueMs() <= nowMs;
    }

    boolean hasRequestTimer() {
        return pending.size() > discoveryTimers.size();
    }
}
