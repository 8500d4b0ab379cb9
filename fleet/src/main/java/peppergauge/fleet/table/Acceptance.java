package peppergauge.fleet.table;

/** A reader's answer to a table; all but the first leave everything as it was. */
public enum Acceptance {
    TAKEN,
    OLDER,
    EXPIRED,
    OTHER_SITE,
    /** Issued further ahead of the reader's clock than clocks may differ. */
    FUTURE,
    /** Moves a factor by more than the time since the last one allows. */
    TOO_FAR,
    /** No steering, a lease or version out of range. */
    MALFORMED
}
