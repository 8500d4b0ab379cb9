package peppergauge.overload;

/** The degree of overload of this program, in ascending order. */
public enum OverloadLevel {
    /** The queue delay is within its target. */
    NONE,
    /** The queue delay is above its target, for less than an interval. */
    TRANSIENT_QUEUE,
    /** The queue delay has been above its target for an interval. */
    STANDING_QUEUE,
    /** A share of the requests is shed. Lasts until all requests are admitted again, at most 2 s after the overload. */
    SHEDDING,
    /** More than half of the requests are to be shed. */
    SEVERE
}
