package peppergauge.overload;

/** The decision on a new request. */
public enum AdmissionDecision {
    /** Admitted: the request is passed to the load balancer. */
    ADMIT,
    /** Rejected: the remaining time is too short to serve the request. */
    TOO_LATE,
    /** Rejected: the priority is too low for the present overload. */
    SHED
}
