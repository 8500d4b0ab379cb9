package peppergauge.sockets;

import java.util.concurrent.atomic.LongAdder;

/** Counts system calls of the event loop and the listener that have failed. Any thread may read. */
public final class LoopCounters {

    private final LongAdder acceptFailures = new LongAdder();
    private final LongAdder connectFailures = new LongAdder();
    private final LongAdder selectFailures = new LongAdder();
    private final LongAdder missedEvents = new LongAdder();

    void onAcceptFailed() {
        acceptFailures.increment();
    }

    void onConnectFailed() {
        connectFailures.increment();
    }

    void onSelectFailed() {
        selectFailures.increment();
    }

    void onEventMissed() {
        missedEvents.increment();
    }

    /** Number of failed accepts. */
    public long acceptFailures() {
        return acceptFailures.sum();
    }

    /** Number of tries to connect that failed on this machine. */
    public long connectFailures() {
        return connectFailures.sum();
    }

    /** Number of failed selects. */
    public long selectFailures() {
        return selectFailures.sum();
    }

    /** Number of sockets that were ready although the selector did not report them. */
    public long missedEvents() {
        return missedEvents.sum();
    }
}
