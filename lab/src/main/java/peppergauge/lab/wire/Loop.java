package peppergauge.lab.wire;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;

/**
 * An event loop: one thread with a selector and timers. Under load it does not sleep. A selector waits in whole
 * milliseconds, which would send requests to the sidecar in batches, and a batch costs it less than single requests.
 */
public final class Loop implements Closeable {

    /** Handles the events of a channel. Called on the loop's thread only. */
    public interface Handler {

        /** The channel is ready for an operation; an exception closes it and calls {@link #broken}. */
        void ready(SelectionKey key) throws IOException;

        /** The channel failed, and has been closed. */
        void broken();
    }

    private record Timer(long atNs, Runnable task) {}

    private static final long MS = 1_000_000;
    private static final long LONGEST_WAIT_MS = 500;
    /**
     * The thread busy-waits while a timer is due within this time. A sleeping thread wakes up to 3 ms late on a virtual
     * machine, which distorted the sidecar's p99.
     */
    private static final long BUSY_WAIT_NS = 20 * MS;

    private final long busyWaitNs;
    private final Selector selector;
    /** Ordered by the difference of times, since System.nanoTime may overflow. */
    private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> Long.signum(a.atNs - b.atNs));

    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final Thread thread;
    private volatile boolean closed;

    /** @throws IOException if no selector can be opened */
    public Loop(String name) throws IOException {
        this(name, BUSY_WAIT_NS);
    }

    private Loop(String name, long busyWaitNs) throws IOException {
        this.busyWaitNs = busyWaitNs;
        selector = Selector.open();
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    /**
     * Creates a loop that sleeps between its tasks and may be some ms late, for hosts where many processes share few
     * CPUs.
     *
     * @throws IOException if no selector can be opened
     */
    public static Loop sleeping(String name) throws IOException {
        return new Loop(name, 0);
    }

    /** Sets the handler of exceptions from tasks and handlers, which end the loop. To be called before the start. */
    public void onFailure(Consumer<Throwable> failed) {
        thread.setUncaughtExceptionHandler((ended, thrown) -> failed.accept(thrown));
    }

    /** Starts the thread; tasks that were posted before run first. */
    public void start() {
        thread.start();
    }

    /** Runs a task on the loop's thread. May be called by any thread. */
    public void post(Runnable task) {
        posted.add(task);
        selector.wakeup();
    }

    /** Runs a task at a time of System.nanoTime, or soon after. For the loop's thread only. */
    public void at(long atNs, Runnable task) {
        timers.add(new Timer(atNs, task));
    }

    /**
     * Registers a channel and its handler.
     *
     * @throws IOException if the channel is closed
     */
    public SelectionKey register(SelectableChannel channel, int interest, Handler handler) throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, interest, handler);
    }

    /** Returns a registered channel's key, or null. */
    public SelectionKey key(SelectableChannel channel) {
        return channel.keyFor(selector);
    }

    private void run() {
        try {
            while (!closed) {
                for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
                    task.run();
                }
                while (!timers.isEmpty() && timers.peek().atNs - System.nanoTime() <= 0) {
                    timers.poll().task.run();
                }
                select();
            }
        } catch (IOException failed) {
            throw new UncheckedIOException(failed);
        }
    }

    private void select() throws IOException {
        long waitNs = timers.isEmpty() ? LONGEST_WAIT_MS * MS : timers.peek().atNs - System.nanoTime();
        // A sleeping loop rounds up, since a wait of less than a millisecond would be a busy loop.
        long waitMs = Math.min(LONGEST_WAIT_MS, busyWaitNs > 0 ? (waitNs - busyWaitNs) / MS : (waitNs + MS - 1) / MS);
        if (waitMs > 0) {
            selector.select(Loop::serve, waitMs);
        } else {
            Thread.onSpinWait();
            selector.selectNow(Loop::serve);
        }
    }

    private static void serve(SelectionKey key) {
        Handler handler = (Handler) key.attachment();
        try {
            handler.ready(key);
        } catch (IOException | CancelledKeyException failed) {
            close(key);
            handler.broken();
        }
    }

    private static void close(SelectionKey key) {
        try {
            key.channel().close();
        } catch (IOException failed) {
            // The channel is closed even if close() fails.
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join(1_000);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        if (selector.isOpen()) {
            selector.keys().forEach(Loop::close);
            selector.close();
        }
    }
}
