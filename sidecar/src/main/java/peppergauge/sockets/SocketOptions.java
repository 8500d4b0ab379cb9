package peppergauge.sockets;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import peppergauge.log.Log;

/** The socket options of all connections. */
final class SocketOptions {

    private static final int MAX_TRIES = 3;

    private SocketOptions() {}

    /**
     * Lets small writes leave at once. A connection whose option cannot be set, for lack of memory in the kernel, is
     * slower and still usable.
     */
    static void disableDelay(SocketChannel channel) throws IOException {
        for (int tries = 1; ; tries++) {
            try {
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
                return;
            } catch (IOException failed) {
                if (!channel.isOpen()) {
                    throw failed;
                }
                if (tries == MAX_TRIES) {
                    Log.event("socket_option_failed", "option", "TCP_NODELAY", "error", failed.getMessage());
                    return;
                }
            }
        }
    }
}
