package peppergauge.coldstart;

/**
 * Decides when a starting sidecar reports ready: at the first usable endpoint update, or at a timeout.
 *
 * @param cachedEndpointsTimeoutMs timeout of an instance that has a cached endpoint list
 * @param noEndpointsTimeoutMs timeout of an instance that has none; it then rejects requests instead of delaying them
 */
public record ReadinessPolicy(double cachedEndpointsTimeoutMs, double noEndpointsTimeoutMs) {

    /** @throws IllegalArgumentException if a timeout is negative or the second is the shorter one */
    public ReadinessPolicy {
        if (!(cachedEndpointsTimeoutMs >= 0 && noEndpointsTimeoutMs >= cachedEndpointsTimeoutMs)) {
            throw new IllegalArgumentException("readiness timeouts are " + cachedEndpointsTimeoutMs
                    + " ms with cached endpoints and " + noEndpointsTimeoutMs
                    + " ms without, expected 0 or more and the second at least as long");
        }
    }

    /** Returns how long to wait for an update, ms. */
    public double timeoutMs(int knownServers) {
        double timeoutMs = knownServers > 0 ? cachedEndpointsTimeoutMs : noEndpointsTimeoutMs;
        assert timeoutMs <= noEndpointsTimeoutMs : "readiness timeout out of range: " + timeoutMs + " ms";
        return timeoutMs;
    }

    /**
     * Returns whether the instance is ready after an update.
     *
     * @param complete whether the update is the complete list; a change confirms the rest of the cached list
     * @param usableServers number of ready servers in the update
     * @param knownServers number of servers in the cached list
     */
    public boolean isReadyAfter(boolean complete, int usableServers, int knownServers) {
        // A discovery service that has just started may send an empty list; the cached list is preferred to it.
        boolean isReady = usableServers > 0 || !complete && knownServers > 0;
        assert !isReady || usableServers > 0 || knownServers > 0
                : "ready after an update without servers and without a cached list";
        return isReady;
    }
}
