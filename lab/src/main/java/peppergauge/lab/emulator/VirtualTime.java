package peppergauge.lab.emulator;

import java.util.PriorityQueue;
import peppergauge.request.Scheduler;

/**
 * Virtual clock and event queue. Events at the same instant run in the order in which they were scheduled.
 *
 * <p>Time is counted in ticks of 1/1024 ms, and delays are rounded up to ticks. All instants are then exact in a
 * double, so that no timer fires early: a load balancer that is woken before the time it requested would do nothing.
 */
final class VirtualTime {

    private static final double TICKS_PER_MS = 1_024;
    /** Clock reading at the start; not 0, since a start time of 0 means that a server started long ago. */
    static final double ORIGIN_MS = 1 << 20;
    /** Maximum number of consecutive events at one instant; more are considered an endless loop. */
    static final int MAX_EVENTS_AT_ONE_INSTANT = 2_000_000;
    /** Maximum delay, longer than any run. */
    private static final double MAX_DELAY_MS = 1e12;

    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private long now;
    private long scheduledEvents;
    private long run;
    private int eventsAtInstant;
    private boolean stopped;

    /** A scheduled task. */
    static final class Event implements Scheduler.ScheduledTask, Comparable<Event> {

        private final long tick;
        private final long number;
        /** Null after execution or cancellation, so that a cancelled task can be garbage collected before it is due. */
        private Runnable task;

        private Event(long tick, long number, Runnable task) {
            this.tick = tick;
            this.number = number;
            this.task = task;
        }

        @Override
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Event other) {
            return tick != other.tick ? Long.compare(tick, other.tick) : Long.compare(number, other.number);
        }
    }

    long now() {
        return now;
    }

    /** Time since the start of the run. */
    double elapsedMs() {
        return now / TICKS_PER_MS;
    }

    /** Time on the sidecars' clock. */
    double nowMs() {
        return ORIGIN_MS + now / TICKS_PER_MS;
    }

    static long ticks(double ms) {
        return (long) Math.ceil(Math.min(MAX_DELAY_MS, Math.max(0, ms)) * TICKS_PER_MS);
    }

    static double ms(long ticks) {
        return ticks / TICKS_PER_MS;
    }

    Event at(long tick, Runnable task) {
        Event event = new Event(Math.max(now, tick), scheduledEvents++, task);
        queue.add(event);
        return event;
    }

    Event after(double ms, Runnable task) {
        return at(now + ticks(ms), task);
    }

    /** Ends {@link #runUntil} after the current event. */
    void stop() {
        stopped = true;
    }

    /** Number of events that have run. */
    long events() {
        return run;
    }

    /**
     * Runs all events up to and including an instant.
     *
     * @throws IllegalStateException if events at one instant do not end
     */
    void runUntil(long last) {
        while (!stopped && !queue.isEmpty() && queue.peek().tick <= last) {
            Event event = queue.poll();
            Runnable task = event.task;
            if (task == null) {
                continue;
            }
            event.task = null;
            eventsAtInstant = event.tick == now ? eventsAtInstant + 1 : 0;
            if (eventsAtInstant > MAX_EVENTS_AT_ONE_INSTANT) {
                throw new IllegalStateException("over " + MAX_EVENTS_AT_ONE_INSTANT + " events at one instant");
            }
            now = event.tick;
            run++;
            task.run();
        }
        now = stopped ? now : Math.max(now, last);
    }
}
