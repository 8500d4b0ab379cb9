package peppergauge.fleet.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.fleet.wire.FleetTable;
import peppergauge.promises.ZoneWeights;

public class LeasedTableTest {

    private static final long NOW_MS = 1_700_000_000_000L;
    private static final long LEASE_MS = 60_000;
    private static final LeasedTable.Limits LIMITS = new LeasedTable.Limits("north", 5_000, 0.1, 1_000, 3_600_000);

    private static ZoneWeights weightOfEast(double weight) {
        return new ZoneWeights(Map.of("radio", Map.of("east", weight)));
    }

    private static FleetTable table(long version, long issuedMs, double weight) {
        return new FleetTable("north", version, issuedMs, LEASE_MS, "a", weightOfEast(weight));
    }

    @DataProvider
    public Object[][] offers() {
        FleetTable good = table(11, NOW_MS, 0.9);
        return new Object[][] {
            {good, TableVerdict.TAKEN},
            {table(10, NOW_MS, 0.9), TableVerdict.OLDER},
            {table(9, NOW_MS, 0.9), TableVerdict.OLDER},
            {table(11, NOW_MS - LEASE_MS, 0.9), TableVerdict.EXPIRED},
            {table(11, NOW_MS - LEASE_MS + 1, 0.9), TableVerdict.TAKEN},
            {table(11, NOW_MS + 5_000, 0.9), TableVerdict.TAKEN},
            {table(11, NOW_MS + 5_001, 0.9), TableVerdict.FUTURE},
            {table(11, NOW_MS, 0.8), TableVerdict.TAKEN},
            {table(11, NOW_MS, 0.69), TableVerdict.TOO_FAR},
            {new FleetTable("north", 11, NOW_MS, LEASE_MS, "a", ZoneWeights.NEUTRAL), TableVerdict.TAKEN},
            {new FleetTable("south", 11, NOW_MS, LEASE_MS, "a", ZoneWeights.NEUTRAL), TableVerdict.OTHER_SITE},
            {new FleetTable("north", 11, NOW_MS, LEASE_MS, "a", null), TableVerdict.MALFORMED},
            {new FleetTable("north", 11, NOW_MS, 0, "a", ZoneWeights.NEUTRAL), TableVerdict.MALFORMED},
            {new FleetTable("north", 11, NOW_MS, 3_600_001, "a", ZoneWeights.NEUTRAL), TableVerdict.MALFORMED},
        };
    }

    @Test(dataProvider = "offers")
    public void returnsVerdictOnEachTable(FleetTable offered, TableVerdict expected) {
        LeasedTable leasedTable = new LeasedTable(LIMITS);
        FleetTable before = table(10, NOW_MS - 1_000, 0.9);
        leasedTable.offer(before, NOW_MS - 1_000);
        assertEquals(leasedTable.offer(offered, NOW_MS), expected);
        assertEquals(leasedTable.table(), expected == TableVerdict.TAKEN ? offered : before);
        assertEquals(leasedTable.version(), expected == TableVerdict.TAKEN ? 11 : 10);
    }

    @Test
    public void stepsToFirstTableAndFadesBeforeLeaseEnds() {
        LeasedTable leasedTable = new LeasedTable(LIMITS);
        assertEquals(
                leasedTable.offer(table(1, NOW_MS, 0.05), NOW_MS),
                TableVerdict.TAKEN,
                "expected the first table to be accepted whatever its weights");
        double before = 1;
        boolean reached = false;
        for (long ms = 0; ms < LEASE_MS; ms += 250) {
            double weight = ZoneWeightMath.weight(leasedTable.effectiveWeights(NOW_MS + ms), "radio", "east");
            assertTrue(Math.abs(weight - before) <= 0.1 + 1e-9, ms + ": " + before + " to " + weight);
            assertTrue(
                    ms < LEASE_MS / 2 || weight >= before, "expected weights to rise in the second half of the lease");
            reached |= weight == 0.05;
            before = weight;
        }
        assertTrue(reached);
        assertTrue(before > 0.9, "expected a weight near 1 at the end of the lease, got " + before);
        assertEquals(leasedTable.effectiveWeights(NOW_MS + LEASE_MS), ZoneWeights.NEUTRAL);
        assertEquals(
                leasedTable.offer(table(1, NOW_MS + LEASE_MS, 0.9), NOW_MS + LEASE_MS),
                TableVerdict.OLDER,
                "expected an old version to be rejected after the lease, too");
    }

    /** The allowed change grows with time, since daemons that poll rarely skip tables. */
    @Test
    public void acceptsOneStepOfWeightsPerInterval() {
        LeasedTable leasedTable = new LeasedTable(LIMITS);
        leasedTable.offer(table(1, NOW_MS, 1), NOW_MS);
        assertEquals(leasedTable.offer(table(2, NOW_MS + 3_000, 0.7), NOW_MS + 3_000), TableVerdict.TAKEN);
        assertEquals(leasedTable.offer(table(3, NOW_MS + 4_000, 0.5), NOW_MS + 4_000), TableVerdict.TOO_FAR);
    }

    @Test
    public void frequentRestartsKeepVersionsNearClock() {
        long reservedOnDisk = 0;
        long clock = NOW_MS;
        for (int start = 0; start < 1_000; start++, clock += 2_000) {
            VersionClock versions = new VersionClock(1, reservedOnDisk);
            reservedOnDisk = versions.requiredReservation(versions.next(clock), clock);
            assertTrue(VersionClock.timeOf(reservedOnDisk) - clock <= 62_000);
        }
    }

    @Test
    public void rejectsUnreservedVersionsAndIgnoresVersionsFarAhead() {
        VersionClock versions = new VersionClock(1, 0);
        long next = versions.next(NOW_MS);
        assertThrows(IllegalStateException.class, () -> versions.onIssued(next));
        assertFalse(versions.observe(NOW_MS + 600_001 << 16, NOW_MS));
        assertEquals(versions.next(NOW_MS), next);
        assertTrue(versions.observe(NOW_MS + 599_999 << 16, NOW_MS));
        assertEquals(VersionClock.timeOf(versions.next(NOW_MS)), NOW_MS + 599_999);
    }
}
