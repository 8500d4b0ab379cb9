package peppergauge.request;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;

/** A program's loop and its clock in virtual time: what it has to do is done when a test says so. */
public class HandLoop extends Clock implements Scheduler {

    public final Deque<Runnable> tasks = new ArrayDeque<>();
    private final PriorityQueue<Due> waits = new PriorityQueue<>(Comparator.comparingDouble(each -> each.atMs));
    private double nowMs;

    public HandLoop(double nowMs) {
        super(0);
        this.nowMs = nowMs;
    }

    private static final class Due implements ScheduledTask, Runnable {

        private final double atMs;
        private Runnable task;

        Due(double atMs, Runnable task) {
            this.atMs = atMs;
            this.task = task;
        }

        @Override
        public void run() {
            task.run();
        }

        @Override
        public void cancel() {
            task = () -> {};
        }
    }

    @Override
    public final double nowMs() {
        return nowMs;
    }

    @Override
    public final void execute(Runnable task) {
        tasks.add(task);
    }

    @Override
    public final ScheduledTask schedule(double ms, Runnable task) {
        Due due = new Due(nowMs + Math.max(0, ms), task);
        waits.add(due);
        return due;
    }

    /** Time passes to the first wait that is due by then: what is to be done there, or null once it is then. */
    public final Runnable due(double untilMs) {
        boolean some = !waits.isEmpty() && waits.peek().atMs <= untilMs;
        nowMs = some ? Math.max(nowMs, waits.peek().atMs) : untilMs;
        return some ? waits.poll() : null;
    }

    /** All tasks, and those that they bring. */
    public final void runTasks() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
    }
}
