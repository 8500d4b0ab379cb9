package peppergauge.memory;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the memory that the requests and responses of all connections hold together. Whoever is about to collect a
 * message reserves memory for it first. A request for which there is none is rejected; a response waits unread, so that
 * its server stops sending. Only the event loop's thread uses it.
 */
public final class MessageMemory {

    /** What memory is reserved for. Each purpose leaves a share of the limit to those after it. */
    public enum Purpose {
        /** The body of a request behind another one that has no response yet, on the same connection. */
        PIPELINED_BODY(0.5),
        /** A body of a request over {@link #SMALL_BODY_BYTES}. */
        LARGE_BODY(0.7),
        /** The head of a request, or a small body. */
        REQUEST(0.85),
        /** A response. */
        RESPONSE(1);

        private final double share;

        Purpose(double share) {
            this.share = share;
        }

        /**
         * The purpose of a body of a request.
         *
         * @param pipelined whether an earlier request of the connection has no response yet
         */
        public static Purpose ofBody(boolean pipelined, long bytes) {
            if (pipelined) {
                return PIPELINED_BODY;
            }
            return bytes > SMALL_BODY_BYTES ? LARGE_BODY : REQUEST;
        }
    }

    /** Largest body of a request that is not counted as a large one. */
    public static final int SMALL_BODY_BYTES = 4 * 1024;

    private final long limitBytes;
    private long heldBytes;
    /** Reservations that wait for memory for a response, in order. */
    private final Deque<Reservation> waiting = new ArrayDeque<>();

    public MessageMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns a limit that is a share of the heap. */
    public static MessageMemory ofHeap(double share) {
        return new MessageMemory((long) (Runtime.getRuntime().maxMemory() * share));
    }

    /** Number of bytes that are reserved. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Number of bytes that may be reserved. */
    public long limitBytes() {
        return limitBytes;
    }

    /** Returns a reservation of no bytes. */
    public Reservation newReservation() {
        return new Reservation();
    }

    /** The memory of one message, or of one request and its response. */
    public final class Reservation {

        private long bytes;
        private long awaitedBytes;
        /** Called when the awaited memory is reserved; null if none is awaited. */
        private Runnable onReserved;

        private Reservation() {}

        /** Reserves more bytes if the limit permits; returns whether it does. */
        public boolean tryGrow(Purpose purpose, long more) {
            if (heldBytes + more > limitBytes * purpose.share) {
                return false;
            }
            grow(more);
            return true;
        }

        /** Reserves bytes that are in memory already, even beyond the limit. */
        public void grow(long more) {
            bytes += more;
            heldBytes += more;
        }

        /**
         * Reserves more bytes for a response, at once or when others have released enough.
         *
         * @param reserved called when the bytes are reserved, unless that is at once or this reservation is released
         *     before
         * @return whether the bytes are reserved
         */
        public boolean growOrAwait(long more, Runnable reserved) {
            if (waiting.isEmpty() && tryGrow(Purpose.RESPONSE, more)) {
                return true;
            }
            awaitedBytes = more;
            onReserved = reserved;
            waiting.add(this);
            return false;
        }

        /** Releases all but {@code remaining} bytes; does nothing if there are fewer. */
        public void shrinkTo(long remaining) {
            if (bytes > remaining) {
                heldBytes -= bytes - remaining;
                bytes = remaining;
                grantWaiting();
            }
        }

        /** Releases everything, and waits for nothing any more; may be called several times. */
        public void release() {
            if (onReserved != null) {
                onReserved = null;
                waiting.remove(this);
            }
            shrinkTo(0);
        }
    }

    private void grantWaiting() {
        while (!waiting.isEmpty() && waiting.peek().tryGrow(Purpose.RESPONSE, waiting.peek().awaitedBytes)) {
            Reservation granted = waiting.remove();
            Runnable reserved = granted.onReserved;
            granted.onReserved = null;
            reserved.run();
        }
    }
}
