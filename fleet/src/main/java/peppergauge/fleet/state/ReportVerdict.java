package peppergauge.fleet.state;

/** Verdict on a report, with the HTTP status of the response. All but {@link #TAKEN} change nothing. */
public enum ReportVerdict {
    /** Newer than all reports before it. */
    TAKEN(200),
    /** Not newer than a stored report of the same incarnation: repeated or out of order. */
    REPEATED(200),
    /** Sent too long ago. */
    LATE(422),
    /** Sent, or its daemon started, further ahead of this clock than the clock skew allows. */
    FUTURE(422),
    /** Of a former incarnation of its daemon, or of another daemon with the same name. */
    DEAD_INCARNATION(409),
    /** Malformed, or with values out of range. */
    MALFORMED(400),
    OVERSIZED(413),
    OTHER_SITE(403),
    /** The store has no capacity for another daemon, or for a larger report. */
    FULL(507),
    /** The merge worker's inbox is full; the daemon should retry. */
    BUSY(503);

    private final int status;

    ReportVerdict(int status) {
        this.status = status;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }
}
