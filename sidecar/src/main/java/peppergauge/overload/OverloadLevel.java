package peppergauge.overload;

/** How deep in overload the program is, the least first. */
public enum OverloadLevel {
    /** No queue to speak of. */
    CALM,
    /** The delay is over the target, since less than an interval. */
    BRIEF,
    /** A queue stands. */
    STANDING,
    /** A share of the sessions is shed, or was a moment ago. */
    SHEDDING,
    /** More than half of the sessions are to be shed. */
    DEEP
}
