package peppergauge.sockets;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOSession;
import peppergauge.request.Scheduler;

/**
 * Ends a connection without a reset, as HTTP/1.1 asks of a server (RFC 9112, 9.6): this side ends its sending, reads
 * and throws away what still comes, and closes when the peer has ended too, or when a bound of time or bytes is over.
 * A close over unread input would be a reset, which can take the last answer with it. Nothing read from here on is a
 * request: its sender sees the end without an answer, and knows that it was not taken.
 *
 * <p>To be used on the loop's thread, once for each connection.
 */
public final class LingeringClose {

    /** After the end of sending the peer has so long to read the last answer and end its side. */
    public static final double TIMEOUT_MS = 500;
    /** Input thrown away before the connection is closed over the rest: enough for what is under way, far from all. */
    public static final int MAX_DISCARDED_BYTES = 512 * 1024;
    /** Read at once; the loop's thread alone reads. */
    private static final int READ_AT_ONCE = 4_096;

    private final IOSession connection;
    private final Scheduler scheduler;
    private Scheduler.ScheduledTask bound;
    private ByteBuffer input;
    private int discarded;

    /** Does nothing before {@link #begin}. */
    public LingeringClose(IOSession connection, Scheduler scheduler) {
        this.connection = connection;
        this.scheduler = scheduler;
    }

    /** Ends the sending; all that was to be sent has to be written by now. */
    public void begin() {
        bound = scheduler.schedule(TIMEOUT_MS, this::close);
        input = ByteBuffer.allocate(READ_AT_ONCE);
        try {
            if (connection.channel() instanceof SocketChannel channel) {
                channel.shutdownOutput();
            }
            connection.setEvent(EventMask.READ);
            inputReady();
        } catch (IOException broken) {
            close();
        }
    }

    /** Throws away what has come in; closes the connection at its end. */
    public void inputReady() throws IOException {
        int bytes;
        do {
            input.clear();
            bytes = connection.read(input);
            discarded += Math.max(0, bytes);
        } while (bytes > 0 && discarded <= MAX_DISCARDED_BYTES);
        if (bytes < 0 || discarded > MAX_DISCARDED_BYTES) {
            close();
        }
    }

    /** Closes the connection now; a second time does nothing. */
    public void close() {
        onClosed();
        connection.close(CloseMode.GRACEFUL);
    }

    /** The connection is over, by whichever side. */
    public void onClosed() {
        if (bound != null) {
            bound.cancel();
        }
    }
}
