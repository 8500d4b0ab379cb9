package peppergauge.lab.load;

import java.nio.charset.StandardCharsets;

/**
 * One attempt of a client.
 *
 * @param id the value of {@code X-Txn}; a retry has a new id
 * @param path the class, and the key if the request has one
 * @param body empty for a GET, else a POST
 * @param timeoutNs the client's timeout, from the arrival of the request
 * @param statedTimeoutNs the timeout that the client states in {@code X-Remaining-Ms}
 * @param resent whether the request is marked as a retry by {@code X-Resent}
 */
public record Request(
        String id, String path, String tenant, String body, long timeoutNs, long statedTimeoutNs, boolean resent) {

    /** Returns the request in HTTP/1.1. */
    byte[] text(long remainingMs) {
        return ((body.isEmpty() ? "GET " : "POST ") + path + " HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + id
                        + "\r\nX-Org: " + tenant + "\r\nX-Remaining-Ms: " + remainingMs + "\r\n"
                        + (resent ? "X-Resent: 1\r\n" : "")
                        + (body.isEmpty() ? "\r\n" : "Content-Length: " + body.length() + "\r\n\r\n" + body))
                .getBytes(StandardCharsets.ISO_8859_1);
    }
}
