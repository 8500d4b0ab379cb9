package peppergauge.fleet.table;

import peppergauge.fleet.wire.FleetTable;
import peppergauge.promises.ZoneWeights;

/**
 * A daemon's table of zone weights: decides which tables are accepted, and which weights are effective.
 *
 * <p>A table is effective in full for the first half of its lease and fades to neutral in the second half, so that
 * daemons whose service is down do not change all at once. Effective weights change by one bounded step at a time. Not
 * thread-safe.
 */
public final class LeasedTable {

    /**
     * Limits on accepted tables.
     *
     * @param site name of the deployment
     * @param clockSkewMs most that clocks may differ, ms
     * @param maxStep most that a weight changes at once, above 0 and at most 1
     * @param stepIntervalMs time between two steps, ms
     * @param maxLeaseMs longest lease, ms
     */
    public record Limits(String site, long clockSkewMs, double maxStep, long stepIntervalMs, long maxLeaseMs) {}

    private static final double TOLERANCE = 1e-9;
    /** Part of the lease for which a table is effective in full. */
    private static final double FULL_PART = 0.5;

    private final Limits limits;
    private FleetTable table;
    private long newestVersion;
    private ZoneWeights effectiveWeights = ZoneWeights.NEUTRAL;
    private long lastStepMs = Long.MIN_VALUE / 2;

    public LeasedTable(Limits limits) {
        this.limits = limits;
    }

    /**
     * Takes a table if it is acceptable.
     *
     * @param nowMs Unix time, ms
     */
    public TableVerdict offer(FleetTable offered, long nowMs) {
        TableVerdict verdict = check(offered, nowMs);
        if (verdict == TableVerdict.TAKEN) {
            assert offered.version() > newestVersion
                    : "back from version " + newestVersion + " to " + offered.version();
            table = offered;
            newestVersion = offered.version();
        }
        return verdict;
    }

    private TableVerdict check(FleetTable offered, long nowMs) {
        if (offered.site() == null || !offered.site().equals(limits.site())) {
            return TableVerdict.OTHER_SITE;
        }
        if (offered.weights() == null
                || offered.leaseMs() <= 0
                || offered.leaseMs() > limits.maxLeaseMs()
                || offered.version() <= 0
                || offered.issuedMs() <= 0) {
            return TableVerdict.MALFORMED;
        }
        if (offered.version() <= newestVersion) {
            return TableVerdict.OLDER;
        }
        if (offered.issuedMs() - nowMs > limits.clockSkewMs()) {
            return TableVerdict.FUTURE;
        }
        if (isExpired(offered, nowMs)) {
            return TableVerdict.EXPIRED;
        }
        return isValid(nowMs)
                        && ZoneWeightMath.distance(table.weights(), offered.weights())
                                > maxChange(offered.issuedMs() - table.issuedMs()) + TOLERANCE
                ? TableVerdict.TOO_FAR
                : TableVerdict.TAKEN;
    }

    private double maxChange(long betweenMs) {
        return limits.maxStep() * Math.max(1, Math.ceil((double) betweenMs / limits.stepIntervalMs()));
    }

    private static boolean isExpired(FleetTable table, long nowMs) {
        return nowMs - table.issuedMs() >= table.leaseMs();
    }

    /** A table that was issued far ahead of this clock is invalid: the clock was set back, and its lease would grow. */
    private boolean isValid(long nowMs) {
        return table != null && !isExpired(table, nowMs) && table.issuedMs() - nowMs <= limits.clockSkewMs();
    }

    /** Returns the effective weights and steps them if a step is due. To be called about every second. */
    public ZoneWeights effectiveWeights(long nowMs) {
        if (!isValid(nowMs)) {
            effectiveWeights = ZoneWeights.NEUTRAL;
            return effectiveWeights;
        }
        if (nowMs - lastStepMs >= limits.stepIntervalMs() || nowMs < lastStepMs) {
            lastStepMs = nowMs;
            ZoneWeights before = effectiveWeights;
            effectiveWeights = ZoneWeightMath.stepTowards(
                    before, ZoneWeightMath.fade(table.weights(), leaseWeight(nowMs)), limits.maxStep());
            assert ZoneWeightMath.distance(before, effectiveWeights) <= limits.maxStep() + TOLERANCE
                    : before + " to " + effectiveWeights;
        }
        assert nowMs - table.issuedMs() < table.leaseMs() : "in force after its lease: " + table;
        return effectiveWeights;
    }

    private double leaseWeight(long nowMs) {
        double age = (double) Math.max(0, nowMs - table.issuedMs()) / table.leaseMs();
        return age <= FULL_PART ? 1 : 2 - 2 * age;
    }

    /** Returns the newest version taken, 0 for none; it is retained after the lease. */
    public long version() {
        return newestVersion;
    }

    /** Returns the time until the lease ends, ms; 0 or less afterwards, 0 if no table was taken. */
    public long leaseLeftMs(long nowMs) {
        return table == null ? 0 : table.issuedMs() + table.leaseMs() - nowMs;
    }

    /** Returns the last table taken, null for none. */
    public FleetTable table() {
        return table;
    }
}
