package peppergauge.decision;

import java.util.List;
import peppergauge.decision.LoadBalancer.Tenant;

/** Limits the request rate of each tenant to its quota, by a token bucket for each tenant. */
final class TenantQuota {

    /** Size of a token bucket, in seconds of the quota. */
    private static final double MAX_BURST_S = 1;

    private final List<Tenant> tenants;
    private final double[] tokens;
    private final double[] updatedMs;

    TenantQuota(List<Tenant> tenants) {
        this.tenants = tenants;
        this.tokens = new double[tenants.size()];
        this.updatedMs = new double[tenants.size()];
    }

    /**
     * Counts a request and returns whether it exceeds its tenant's quota.
     *
     * @param tenant index in the settings; a tenant that is not there, or has a quota of 0, has no limit
     */
    boolean isExceededBy(int tenant, double nowMs) {
        if (tenant < 0 || tenant >= tokens.length) {
            return false;
        }
        double quotaPerS = tenants.get(tenant).quotaPerS();
        double refilled = tokens[tenant] + quotaPerS * (nowMs - updatedMs[tenant]) / 1000;
        tokens[tenant] = Math.min(quotaPerS * MAX_BURST_S, refilled);
        updatedMs[tenant] = nowMs;
        if (quotaPerS <= 0 || tokens[tenant] < 1) {
            return quotaPerS > 0;
        }
        tokens[tenant] -= 1;
        return false;
    }
}
