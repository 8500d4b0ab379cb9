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
        require(maxBodyBytes >= 0, "maxBodyBytes", "0 or more", maxBodyBytes);
        require(
                maxBodyMemoryBytes >= 0 && maxBodyMemoryBytes <= memoryBytes,
                "maxBodyMemoryBytes",
                "from 0 to memoryBytes (" + memoryBytes + ")",
                maxBodyMemoryBytes);
        require(
                maxBodyFileBytes >= 0 && maxBodyFileBytes <= fileBytes,
                "maxBodyFileBytes",
                "from 0 to fileBytes (" + fileBytes + ")",
                maxBodyFileBytes);
        require(maxFiles >= 0, "maxFiles", "0 or more", maxFiles);
        require(maxOwnerShare > 0 && maxOwnerShare <= 1, "maxOwnerShare", "over 0 and up to 1", maxOwnerShare);
    }

    private static void require(boolean holds, String name, String expected, Object value) {
        if (!holds) {
            throw new IllegalArgumentException(name + " must be " + expected + " but is " + value);
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
