package peppergauge.http;

import java.io.IOException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.nio.CapacityChannel;

/**
 * How much more of a body may come in, kept in step with HttpCore's own count: that one only grows by what is added,
 * and counts what came although there was no room, so that what is granted twice would never be taken back.
 */
public final class ReceiveWindow {

    /** HttpCore's count at the beginning of a body. */
    private long granted = Http1Config.DEFAULT.getInitialWindowSize();

    private long room = Long.MAX_VALUE;
    private CapacityChannel channel;

    /** {@code more}: granted already, beyond HttpCore's own beginning. */
    public ReceiveWindow(int more) {
        granted += more;
    }

    public ReceiveWindow() {
        this(0);
    }

    /** HttpCore has run out of room, and asks for more. */
    public void onWindowExhausted(CapacityChannel capacity) throws IOException {
        channel = capacity;
        grant();
    }

    /** So much came in. */
    public void onReceived(int bytes) {
        granted -= bytes;
        room -= bytes;
    }

    /** So much may come from now on; a channel that is closed no longer cares. */
    public void setCapacity(long bytes) {
        room = bytes;
        try {
            grant();
        } catch (IOException closed) {
            // HttpCore's own channel throws nothing.
        }
    }

    /** Whether more may come. */
    public boolean isOpen() {
        return room > 0;
    }

    private void grant() throws IOException {
        if (channel != null && room > granted) {
            long more = Math.min(room - granted, Integer.MAX_VALUE - 1);
            granted += more;
            channel.update((int) more);
        }
    }
}
