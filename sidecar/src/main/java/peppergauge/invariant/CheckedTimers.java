package peppergauge.invariant;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import peppergauge.decision.LoadBalancer.ScheduleTimer;

/** The timers that are set and not due or taken back yet. */
final class CheckedTimers {

    private final Map<Long, ScheduleTimer> set = new HashMap<>();
    private final PriorityQueue<ScheduleTimer> byTime =
            new PriorityQueue<>(Comparator.comparingDouble(ScheduleTimer::dueMs));
    /** Set by news of the list: they are discovery's, and outlive all sessions. */
    private final Map<Long, ScheduleTimer> ofDiscovery = new HashMap<>();

    /** False if the token is in use. */
    boolean set(ScheduleTimer timer, boolean discovery) {
        byTime.add(timer);
        if (discovery) {
            ofDiscovery.put(timer.token(), timer);
        }
        return set.put(timer.token(), timer) == null;
    }

    /** False if no such timer is set. */
    boolean over(long token) {
        ofDiscovery.remove(token);
        return set.remove(token) != null;
    }

    /** Whether one is due that its host has not delivered yet. */
    boolean anyDue(double nowMs) {
        while (!byTime.isEmpty() && set.get(byTime.peek().token()) != byTime.peek()) {
            byTime.poll();
        }
        return !byTime.isEmpty() && byTime.peek().dueMs() <= nowMs;
    }

    boolean anyOfSessions() {
        return set.size() > ofDiscovery.size();
    }
}
