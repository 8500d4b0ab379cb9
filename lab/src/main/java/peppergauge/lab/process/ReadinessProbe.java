package peppergauge.lab.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Checks by an HTTP request on a new connection whether a program is ready. */
public final class ReadinessProbe {

    /** Status of a program that is ready. */
    public static final String OK = "200";

    private static final int TIMEOUT_MS = 1_000;
    private static final long MAX_WAIT_NS = 180_000_000_000L;
    private static final long POLL_INTERVAL_MS = 20;
    /** Position of the status code in a response. */
    private static final int STATUS_START = 9;

    private static final int STATUS_END = 12;

    private ReadinessProbe() {}

    /** Returns the status code of the response; empty if the connection fails or there is no response in time. */
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
     * Waits up to 180 s until the program is ready, since hundreds of programs may start at once.
     *
     * @param alive whether the program still runs; the wait ends if it does not
     * @return whether the program is ready
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
