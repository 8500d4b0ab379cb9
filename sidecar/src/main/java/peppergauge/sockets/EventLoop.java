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
 * The single thread that owns all sockets, requests and the load balancer: an HttpCore reactor with one worker. A round
 * selects, handles the ready sockets, and runs the submitted tasks, through which socket code calls the load balancer.
 * Output of these tasks is written at the end of the round ({@link EventLoopSession}).
 *
 * <p>Two more threads exist: HttpCore's listener, which accepts connections, and the timer thread, which submits tasks
 * when they are due. A single thread for all other work avoids wake-ups between threads, which cost more than the work.
 */
public final class EventLoop implements Scheduler {

    /** Interval at which HttpCore checks its own timeouts, and therefore their precision. */
    public static final double SELECT_INTERVAL_MS = 20;

    private static final TimeValue SELECT_INTERVAL = TimeValue.ofMilliseconds((long) SELECT_INTERVAL_MS);
    private static final int ACCEPT_BACKLOG = 511;
    /** How long {@link #close} waits for the end of the current round. */
    private static final long CLOSE_TIMEOUT_MS = 500;
    /** Maximum number of writes of one connection in a round, before other connections are served. */
    static final int MAX_WRITES_PER_ROUND = 4;
    /** Addresses to which nothing is ever sent; see {@link #wakeUp}. */
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
    private final SessionTimeouts sessionTimeouts = new SessionTimeouts();
    private volatile AcceptGate acceptGate = () -> {};
    private volatile FailureHandler failureHandler = (thread, thrown) -> {};
    private volatile boolean closed;
    private RoundListener roundListener = new RoundListener() {};
    private boolean inRound;
    private boolean inputInRound;
    /** Number of rounds that have ended; only the event loop's thread uses it. */
    private long round;
    /** Whether the listener's thread is in the accept gate, where it may wake up the loop; only that thread uses it. */
    private boolean inAcceptGate;

    /** Called for each accepted connection on the accepting thread, which it may block. */
    public interface AcceptGate {

        /** Blocks until the connection may be opened. */
        void awaitCapacity() throws InterruptedException;
    }

    /** Receives what ended a thread without which nobody is served: the event loop, the listener or the timers. */
    public interface FailureHandler {

        /** Called on that thread, possibly when there is no memory; {@code thrown} is null if the thread just ended. */
        void threadFailed(String thread, Throwable thrown);
    }

    /** Receives the start and end of each round, on the event loop's thread. */
    public interface RoundListener {

        /** Called when the select of a round has returned and no socket has been handled yet. */
        default void selectReturned() {}

        /** Called at the end of a round; {@code read}: whether a socket was readable in the round. */
        default void roundEnded(boolean read) {}
    }

    /** Creates the reactor; no thread is started before {@link #start}. */
    public EventLoop() {
        timers = new LoopTimers(
                this::execute,
                task -> daemonThread(task, "timers"),
                thrown -> failureHandler.threadFailed("timers", thrown));
        reactor = new DefaultListeningIOReactor(
                (connection, factory) -> ((ConnectionHandlerFactory) factory).create(connection),
                IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setSelectInterval(SELECT_INTERVAL)
                        .setSoReuseAddress(true)
                        .setTcpNoDelay(true)
                        .setBacklogSize(ACCEPT_BACKLOG)
                        .build(),
                // Not a daemon thread: the program runs as long as this thread.
                worker -> loopThread = new Thread(() -> runUntilClosed("loop", worker), "loop"),
                worker -> listenerThread = daemonThread(() -> runUntilClosed("listener", worker), "listener"),
                this::createSession,
                EventLoop::logUnexpected,
                null,
                new RoundHook(),
                ShutdownCommand.GRACEFUL_IMMEDIATE_CALLBACK,
                workers -> passAcceptGate());
    }

    private EventLoopSession createSession(IOSession raw) {
        EventLoopSession session = new EventLoopSession(raw, this);
        sessionTimeouts.add(session);
        return session;
    }

    /** Runs a worker of HttpCore, which returns when it is closed, or after an exception that HttpCore has logged. */
    private void runUntilClosed(String thread, Runnable worker) {
        try {
            worker.run();
        } catch (Error fatal) {
            failureHandler.threadFailed(thread, fatal);
            throw fatal;
        }
        if (!closed) {
            failureHandler.threadFailed(thread, null);
        }
    }

    /** Sets what is called when an error, such as a lack of memory, or an exception ends a thread. */
    public void setFailureHandler(FailureHandler handler) {
        failureHandler = handler;
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Starts the threads; {@code gate} is called for the accepted connections of all listeners. */
    public void start(RoundListener rounds, AcceptGate gate) {
        roundListener = rounds;
        acceptGate = gate;
        reactor.start();
    }

    /**
     * Closes all connections immediately and ends the threads. Tasks that are submitted later never run. The selector
     * is closed at the end of a round, since closing it changes the set of ready sockets over which a round iterates.
     */
    public void close() {
        closed = true;
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
        // Needed if the loop never ran or is stuck; otherwise this does nothing.
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
     * Connects. The callback is called on the event loop's thread; may be called from any thread.
     */
    public void connect(
            NamedEndpoint name,
            InetSocketAddress address,
            Timeout timeout,
            ConnectionHandlerFactory factory,
            FutureCallback<IOSession> callback) {
        TimedConnect timed = new TimedConnect(timeout, callback);
        try {
            timed.start(reactor.connect(name, address, null, Timeout.DISABLED, factory, timed), this);
        } catch (IOReactorShutdownException closed) {
            callback.failed(closed);
        }
    }

    /**
     * Called by HttpCore for each accepted connection on the listener's thread, and for each established connection.
     */
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

    /** Runs a task at the end of each round. Must be called before {@link #start}, or on the event loop's thread. */
    public void runEachRound(Runnable task) {
        roundTasks.add(task);
    }

    /**
     * Makes the next select return immediately. HttpCore has no method for that; a request to connect has this effect,
     * and is cancelled before it opens a socket.
     */
    void wakeUp() {
        if (wakeUpRequested.compareAndSet(false, true)) {
            try {
                reactor.connect(UNRESOLVED_NAME, UNRESOLVED_ADDRESS, null, null, null, null)
                        .cancel(true);
            } catch (IOReactorShutdownException closed) {
                // The loop has ended; no task runs any more.
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
            runGuarded(sessionTimeouts::check);
            for (Runnable task : roundTasks) {
                runGuarded(task);
            }
            do {
                // Output of these tasks is written before the tasks that they submit run, since new requests take long.
                for (int left = tasks.size(); left > 0; left--) {
                    runGuarded(tasks.poll());
                }
                writeOutput();
            } while (!tasks.isEmpty());
            inRound = false;
            round++;
            boolean read = inputInRound;
            inputInRound = false;
            roundListener.roundEnded(read);
        }

        @Override
        public void onThreadPoolSaturation(double percentage) {
            // Not used: relates to an internal limit of HttpCore.
        }

        @Override
        public void onResourceStarvationDetected() {
            // Not used: relates to an internal limit of HttpCore.
        }

        @Override
        public void onQueueWaitTime(long milliseconds) {
            // Not used: connecting has its own timeout.
        }
    }

    /** Called before a socket is handled; the first call in a round shows that its select has returned. */
    void onSocketEvent() {
        if (!inRound) {
            inRound = true;
            roundListener.selectReturned();
        }
    }

    /** Number of rounds before the present one; only for the event loop's thread. */
    long round() {
        return round;
    }

    /** Called before a readable socket is handled. */
    void onInputEvent() {
        inputInRound = true;
        onSocketEvent();
    }

    /** Runs a task; an unexpected exception is logged and does not end the thread. */
    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError unexpected) {
            Log.error("event_loop_task_failed", unexpected);
        } catch (AssertionError broken) {
            // Only with -ea: the state is inconsistent, and the program ends.
            Log.bug("invariant", broken);
            throw broken;
        }
    }

    /** Schedules the output of a session to be written at the end of the round. */
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

    /**
     * Logs an exception that HttpCore threw outside of any connection; a broken connection is reported to its handler.
     */
    private static void logUnexpected(Exception thrown) {
        boolean unexpected = thrown instanceof RuntimeException && !(thrown instanceof ClosedSelectorException);
        if (unexpected || thrown.getClass() == IOException.class) {
            Log.error("io_reactor_failed", thrown);
        }
    }
}
