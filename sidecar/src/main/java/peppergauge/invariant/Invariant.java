package peppergauge.invariant;

/** Invariants of the events and actions of a load balancer. The names appear in logs and test output. */
public enum Invariant {
    /** Times are finite and never go backwards. */
    CLOCK,
    /** The host's events are consistent: no two open requests have the same id, and times are numbers. */
    HOST,
    /** A request gets at most one final answer, and none after its client has disconnected. */
    ONE_ANSWER,
    /** An attempt is for an open request whose response has not begun. */
    OPEN_SESSION,
    /** No attempt is sent after the client has disconnected. */
    CLIENT_LEFT,
    /** A request has no more attempts than the settings allow. */
    MOST_ATTEMPTS,
    /** A request has one open attempt at a time unless the settings allow more. Cancelled ones count until they end. */
    ONE_OUT,
    /** A request that a server may have executed is sent again only if its idempotency allows it. */
    RAN_TWICE,
    /** A request is rejected only if the client can safely retry it. */
    REFUSED_WHAT_RAN,
    /** Attempts are sent only to known servers that are not draining and, if removal forbids sends, are listed. */
    SERVER,
    /** The timeout of an attempt is over 0 and ends no later than the request's deadline. */
    TIME_OUT,
    /** The Retry-After time is within its limit, and 0 if the settings do not allow it. */
    RETRY_AFTER,
    /** Retries stay within the retry budget. */
    BUDGET,
    /** A timer is not in the past, has a unique token, and is cancelled only while it is pending. */
    TIMER,
    /** The settings allow cancellations, health checks and watches, and the attempt or server that they name exists. */
    ALLOWED,
    /** A request is closed at its deadline, provided that all due timers have fired. */
    DEADLINE,
    /** While no request is open, no timer of a request is pending. */
    NOTHING_LEFT,
    /** All values of an exported learned state are finite, with weights of 0 or more. */
    FIGURES
}
