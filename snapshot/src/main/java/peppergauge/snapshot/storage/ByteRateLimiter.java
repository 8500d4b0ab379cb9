package peppergauge.snapshot.storage;

/** Limits the bytes written a minute; unused bytes are saved up for one minute at most. Not thread-safe. */
public final class ByteRateLimiter {

    private final double bytesPerMs;
    private final double maxBytes;
    private double availableBytes;
    private double updatedMs;

    /**
     * Creates a limiter with a full minute available.
     *
     * @param bytesPerMinute over 0
     * @param nowMs monotonic time
     */
    public ByteRateLimiter(long bytesPerMinute, double nowMs) {
        bytesPerMs = bytesPerMinute / 60_000.0;
        maxBytes = bytesPerMinute;
        availableBytes = bytesPerMinute;
        updatedMs = nowMs;
    }

    /** Takes so many bytes if they are available; returns whether they were. */
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
