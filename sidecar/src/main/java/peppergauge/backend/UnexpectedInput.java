package peppergauge.backend;

import java.util.Locale;
import java.util.concurrent.atomic.LongAdder;
import peppergauge.log.Log;
import peppergauge.request.Backend;

/** Input from a backend server that responds to no request, by the time at which it was detected. */
enum UnexpectedInput {
    /** No request was using the connection. */
    IDLE,
    /** A request had leased the connection, and no byte of it was written. */
    BEFORE_REQUEST,
    /** A successful response began before the last byte of its request was written. */
    BEFORE_LAST_BYTE;

    /** Number of occurrences since the process started. */
    private final LongAdder count = new LongAdder();

    /**
     * Counts and logs one occurrence.
     *
     * @param sinceIdleMs time since the connection last became idle; NaN if it has not been idle
     */
    void log(Backend.Server server, double sinceIdleMs) {
        count.increment();
        Log.event(
                "unexpected_backend_input",
                "when",
                name().toLowerCase(Locale.ROOT),
                "server",
                server.id(),
                "since_idle_ms",
                Double.isNaN(sinceIdleMs) ? "none" : Math.round(sinceIdleMs),
                "total",
                count);
    }
}
