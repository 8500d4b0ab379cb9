package peppergauge.sockets;

import java.io.IOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import peppergauge.log.Log;

/**
 * Waits for ready sockets. A failing select is logged and tried again, and registrations that have failed are renewed:
 * the JDK takes a registration for made whatever the system answers. Only {@link #wakeUp} may be called from any
 * thread.
 */
final class SocketSelector {

    /** A select that ends sooner, without a ready socket or a wake-up, is premature. */
    private static final long PREMATURE_NANOS = 1_000_000;
    /** Premature selects in a row after which all sockets are registered anew. */
    private static final int MAX_PREMATURE_SELECTS = 8;
    /** Rounds in a row in which calls were interrupted after which the loop pauses in each. */
    private static final int MAX_INTERRUPTED_ROUNDS = 8;
    /** Pause after a failed select, lest a failure that lasts takes a core. */
    private static final long FAILED_PAUSE_MS = 2;

    private final Selector selector;
    private final LoopCounters counters;
    private final SocketChecks checks;
    private final AtomicBoolean wakeUpRequested = new AtomicBoolean();
    /** Sessions whose registration is being renewed. */
    private final List<EventLoopSession> sessionsToRestore = new ArrayList<>();
    /** Whether the next select returns at once. */
    private boolean selectNow;

    private int prematureSelects;
    private boolean isInterrupted;
    private int interruptedRounds;

    /** @throws IOException if the system has no descriptor for a selector */
    SocketSelector(LoopCounters counters, SocketChecks checks) throws IOException {
        this.selector = Selector.open();
        this.counters = counters;
        this.checks = checks;
    }

    SelectionKey register(SocketChannel channel, int ops, SelectedChannel attachment) throws ClosedChannelException {
        return channel.register(selector, ops, attachment);
    }

    /** Called when a read or write was interrupted, so that its socket stays ready. */
    void onInterrupted() {
        isInterrupted = true;
    }

    /** Pauses if calls are interrupted again and again, lest that takes a core. */
    private void pauseIfInterrupted() {
        interruptedRounds = isInterrupted ? interruptedRounds + 1 : 0;
        isInterrupted = false;
        if (interruptedRounds > MAX_INTERRUPTED_ROUNDS) {
            pause();
        }
    }

    /** Waits until a socket is ready or there is a wake-up, but not longer than {@code timeoutMs}. */
    void select(long timeoutMs) {
        pauseIfInterrupted();
        boolean returnsAtOnce = selectNow;
        selectNow = false;
        // Not those whose registration is removed during this select: the next one has to see that.
        List<EventLoopSession> unregistered = List.copyOf(sessionsToRestore);
        sessionsToRestore.clear();
        try {
            if (returnsAtOnce) {
                selector.selectNow();
            } else {
                selectAndWait(timeoutMs);
            }
        } catch (IOException failed) {
            counters.onSelectFailed();
            Log.event("select_failed", "error", String.valueOf(failed.getMessage()));
            pause();
        }
        unregistered.forEach(EventLoopSession::restoreInterest);
    }

    private void selectAndWait(long timeoutMs) throws IOException {
        long startNanos = System.nanoTime();
        int selected = selector.select(timeoutMs);
        boolean isPremature =
                selected == 0 && !wakeUpRequested.get() && System.nanoTime() - startNanos < PREMATURE_NANOS;
        prematureSelects = isPremature ? prematureSelects + 1 : 0;
        if (prematureSelects >= MAX_PREMATURE_SELECTS) {
            // A change of interest has failed: the system reports a socket on which nothing is expected.
            prematureSelects = 0;
            onEventMissed();
            checks.registerAllAnew();
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(FAILED_PAUSE_MS);
        } catch (InterruptedException ending) {
            Thread.currentThread().interrupt();
        }
    }

    /** Handles the sockets that the last select found ready. */
    void handleReadySockets() {
        for (SelectionKey key : selector.selectedKeys()) {
            if (key.attachment() instanceof SelectedChannel selected) {
                EventLoop.runGuarded(() -> handle(key, selected));
            }
        }
        selector.selectedKeys().clear();
    }

    private static void handle(SelectionKey key, SelectedChannel selected) {
        int readyOps;
        try {
            readyOps = key.readyOps();
        } catch (CancelledKeyException closed) {
            return;
        }
        selected.onSelected(readyOps);
    }

    /** Called when the selector has not reported a socket that was ready, because its registration had failed. */
    void onEventMissed() {
        counters.onEventMissed();
        checks.onEventMissed();
        Log.event("selector_event_missed", "missed_events", counters.missedEvents());
    }

    /** Restores the interest of a session after the next select, which removes its registration. */
    void restoreLater(EventLoopSession session) {
        sessionsToRestore.add(session);
        selectNow = true;
    }

    /** Makes the next select return at once; only on the event loop's thread. */
    void selectNow() {
        selectNow = true;
    }

    /** Makes the present or next select return at once; may be called from any thread. */
    void wakeUp() {
        if (wakeUpRequested.compareAndSet(false, true)) {
            try {
                selector.wakeup();
            } catch (InternalError failed) {
                // How the JDK reports a write that failed; the select ends by its timeout.
                counters.onSelectFailed();
            }
        }
    }

    /** Called before what a wake-up announced is looked at, so that later wake-ups count again. */
    void onWokenUp() {
        wakeUpRequested.set(false);
    }

    /** Returns the open sessions. */
    List<EventLoopSession> sessions() {
        List<EventLoopSession> sessions = new ArrayList<>();
        for (SelectionKey key : selector.keys()) {
            if (key.attachment() instanceof EventLoopSession session) {
                sessions.add(session);
            }
        }
        return sessions;
    }

    /** Closes the selector and all sockets. */
    void close() {
        try {
            if (selector.isOpen()) {
                for (SelectionKey key : List.copyOf(selector.keys())) {
                    key.channel().close();
                }
            }
            selector.close();
        } catch (IOException failed) {
            Log.event("selector_close_failed", "error", String.valueOf(failed.getMessage()));
        }
    }
}
