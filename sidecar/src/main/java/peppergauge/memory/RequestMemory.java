package peppergauge.memory;

import java.util.Locale;
import peppergauge.log.Log;

/** The memory that one request and its response hold. Only the event loop's thread uses it. */
public final class RequestMemory {

    /** Memory of a request beside its head and body: its objects here, in HttpCore and in the load balancer. */
    private static final int REQUEST_OVERHEAD_BYTES = 4 * 1024;

    private final MessageMemory all;
    private final MessageMemory.Reservation reservation;
    private long headBytes;
    private boolean exhausted;

    public RequestMemory(MessageMemory all) {
        this.all = all;
        this.reservation = all.newReservation();
    }

    /** Whether memory was refused, so that the request is to be rejected. */
    public boolean isExhausted() {
        return exhausted;
    }

    /** Reserves memory for a head, and for the request's objects; returns whether there is enough. */
    public boolean reserveHead(String requestId, long bytes) {
        headBytes = REQUEST_OVERHEAD_BYTES + bytes;
        return reserve(requestId, MessageMemory.Purpose.REQUEST, headBytes);
    }

    /**
     * Reserves memory for a part of the body; returns whether there is enough. If not, everything is released.
     *
     * @param pipelined whether an earlier request of the connection has no response yet
     */
    public boolean reserveBody(String requestId, boolean pipelined, int bytes) {
        return reserve(requestId, MessageMemory.Purpose.ofBody(pipelined, bytes), bytes);
    }

    /**
     * Reserves memory for a request that is read as a whole, and for its copies; returns whether there is enough.
     *
     * @param pipelined whether an earlier request of the connection has no response yet
     */
    public boolean reserveMessage(String requestId, boolean pipelined, long bytes) {
        MessageMemory.Purpose purpose = MessageMemory.Purpose.ofBody(pipelined, bytes);
        return reserve(requestId, purpose, REQUEST_OVERHEAD_BYTES + bytes);
    }

    private boolean reserve(String requestId, MessageMemory.Purpose purpose, long bytes) {
        if (reservation.tryGrow(purpose, bytes)) {
            return true;
        }
        exhausted = true;
        reservation.release();
        Log.event(
                "request_not_admitted",
                "reason",
                "memory",
                "request",
                requestId,
                "purpose",
                purpose.name().toLowerCase(Locale.ROOT),
                "needed_bytes",
                bytes,
                "held_bytes",
                all.heldBytes(),
                "limit_bytes",
                all.limitBytes());
        return false;
    }

    /** Called when the body is not held in memory any more. */
    public void releaseBody() {
        reservation.shrinkTo(headBytes);
    }

    /** Called when the response is known: head and body are not needed any more, and the response's body is held. */
    public void holdResponse(int bytes) {
        reservation.shrinkTo(REQUEST_OVERHEAD_BYTES);
        reservation.grow(bytes);
    }

    /** Called when the response is written or the connection has ended; may be called several times. */
    public void release() {
        reservation.release();
    }
}
