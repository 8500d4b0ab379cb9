package peppergauge.snapshot.storage;

/** Bytes that may be written in a minute; what was not used is saved up for one minute at the most. */
public final class ByteAllowance {

    private final double perMs;
    private final double most;
    private double left;
    private double atMs;

    /** @param perMinute over 0 */
    public ByteAllowance(long perMinute, double nowMs) {
        perMs = perMinute / 60_000.0;
        most = perMinute;
        left = perMinute;
        atMs = nowMs;
    }

    /** Whether so many may be written now, which then are counted. */
    public boolean take(long bytes, double nowMs) {
        left = Math.min(most, left + Math.max(0, nowMs - atMs) * perMs);
        atMs = nowMs;
        if (bytes > left) {
            return false;
        }
        left -= bytes;
        return true;
    }
}
