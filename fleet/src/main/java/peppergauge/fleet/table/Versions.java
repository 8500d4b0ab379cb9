package peppergauge.fleet.table;

/**
 * Versions that only grow, also over restarts and with two publishers: a hybrid logical clock and its issuer in one
 * long. From the top: Unix time in ms, 8 bits that count within it, 8 bits of the issuer's number. Each issuer goes
 * beyond what it has seen, and what it may hand out is on disk before it does.
 */
public final class Versions {

    private static final int TIME_SHIFT = 16;
    private static final int COUNT_SHIFT = 8;
    /** Reserved at once, so that the disk is written to once in so long, ms. */
    static final long RESERVED_MS = 60_000;

    private static final long AHEAD_MS = 1_000;
    /** A version that is further ahead of this clock is a broken clock's: followed, it would never be caught up. */
    static final long BELIEVED_AHEAD_MS = 600_000;

    private final int issuer;
    private long highest;
    private long reserved;

    /**
     * @param issuer from 1 to 255, its own for each instance
     * @param reserved what the disk says may have been handed out before; 0 for nothing
     */
    public Versions(int issuer, long reserved) {
        if (issuer < 1 || issuer > 255) {
            throw new IllegalArgumentException("an issuer is from 1 to 255, not " + issuer);
        }
        this.issuer = issuer;
        this.reserved = reserved;
        highest = reserved;
    }

    /** Another's. @return false if it is not believed */
    public boolean seen(long version, long nowMs) {
        if (ms(version) - nowMs > BELIEVED_AHEAD_MS) {
            return false;
        }
        highest = Math.max(highest, version);
        return true;
    }

    /** What comes next; nothing changes yet. */
    public long next(long nowMs) {
        long byClock = nowMs << TIME_SHIFT | issuer;
        long next = byClock > highest ? byClock : (highest >> COUNT_SHIFT) + 1 << COUNT_SHIFT | issuer;
        assert next > highest && (next & (1 << COUNT_SHIFT) - 1) == issuer
                : next + " after " + highest + " of " + issuer;
        return next;
    }

    /**
     * What has to be on disk before that one is handed out; 0 where it is already. Ahead of the clock, where a start
     * leads, only little more is reserved: a process that ends again and again must not run away from the clock.
     */
    public long toReserve(long version, long nowMs) {
        long reserve = version <= reserved
                ? 0
                : Math.max(version + (AHEAD_MS << TIME_SHIFT), nowMs + RESERVED_MS << TIME_SHIFT);
        assert Math.max(reserve, reserved) >= version : version + " is handed out under " + reserve + ", " + reserved;
        return reserve;
    }

    /** It is on disk. */
    public void reserved(long through) {
        reserved = Math.max(reserved, through);
    }

    /** It is handed out now; was reserved before. */
    public void issued(long version) {
        if (version > reserved || version <= highest) {
            throw new IllegalStateException("version " + version + " is not to be handed out");
        }
        highest = version;
    }

    public static long ms(long version) {
        return version >> TIME_SHIFT;
    }
}
