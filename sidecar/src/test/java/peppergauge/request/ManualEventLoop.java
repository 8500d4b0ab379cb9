package peppergauge.request;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;

/** An event loop and its clock in virtual time; runs tasks when a test asks for it. */
public class ManualEventLoop extends Clock implements Scheduler {

    public final Deque<Runnable> tasks = new ArrayDeque<>();
    private final PriorityQueue<TimedTask> scheduled =
            new PriorityQueue<>(Comparator.comparingDouble(each -> each.dueMs));
    private double nowMs;

    public ManualEventLoop(double nowMs) {
        super(0);
        this.nowMs = nowMs;
    }

    private static final class TimedTask implements ScheduledTask, Runnable {

        private final double dueMs;
        private Runnable task;

        TimedTask(double atMs, Runnable task) {
            this.dueMs = atMs;
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
        TimedTask due = new TimedTask(nowMs + Math.max(0, ms), task);
        scheduled.add(due);
        return due;
    }

    /** Advances the time to the first task due by then and returns it; returns null at {@code untilMs}. */
    public final Runnable advanceToNextTask(double untilMs) {
        boolean some = !scheduled.isEmpty() && scheduled.peek().dueMs <= untilMs;
        nowMs = some ? Math.max(nowMs, scheduled.peek().dueMs) : untilMs;
        return some ? scheduled.poll() : null;
    }

    /** Runs all submitted tasks, and those that they submit. */
    public final void runTasks() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
    }
}
