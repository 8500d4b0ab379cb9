package peppergauge.promises;

/**
 * Cluster-wide outcome counters of one key since counting began. Counters never fall.
 *
 * @param key what is counted
 * @param met requests that were answered within the objective's latency
 * @param missed all other requests: answered later, rejected or failed
 */
public record CumulativeOutcomes(TrafficKey key, long met, long missed) {

    /** @throws IllegalArgumentException if a counter is negative */
    public CumulativeOutcomes {
        if (met < 0 || missed < 0) {
            throw new IllegalArgumentException(
                    "expected counters of 0 or more but was met=" + met + ", missed=" + missed);
        }
    }
}
