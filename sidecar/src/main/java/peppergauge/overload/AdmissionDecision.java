package peppergauge.overload;

/** What becomes of a session that arrives. */
public enum AdmissionDecision {
    /** It goes to the module. */
    ADMIT,
    /** Denied: the time left cannot hold a service; coming back is of no use. */
    TOO_LATE,
    /** Denied: there is more to do than time for it, and this is what is worth least. */
    SHED
}
