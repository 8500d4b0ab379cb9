package peppergauge.request;

/** Runs tasks on another scheduler until it is closed; tasks that are due after that are dropped. Thread-safe. */
final class ClosableScheduler implements Scheduler {

    private final Scheduler delegate;
    private volatile boolean closed;

    ClosableScheduler(Scheduler delegate) {
        this.delegate = delegate;
    }

    @Override
    public void execute(Runnable task) {
        delegate.execute(() -> runUnlessClosed(task));
    }

    @Override
    public ScheduledTask schedule(double delayMs, Runnable task) {
        return delegate.schedule(delayMs, () -> runUnlessClosed(task));
    }

    void close() {
        closed = true;
    }

    private void runUnlessClosed(Runnable task) {
        if (!closed) {
            task.run();
        }
    }
}
