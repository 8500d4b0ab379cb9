package peppergauge.invariant;

/** What must always hold for the events and actions of a load balancer. Names appear in logs and test output. */
public enum Invariant {
    /** Times are finite and never go backwards. */
    CLOCK,
    /** The host's events are possible: no id is open twice, times are numbers. */
    HOST,
    /** A request gets at most one final answer, and none after its client disconnected. */
    ONE_ANSWER,
    /** An attempt is for an open request whose response has not begun. */
    OPEN_SESSION,
    /** No attempt is sent after the client disconnected. */
    CLIENT_LEFT,
    /** A request has no more attempts than allowed. */
    MOST_ATTEMPTS,
    /** One attempt is open at a time, unless parallel ones are allowed; a cancelled one is open until its end. */
    ONE_OUT,
    /** A request that may have run is sent again only as its idempotency allows. */
    RAN_TWICE,
    /** A request is rejected only if it is safe to try again. */
    REFUSED_WHAT_RAN,
    /** Attempts go only to servers that are listed and not draining. */
    SERVER,
    /** The timeout of an attempt is over 0 and ends by the request's deadline. */
    TIME_OUT,
    /** Retry-After is within its limit, and 0 where none is allowed. */
    RETRY_AFTER,
    /** Retries stay within their budget. */
    BUDGET,
    /** A timer is not in the past, has a token of its own, and is cancelled only while it is set. */
    TIMER,
    /** Cancellations, health checks and watches are allowed by the settings, and of something that is there. */
    ALLOWED,
    /** A request is closed by its deadline once all due timers have fired. */
    DEADLINE,
    /** When no request is open, no timer of a request is set. */
    NOTHING_LEFT,
    /** Learned figures are finite and weigh 0 or more. */
    FIGURES
}
