package peppergauge.sockets;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOSession;
import peppergauge.request.Scheduler;

/**
 * Closes a connection in stages (RFC 9112, 9.6): closes the sending direction, discards input, and closes the socket
 * when the peer has closed its side or a limit of time or bytes is reached. Closing a socket with unread input would
 * send a reset, which can discard the last response before the peer reads it.
 *
 * <p>Used once for each connection, on the event loop's thread.
 */
public final class LingeringClose {

    /** Time for the peer to read the last response and close its side. */
    public static final double TIMEOUT_MS = 500;
    /** Maximum input that is discarded; more than can be in transit. */
    public static final int MAX_DISCARDED_BYTES = 512 * 1024;

    private static final int BUFFER_BYTES = 4_096;
    /** Maximum number of reads in one call, before other connections are served. */
    private static final int MAX_READS = 4;

    private final IOSession connection;
    private final Scheduler scheduler;
    private Scheduler.ScheduledTask timeout;
    private ByteBuffer input;
    private int discardedBytes;

    /** Creates an instance that does nothing before {@link #begin}. */
    public LingeringClose(IOSession connection, Scheduler scheduler) {
        this.connection = connection;
        this.scheduler = scheduler;
    }

    /** Closes the sending direction; all output must have been written. */
    public void begin() {
        timeout = scheduler.schedule(TIMEOUT_MS, this::close);
        input = ByteBuffer.allocate(BUFFER_BYTES);
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

    /** Discards pending input, of which there may be more; closes the connection at the end of the stream. */
    public void inputReady() throws IOException {
        int bytes = 0;
        for (int i = 0; i < MAX_READS && bytes >= 0 && discardedBytes <= MAX_DISCARDED_BYTES; i++) {
            bytes = connection.read(input.clear());
            discardedBytes += Math.max(0, bytes);
            if (bytes == 0) {
                return;
            }
        }
        if (bytes < 0 || discardedBytes > MAX_DISCARDED_BYTES) {
            close();
        }
    }

    private void close() {
        onClosed();
        connection.close(CloseMode.GRACEFUL);
    }

    /** Called when either side has closed the connection. */
    public void onClosed() {
        if (timeout != null) {
            timeout.cancel();
        }
    }
}
