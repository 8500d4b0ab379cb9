package peppergauge.fleet.table;

import peppergauge.fleet.wire.FleetTable;
import peppergauge.promises.ZoneWeights;

/**
 * A daemon's table of zone weights: decides which tables are accepted, and which weights are effective.
 *
 * <p>A table is effective in full for the first half of its lease and fades to neutral weights in the second half, so
 * that daemons do not all change abruptly when the service is down. Effective weights change in bounded steps. Not
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
    /** Fraction of the lease in which a table is effective in full. */
    private static final double FULL_WEIGHT_FRACTION = 0.5;

    private final Limits limits;
    private FleetTable table;
    private long newestVersion;
    private ZoneWeights effectiveWeights = ZoneWeights.NEUTRAL;
    private long lastStepMs = Long.MIN_VALUE / 2;

    public LeasedTable(Limits limits) {
        this.limits = limits;
    }

    /**
     * Accepts a table if it is valid.
     *
     * @param nowMs Unix time, ms
     */
    public TableVerdict offer(FleetTable offered, long nowMs) {
        TableVerdict verdict = check(offered, nowMs);
        if (verdict == TableVerdict.TAKEN) {
            assert offered.version() > newestVersion
                    : "expected a version above " + newestVersion + ", got " + offered.version();
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

    private double maxChange(long intervalMs) {
        return limits.maxStep() * Math.max(1, Math.ceil((double) intervalMs / limits.stepIntervalMs()));
    }

    private static boolean isExpired(FleetTable table, long nowMs) {
        return nowMs - table.issuedMs() >= table.leaseMs();
    }

    /** A table issued far ahead of this clock is invalid: the clock was set back, which would extend the lease. */
    private boolean isValid(long nowMs) {
        return table != null && !isExpired(table, nowMs) && table.issuedMs() - nowMs <= limits.clockSkewMs();
    }

    /** Updates the effective weights if a step is due, and returns them. To be called about every second. */
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
                    : "expected at most one step of the effective weights from " + before + " to " + effectiveWeights;
        }
        assert nowMs - table.issuedMs() < table.leaseMs() : "expected no table in effect after its lease, got " + table;
        return effectiveWeights;
    }

    private double leaseWeight(long nowMs) {
        double age = (double) Math.max(0, nowMs - table.issuedMs()) / table.leaseMs();
        return age <= FULL_WEIGHT_FRACTION ? 1 : 2 - 2 * age;
    }

    /** Returns the newest accepted version, 0 for none; it is retained after the lease. */
    public long version() {
        return newestVersion;
    }

    /** Returns the time until the lease ends, ms; 0 or less afterwards, 0 if no table was accepted. */
    public long leaseLeftMs(long nowMs) {
        return table == null ? 0 : table.issuedMs() + table.leaseMs() - nowMs;
    }

    /** Returns the last accepted table, null for none. */
    public FleetTable table() {
        return table;
    }
}
