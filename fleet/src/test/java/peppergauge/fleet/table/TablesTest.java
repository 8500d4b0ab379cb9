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

public class TablesTest {

    private static final long NOW = 1_700_000_000_000L;
    private static final long LEASE = 60_000;
    private static final TableReader.Bounds BOUNDS = new TableReader.Bounds("north", 5_000, 0.1, 1_000, 3_600_000);

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
            {good, Acceptance.TAKEN},
            {table(10, NOW, 0.9), Acceptance.OLDER},
            {table(9, NOW, 0.9), Acceptance.OLDER},
            {table(11, NOW - LEASE, 0.9), Acceptance.EXPIRED},
            {table(11, NOW - LEASE + 1, 0.9), Acceptance.TAKEN},
            {table(11, NOW + 5_000, 0.9), Acceptance.TAKEN},
            {table(11, NOW + 5_001, 0.9), Acceptance.FUTURE},
            {table(11, NOW, 0.8), Acceptance.TAKEN},
            {table(11, NOW, 0.69), Acceptance.TOO_FAR},
            {new FleetTable("north", 11, NOW, LEASE, "a", ZoneWeights.NEUTRAL), Acceptance.TAKEN},
            {new FleetTable("south", 11, NOW, LEASE, "a", ZoneWeights.NEUTRAL), Acceptance.OTHER_SITE},
            {new FleetTable("north", 11, NOW, LEASE, "a", null), Acceptance.MALFORMED},
            {new FleetTable("north", 11, NOW, 0, "a", ZoneWeights.NEUTRAL), Acceptance.MALFORMED},
            {new FleetTable("north", 11, NOW, 3_600_001, "a", ZoneWeights.NEUTRAL), Acceptance.MALFORMED},
        };
    }

    @Test(dataProvider = "offers")
    public void eachTableHasANamedAnswer(FleetTable offered, Acceptance answer) {
        TableReader reader = new TableReader(BOUNDS);
        FleetTable before = table(10, NOW - 1_000, 0.9);
        reader.offer(before, NOW - 1_000);
        assertEquals(reader.offer(offered, NOW), answer);
        assertEquals(reader.table(), answer == Acceptance.TAKEN ? offered : before);
        assertEquals(reader.version(), answer == Acceptance.TAKEN ? 11 : 10);
    }

    @Test
    public void aReaderWalksToItsFirstTableAndFadesOutOfItsLast() {
        TableReader reader = new TableReader(BOUNDS);
        assertEquals(reader.offer(table(1, NOW, 0.05), NOW), Acceptance.TAKEN, "a new one has nothing to be far from");
        double before = 1;
        boolean there = false;
        for (long ms = 0; ms < LEASE; ms += 250) {
            double factor = Factors.of(reader.steering(NOW + ms), "radio", "east");
            assertTrue(Math.abs(factor - before) <= 0.1 + 1e-9, ms + ": " + before + " to " + factor);
            assertTrue(ms < LEASE / 2 || factor >= before, "it only fades");
            there |= factor == 0.05;
            before = factor;
        }
        assertTrue(there);
        assertTrue(before > 0.9, "little is left where the lease ends: " + before);
        assertEquals(reader.steering(NOW + LEASE), ZoneWeights.NEUTRAL);
        assertEquals(reader.offer(table(1, NOW + LEASE, 0.9), NOW + LEASE), Acceptance.OLDER, "also after the lease");
    }

    /** Readers that skip tables, as they do where asks are spread over many daemons, still follow. */
    @Test
    public void aTableMayMoveByAStepForEachPublishing() {
        TableReader reader = new TableReader(BOUNDS);
        reader.offer(table(1, NOW, 1), NOW);
        assertEquals(reader.offer(table(2, NOW + 3_000, 0.7), NOW + 3_000), Acceptance.TAKEN);
        assertEquals(reader.offer(table(3, NOW + 4_000, 0.5), NOW + 4_000), Acceptance.TOO_FAR);
    }

    @Test
    public void aProcessThatEndsAgainAndAgainDoesNotRunAwayFromTheClock() {
        long disk = 0;
        long clock = NOW;
        for (int start = 0; start < 1_000; start++, clock += 2_000) {
            Versions versions = new Versions(1, disk);
            disk = versions.toReserve(versions.next(clock), clock);
            assertTrue(Versions.ms(disk) - clock <= 62_000);
        }
    }

    @Test
    public void whatIsNotReservedIsNotHandedOutAndAMadClockIsNotFollowed() {
        Versions versions = new Versions(1, 0);
        long next = versions.next(NOW);
        assertThrows(IllegalStateException.class, () -> versions.issued(next));
        assertFalse(versions.seen(NOW + 600_001 << 16, NOW));
        assertEquals(versions.next(NOW), next);
        assertTrue(versions.seen(NOW + 599_999 << 16, NOW));
        assertEquals(Versions.ms(versions.next(NOW)), NOW + 599_999);
    }
}
