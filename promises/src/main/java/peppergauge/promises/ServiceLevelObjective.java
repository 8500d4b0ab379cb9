package peppergauge.promises;

import java.util.List;

/**
 * Service level objective of one tenant for one request class.
 *
 * @param tenant name of the tenant
 * @param requestClass name of the request class
 * @param targetShare share of the requests, above 0 and below 1, that is to be answered within {@code latencyMs}
 * @param latencyMs latency objective in ms, above 0, from a request's arrival at its sidecar to the last byte of its
 *     response
 * @param windowsMs lengths of the sliding windows in ms, shortest first; the target share applies to each of them
 * @param penalty cost of a missed window, above 0, in a unit that all objectives share
 * @param zones zones that the tenant may use; empty for all
 */
public record ServiceLevelObjective(
        String tenant,
        String requestClass,
        double targetShare,
        double latencyMs,
        List<Long> windowsMs,
        double penalty,
        List<String> zones) {

    /** @throws IllegalArgumentException if a value is out of range */
    public ServiceLevelObjective {
        if (!(targetShare > 0 && targetShare < 1)
                || !(latencyMs > 0)
                || !(penalty > 0 && penalty < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException(
                    "expected a target share above 0 and below 1, and a latency and a finite penalty above 0, but was"
                            + " targetShare=" + targetShare + ", latencyMs=" + latencyMs + ", penalty=" + penalty);
        }
        windowsMs = List.copyOf(windowsMs);
        zones = List.copyOf(zones);
        if (windowsMs.isEmpty() || windowsMs.get(0) <= 0) {
            throw new IllegalArgumentException("expected windows longer than 0 ms but was " + windowsMs);
        }
    }

    /** Returns the error budget: the share of a window's requests that may miss the objective. */
    public double errorBudget() {
        return 1 - targetShare;
    }

    /** Returns whether the tenant may use this zone. */
    public boolean allowsZone(String zone) {
        return zones.isEmpty() || zones.contains(zone);
    }
}
