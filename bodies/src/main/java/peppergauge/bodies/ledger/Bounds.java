package peppergauge.bodies.ledger;

/**
 * What an operator sets, in bytes.
 *
 * @param longest body that is taken at all
 * @param eachMemory of one body in memory, at most {@code allMemory}
 * @param allMemory of all bodies in memory
 * @param eachFile of one body in a file, at most {@code allFiles}
 * @param allFiles of all bodies in files
 * @param mostFiles bodies in files at once, each a descriptor
 * @param share of a tier that one tenant, or one class, may hold against others, over 0 up to 1
 */
public record Bounds(
        long longest, long eachMemory, long allMemory, long eachFile, long allFiles, int mostFiles, double share) {

    /** @throws IllegalArgumentException if a figure is out of its range */
    public Bounds {
        if (longest < 0
                || eachMemory < 0
                || eachFile < 0
                || mostFiles < 0
                || eachMemory > allMemory
                || eachFile > allFiles
                || !(share > 0 && share <= 1)) {
            throw new IllegalArgumentException("bounds out of range");
        }
    }

    /** Bytes of a body over which it can never be kept in whole. */
    public long longestKept() {
        return Math.min(longest, Math.max(eachMemory, eachFile));
    }

    long each(Tier tier) {
        return tier == Tier.MEMORY ? eachMemory : tier == Tier.FILE ? eachFile : 0;
    }

    long all(Tier tier) {
        return tier == Tier.MEMORY ? allMemory : tier == Tier.FILE ? allFiles : 0;
    }
}
