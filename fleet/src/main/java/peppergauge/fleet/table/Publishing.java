package peppergauge.fleet.table;

import peppergauge.fleet.wire.FleetTable;
import peppergauge.promises.ZoneWeights;

/** What an instance issues after what went before, and what it still hands out. */
public record Publishing(String site, String issuer, long leaseMs, double step) {

    /**
     * @param before the last table that this instance issued or was told of; null for none
     * @param wanted goes out in bounded steps
     */
    public FleetTable issue(long version, long nowMs, FleetTable before, ZoneWeights wanted) {
        ZoneWeights from = handsOut(before, nowMs) ? before.steering() : ZoneWeights.NEUTRAL;
        ZoneWeights next = Factors.towards(from, wanted, step);
        assert Factors.distance(from, next) <= step + 1e-9 : "a step of " + Factors.distance(from, next);
        assert Factors.distance(next, wanted) <= Factors.distance(from, wanted) + 1e-9 : "away from what is wanted";
        return new FleetTable(site, version, nowMs, leaseMs, issuer, next);
    }

    /** Whether it is still worth handing out. */
    public boolean handsOut(FleetTable table, long nowMs) {
        return table != null && nowMs - table.issuedMs() < table.leaseMs();
    }
}
