package peppergauge.decision;

/**
 * Why the load balancer rejected a request.
 *
 * @param minServiceMs estimated time that an attempt needs to succeed, from which the queue deadline follows, ms
 */
public record RejectionCause(Reason reason, double minServiceMs) {

    /** The load balancer gave no reason. */
    public static final RejectionCause UNSPECIFIED = new RejectionCause(Reason.UNSPECIFIED, 0);

    /** The mechanism that rejected the request. */
    public enum Reason {
        /** It arrived with too little time for any response to be useful. */
        TOO_LATE,
        /** It waited until its queue deadline, and then no server was idle. */
        QUEUE_TIMEOUT,
        /** The time in which a response is useful is over. */
        EXPIRED,
        /** Its attempts, or the retry budget, are used up. */
        NO_FURTHER_ATTEMPT,
        /** It has probably caused the failure of its attempt itself. */
        CAUSED_FAILURE,
        /** Not told by the load balancer. */
        UNSPECIFIED
    }
}
