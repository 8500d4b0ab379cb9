package peppergauge.lab.load;

import java.nio.charset.StandardCharsets;

/**
 * A request of a client.
 *
 * @param id in {@code X-Txn}; a retry has a new one
 * @param path the class, and the key if there is one
 * @param body empty for a GET, else a POST
 * @param patienceNs how long the client waits, from when it wants to send
 * @param saysNs how long it says that it waits
 * @param resent whether it says that it is a retry
 */
public record Request(
        String id, String path, String tenant, String body, long patienceNs, long saysNs, boolean resent) {

    byte[] text(long remainingMs) {
        return ((body.isEmpty() ? "GET " : "POST ") + path + " HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + id
                        + "\r\nX-Org: " + tenant + "\r\nX-Remaining-Ms: " + remainingMs + "\r\n"
                        + (resent ? "X-Resent: 1\r\n" : "")
                        + (body.isEmpty() ? "\r\n" : "Content-Length: " + body.length() + "\r\n\r\n" + body))
                .getBytes(StandardCharsets.ISO_8859_1);
    }
}
