package peppergauge.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedSelectorException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.Host;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorMetricsListener;
import org.apache.hc.core5.reactor.IOReactorShutdownException;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import peppergauge.log.Log;
import peppergauge.request.Scheduler;

/**
 * The one thread that owns all sockets, the sessions and the module: an HttpCore reactor with one worker. In each round
 * it selects, handles what came in, and then runs the tasks that were handed in, which is the queue through which
 * socket code reaches the module. What these write goes out at the end of the round ({@link EventLoopSession}).
 *
 * <p>Guards against what half a core cannot pay for: with a thread each for clients, for the module and for backend
 * servers a session cost four switches between threads, and each hand-over a wake-up by a system call.
 *
 * <p>Two more threads hardly ever run: HttpCore's listener, which accepts, and the timers', which hands a task in when
 * its wait is over.
 */
public final class EventLoop implements Scheduler {

    /** HttpCore looks at its time-outs once in this time; its own second would make 200 ms of connecting 1 s. */
    public static final double SELECT_INTERVAL_MS = 20;

    private static final TimeValue SELECT_INTERVAL = TimeValue.ofMilliseconds((long) SELECT_INTERVAL_MS);
    private static final int BACKLOG = 511;
    /** How long closing waits for the round that is under way. */
    private static final long LONGEST_ROUND_MS = 500;
    /** Times that one connection may write in a round, before the others get their turn. */
    static final int MOST_WRITES = 4;
    /** An address that nothing is ever sent to: see {@link #wakeUp}. */
    private static final InetSocketAddress NOWHERE = InetSocketAddress.createUnresolved("nowhere.invalid", 1);

    private static final NamedEndpoint NOBODY = new Host("nowhere.invalid", 1);

    private final DefaultListeningIOReactor reactor;
    private final ScheduledThreadPoolExecutor timers;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean wakeUpAsked = new AtomicBoolean();
    private final List<EventLoopSession> unwritten = new ArrayList<>();
    private final List<Runnable> roundTasks = new ArrayList<>();
    private volatile Thread thread;
    private volatile Thread listener;
    private volatile AcceptGate gate = () -> {};
    private RoundListener watcher = new RoundListener() {};
    private boolean inRound;
    private boolean read;
    /** The listener's thread waits at the gate, and may wake the loop up from there; no other thread looks at it. */
    private boolean atGate;

    /** Passed by each accepted connection, on the thread that accepts; may wait there. */
    public interface AcceptGate {

        void awaitCapacity() throws InterruptedException;
    }

    /** Told of the rounds, on the loop's thread. */
    public interface RoundListener {

        /** A round begins: its select has returned, and nothing that it found is handled yet. */
        default void selectReturned() {}

        /** A round is over; {@code read}: a socket had something to read in it. */
        default void roundEnded(boolean read) {}
    }

    /** Creates the reactor; no thread runs before {@link #start}. */
    public EventLoop() {
        timers = new ScheduledThreadPoolExecutor(1, task -> daemon(task, "timers"));
        timers.setRemoveOnCancelPolicy(true);
        timers.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        reactor = new DefaultListeningIOReactor(
                (connection, protocol) -> ((ConnectionHandlerFactory) protocol).create(connection),
                IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setSelectInterval(SELECT_INTERVAL)
                        .setSoReuseAddress(true)
                        .setTcpNoDelay(true)
                        .setBacklogSize(BACKLOG)
                        .build(),
                // The program lasts as long as this thread: it is the one that is no daemon.
                worker -> thread = new Thread(worker, "loop"),
                worker -> listener = daemon(worker, "listener"),
                session -> new EventLoopSession(session, this),
                EventLoop::report,
                null,
                new Rounds(),
                ShutdownCommand.GRACEFUL_IMMEDIATE_CALLBACK,
                workers -> admit());
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** {@code told} is told of each round; {@code passed} by each accepted connection, whatever its listener. */
    public void start(RoundListener told, AcceptGate passed) {
        watcher = told;
        gate = passed;
        reactor.start();
    }

    /**
     * Closes every connection as it is, and ends the threads. What is handed in afterwards never runs. The loop's own
     * thread does it, at the end of a round: closing the selector empties the set of ready sockets, and under a thread
     * that goes through them that is a ConcurrentModificationException.
     */
    public void close() {
        timers.shutdownNow();
        if (thread != null && thread.isAlive() && !isEventLoopThread()) {
            CountDownLatch closed = new CountDownLatch(1);
            execute(() -> {
                reactor.close(CloseMode.IMMEDIATE);
                closed.countDown();
            });
            try {
                closed.await(LONGEST_ROUND_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException ending) {
                Thread.currentThread().interrupt();
            }
        }
        // Where it never ran, or is stuck. A second time does nothing.
        reactor.close(CloseMode.IMMEDIATE);
    }

    // ---- Sockets ----

    /**
     * Listens on this address only.
     *
     * @throws IOException if that is not to be had
     */
    public ListenerEndpoint listen(InetSocketAddress address, ConnectionHandlerFactory protocol)
            throws IOException, InterruptedException {
        try {
            return reactor.listen(address, protocol, null).get();
        } catch (ExecutionException failed) {
            throw new IOException(
                    "cannot listen on " + address + ": " + failed.getCause().getMessage(), failed);
        }
    }

    /** Connects; the callback is told on this loop's thread, at the latest some 20 ms after the time-out. */
    public void connect(
            NamedEndpoint name,
            InetSocketAddress address,
            Timeout timeout,
            ConnectionHandlerFactory protocol,
            FutureCallback<IOSession> callback) {
        try {
            reactor.connect(name, address, null, timeout, protocol, callback);
        } catch (IOReactorShutdownException closed) {
            callback.failed(closed);
        }
    }

    /** HttpCore asks this of accepted connections, on the listener's thread, and of those that are to be made. */
    private int admit() {
        if (Thread.currentThread() == listener && !atGate) {
            atGate = true;
            try {
                gate.awaitCapacity();
            } catch (InterruptedException ending) {
                Thread.currentThread().interrupt();
            } finally {
                atGate = false;
            }
        }
        return 0;
    }

    /** Whether the caller runs on the loop's thread. */
    public boolean isEventLoopThread() {
        return Thread.currentThread() == thread;
    }

    // ---- Tasks ----

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        if (!isEventLoopThread()) {
            wakeUp();
        }
    }

    @Override
    public ScheduledTask schedule(double ms, Runnable task) {
        LoopWait wait = new LoopWait(task);
        try {
            wait.future = timers.schedule(wait, Math.max(0, (long) (ms * 1000)), TimeUnit.MICROSECONDS);
        } catch (RejectedExecutionException closed) {
            wait.cancelled = true;
        }
        return wait;
    }

    /** Runs a task at the end of each round. To be called before {@link #start}, or on the loop's thread. */
    public void runEachRound(Runnable task) {
        roundTasks.add(task);
    }

    /** Ends a wait on the timers' thread by handing its task in. */
    private final class LoopWait implements ScheduledTask, Runnable {

        private final Runnable task;
        private volatile Future<?> future;
        private volatile boolean cancelled;

        LoopWait(Runnable task) {
            this.task = task;
        }

        @Override
        public void run() {
            execute(() -> {
                if (!cancelled) {
                    task.run();
                }
            });
        }

        @Override
        public void cancel() {
            cancelled = true;
            if (future != null) {
                future.cancel(false);
            }
        }
    }

    /**
     * Has the next select return at once, whether or not there is anything. HttpCore has no call that wakes a reactor
     * up. A wish to connect does; taken back at once it opens nothing, and were it looked at just before that, its
     * address could not be connected to.
     */
    void wakeUp() {
        if (wakeUpAsked.compareAndSet(false, true)) {
            try {
                reactor.connect(NOBODY, NOWHERE, null, null, null, null).cancel(true);
            } catch (IOReactorShutdownException closed) {
                // Nothing runs any more.
            }
        }
    }

    // ---- Rounds ----

    /** HttpCore reports its status at the end of each round: that is when the tasks run. */
    private final class Rounds implements IOReactorMetricsListener {

        @Override
        public void onThreadPoolStatus(int active, int pending) {
            event();
            wakeUpAsked.set(false);
            for (Runnable task : roundTasks) {
                guarded(task);
            }
            do {
                // What these answer is written before those that they hand in: new sessions come last, and take long.
                for (int left = tasks.size(); left > 0; left--) {
                    guarded(tasks.poll());
                }
                write();
            } while (!tasks.isEmpty());
            inRound = false;
            boolean some = read;
            read = false;
            watcher.roundEnded(some);
        }

        @Override
        public void onThreadPoolSaturation(double percentage) {
            // Reckoned against a figure of HttpCore's own; means nothing here.
        }

        @Override
        public void onResourceStarvationDetected() {
            // Never reached with so few sockets.
        }

        @Override
        public void onQueueWaitTime(long milliseconds) {
            // Connecting has a timer of its own.
        }
    }

    /** A socket is about to be handled: the first in a round tells that its select has returned. */
    void event() {
        if (!inRound) {
            inRound = true;
            watcher.selectReturned();
        }
    }

    /** A socket has something to read. */
    void reading() {
        read = true;
        event();
    }

    /** A bug in one task must neither end the thread nor touch another session. */
    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError bug) {
            Log.bug("bug", bug);
        } catch (AssertionError broken) {
            // Under -ea alone. What goes on after it would only follow from it: the thread ends, and the program.
            Log.bug("invariant", broken);
            throw broken;
        }
    }

    /** A connection has something to write; it does so at the end of the round. */
    void writeLater(EventLoopSession session) {
        unwritten.add(session);
    }

    private void write() {
        for (int i = 0; i < unwritten.size(); i++) {
            unwritten.get(i).write();
        }
        for (EventLoopSession session : unwritten) {
            session.endRound();
        }
        unwritten.clear();
    }

    /** Logs what HttpCore threw outside any exchange; of an ordinary broken connection its handler is told. */
    private static void report(Exception thrown) {
        boolean ours = thrown instanceof RuntimeException && !(thrown instanceof ClosedSelectorException);
        if (ours || thrown.getClass() == IOException.class) {
            Log.bug("loop", thrown);
        }
    }
}
