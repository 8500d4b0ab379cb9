package peppergauge.fleet.table;

/**
 * Hybrid logical clock for table versions, which grow across restarts and across several issuers.
 *
 * <p>A version consists of, from the highest bits: Unix time in ms, 8 bits of a counter, 8 bits of the issuer's number.
 * The next version of an issuer exceeds all that it observed. Versions have to be reserved on disk before they are
 * issued. Not thread-safe.
 */
public final class VersionClock {

    private static final int TIME_SHIFT = 16;
    private static final int COUNT_SHIFT = 8;
    private static final int MAX_ISSUER = 255;
    /** Time covered by one reservation, so that the disk is written once in this time. */
    static final long RESERVATION_MS = 60_000;

    private static final long MIN_RESERVATION_MS = 1_000;
    /** Versions further ahead of this clock are ignored, since their issuer's clock must be wrong. */
    static final long MAX_AHEAD_MS = 600_000;

    private final int issuer;
    private long highest;
    private long reserved;

    /**
     * Continues after the versions reserved before.
     *
     * @param issuer number of the instance, 1 to 255
     * @param reserved highest version that may have been issued, 0 for none
     * @throws IllegalArgumentException if the issuer is out of range
     */
    public VersionClock(int issuer, long reserved) {
        if (issuer < 1 || issuer > MAX_ISSUER) {
            throw new IllegalArgumentException("expected an issuer number of 1 to " + MAX_ISSUER + ", got " + issuer);
        }
        this.issuer = issuer;
        this.reserved = reserved;
        highest = reserved;
    }

    /**
     * Observes the version of another issuer.
     *
     * @return false if it is ignored because it is too far ahead
     */
    public boolean observe(long version, long nowMs) {
        if (timeOf(version) - nowMs > MAX_AHEAD_MS) {
            return false;
        }
        highest = Math.max(highest, version);
        return true;
    }

    /** Returns the next version, without issuing it. */
    public long next(long nowMs) {
        long byClock = nowMs << TIME_SHIFT | issuer;
        long next = byClock > highest ? byClock : (highest >> COUNT_SHIFT) + 1 << COUNT_SHIFT | issuer;
        assert next > highest && (next & (1 << COUNT_SHIFT) - 1) == issuer
                : "expected more than " + highest + " from issuer " + issuer + ", got " + next;
        return next;
    }

    /**
     * Returns the reservation that has to be on disk before a version is issued, 0 if it is reserved already. Versions
     * ahead of the clock reserve little, so that frequent restarts do not move versions ever further ahead.
     */
    public long requiredReservation(long version, long nowMs) {
        long reserve = version <= reserved
                ? 0
                : Math.max(version + (MIN_RESERVATION_MS << TIME_SHIFT), nowMs + RESERVATION_MS << TIME_SHIFT);
        assert Math.max(reserve, reserved) >= version
                : "expected a reservation of at least " + version + ", got " + reserve + " and " + reserved;
        return reserve;
    }

    /** Records that a reservation is on disk. */
    public void onReserved(long through) {
        reserved = Math.max(reserved, through);
    }

    /**
     * Records that a version is issued now.
     *
     * @throws IllegalStateException if it is not reserved, or not greater than all earlier versions
     */
    public void onIssued(long version) {
        if (version > reserved || version <= highest) {
            throw new IllegalStateException(
                    "expected a version above " + highest + " and up to " + reserved + " but was " + version);
        }
        highest = version;
    }

    /** Returns the Unix time of a version, ms. */
    public static long timeOf(long version) {
        return version >> TIME_SHIFT;
    }
}
