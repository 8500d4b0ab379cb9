package peppergauge.backend;

import peppergauge.log.Log;
import peppergauge.memory.MessageMemory;
import peppergauge.request.Backend;

/**
 * The memory in which the body of one response is collected. The connection is not read while there is too little. Only
 * the event loop's thread uses it.
 */
final class ResponseMemory {

    private final Backend.Server server;
    private final MessageMemory.Reservation reservation;

    ResponseMemory(Backend.Server server, MessageMemory all) {
        this.server = server;
        this.reservation = all.newReservation();
    }

    /**
     * Reserves memory for a body, or pauses reading until there is enough.
     *
     * @param length the length of the body; -1 if it is not announced
     * @param onResumed called when reading has been resumed, unless this memory is released before
     * @return whether reading goes on
     */
    boolean reserve(long length, ServerConnection connection, Runnable onResumed) {
        if (length >= 0 && length <= ServerConnection.BUFFER_BYTES) {
            // It is read at once, so that waiting would not save memory.
            reservation.grow(length);
            return true;
        }
        long bytes = length < 0 ? ResponseReader.MAX_BUFFERED_BODY_BYTES : length;
        Runnable resume = () -> {
            connection.resumeReading();
            onResumed.run();
        };
        if (reservation.growOrAwait(bytes, resume)) {
            return true;
        }
        Log.event("response_reading_paused", "server", server.id(), "length", length);
        connection.pauseReading();
        return false;
    }

    /** Releases the memory, and waits for none any more; may be called several times. */
    void release() {
        reservation.release();
    }
}
