package peppergauge.overload;

/** How deep in overload the program is, the least first. */
public enum OverloadLevel {
    /** No queue to speak of. */
    NONE,
    /** The delay is over the target, since less than an interval. */
    TRANSIENT_QUEUE,
    /** A queue stands. */
    STANDING_QUEUE,
    /** A share of the sessions is shed, or was a moment ago. */
    SHEDDING,
    /** More than half of the sessions are to be shed. */
    SEVERE
}
