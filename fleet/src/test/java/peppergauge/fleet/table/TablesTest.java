package peppergauge.fleet.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.fleet.wire.FleetTable;
import peppergauge.promises.Steering;

public class TablesTest {

    private static final long NOW = 1_700_000_000_000L;
    private static final long LEASE = 60_000;
    private static final TableReader.Bounds BOUNDS = new TableReader.Bounds("north", 5_000, 0.1, 1_000, 3_600_000);

    private static Steering east(double factor) {
        return new Steering(Map.of("radio", Map.of("east", factor)));
    }

    private static FleetTable table(long version, long issuedMs, double factor) {
        return new FleetTable("north", version, issuedMs, LEASE, "a", east(factor));
    }

    @DataProvider
    public Object[][] offers() {
        FleetTable good = table(11, NOW, 0.9);
        return new Object[][] {
            {good, Acceptance.TAKEN}, {table(10, NOW, 0.9), Acceptance.OLDER}, {table(9, NOW, 0.9), Acceptance.OLDER},
            {table(11, NOW - LEASE, 0.9), Acceptance.EXPIRED}, {table(11, NOW - LEASE + 1, 0.9), Acceptance.TAKEN},
            {table(11, NOW + 5_000, 0.9), Acceptance.TAKEN}, {table(11, NOW + 5_001, 0.9), Acceptance.FUTURE},
            {table(11, NOW, 0.8), Acceptance.TAKEN}, {table(11, NOW, 0.69), Acceptance.TOO_FAR},
            {new FleetTable("north", 11, NOW, LEASE, "a", Steering.NONE), Acceptance.TAKEN},
            {new FleetTable("south", 11, NOW, LEASE, "a", Steering.NONE), Acceptance.OTHER_SITE},
            {new FleetTable("north", 11, NOW, LEASE, "a", null), Acceptance.MALFORMED},
            {new FleetTable("north", 11, NOW, 0, "a", Steering.NONE), Acceptance.MALFORMED},
            {new FleetTable("north", 11, NOW, 3_600_001, "a", Steering.NONE), Acceptance.MALFORMED},
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
        assertEquals(reader.steering(NOW + LEASE), Steering.NONE);
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

    /** Two that do not hear of each other publish what they like, and a reader hears now one, now the other. */
    @Test
    public void twoSidesOfAPartitionDoBoundedHarm() {
        for (long seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            Versions[] versions = {new Versions(1, 0), new Versions(2, 0)};
            Publishing[] sides = {new Publishing("north", "a", LEASE, 0.1), new Publishing("north", "b", LEASE, 0.1)};
            FleetTable[] last = new FleetTable[2];
            TableReader reader = new TableReader(BOUNDS);
            double before = 1;
            long version = 0;
            int taken = 0;
            for (long ms = 0; ms < 120_000; ms += 1_000) {
                for (int side = 0; side < 2; side++) {
                    // The sides' clocks differ, by less than clocks may.
                    long clock = NOW + ms + side * 3_000;
                    long next = versions[side].next(clock);
                    versions[side].reserved(next);
                    versions[side].issued(next);
                    Steering former = last[side] == null ? Steering.NONE : last[side].steering();
                    last[side] = sides[side].issue(next, clock, last[side], east(side == 0 ? 0.05 : 1));
                    assertTrue(Factors.distance(former, last[side].steering()) <= 0.1 + 1e-9);
                }
                taken += reader.offer(last[random.nextInt(2)], NOW + ms) == Acceptance.TAKEN ? 1 : 0;
                double factor = Factors.of(reader.steering(NOW + ms), "radio", "east");
                assertTrue(Math.abs(factor - before) <= 0.1 + 1e-9 && factor >= Steering.FLOOR);
                assertTrue(reader.version() >= version);
                before = factor;
                version = reader.version();
            }
            assertTrue(taken > 0);
        }
    }

    @Test
    public void versionsOnlyGrowOverRestartsAndClocksThatGoBack() {
        for (long seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            long[] disk = new long[2];
            Versions[] two = {new Versions(1, 0), new Versions(2, 0)};
            long clock = NOW;
            long[] own = new long[2];
            for (int i = 0; i < 60; i++) {
                int at = random.nextInt(2);
                clock += random.nextInt(5) == 0 ? -20_000 : random.nextInt(3_000);
                long next = two[at].next(clock);
                long reserve = two[at].toReserve(next, clock);
                if (reserve > 0) {
                    disk[at] = reserve;
                    two[at].reserved(reserve);
                }
                if (random.nextInt(6) == 0) {
                    // Ends between the writing and the handing out, or right after one.
                    two[at] = new Versions(at + 1, disk[at]);
                    continue;
                }
                two[at].issued(next);
                assertTrue(next > own[at] && next != own[1 - at] && next <= disk[at]);
                own[at] = next;
                if (random.nextBoolean()) {
                    two[1 - at].seen(next, clock);
                    assertTrue(two[1 - at].next(clock) > next);
                }
            }
        }
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
