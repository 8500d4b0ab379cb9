package peppergauge.sockets;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import org.apache.hc.core5.reactor.IOSession;
import peppergauge.log.Log;

/**
 * Limits the kernel's buffers of a connection. By default they grow to megabytes; a slow reader then takes minutes to
 * free enough space for the next write, and cannot be distinguished from a reader that has stopped.
 */
public final class KernelBuffers {

    private KernelBuffers() {}

    /** Sets the buffers of both directions to {@code bytes}, as far as the kernel allows; 0 leaves them unchanged. */
    public static void limit(IOSession session, int bytes) {
        if (bytes > 0 && session.channel() instanceof SocketChannel channel) {
            try {
                channel.setOption(StandardSocketOptions.SO_SNDBUF, bytes);
                channel.setOption(StandardSocketOptions.SO_RCVBUF, bytes);
            } catch (IOException closed) {
                Log.event("socket_buffers_unchanged", "bytes", bytes, "error", closed.getMessage());
            }
        }
    }
}
