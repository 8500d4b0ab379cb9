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
 * The one thread that owns all sockets, requests and the load balancer: an HttpCore reactor with one worker. A round
 * selects, handles the ready sockets, and runs the tasks that were handed in, through which socket code reaches the
 * load balancer. Output of these goes out at the end of the round ({@link EventLoopSession}).
 *
 * <p>Two more threads exist: HttpCore's listener, which accepts connections, and that of the timers, which hands tasks
 * in when they are due. One thread for all work saves the wake-ups between threads, which cost more than the work.
 */
public final class EventLoop implements Scheduler {

    /** Interval in which HttpCore checks its own timeouts, and so their precision. */
    public static final double SELECT_INTERVAL_MS = 20;

    private static final TimeValue SELECT_INTERVAL = TimeValue.ofMilliseconds((long) SELECT_INTERVAL_MS);
    private static final int ACCEPT_BACKLOG = 511;
    /** How long {@link #close} waits for the end of the present round. */
    private static final long CLOSE_TIMEOUT_MS = 500;
    /** Writes of one connection in a round, before the others are served. */
    static final int MAX_WRITES_PER_ROUND = 4;
    /** Addresses that nothing is ever sent to: see {@link #wakeUp}. */
    private static final InetSocketAddress UNRESOLVED_ADDRESS =
            InetSocketAddress.createUnresolved("nowhere.invalid", 1);

    private static final NamedEndpoint UNRESOLVED_NAME = new Host("nowhere.invalid", 1);

    private final DefaultListeningIOReactor reactor;
    private final LoopTimers timers;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean wakeUpRequested = new AtomicBoolean();
    private final List<EventLoopSession> sessionsToWrite = new ArrayList<>();
    private final List<Runnable> roundTasks = new ArrayList<>();
    private volatile Thread loopThread;
    private volatile Thread listenerThread;
    private volatile AcceptGate acceptGate = () -> {};
    private RoundListener roundListener = new RoundListener() {};
    private boolean inRound;
    private boolean inputInRound;
    /** The listener's thread is in the gate, and may wake the loop up from there; only that thread uses it. */
    private boolean inAcceptGate;

    /** Passed by each accepted connection, on the accepting thread, which it may block. */
    public interface AcceptGate {

        /** Returns when the connection may be opened. */
        void awaitCapacity() throws InterruptedException;
    }

    /** Informed of the rounds, on the event loop's thread. */
    public interface RoundListener {

        /** A round begins: its select has returned, and no socket has been handled yet. */
        default void selectReturned() {}

        /** A round ends; {@code read}: a socket was readable in it. */
        default void roundEnded(boolean read) {}
    }

    /** Creates the reactor; no thread runs before {@link #start}. */
    public EventLoop() {
        timers = new LoopTimers(this::execute, task -> daemonThread(task, "timers"));
        reactor = new DefaultListeningIOReactor(
                (connection, factory) -> ((ConnectionHandlerFactory) factory).create(connection),
                IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setSelectInterval(SELECT_INTERVAL)
                        .setSoReuseAddress(true)
                        .setTcpNoDelay(true)
                        .setBacklogSize(ACCEPT_BACKLOG)
                        .build(),
                // No daemon: the program runs as long as this thread.
                worker -> loopThread = new Thread(worker, "loop"),
                worker -> listenerThread = daemonThread(worker, "listener"),
                session -> new EventLoopSession(session, this),
                EventLoop::logUnexpected,
                null,
                new RoundHook(),
                ShutdownCommand.GRACEFUL_IMMEDIATE_CALLBACK,
                workers -> passAcceptGate());
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Starts the threads; {@code gate} is passed by the accepted connections of all listeners. */
    public void start(RoundListener rounds, AcceptGate gate) {
        roundListener = rounds;
        acceptGate = gate;
        reactor.start();
    }

    /**
     * Closes all connections at once and ends the threads. Tasks that are handed in later never run. The selector is
     * closed at the end of a round, since that changes the set of ready sockets that a round iterates over.
     */
    public void close() {
        timers.close();
        if (loopThread != null && loopThread.isAlive() && !isEventLoopThread()) {
            CountDownLatch closed = new CountDownLatch(1);
            execute(() -> {
                reactor.close(CloseMode.IMMEDIATE);
                closed.countDown();
            });
            try {
                closed.await(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException ending) {
                Thread.currentThread().interrupt();
            }
        }
        // If the loop never ran, or is stuck; otherwise this does nothing.
        reactor.close(CloseMode.IMMEDIATE);
    }

    // ---- Sockets ----

    /**
     * Listens on this address only.
     *
     * @throws IOException if the address cannot be bound
     */
    public ListenerEndpoint listen(InetSocketAddress address, ConnectionHandlerFactory factory)
            throws IOException, InterruptedException {
        try {
            return reactor.listen(address, factory, null).get();
        } catch (ExecutionException failed) {
            throw new IOException(
                    "cannot listen on " + address + ": " + failed.getCause().getMessage(), failed);
        }
    }

    /**
     * Connects. The callback is called on the event loop's thread, at most {@link #SELECT_INTERVAL_MS} after the
     * timeout.
     */
    public void connect(
            NamedEndpoint name,
            InetSocketAddress address,
            Timeout timeout,
            ConnectionHandlerFactory factory,
            FutureCallback<IOSession> callback) {
        try {
            reactor.connect(name, address, null, timeout, factory, callback);
        } catch (IOReactorShutdownException closed) {
            callback.failed(closed);
        }
    }

    /** Called by HttpCore for each accepted connection on the listener's thread, and for each that is established. */
    private int passAcceptGate() {
        if (Thread.currentThread() == listenerThread && !inAcceptGate) {
            inAcceptGate = true;
            try {
                acceptGate.awaitCapacity();
            } catch (InterruptedException ending) {
                Thread.currentThread().interrupt();
            } finally {
                inAcceptGate = false;
            }
        }
        return 0;
    }

    /** Whether the caller runs on the event loop's thread. */
    public boolean isEventLoopThread() {
        return Thread.currentThread() == loopThread;
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
    public ScheduledTask schedule(double delayMs, Runnable task) {
        return timers.schedule(delayMs, task);
    }

    /** Runs a task at the end of each round. To be called before {@link #start}, or on the event loop's thread. */
    public void runEachRound(Runnable task) {
        roundTasks.add(task);
    }

    /**
     * Has the next select return at once. HttpCore has no call for that; a request to connect has the effect, and is
     * cancelled before it opens anything.
     */
    void wakeUp() {
        if (wakeUpRequested.compareAndSet(false, true)) {
            try {
                reactor.connect(UNRESOLVED_NAME, UNRESOLVED_ADDRESS, null, null, null, null)
                        .cancel(true);
            } catch (IOReactorShutdownException closed) {
                // Nothing runs any more.
            }
        }
    }

    // ---- Rounds ----

    /** Runs the tasks when HttpCore reports its status, which it does at the end of each round. */
    private final class RoundHook implements IOReactorMetricsListener {

        @Override
        public void onThreadPoolStatus(int active, int pending) {
            onSocketEvent();
            wakeUpRequested.set(false);
            for (Runnable task : roundTasks) {
                runGuarded(task);
            }
            do {
                // Output of these tasks is written before the tasks that they hand in: new requests take long.
                for (int left = tasks.size(); left > 0; left--) {
                    runGuarded(tasks.poll());
                }
                writeOutput();
            } while (!tasks.isEmpty());
            inRound = false;
            boolean read = inputInRound;
            inputInRound = false;
            roundListener.roundEnded(read);
        }

        @Override
        public void onThreadPoolSaturation(double percentage) {
            // Not used: relates to a limit of HttpCore's own.
        }

        @Override
        public void onResourceStarvationDetected() {
            // Not used: relates to a limit of HttpCore's own.
        }

        @Override
        public void onQueueWaitTime(long milliseconds) {
            // Not used: connecting has a timeout of its own.
        }
    }

    /** A socket is handled next: the first in a round shows that its select has returned. */
    void onSocketEvent() {
        if (!inRound) {
            inRound = true;
            roundListener.selectReturned();
        }
    }

    /** A readable socket is handled next. */
    void onInputEvent() {
        inputInRound = true;
        onSocketEvent();
    }

    /** Contains a bug in one task, which must not end the thread. */
    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError bug) {
            Log.bug("bug", bug);
        } catch (AssertionError broken) {
            // Only with -ea: the state is not to be trusted, and the program ends.
            Log.bug("invariant", broken);
            throw broken;
        }
    }

    /** Has a session write its output at the end of the round. */
    void writeLater(EventLoopSession session) {
        sessionsToWrite.add(session);
    }

    private void writeOutput() {
        for (int i = 0; i < sessionsToWrite.size(); i++) {
            sessionsToWrite.get(i).write();
        }
        for (EventLoopSession session : sessionsToWrite) {
            session.onRoundEnded();
        }
        sessionsToWrite.clear();
    }

    /** Logs what HttpCore threw outside of any connection; a broken connection is reported to its handler. */
    private static void logUnexpected(Exception thrown) {
        boolean unexpected = thrown instanceof RuntimeException && !(thrown instanceof ClosedSelectorException);
        if (unexpected || thrown.getClass() == IOException.class) {
            Log.bug("loop", thrown);
        }
    }
}
