package peppergauge.lab.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Whether a program is ready, by one HTTP request on a connection of its own. */
public final class ReadinessProbe {

    /** The status of who is ready. */
    public static final String OK = "200";

    private static final int TIMEOUT_MS = 1_000;
    private static final long MAX_WAIT_NS = 180_000_000_000L;
    private static final long POLL_INTERVAL_MS = 20;
    /** Where the status stands in an answer. */
    private static final int STATUS_START = 9;

    private static final int STATUS_END = 12;

    private ReadinessProbe() {}

    /** The answer's status; empty if nobody listens or answers. */
    public static String requestStatus(InetSocketAddress address, String path) {
        try (Socket socket = new Socket()) {
            socket.connect(address, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nHost: api.internal\r\n" + "Connection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            String head = new String(socket.getInputStream().readNBytes(STATUS_END), StandardCharsets.US_ASCII);
            return head.substring(Math.min(STATUS_START, head.length()));
        } catch (IOException refused) {
            return "";
        }
    }

    /**
     * Waits for up to 180 s, since hundreds may start at once; true once it is ready.
     *
     * @param alive whether it is worth while to wait
     */
    public static boolean await(InetSocketAddress address, String path, BooleanSupplier alive)
            throws InterruptedException {
        long startNs = System.nanoTime();
        while (alive.getAsBoolean() && System.nanoTime() - startNs < MAX_WAIT_NS) {
            if (requestStatus(address, path).equals(OK)) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        return false;
    }
}
