package peppergauge.forecast.hitrate;

import java.util.Map;
import peppergauge.forecast.placement.Placement;

/**
 * Hit rates in one span of time.
 *
 * @param fleet of all requests
 * @param tenants by tenant
 * @param servers by id, of servers that get requests in the span
 * @param slope difference of the hit rate of a server with twice its mean share of the requests
 * @param requests expected number of requests in {@link HitRateForecaster#SOON_MS}, fleet-wide
 * @param placement at the end of the span
 */
public record HitRates(
        HitRate fleet,
        Map<String, HitRate> tenants,
        Map<String, HitRate> servers,
        double slope,
        double requests,
        Placement placement) {

    /**
     * Returns the hit rate of one sidecar, by its tenants and by its part in the load of its subset.
     *
     * @param mix its requests by tenant, in any unit
     * @param share its share of all requests, above 0
     */
    public HitRate sidecar(Map<String, Double> mix, double share) {
        double all = mix.values().stream().mapToDouble(Double::doubleValue).sum();
        double[] rate = new double[3];
        mix.forEach((tenant, tenantRequests) -> {
            HitRate own = tenants.getOrDefault(tenant, fleet);
            rate[0] += own.mean() * tenantRequests / all;
            rate[1] += own.low() * tenantRequests / all;
            rate[2] += own.high() * tenantRequests / all;
        });
        double mean = all > 0 ? rate[0] : fleet.mean();
        double samplingError = Math.sqrt(mean * (1 - mean) / Math.max(1, share * requests));
        HitRate byTenants = all > 0
                ? HitRate.around(mean, (mean - rate[1]) / HitRate.Z_90, (rate[2] - mean) / HitRate.Z_90)
                : fleet;
        double[] factors = placement.loadFactors();
        if (factors.length == 1) {
            return byTenants.shifted(0, samplingError);
        }
        double members = placement.subsetSize();
        double typical =
                placement.sidecars().stream().mapToDouble(each -> each * each).sum();
        double spread = 0;
        for (double value : factors) {
            spread += (value - 1) * (value - 1) / factors.length;
        }
        return byTenants.shifted(
                slope * (share - typical) * (placement.servers().size() / members - 1),
                StrictMath.hypot(samplingError, slope * Math.sqrt(spread / members)));
    }
}
