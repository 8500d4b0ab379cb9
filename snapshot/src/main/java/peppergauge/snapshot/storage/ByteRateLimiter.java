package peppergauge.snapshot.storage;

/** Token bucket that limits the bytes written in a minute; it holds the bytes of one minute. Not thread-safe. */
public final class ByteRateLimiter {

    private final double bytesPerMs;
    private final double maxBytes;
    private double availableBytes;
    private double updatedMs;

    /**
     * Creates a limiter that has the bytes of a whole minute available.
     *
     * @param bytesPerMinute limit, more than 0
     * @param nowMs monotonic time, ms
     */
    public ByteRateLimiter(long bytesPerMinute, double nowMs) {
        bytesPerMs = bytesPerMinute / 60_000.0;
        maxBytes = bytesPerMinute;
        availableBytes = bytesPerMinute;
        updatedMs = nowMs;
    }

    /** Takes the bytes if as many are available. Returns whether they were taken. */
    public boolean tryAcquire(long bytes, double nowMs) {
        availableBytes = Math.min(maxBytes, availableBytes + Math.max(0, nowMs - updatedMs) * bytesPerMs);
        updatedMs = nowMs;
        if (bytes > availableBytes) {
            return false;
        }
        availableBytes -= bytes;
        return true;
    }
}
