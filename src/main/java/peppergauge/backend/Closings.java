package peppergauge.backend;

import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
import peppergauge.sockets.SocketRoom;

/** Counts the connections to backend servers that ended, whoever ended them. */
record Closings(SocketRoom room) implements IOSessionListener {

    @Override
    public void disconnected(IOSession session) {
        room.closed();
    }

    @Override
    public void connected(IOSession session) {
        // Its place was taken before it was asked for.
    }

    @Override
    public void startTls(IOSession session) {
        // Plain TCP only.
    }

    @Override
    public void inputReady(IOSession session) {
        // The exchange reads it.
    }

    @Override
    public void outputReady(IOSession session) {
        // The exchange writes.
    }

    @Override
    public void timeout(IOSession session) {
        // It was idle; HttpCore closes it.
    }

    @Override
    public void exception(IOSession session, Exception cause) {
        // The exchange learns of it.
    }
}
