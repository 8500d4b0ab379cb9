package peppergauge.lab.rig;

import java.util.function.Consumer;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.EventKind;
import peppergauge.lab.wire.Loop;

/**
 * Records how late timers of an event loop's thread fire. Other processes on the machine had to wait for CPU time as
 * well.
 */
final class SchedulingDelayMonitor {

    private static final long INTERVAL_NS = 20_000_000;
    private static final long MIN_REPORTED_DELAY_NS = 15_000_000;

    private SchedulingDelayMonitor() {}

    /** Starts monitoring; must be called on the event loop's thread. Runs for as long as the event loop. */
    static void start(Loop loop, String who, Consumer<Event> listener) {
        long dueNs = System.nanoTime() + INTERVAL_NS;
        loop.at(dueNs, () -> {
            long nowNs = System.nanoTime();
            if (nowNs - dueNs > MIN_REPORTED_DELAY_NS) {
                listener.accept(Event.of(nowNs, EventKind.LATE, who).withNumber((nowNs - dueNs) / 1_000_000));
            }
            start(loop, who, listener);
        });
    }
}
