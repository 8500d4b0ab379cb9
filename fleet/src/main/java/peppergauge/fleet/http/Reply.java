package peppergauge.fleet.http;

import peppergauge.fleet.wire.Json;

/** @param retryAfterS 0 for no advice */
public record Reply(int status, byte[] body, int retryAfterS) {

    public static Reply json(int status, Object value) {
        return new Reply(status, Json.write(value), 0);
    }

    public Reply retryAfter(int seconds) {
        return new Reply(status, body, seconds);
    }
}
