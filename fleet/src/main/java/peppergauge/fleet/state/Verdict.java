package peppergauge.fleet.state;

/** The answer to a report. All but {@link #TAKEN} change nothing. */
public enum Verdict {
    /** It is newer than all before it. */
    TAKEN(200),
    /** As old as, or older than, one that is held: it came twice or out of order. */
    REPEATED(200),
    /** Sent longer ago than is taken. */
    LATE(422),
    /** Sent, or its daemon started, further ahead of this clock than is believed. */
    FUTURE(422),
    /** Its daemon has been started anew since. Two daemons of one name see this too. */
    DEAD_INCARNATION(409),
    /** It is no report, or one with values out of range. */
    MALFORMED(400),
    OVERSIZED(413),
    OTHER_SITE(403),
    /** No more daemons are held. */
    FULL(507),
    /** What is before it has not been merged yet; it should come again. */
    BUSY(503);

    private final int status;

    Verdict(int status) {
        this.status = status;
    }

    /** Of HTTP. */
    public int status() {
        return status;
    }
}
