package peppergauge.lab.rig;

import java.util.OptionalLong;
import java.util.function.LongToDoubleFunction;
import java.util.function.Supplier;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.EventKind;

/** Records how long a process waited for CPU time since the last poll. Not thread-safe. */
final class CpuWaitPoller implements Runnable {

    /** Shorter waits of the two threads within a poll interval are not recorded. */
    private static final double MIN_REPORTED_WAIT_MS = 10;

    private final String processName;
    private final Supplier<OptionalLong> processId;
    private final LongToDoubleFunction waitMeter;
    private final EventRecorder recorder;
    private long lastPollNs = System.nanoTime();

    /** @param waitMeter returns the wait in ms of a process since its last call */
    CpuWaitPoller(
            String processName,
            Supplier<OptionalLong> processId,
            LongToDoubleFunction waitMeter,
            EventRecorder recorder) {
        this.processName = processName;
        this.processId = processId;
        this.waitMeter = waitMeter;
        this.recorder = recorder;
    }

    @Override
    public void run() {
        long nowNs = System.nanoTime();
        // The process ID is read once: the process may be killed meanwhile, and only this event excuses what it did
        // without CPU time.
        OptionalLong pid = processId.get();
        double ms = pid.isPresent() ? waitMeter.applyAsDouble(pid.getAsLong()) : 0;
        if (ms >= MIN_REPORTED_WAIT_MS) {
            recorder.add(new Event(nowNs, EventKind.WAITED, processName, "", "", (long) ms, Long.toString(lastPollNs)));
        }
        lastPollNs = nowNs;
    }
}
