package peppergauge.lab.rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits until a program is ready, past all links: whether it is must not hang on a fault. */
final class Ready {

    private static final long LONGEST_NS = 60_000_000_000L;
    private static final long PAUSE_MS = 20;

    private Ready() { }

    /**
     * True once it is ready.
     *
     * @param path see {@link FurtherProgram#ready}
     * @param alive whether it is worth while to wait
     */
    static boolean await(InetSocketAddress address, String path, BooleanSupplier alive) throws InterruptedException {
        long startNs = System.nanoTime();
        while (alive.getAsBoolean() && System.nanoTime() - startNs < LONGEST_NS) {
            if (answers(address, path)) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
        return false;
    }

    private static boolean answers(InetSocketAddress address, String path) {
        try (Socket socket = new Socket()) {
            socket.connect(address, 1_000);
            socket.setSoTimeout(1_000);
            if (path.isEmpty()) {
                return true;
            }
            socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith(" 200");
        } catch (IOException refused) {
            return false;
        }
    }
}
