package peppergauge.sockets;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import org.apache.hc.core5.reactor.IOSession;
import peppergauge.log.Log;

/**
 * Bounds what the kernel holds of a connection. Left alone it grows to megabytes for a fast sender: memory that nobody
 * counts, and a slow reader then takes minutes to free the third of it from which on more can be written, and looks
 * like one that has stopped.
 */
public final class KernelBuffers {

    private KernelBuffers() {}

    /** To that many bytes in each direction, as far as the kernel does as asked; 0 leaves them alone. */
    public static void limit(IOSession session, int bytes) {
        if (bytes > 0 && session.channel() instanceof SocketChannel channel) {
            try {
                channel.setOption(StandardSocketOptions.SO_SNDBUF, bytes);
                channel.setOption(StandardSocketOptions.SO_RCVBUF, bytes);
            } catch (IOException closed) {
                Log.line("buffers", "a socket's buffers stay as they are: " + closed.getMessage());
            }
        }
    }
}
