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

    private static final long NOW = 1_700_000_000_000L;
    private static final long LEASE = 60_000;
    private static final LeasedTable.Limits BOUNDS = new LeasedTable.Limits("north", 5_000, 0.1, 1_000, 3_600_000);

    private static ZoneWeights east(double factor) {
        return new ZoneWeights(Map.of("radio", Map.of("east", factor)));
    }

    private static FleetTable table(long version, long issuedMs, double factor) {
        return new FleetTable("north", version, issuedMs, LEASE, "a", east(factor));
    }

    @DataProvider
    public Object[][] offers() {
        FleetTable good = table(11, NOW, 0.9);
        return new Object[][] {
            {good, TableVerdict.TAKEN},
            {table(10, NOW, 0.9), TableVerdict.OLDER},
            {table(9, NOW, 0.9), TableVerdict.OLDER},
            {table(11, NOW - LEASE, 0.9), TableVerdict.EXPIRED},
            {table(11, NOW - LEASE + 1, 0.9), TableVerdict.TAKEN},
            {table(11, NOW + 5_000, 0.9), TableVerdict.TAKEN},
            {table(11, NOW + 5_001, 0.9), TableVerdict.FUTURE},
            {table(11, NOW, 0.8), TableVerdict.TAKEN},
            {table(11, NOW, 0.69), TableVerdict.TOO_FAR},
            {new FleetTable("north", 11, NOW, LEASE, "a", ZoneWeights.NEUTRAL), TableVerdict.TAKEN},
            {new FleetTable("south", 11, NOW, LEASE, "a", ZoneWeights.NEUTRAL), TableVerdict.OTHER_SITE},
            {new FleetTable("north", 11, NOW, LEASE, "a", null), TableVerdict.MALFORMED},
            {new FleetTable("north", 11, NOW, 0, "a", ZoneWeights.NEUTRAL), TableVerdict.MALFORMED},
            {new FleetTable("north", 11, NOW, 3_600_001, "a", ZoneWeights.NEUTRAL), TableVerdict.MALFORMED},
        };
    }

    @Test(dataProvider = "offers")
    public void eachTableHasANamedAnswer(FleetTable offered, TableVerdict answer) {
        LeasedTable reader = new LeasedTable(BOUNDS);
        FleetTable before = table(10, NOW - 1_000, 0.9);
        reader.offer(before, NOW - 1_000);
        assertEquals(reader.offer(offered, NOW), answer);
        assertEquals(reader.table(), answer == TableVerdict.TAKEN ? offered : before);
        assertEquals(reader.version(), answer == TableVerdict.TAKEN ? 11 : 10);
    }

    @Test
    public void aReaderWalksToItsFirstTableAndFadesOutOfItsLast() {
        LeasedTable reader = new LeasedTable(BOUNDS);
        assertEquals(
                reader.offer(table(1, NOW, 0.05), NOW), TableVerdict.TAKEN, "a new one has nothing to be far from");
        double before = 1;
        boolean there = false;
        for (long ms = 0; ms < LEASE; ms += 250) {
            double factor = ZoneWeightMath.weight(reader.effectiveWeights(NOW + ms), "radio", "east");
            assertTrue(Math.abs(factor - before) <= 0.1 + 1e-9, ms + ": " + before + " to " + factor);
            assertTrue(ms < LEASE / 2 || factor >= before, "it only fades");
            there |= factor == 0.05;
            before = factor;
        }
        assertTrue(there);
        assertTrue(before > 0.9, "little is left where the lease ends: " + before);
        assertEquals(reader.effectiveWeights(NOW + LEASE), ZoneWeights.NEUTRAL);
        assertEquals(reader.offer(table(1, NOW + LEASE, 0.9), NOW + LEASE), TableVerdict.OLDER, "also after the lease");
    }

    /** Readers that skip tables, as they do where asks are spread over many daemons, still follow. */
    @Test
    public void aTableMayMoveByAStepForEachPublishing() {
        LeasedTable reader = new LeasedTable(BOUNDS);
        reader.offer(table(1, NOW, 1), NOW);
        assertEquals(reader.offer(table(2, NOW + 3_000, 0.7), NOW + 3_000), TableVerdict.TAKEN);
        assertEquals(reader.offer(table(3, NOW + 4_000, 0.5), NOW + 4_000), TableVerdict.TOO_FAR);
    }

    @Test
    public void aProcessThatEndsAgainAndAgainDoesNotRunAwayFromTheClock() {
        long disk = 0;
        long clock = NOW;
        for (int start = 0; start < 1_000; start++, clock += 2_000) {
            VersionClock versions = new VersionClock(1, disk);
            disk = versions.requiredReservation(versions.next(clock), clock);
            assertTrue(VersionClock.timeOf(disk) - clock <= 62_000);
        }
    }

    @Test
    public void whatIsNotReservedIsNotHandedOutAndAMadClockIsNotFollowed() {
        VersionClock versions = new VersionClock(1, 0);
        long next = versions.next(NOW);
        assertThrows(IllegalStateException.class, () -> versions.onIssued(next));
        assertFalse(versions.observe(NOW + 600_001 << 16, NOW));
        assertEquals(versions.next(NOW), next);
        assertTrue(versions.observe(NOW + 599_999 << 16, NOW));
        assertEquals(VersionClock.timeOf(versions.next(NOW)), NOW + 599_999);
    }
}
