package peppergauge.bodies.ledger;

/**
 * Limits on the storage of request bodies.
 *
 * @param maxBodyBytes the longest body that is accepted
 * @param maxBodyMemoryBytes of one body in memory, at most {@code memoryBytes}
 * @param memoryBytes of all bodies in memory
 * @param maxBodyFileBytes of one body in a file, at most {@code fileBytes}
 * @param fileBytes of all bodies in files
 * @param maxFiles bodies in files at once, each of which takes a descriptor
 * @param maxOwnerShare share of a tier that one tenant or one request class may use when the tier is nearly full, over
 *     0 up to 1
 */
public record StorageLimits(
        long maxBodyBytes,
        long maxBodyMemoryBytes,
        long memoryBytes,
        long maxBodyFileBytes,
        long fileBytes,
        int maxFiles,
        double maxOwnerShare) {

    /** @throws IllegalArgumentException if a value is out of its range */
    public StorageLimits {
        if (maxBodyBytes < 0
                || maxBodyMemoryBytes < 0
                || maxBodyFileBytes < 0
                || maxFiles < 0
                || maxBodyMemoryBytes > memoryBytes
                || maxBodyFileBytes > fileBytes
                || !(maxOwnerShare > 0 && maxOwnerShare <= 1)) {
            throw new IllegalArgumentException("storage limits are out of range: memory " + maxBodyMemoryBytes + " of "
                    + memoryBytes + " B, files " + maxBodyFileBytes + " of " + fileBytes + " B, body " + maxBodyBytes
                    + " B, " + maxFiles + " files, share " + maxOwnerShare);
        }
    }

    /** The length in bytes over which a body can never be buffered completely. */
    public long maxBufferedBodyBytes() {
        return Math.min(maxBodyBytes, Math.max(maxBodyMemoryBytes, maxBodyFileBytes));
    }

    long maxBodyBytes(Tier tier) {
        return tier == Tier.MEMORY ? maxBodyMemoryBytes : tier == Tier.FILE ? maxBodyFileBytes : 0;
    }

    long totalBytes(Tier tier) {
        return tier == Tier.MEMORY ? memoryBytes : tier == Tier.FILE ? fileBytes : 0;
    }
}
