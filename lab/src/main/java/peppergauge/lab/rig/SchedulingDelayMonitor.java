package peppergauge.lab.rig;

import java.util.function.Consumer;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.What;
import peppergauge.lab.wire.Loop;

/** Looks whether its own thread is late, and says by how much: its neighbours waited for the machine as it did. */
final class SchedulingDelayMonitor {

    private static final long LOOK_NS = 20_000_000;
    private static final long LATE_NS = 15_000_000;

    private SchedulingDelayMonitor() {}

    /** On the loop's thread, for as long as it runs. */
    static void watch(Loop loop, String who, Consumer<Event> told) {
        long dueNs = System.nanoTime() + LOOK_NS;
        loop.at(dueNs, () -> {
            long nowNs = System.nanoTime();
            if (nowNs - dueNs > LATE_NS) {
                told.accept(Event.of(nowNs, What.LATE, who).counting((nowNs - dueNs) / 1_000_000));
            }
            watch(loop, who, told);
        });
    }
}
