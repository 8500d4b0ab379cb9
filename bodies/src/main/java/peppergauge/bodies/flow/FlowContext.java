package peppergauge.bodies.flow;

import peppergauge.bodies.limits.StallDetector;
import peppergauge.bodies.limits.WindowAllocator;
import peppergauge.request.Clock;
import peppergauge.request.Scheduler;

/**
 * What all flows of a sidecar share.
 *
 * @param chunkPool idle chunks of memory
 * @param minBytesPerS bytes per second that a side must move while the flow waits for it
 * @param stallWindowMs the time over which that rate is measured, ms
 * @param listener notified of the flows' ends
 */
public record FlowContext(
        Clock clock,
        Scheduler scheduler,
        WindowAllocator windows,
        ChunkPool chunkPool,
        double minBytesPerS,
        double stallWindowMs,
        FlowListener listener) {

    /** Creates a context with a new chunk pool that holds up to {@code maxIdleBytes}. */
    public FlowContext(
            Clock clock,
            Scheduler scheduler,
            WindowAllocator windows,
            long maxIdleBytes,
            double minBytesPerS,
            double stallWindowMs,
            FlowListener listener) {
        this(clock, scheduler, windows, new ChunkPool(maxIdleBytes), minBytesPerS, stallWindowMs, listener);
    }

    /** Why a flow was cut off. */
    public enum CutOffReason {
        /** The client sends too slowly. */
        CLIENT_STALLED,
        /** The reader of the body, a client or a backend server, takes it too slowly. */
        READER_STALLED,
        /** The backend server sends too slowly. */
        BACKEND_STALLED,
        /** The response is longer than its limit. */
        RESPONSE_TOO_LONG
    }

    /** Notified of the flows' ends on the event-loop thread. */
    public interface FlowListener {

        /** A flow has ended, for whatever reason. */
        void onFlowEnded();

        /** A flow is cut off. */
        void onCutOff(CutOffReason reason);
    }

    StallDetector newStallDetector() {
        return new StallDetector(minBytesPerS, stallWindowMs);
    }
}
