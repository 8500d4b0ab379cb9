package peppergauge.lab.rig;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates loopback addresses that nothing else uses. On 127.0.0.1 another connection may take a port after it was
 * found free or while its listener is closed.
 */
public final class LoopbackHosts {

    private static final AtomicInteger COUNT = new AtomicInteger();
    /** Networks 127.64 to 127.255 are allocated by process and rig. */
    private static final int FIRST_NETWORK = 64;

    private static final int NETWORKS = 192;

    private final int network;

    private LoopbackHosts(int network) {
        this.network = network;
    }

    /** Returns a different network for each rig of this process, and most likely for each process. */
    public static LoopbackHosts allocate() {
        long hash = ProcessHandle.current().pid() * 31 + COUNT.getAndIncrement();
        return new LoopbackHosts(FIRST_NETWORK + (int) (hash % NETWORKS));
    }

    /**
     * Returns the address with this index.
     *
     * @param index 0 to 65,000
     */
    public InetAddress of(int index) throws UnknownHostException {
        return InetAddress.getByAddress(
                new byte[] {127, (byte) network, (byte) (index / 250), (byte) (1 + index % 250)});
    }
}
