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
 * One thread with a selector and timers. Under load it never sleeps: a selector waits in whole milliseconds, and
 * sends in step with these would reach the sidecar in batches, which cost it less than requests that come one by one.
 */
public final class Loop implements Closeable {

    /** Who is told of a channel; called on the loop's thread only. */
    public interface Handler {

        void ready(SelectionKey key) throws IOException;

        /** The channel failed, and has been closed. */
        void broken();
    }

    private record Timer(long atNs, Runnable task) {}

    private static final long MS = 1_000_000;
    private static final long LONGEST_WAIT_MS = 500;
    /**
     * With a timer due this soon the thread keeps its CPU. One that sleeps is woken up to 3 ms late on a virtual
     * machine, and this showed as the sidecar's p99.
     */
    private static final long AWAKE_NS = 20 * MS;

    private final long awakeNs;
    private final Selector selector;
    /** By difference, since the clock may pass from the largest number to the smallest. */
    private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> Long.signum(a.atNs - b.atNs));

    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final Thread thread;
    private volatile boolean closed;

    /** @throws IOException if no selector can be had */
    public Loop(String name) throws IOException {
        this(name, AWAKE_NS);
    }

    private Loop(String name, long awakeNs) throws IOException {
        this.awakeNs = awakeNs;
        selector = Selector.open();
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    /**
     * One that sleeps between its tasks and is up to some ms late: for where many processes share few CPUs.
     *
     * @throws IOException if no selector can be had
     */
    public static Loop sleeping(String name) throws IOException {
        return new Loop(name, 0);
    }

    /** Who is told of what a task or handler throws, which ends the loop; to be called before the start. */
    public void onFailure(Consumer<Throwable> failed) {
        thread.setUncaughtExceptionHandler((ended, thrown) -> failed.accept(thrown));
    }

    /** The tasks that were posted before run first. */
    public void start() {
        thread.start();
    }

    /** Runs a task on the loop's thread; the only method for other threads. */
    public void post(Runnable task) {
        posted.add(task);
        selector.wakeup();
    }

    /** Runs a task at a time of System.nanoTime, or soon after; for the loop's thread only. */
    public void at(long atNs, Runnable task) {
        timers.add(new Timer(atNs, task));
    }

    /**
     * From now on the handler is told of the channel.
     *
     * @throws IOException if the channel is closed
     */
    public SelectionKey register(SelectableChannel channel, int interest, Handler handler) throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, interest, handler);
    }

    /** A registered channel's key, or null. */
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
        // Who sleeps rounds up: a wait of less than a millisecond would else be a busy loop.
        long waitMs = Math.min(LONGEST_WAIT_MS, awakeNs > 0 ? (waitNs - awakeNs) / MS : (waitNs + MS - 1) / MS);
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
            // It is gone either way.
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
