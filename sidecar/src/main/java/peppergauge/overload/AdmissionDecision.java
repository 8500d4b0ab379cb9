package peppergauge.overload;

/** What is decided on a new request. */
public enum AdmissionDecision {
    /** It is passed to the load balancer. */
    ADMIT,
    /** Rejected: the remaining time is too short to serve it. */
    TOO_LATE,
    /** Rejected: its priority is too low for the present overload. */
    SHED
}
