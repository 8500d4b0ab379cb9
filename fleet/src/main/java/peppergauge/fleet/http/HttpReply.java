package peppergauge.fleet.http;

import peppergauge.fleet.wire.JsonCodec;

/**
 * Reply of the server to one request.
 *
 * @param body JSON
 * @param retryAfterS value of Retry-After in seconds, 0 for none
 */
public record HttpReply(int status, byte[] body, int retryAfterS) {

    /** Returns a reply with a record as JSON. */
    public static HttpReply json(int status, Object value) {
        return new HttpReply(status, JsonCodec.write(value), 0);
    }

    /** Returns this reply with a Retry-After header. */
    public HttpReply withRetryAfter(int seconds) {
        return new HttpReply(status, body, seconds);
    }
}
