package peppergauge.fleet.table;

import peppergauge.fleet.wire.FleetTable;
import peppergauge.promises.ZoneWeights;

/**
 * Which tables a reader takes, and what is in force. A table holds in full for the first half of its lease; in the
 * second half it fades evenly to no steering, so that hundreds of readers whose service is gone do not turn at once.
 * What is in force also moves by one bounded step at a time: a reader that was never told, or not for long, walks to
 * the first table that it takes. Not safe for several threads.
 */
public final class TableReader {

    /**
     * @param futureMs by how far clocks may differ
     * @param step by how much any factor may move at once, above 0 and 1 at the most
     * @param stepMs time that a table may take for each such step
     */
    public record Bounds(String site, long futureMs, double step, long stepMs, long longestLeaseMs) {}

    private static final double ROUNDING = 1e-9;

    private final Bounds bounds;
    private FleetTable table;
    private long newest;
    private ZoneWeights inForce = ZoneWeights.NEUTRAL;
    private long movedMs;

    public TableReader(Bounds bounds) {
        this.bounds = bounds;
        movedMs = Long.MIN_VALUE / 2;
    }

    /** @param nowMs Unix time, ms */
    public Acceptance offer(FleetTable offered, long nowMs) {
        Acceptance answer = judge(offered, nowMs);
        if (answer == Acceptance.TAKEN) {
            assert offered.version() > newest : "back from version " + newest + " to " + offered.version();
            table = offered;
            newest = offered.version();
        }
        return answer;
    }

    private Acceptance judge(FleetTable offered, long nowMs) {
        if (offered.site() == null || !offered.site().equals(bounds.site())) {
            return Acceptance.OTHER_SITE;
        }
        if (offered.steering() == null
                || offered.leaseMs() <= 0
                || offered.leaseMs() > bounds.longestLeaseMs()
                || offered.version() <= 0
                || offered.issuedMs() <= 0) {
            return Acceptance.MALFORMED;
        }
        if (offered.version() <= newest) {
            return Acceptance.OLDER;
        }
        if (offered.issuedMs() - nowMs > bounds.futureMs()) {
            return Acceptance.FUTURE;
        }
        if (expired(offered, nowMs)) {
            return Acceptance.EXPIRED;
        }
        return valid(nowMs)
                        && Factors.distance(table.steering(), offered.steering())
                                > allowed(offered.issuedMs() - table.issuedMs()) + ROUNDING
                ? Acceptance.TOO_FAR
                : Acceptance.TAKEN;
    }

    private double allowed(long betweenMs) {
        return bounds.step() * Math.max(1, Math.ceil((double) betweenMs / bounds.stepMs()));
    }

    private static boolean expired(FleetTable held, long nowMs) {
        return nowMs - held.issuedMs() >= held.leaseMs();
    }

    private boolean valid(long nowMs) {
        // Issued far ahead, it is this clock that went back: the lease would last for as long again.
        return table != null && !expired(table, nowMs) && table.issuedMs() - nowMs <= bounds.futureMs();
    }

    /** What is in force now; to be asked every second or so, for it moves by itself. */
    public ZoneWeights steering(long nowMs) {
        if (!valid(nowMs)) {
            // By then it has faded; what a step left over ends here, since without a table nothing may lean.
            inForce = ZoneWeights.NEUTRAL;
            return inForce;
        }
        if (nowMs - movedMs >= bounds.stepMs() || nowMs < movedMs) {
            movedMs = nowMs;
            ZoneWeights before = inForce;
            inForce = Factors.towards(before, Factors.faded(table.steering(), weight(nowMs)), bounds.step());
            assert Factors.distance(before, inForce) <= bounds.step() + ROUNDING : before + " to " + inForce;
        }
        assert nowMs - table.issuedMs() < table.leaseMs() : "in force after its lease: " + table;
        return inForce;
    }

    private double weight(long nowMs) {
        double age = (double) Math.max(0, nowMs - table.issuedMs()) / table.leaseMs();
        return age <= 0.5 ? 1 : 2 - 2 * age;
    }

    /** The newest version taken, 0 for none; kept after the lease, so that none goes backward. */
    public long version() {
        return newest;
    }

    /** Until the lease of the last one taken is over, ms; 0 or less since then, 0 if none was taken. */
    public long leftMs(long nowMs) {
        return table == null ? 0 : table.issuedMs() + table.leaseMs() - nowMs;
    }

    /** The last one taken, null for none. */
    public FleetTable table() {
        return table;
    }
}
