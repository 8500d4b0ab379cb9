package peppergauge.lab.emulator;

import java.util.PriorityQueue;
import peppergauge.request.Scheduler;

/**
 * The clock and the queue of events. Events at one instant run in the order in which they were handed in.
 *
 * <p>Time is counted in ticks of 1/1024 ms, and waits are rounded up to them. All instants are then exact in a double,
 * so that nothing is ever a hair early: a module that is woken before the time that it asked for would do nothing.
 */
final class VirtualTime {

    private static final double TICKS_PER_MS = 1_024;
    /** What the clock shows at the start, ms: not 0, which as a server's start means that it was long ago. */
    static final double ORIGIN_MS = 1 << 20;
    /** Events at one instant after which it is taken for a loop without end. */
    static final int MOST_AT_ONCE = 2_000_000;
    /** Later than any run; a wait that is longer never ends. */
    private static final double FOREVER_MS = 1e12;

    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private long now;
    private long handedIn;
    private long run;
    private int atOnce;
    private boolean stopped;

    /** A task at an instant. */
    static final class Event implements Scheduler.ScheduledTask, Comparable<Event> {

        private final long tick;
        private final long number;
        /** Null once it ran or was taken back, so that what it holds can go before its instant comes. */
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

    /** Since the start, ms. */
    double elapsedMs() {
        return now / TICKS_PER_MS;
    }

    /** As sidecars see it, ms. */
    double nowMs() {
        return ORIGIN_MS + now / TICKS_PER_MS;
    }

    static long ticks(double ms) {
        return (long) Math.ceil(Math.min(FOREVER_MS, Math.max(0, ms)) * TICKS_PER_MS);
    }

    static double ms(long ticks) {
        return ticks / TICKS_PER_MS;
    }

    Event at(long tick, Runnable task) {
        Event event = new Event(Math.max(now, tick), handedIn++, task);
        queue.add(event);
        return event;
    }

    Event after(double ms, Runnable task) {
        return at(now + ticks(ms), task);
    }

    /** Ends {@link #runUntil} after the present event. */
    void stop() {
        stopped = true;
    }

    /** Events that have run. */
    long events() {
        return run;
    }

    /**
     * Runs events up to this one instant, included, and stops there.
     *
     * @throws IllegalStateException if an instant does not end
     */
    void runUntil(long last) {
        while (!stopped && !queue.isEmpty() && queue.peek().tick <= last) {
            Event event = queue.poll();
            Runnable task = event.task;
            if (task == null) {
                continue;
            }
            event.task = null;
            atOnce = event.tick == now ? atOnce + 1 : 0;
            if (atOnce > MOST_AT_ONCE) {
                throw new IllegalStateException("an instant with over " + MOST_AT_ONCE + " events");
            }
            now = event.tick;
            run++;
            task.run();
        }
        now = stopped ? now : Math.max(now, last);
    }
}
