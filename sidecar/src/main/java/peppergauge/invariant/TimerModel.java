package peppergauge.invariant;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import peppergauge.decision.LoadBalancer.ScheduleTimer;

/** Model of the pending timers: those that were set and have neither fired nor been cancelled. */
final class TimerModel {

    private final Map<Long, ScheduleTimer> pending = new HashMap<>();
    private final PriorityQueue<ScheduleTimer> byTime =
            new PriorityQueue<>(Comparator.comparingDouble(ScheduleTimer::dueMs));
    /** Timers of the endpoint watch, which may be pending without any request. */
    private final Map<Long, ScheduleTimer> discoveryTimers = new HashMap<>();

    /** Adds a timer; returns false if its token is in use. */
    boolean add(ScheduleTimer timer, boolean isDiscoveryTimer) {
        byTime.add(timer);
        if (isDiscoveryTimer) {
            discoveryTimers.put(timer.token(), timer);
        }
        return pending.put(timer.token(), timer) == null;
    }

    /** Removes a timer that fired or was cancelled; returns false if it was not pending. */
    boolean remove(long token) {
        discoveryTimers.remove(token);
        return pending.remove(token) != null;
    }

    /** Whether a timer is due but has not fired yet. */
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
