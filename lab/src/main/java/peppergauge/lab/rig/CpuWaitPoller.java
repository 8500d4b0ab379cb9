package peppergauge.lab.rig;

import java.util.OptionalLong;
import java.util.function.LongToDoubleFunction;
import java.util.function.Supplier;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.What;

/** Looks for how long a process was let wait for a CPU since the last look; for one thread at a time. */
final class CpuWaitPoller implements Runnable {

    /** Of two threads within a look: less is no news. */
    private static final double LEAST_MS = 10;

    private final String who;
    private final Supplier<OptionalLong> pids;
    private final LongToDoubleFunction waitsMs;
    private final EventRecorder recorder;
    private long lastNs = System.nanoTime();

    /** @param waitsMs of a process since it was last asked for it */
    CpuWaitPoller(String who, Supplier<OptionalLong> pids, LongToDoubleFunction waitsMs, EventRecorder recorder) {
        this.who = who;
        this.pids = pids;
        this.waitsMs = waitsMs;
        this.recorder = recorder;
    }

    @Override
    public void run() {
        long nowNs = System.nanoTime();
        // Once: it may be killed meanwhile, and this look is all that excuses what it does without CPU.
        OptionalLong pid = pids.get();
        double ms = pid.isPresent() ? waitsMs.applyAsDouble(pid.getAsLong()) : 0;
        if (ms >= LEAST_MS) {
            recorder.add(new Event(nowNs, What.WAITED, who, "", "", (long) ms, Long.toString(lastNs)));
        }
        lastNs = nowNs;
    }
}
