package peppergauge.lab.rig;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Loopback addresses that nothing else uses. On 127.0.0.1 a port that was found free, or that was shut for a moment,
 * may be taken by anybody's connection before it is opened.
 */
public final class LoopbackHosts {

    private static final AtomicInteger COUNT = new AtomicInteger();
    /** 127.64 to 127.255 are dealt out by process and rig. */
    private static final int FIRST_NETWORK = 64;

    private static final int NETWORKS = 192;

    private final int network;

    private LoopbackHosts(int network) {
        this.network = network;
    }

    /** Another net for each rig of this process, and most likely for each process. */
    public static LoopbackHosts allocate() {
        long hash = ProcessHandle.current().pid() * 31 + COUNT.getAndIncrement();
        return new LoopbackHosts(FIRST_NETWORK + (int) (hash % NETWORKS));
    }

    /** @param index 0 to 65,000 */
    public InetAddress of(int index) throws UnknownHostException {
        return InetAddress.getByAddress(
                new byte[] {127, (byte) network, (byte) (index / 250), (byte) (1 + index % 250)});
    }
}
