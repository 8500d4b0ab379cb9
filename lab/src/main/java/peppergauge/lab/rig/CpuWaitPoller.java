package peppergauge.lab.rig;

import java.util.OptionalLong;
import java.util.function.LongToDoubleFunction;
import java.util.function.Supplier;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.What;

/** Looks for how long a process was let wait for a CPU since the last look; for one thread at a time. */
final class CpuWaitPoller implements Runnable {

    /** Of two threads within a look: less is no news. */
    private static final double MIN_REPORTED_WAIT_MS = 10;

    private final String processName;
    private final Supplier<OptionalLong> processId;
    private final LongToDoubleFunction waitMeter;
    private final EventRecorder recorder;
    private long lastPollNs = System.nanoTime();

    /** @param waitsMs of a process since it was last asked for it */
    CpuWaitPoller(String processName, Supplier<OptionalLong> processId, LongToDoubleFunction waitMeter,
            EventRecorder recorder) {
        this.processName = processName;
        this.processId = processId;
        this.waitMeter = waitMeter;
        this.recorder = recorder;
    }

    @Override
    public void run() {
        long nowNs = System.nanoTime();
        // Once: it may be killed meanwhile, and this look is all that excuses what it does without CPU.
        OptionalLong pid = processId.get();
        double ms = pid.isPresent() ? waitMeter.applyAsDouble(pid.getAsLong()) : 0;
        if (ms >= MIN_REPORTED_WAIT_MS) {
            recorder.add(new Event(nowNs, What.WAITED, processName, "", "", (long) ms, Long.toString(lastPollNs)));
        }
        lastPollNs = nowNs;
    }
}
