package peppergauge.sockets;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import peppergauge.log.Log;

/**
 * An accepted connection that has passed the gate and has no session yet.
 *
 * @param factory creates its handler
 */
record AcceptedConnection(SocketChannel channel, ConnectionHandlerFactory factory) {

    /** Opens its session; returns null if a call fails, and closes the connection. Event-loop thread only. */
    EventLoopSession open(EventLoop loop) {
        try {
            channel.configureBlocking(false);
            SocketOptions.disableDelay(channel);
            return loop.openSession(
                    channel, loop.selector().register(channel, SelectionKey.OP_READ, null), null, factory);
        } catch (IOException | RuntimeException failed) {
            Log.event("connection_open_failed", "error", String.valueOf(failed));
            loop.closeQuietly(channel);
            return null;
        }
    }
}
