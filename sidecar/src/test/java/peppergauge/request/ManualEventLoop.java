package peppergauge.request;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;

/** An event loop with a clock in virtual time, which runs tasks on request of a test. */
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

        TimedTask(double dueMs, Runnable task) {
            this.dueMs = dueMs;
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
    public final ScheduledTask schedule(double delayMs, Runnable task) {
        TimedTask timedTask = new TimedTask(nowMs + Math.max(0, delayMs), task);
        scheduled.add(timedTask);
        return timedTask;
    }

    /**
     * Advances the time to the first task that is due by {@code untilMs} and returns the task. If there is none,
     * advances the time to {@code untilMs} and returns null.
     */
    public final Runnable advanceToNextTask(double untilMs) {
        boolean hasDueTask = !scheduled.isEmpty() && scheduled.peek().dueMs <= untilMs;
        nowMs = hasDueTask ? Math.max(nowMs, scheduled.peek().dueMs) : untilMs;
        return hasDueTask ? scheduled.poll() : null;
    }

    /** Runs all submitted tasks, and those that they submit. */
    public final void runTasks() {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
    }
}
