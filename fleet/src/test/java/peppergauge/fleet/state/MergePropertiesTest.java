package peppergauge.fleet.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import peppergauge.fleet.Samples;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.promises.Cell;

/** Reports that are lost, repeated, out of order and of daemons started anew, at instances that merge in any order. */
class MergePropertiesTest {

    private static final long FORGET_MS = 1_000_000;
    private static final long NOW = 5_000;
    private static final Cell EAST = new Cell("radio", "listen", "east");

    private static DaemonReport any(Random random, int incarnations) {
        int sequence = 1 + random.nextInt(5);
        long incarnation = 1_000 + random.nextInt(incarnations);
        return Samples.report(random.nextInt(3), incarnation, sequence, incarnation + sequence);
    }

    private static FleetState state(Random random) {
        FleetState state = new FleetState();
        for (int i = random.nextInt(12); i > 0; i--) {
            DaemonReport report = any(random, 6);
            // A broken daemon may send two of one sequence.
            state.take(random.nextInt(4) > 0 ? report : new DaemonReport(report.site(), report.daemon(),
                    report.incarnation(), report.sequence(), report.sentMs(),
                    report.cells().subList(0, random.nextInt(2))));
        }
        return state;
    }

    private static FleetState joined(FleetState... states) {
        FleetState all = new FleetState();
        for (FleetState state : states) {
            all.join(state);
        }
        return all;
    }

    @Property(tries = 400, seed = "1")
    void joinsAreASemilattice(@ForAll long seed) {
        Random random = new Random(seed);
        FleetState a = state(random);
        FleetState b = state(random);
        FleetState c = state(random);
        assertEquals(joined(a, b).accounts(), joined(b, a).accounts());
        assertEquals(joined(a, joined(b, c)).accounts(), joined(joined(a, b), c).accounts());
        assertEquals(a.accounts(), joined(a, a).accounts());
        assertEquals(joined(a, b).accounts(), joined(a, b, a).accounts(), "what is told again adds nothing");
        FleetState whole = joined(a, b);
        FleetState parts = joined(a, b);
        whole.forget(2_000, 997);
        parts.forget(2_000, 997);
        parts.join(whole);
        assertEquals(whole.accounts(), parts.accounts(), "both forget the same");
        assertEquals(whole.reports().stream().mapToLong(each -> 300 + each.cells().stream()
                .mapToLong(cell -> 130 + cell.latency().length()).sum()).sum(), whole.bytes());
        assertTrue(whole.accounts().values().stream().allMatch(each -> each.size() <= FleetState.INCARNATIONS));
    }

    /** Totals by any way of telling, and at no moment less than before. */
    @Property(tries = 150, seed = "2")
    void totalsAreTheSameInAnyOrderAndNeverFall(@ForAll long seed) {
        Random random = new Random(seed);
        List<DaemonReport> reports = new ArrayList<>();
        for (int i = 1 + random.nextInt(20); i > 0; i--) {
            DaemonReport report = any(random, FleetState.INCARNATIONS);
            for (int copies = 1 + random.nextInt(2); copies > 0; copies--) {
                reports.add(report);
            }
        }
        Map<String, Long> newest = new HashMap<>();
        reports.forEach(report -> newest.merge(report.daemon() + " " + report.incarnation(),
                report.cells().get(0).answered(), Math::max));
        for (int order = 0; order < 3; order++) {
            Collections.shuffle(reports, random);
            FleetState state = new FleetState();
            Tally tally = new Tally(10);
            long before = 0;
            for (DaemonReport report : reports) {
                FleetState.Change change = state.take(report);
                if (change != null) {
                    tally.count(change, NOW, FORGET_MS);
                }
                long now = tally.totals().get(EAST).answered();
                assertTrue(now >= before);
                before = now;
            }
            Tally.Total total = tally.totals().get(EAST);
            assertEquals(newest.values().stream().mapToLong(Long::longValue).sum(), total.answered());
            assertEquals(total.answered(), total.within(1_000), "each answer once in the histogram");
        }
    }

    /** Whoever asks for what changed since holds all in the end, however little each answer has. */
    @Property(tries = 200, seed = "3")
    void changesByStampBringAll(@ForAll long seed) {
        Random random = new Random(seed);
        FleetState teller = state(random);
        FleetState listener = state(random);
        FleetState expected = joined(teller, listener);
        long since = 0;
        for (int round = 0; round < 40; round++) {
            FleetState.Changes changes = teller.since(since, 1 + random.nextInt(3_000), true);
            if (random.nextInt(4) > 0) {
                changes.reports().forEach(listener::take);
                since = changes.through();
            }
            if (round < 3) {
                DaemonReport news = any(random, 6);
                teller.take(news);
                expected.take(news);
            }
        }
        FleetState relaying = new FleetState();
        relaying.take(Samples.report(1, 1, 1, 1), false);
        relaying.take(Samples.report(2, 1, 1, 1), true);
        assertEquals(1, relaying.since(0, 9_999, false).reports().size());
        assertEquals(2, relaying.since(0, 9_999, true).reports().size());
        expected.join(teller);
        assertEquals(expected.accounts(), listener.accounts());
    }
}
