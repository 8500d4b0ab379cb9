package peppergauge.fleet.table;

import peppergauge.fleet.wire.FleetTable;
import peppergauge.promises.ZoneWeights;

/**
 * Issues tables whose weights change in bounded steps.
 *
 * @param site name of the deployment
 * @param issuer name of the instance
 * @param leaseMs lease of each table, ms
 * @param maxStep most that a weight changes from one table to the next, above 0 and at most 1
 */
public record TableIssuer(String site, String issuer, long leaseMs, double maxStep) {

    private static final double TOLERANCE = 1e-9;

    /**
     * Returns the next table.
     *
     * @param nowMs Unix time, ms
     * @param before the last table that this instance issued or observed, null for none
     * @param target weights to step towards
     */
    public FleetTable issue(long version, long nowMs, FleetTable before, ZoneWeights target) {
        ZoneWeights from = isPublishable(before, nowMs) ? before.weights() : ZoneWeights.NEUTRAL;
        ZoneWeights next = ZoneWeightMath.stepTowards(from, target, maxStep);
        assert ZoneWeightMath.distance(from, next) <= maxStep + TOLERANCE
                : "expected a step of at most " + maxStep + ", got " + ZoneWeightMath.distance(from, next);
        assert ZoneWeightMath.distance(next, target) <= ZoneWeightMath.distance(from, target) + TOLERANCE
                : "expected a step from " + from + " towards " + target + ", got " + next;
        return new FleetTable(site, version, nowMs, leaseMs, issuer, next);
    }

    /** Returns whether a table is within its lease. */
    public boolean isPublishable(FleetTable table, long nowMs) {
        return table != null && nowMs - table.issuedMs() < table.leaseMs();
    }
}
