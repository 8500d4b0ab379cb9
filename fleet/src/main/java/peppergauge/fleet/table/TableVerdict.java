package peppergauge.fleet.table;

/** Verdict of a daemon on a table; all but {@link #TAKEN} reject it. */
public enum TableVerdict {
    TAKEN,
    /** Not newer than the newest accepted table. */
    OLDER,
    EXPIRED,
    OTHER_SITE,
    /** Issued further ahead of the daemon's clock than the clock skew allows. */
    FUTURE,
    /** Changes a weight by more than the time since the last table allows. */
    TOO_FAR,
    /** Without weights, or with a lease or version out of range. */
    MALFORMED
}
