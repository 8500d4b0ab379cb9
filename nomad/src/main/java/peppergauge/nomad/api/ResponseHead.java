package peppergauge.nomad.api;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;

/**
 * Head of a response (Nomad API, "HTTP API": blocking queries and consistency modes).
 *
 * @param index X-Nomad-Index, the index for the next blocking query; 0 if absent
 * @param lastContactMs X-Nomad-LastContact, ms since the server's last contact with the leader; 0 if absent
 * @param knownLeader X-Nomad-KnownLeader; true if absent
 * @param retryAfterMs Retry-After, converted to ms; 0 if absent or a date
 */
public record ResponseHead(int status, long index, long lastContactMs, boolean knownLeader, double retryAfterMs) {

    /** Bound of Retry-After; longer values are replaced by it. */
    private static final double MAX_RETRY_AFTER_MS = 60_000;

    static ResponseHead of(HttpResponse response) {
        return new ResponseHead(
                response.getCode(),
                number(response, "X-Nomad-Index"),
                number(response, "X-Nomad-LastContact"),
                !"false".equalsIgnoreCase(text(response, "X-Nomad-KnownLeader")),
                Math.min(MAX_RETRY_AFTER_MS, 1_000.0 * number(response, "Retry-After")));
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
