package peppergauge.promises.plan;

import java.util.Map;

/**
 * Shares of each station over the data centres.
 *
 * @param shares by station, then data centre; each station's add up to 1
 */
public record Plan(Map<String, Map<String, Double>> shares) {}
