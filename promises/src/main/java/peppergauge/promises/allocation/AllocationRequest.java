package peppergauge.promises.allocation;

import java.util.Map;
import java.util.Set;

/**
 * Input of the allocation for one tenant.
 *
 * @param tenant name of the tenant
 * @param requestsPerSecond requests per second over all zones, 0 or more
 * @param naturalShares shares over the zones with neutral weights, restricted to allowed zones; sum to 1
 * @param unhealthyZones allowed zones that miss the tenant's objectives
 * @param allowedZones zones that the tenant may use; its natural share of others is 0
 * @param penaltyAtRisk penalty that is due if it is not migrated
 */
public record AllocationRequest(
        String tenant,
        double requestsPerSecond,
        Map<String, Double> naturalShares,
        Set<String> unhealthyZones,
        Set<String> allowedZones,
        double penaltyAtRisk) {

    private static final double MIN_RATE = 1e-9;

    /** Returns the penalty saved by each migrated request per second; tenants are allocated in its descending order. */
    double penaltyDensity() {
        return penaltyAtRisk / Math.max(requestsPerSecond, MIN_RATE);
    }
}
