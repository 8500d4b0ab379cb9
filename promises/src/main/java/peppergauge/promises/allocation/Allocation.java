package peppergauge.promises.allocation;

import java.util.Map;

/**
 * Planned shares of each tenant's requests over the zones.
 *
 * @param shares by tenant, then by zone; each tenant's shares sum to 1
 */
public record Allocation(Map<String, Map<String, Double>> shares) {}
