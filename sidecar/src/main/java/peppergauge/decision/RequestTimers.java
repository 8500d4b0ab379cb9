package peppergauge.decision;

import java.util.HashMap;
import java.util.Map;

/** Pending timers, by token. */
final class RequestTimers {

    /** The purpose of a timer. */
    enum Kind {
        OPEN_WATCH,
        REQUEST_EXPIRY,
        QUEUE_TIMEOUT,
        ATTEMPT_TIMEOUT
    }

    /** A timer; {@code request} is null for timers of the endpoint watch. */
    record Timer(Kind kind, Request request) {}

    private final Map<Long, Timer> timers = new HashMap<>();
    private long lastToken;

    /** Adds a timer and returns its token. */
    long add(Kind kind, Request request) {
        timers.put(++lastToken, new Timer(kind, request));
        if (request != null) {
            request.timerTokens.add(lastToken);
        }
        return lastToken;
    }

    /** Removes a timer and returns it; null if it has fired or was removed before. */
    Timer remove(long token) {
        return timers.remove(token);
    }
}
