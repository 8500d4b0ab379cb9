package peppergauge.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.Timeout;
import peppergauge.log.Log;
import peppergauge.request.Scheduler;

/**
 * The single thread that owns all sockets, requests and the load balancer. A round selects, handles the ready sockets,
 * and runs the submitted tasks, through which socket code calls the load balancer. Output of these tasks is written at
 * the end of the round ({@link EventLoopSession}). HttpCore's codecs run on its sessions.
 *
 * <p>A system call that fails ends at most the connection for which it was made: exceptions of one connection close it,
 * and the loop goes on. Only errors of the Java machine, such as a lack of memory, end it.
 *
 * <p>Two more threads exist: the {@link Acceptor}, and the timer thread, which submits tasks when they are due. A
 * single thread for all other work avoids wake-ups between threads, which cost more than the work.
 */
public final class EventLoop implements Scheduler {

    /** Maximum duration of a select, and therefore the precision of socket timeouts. */
    public static final double SELECT_INTERVAL_MS = 20;

    /** How long {@link #close} waits for the end of the current round. */
    private static final long CLOSE_TIMEOUT_MS = 500;
    /** Maximum number of writes of one connection in a round, before other connections are served. */
    static final int MAX_WRITES_PER_ROUND = 4;

    private final SocketSelector selector;
    private final Acceptor acceptor;
    private final LoopTimers timers;
    private final LoopCounters counters = new LoopCounters();
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Queue<AcceptedConnection> accepted = new ConcurrentLinkedQueue<>();
    private final Queue<EventLoopSession> closedSessions = new ConcurrentLinkedQueue<>();
    private final List<EventLoopSession> sessionsToWrite = new ArrayList<>();
    private final List<Runnable> roundTasks = new ArrayList<>();
    private final Thread loopThread;
    private final Thread listenerThread;
    private final SocketChecks socketChecks = new SocketChecks();
    private volatile AcceptGate acceptGate = () -> {};
    private volatile FailureHandler failureHandler = (thread, thrown) -> {};
    private volatile boolean closed;
    private RoundListener roundListener = new RoundListener() {};
    private boolean inRound;
    private boolean inputInRound;
    /** Number of rounds that have ended; only the event loop's thread uses it. */
    private long round;

    /** Admits accepted connections. */
    public interface AcceptGate {

        /** Blocks the accepting thread until the accepted connection may be opened. */
        void awaitCapacity() throws InterruptedException;

        /** A connection that passed the gate could not be opened; called on the event loop's thread. */
        default void onOpenFailed() {}

        /** Accepting has failed several times in a row, perhaps for lack of descriptors; on the accepting thread. */
        default void onAcceptFailed() {}
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

    /**
     * Opens the selectors; no thread is started before {@link #start}.
     *
     * @throws IllegalStateException if they cannot be opened
     */
    public EventLoop() {
        timers = new LoopTimers(
                this::execute,
                task -> daemonThread(task, "timers"),
                thrown -> failureHandler.threadFailed("timers", thrown));
        try {
            selector = new SocketSelector(counters, socketChecks);
            acceptor = new Acceptor(Selector.open(), counters, this::onAccepted);
        } catch (IOException failed) {
            throw new IllegalStateException("cannot open a selector: " + failed.getMessage(), failed);
        }
        // Not a daemon thread: the program runs as long as this thread.
        loopThread = new Thread(() -> runUntilClosed("loop", this::runRounds), "loop");
        listenerThread = daemonThread(() -> runUntilClosed("listener", acceptor), "listener");
    }

    /** Runs a thread's work, which returns when the loop is closed. */
    private void runUntilClosed(String thread, Runnable work) {
        try {
            work.run();
        } catch (Error fatal) {
            failureHandler.threadFailed(thread, fatal);
            throw fatal;
        }
        if (!closed) {
            failureHandler.threadFailed(thread, null);
        }
    }

    /** Sets what is called when an error, such as a lack of memory, ends a thread. */
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
        acceptor.setGate(gate);
        loopThread.start();
        listenerThread.start();
    }

    /** Closes all connections at the end of the current round and ends the threads. Later tasks never run. */
    public void close() {
        closed = true;
        timers.close();
        acceptor.close();
        listenerThread.interrupt();
        wakeUp();
        if (!isEventLoopThread() && loopThread.isAlive()) {
            try {
                loopThread.join(CLOSE_TIMEOUT_MS);
            } catch (InterruptedException ending) {
                Thread.currentThread().interrupt();
            }
        }
        if (!loopThread.isAlive()) {
            selector.close();
        }
    }

    /** Counts system calls that have failed. */
    public LoopCounters counters() {
        return counters;
    }

    // ---- Sockets ----

    /**
     * Listens on this address only.
     *
     * @throws IOException if the address cannot be bound
     */
    public ListenerEndpoint listen(InetSocketAddress address, ConnectionHandlerFactory factory) throws IOException {
        try {
            return acceptor.listen(address, factory);
        } catch (IOException failed) {
            throw new IOException("cannot listen on " + address + ": " + failed.getMessage(), failed);
        }
    }

    /**
     * Connects. The callback is called once, on the event loop's thread; may be called from any thread. A connection
     * that could not be opened because of a failure on this machine ends with a {@link LocalConnectException}, when the
     * timeout has passed.
     */
    public void connect(
            NamedEndpoint name,
            InetSocketAddress address,
            Timeout timeout,
            ConnectionHandlerFactory factory,
            FutureCallback<IOSession> callback) {
        PendingConnection pending = new PendingConnection(this, name, address, timeout, factory, callback);
        execute(() -> {
            socketChecks.add(pending);
            pending.start();
        });
    }

    /** Called on the listener's thread for each connection that has passed the gate. */
    private void onAccepted(SocketChannel channel, ConnectionHandlerFactory factory) {
        accepted.add(new AcceptedConnection(channel, factory));
        wakeUp();
    }

    private void openAccepted() {
        for (AcceptedConnection next = accepted.poll(); next != null; next = accepted.poll()) {
            EventLoopSession session = next.open(this);
            if (session == null) {
                acceptGate.onOpenFailed();
            } else {
                session.onConnected();
            }
        }
    }

    /**
     * Creates the session of a connected channel and its handler; returns null if that fails, and closes the channel.
     */
    EventLoopSession openSession(
            SocketChannel channel, SelectionKey key, NamedEndpoint name, ConnectionHandlerFactory factory) {
        EventLoopSession session = new EventLoopSession(channel, key, name, this);
        try {
            session.upgrade(factory.create(session));
            key.interestOps(SelectionKey.OP_READ);
            key.attach(session);
        } catch (RuntimeException failed) {
            Log.error("connection_open_failed", failed);
            closeQuietly(channel);
            return null;
        }
        socketChecks.add(session);
        return session;
    }

    /** Closes a channel that has no session; its descriptor is released by the next select. */
    void closeQuietly(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException failed) {
            // The descriptor is released in either case.
        }
        wakeUp();
    }

    /** Called when a session was closed, from any thread: its handler is notified in the next round. */
    void onSessionClosed(EventLoopSession session) {
        closedSessions.add(session);
        wakeUp();
    }

    /** The selector with which all sockets are registered; event-loop thread only. */
    SocketSelector selector() {
        return selector;
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

    /** Makes the next select return immediately. */
    void wakeUp() {
        if (isEventLoopThread()) {
            selector.selectNow();
        } else {
            selector.wakeUp();
        }
    }

    // ---- Rounds ----

    private void runRounds() {
        while (!closed) {
            try {
                runRound();
            } catch (RuntimeException | LinkageError unexpected) {
                Log.error("event_loop_round_failed", unexpected);
            }
        }
        closeSessions();
        selector.close();
    }

    private void runRound() {
        selector.select((long) SELECT_INTERVAL_MS);
        onSocketEvent();
        selector.handleReadySockets();
        notifyDisconnected();
        openAccepted();
        selector.onWokenUp();
        runGuarded(socketChecks::check);
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

    private void closeSessions() {
        for (EventLoopSession session : selector.sessions()) {
            runGuarded(() -> session.close(CloseMode.GRACEFUL));
        }
        notifyDisconnected();
    }

    private void notifyDisconnected() {
        for (EventLoopSession session = closedSessions.poll(); session != null; session = closedSessions.poll()) {
            session.onDisconnected();
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

    /**
     * Runs a task; an unexpected exception is logged and does not end the thread, nor does a class that cannot be
     * loaded, which concerns only the task that needs it.
     */
    static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError | LinkageError unexpected) {
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
}
