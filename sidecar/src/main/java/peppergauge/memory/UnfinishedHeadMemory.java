package peppergauge.memory;

import peppergauge.log.Log;

/**
 * The memory that one connection's unfinished head holds. The first part of it is counted with the connection, so that
 * usual heads, which arrive in one piece or two, are never refused. Only the event loop's thread uses it.
 */
public final class UnfinishedHeadMemory {

    /** Memory of a head that is not counted towards the limit, in bytes; that of a usual one. */
    private static final long UNCOUNTED_BYTES = 4 * 1024;

    private final MessageMemory all;
    private final MessageMemory.Reservation reservation;
    private long heldBytes;

    /** Holds nothing at first. */
    public UnfinishedHeadMemory(MessageMemory all) {
        this.all = all;
        this.reservation = all.newReservation();
    }

    /** Holds this much in place of what is held; returns whether there is enough memory. */
    public boolean hold(long bytes) {
        long countedBytes = Math.max(0, bytes - UNCOUNTED_BYTES);
        if (countedBytes > heldBytes) {
            if (!reservation.tryGrow(MessageMemory.Purpose.REQUEST, countedBytes - heldBytes)) {
                Log.event(
                        "request_not_admitted",
                        "reason",
                        "memory",
                        "purpose",
                        "unfinished_head",
                        "needed_bytes",
                        countedBytes,
                        "held_bytes",
                        all.heldBytes(),
                        "limit_bytes",
                        all.limitBytes());
                return false;
            }
            heldBytes = countedBytes;
        }
        return true;
    }

    /** Called when the head is complete, invalid, or its connection has ended. */
    public void release() {
        heldBytes = 0;
        reservation.release();
    }
}
