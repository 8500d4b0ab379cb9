package peppergauge.promises;

/**
 * What clients of one cell saw, fleet-wide, since counting began; never falls.
 *
 * @param kept answered within the promised time
 * @param missed all else: answered later, denied or failed
 */
public record Evidence(Cell cell, long kept, long missed) {
    public Evidence {
        if (kept < 0 || missed < 0) {
            throw new IllegalArgumentException("evidence cannot be negative: " + kept + ", " + missed);
        }
    }
}
