package peppergauge.decision;

import java.util.HashMap;
import java.util.Map;

/** The timers that are set, by token. */
final class RequestTimers {

    /** What is done when a timer fires. */
    enum Kind {
        OPEN_WATCH,
        REQUEST_END,
        LAST_CALL,
        ATTEMPT_TIMEOUT
    }

    /** A timer; {@code request} is null if it is of no request. */
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

    /** Removes a timer; null if it fired or was removed before. */
    Timer remove(long token) {
        return timers.remove(token);
    }
}
