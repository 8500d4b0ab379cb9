package peppergauge.lab.rig;

/**
 * Capacity of discovery.
 *
 * @param concurrentCalls calls in progress at the same time
 * @param callMs duration of a call in ms; a watch is one call, however many updates it receives
 * @param callTimeoutMs waiting calls are discarded after this time
 * @param answeredShare share of the processed calls that get a response; the others get none
 * @param fromFirstStart whether the limits hold from discovery's first start; otherwise that one responds to all calls
 *         at once, so that the time before a cold start does not affect it
 */
public record DiscoveryCapacity(
        int concurrentCalls, double callMs, double callTimeoutMs, double answeredShare, boolean fromFirstStart) {

    /** Responds to all calls at once. */
    static final DiscoveryCapacity UNLIMITED = constant(1, 0, 0);

    /** Returns a capacity with a response to each call, from the first start on. */
    public static DiscoveryCapacity constant(int concurrentCalls, double callMs, double callTimeoutMs) {
        return new DiscoveryCapacity(concurrentCalls, callMs, callTimeoutMs, 1, true);
    }
}
