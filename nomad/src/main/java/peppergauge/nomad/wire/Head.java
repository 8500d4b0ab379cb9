package peppergauge.nomad.wire;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;

/**
 * What the head of an answer says (Nomad API, "HTTP API": blocking queries, consistency modes).
 *
 * @param index X-Nomad-Index; 0 if there is none
 * @param lastContactMs X-Nomad-LastContact, ms since the answering server heard from the leader; 0 if not told
 * @param knownLeader X-Nomad-KnownLeader; true if not told
 * @param retryAfterMs 0 if there is no Retry-After in seconds
 */
public record Head(int status, long index, long lastContactMs, boolean knownLeader, double retryAfterMs) {

    /** A peer's wish to be left alone is heeded up to this, ms. */
    private static final double LONGEST_RETRY_AFTER_MS = 60_000;

    static Head of(HttpResponse response) {
        return new Head(
                response.getCode(),
                number(response, "X-Nomad-Index"),
                number(response, "X-Nomad-LastContact"),
                !"false".equalsIgnoreCase(text(response, "X-Nomad-KnownLeader")),
                Math.min(LONGEST_RETRY_AFTER_MS, 1_000.0 * number(response, "Retry-After")));
    }

    private static String text(HttpResponse response, String name) {
        Header header = response.getFirstHeader(name);
        return header == null || header.getValue() == null
                ? ""
                : header.getValue().trim();
    }

    private static long number(HttpResponse response, String name) {
        String text = text(response, name);
        return text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
    }
}
