package peppergauge.http;

import java.io.IOException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.nio.CapacityChannel;

/**
 * Limits how many bytes of a body may still be received. Tracks HttpCore's own window, which can only be increased:
 * bytes that arrive beyond the capacity are counted there as well, so that no byte is granted twice. Only the event
 * loop's thread uses it.
 */
public final class ReceiveWindow {

    /** Number of bytes that HttpCore may still read, by HttpCore's own count. */
    private long grantedBytes = Http1Config.DEFAULT.getInitialWindowSize();

    private long capacityBytes = Long.MAX_VALUE;
    private CapacityChannel channel;

    /** Creates a window; {@code moreBytes}: bytes already granted to HttpCore beyond its initial window. */
    public ReceiveWindow(int moreBytes) {
        grantedBytes += moreBytes;
    }

    /** Called when HttpCore has used up its window, which is increased now or when capacity is set. */
    public void onWindowExhausted(CapacityChannel capacity) throws IOException {
        channel = capacity;
        grant();
    }

    /** Called when bytes have been received. */
    public void onReceived(int bytes) {
        grantedBytes -= bytes;
        capacityBytes -= bytes;
    }

    /** Sets how many bytes may be received from now on. */
    public void setCapacity(long bytes) {
        capacityBytes = bytes;
        try {
            grant();
        } catch (IOException closed) {
            // A closed channel needs no capacity; HttpCore's implementation does not throw.
        }
    }

    /** Whether more bytes may be received. */
    public boolean isOpen() {
        return capacityBytes > 0;
    }

    private void grant() throws IOException {
        if (channel != null && capacityBytes > grantedBytes) {
            long moreBytes = Math.min(capacityBytes - grantedBytes, Integer.MAX_VALUE - 1);
            grantedBytes += moreBytes;
            channel.update((int) moreBytes);
        }
    }
}
