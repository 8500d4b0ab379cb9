package peppergauge.fleet.reader;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static peppergauge.fleet.Samples.until;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.testng.annotations.Test;
import peppergauge.fleet.http.Reply;
import peppergauge.fleet.http.Server;
import peppergauge.fleet.table.Factors;
import peppergauge.fleet.table.TableReader;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.FleetTable;
import peppergauge.fleet.wire.Json;
import peppergauge.fleet.wire.ReportAnswer;
import peppergauge.fleet.wire.TableAnswer;
import peppergauge.forecast.KeyReport;
import peppergauge.log.Log;
import peppergauge.promises.ZoneWeights;

/** The daemon's threads against servers that answer as this says. What is waited for is a state, never a time. */
public class ReportingTest {

    /** Two servers and one that reports to them, from when it steers; it may be made to fail at what it calls. */
    private static final class Rig implements AutoCloseable {

        private final List<DaemonReport> reports = new CopyOnWriteArrayList<>();
        private final List<ZoneWeights> told = new CopyOnWriteArrayList<>();
        private final AtomicLong versions = new AtomicLong(10);
        private volatile Supplier<FleetTable> table;
        private volatile boolean silent;
        private volatile Runnable atClock = () -> {};
        private volatile Runnable atCount = () -> {};
        private final List<Server> servers = List.of(server(), server());
        private final Reporting reporting;

        Rig(long leaseMs, long patienceMs) throws Exception {
            table = () -> issued(versions.incrementAndGet(), "north", 0.5, leaseMs);
            reporting = new Reporting(
                    new ReaderSettings(
                            "north",
                            servers.stream()
                                    .map(each -> "127.0.0.1:" + each.address().getPort())
                                    .toList(),
                            true,
                            20,
                            100,
                            patienceMs,
                            new TableReader.Bounds("north", 5_000, 0.5, 10, 60_000),
                            0),
                    "d",
                    1,
                    () -> {
                        atClock.run();
                        return System.currentTimeMillis();
                    },
                    future -> {
                        atCount.run();
                        future.complete(new Reporting.Counted(List.of(), KeySource.NONE.told()));
                    },
                    told::add);
            reporting.start();
            until("steered", () -> told.stream().anyMatch(each -> Factors.of(each, "radio", "east") == 0.5));
        }

        private Server server() throws Exception {
            return new Server(new InetSocketAddress("127.0.0.1", 0), 1 << 20, 10, (method, path, body, reply) -> {
                if (silent) {
                    return;
                }
                if (method.equals("POST")) {
                    reports.add(Json.read(body, DaemonReport.class));
                    reply.accept(Reply.json(200, new ReportAnswer("taken", 20, 20)));
                } else {
                    reply.accept(Reply.json(200, new TableAnswer(table.get(), 20)));
                }
            });
        }

        static FleetTable issued(long version, String site, double factor, long leaseMs) {
            return new FleetTable(
                    site,
                    version,
                    System.currentTimeMillis(),
                    leaseMs,
                    "a",
                    new ZoneWeights(Map.of("radio", Map.of("east", factor))));
        }

        void untilSaid(String what) throws InterruptedException {
            until(what, () -> reporting.report().toString().contains(what));
        }

        void untilNoSteering() throws InterruptedException {
            until("no steering", () -> told.get(told.size() - 1).equals(ZoneWeights.NEUTRAL));
        }

        void untilMoreReports() throws InterruptedException {
            int before = reports.size();
            until("reports come", () -> reports.size() > before + 2);
        }

        @Override
        public void close() {
            reporting.close();
            servers.forEach(Server::close);
        }
    }

    @Test
    public void itReportsTakesTablesAndGoesBackToNoSteering() throws Exception {
        try (Rig rig = new Rig(1_200, 300)) {
            rig.untilMoreReports();
            // Where the machine is so crowded that a call is given up, the next may overtake it, or it gets lost.
            List<DaemonReport> came = List.copyOf(rig.reports);
            assertEquals(came.stream().map(DaemonReport::sequence).distinct().count(), came.size());
            assertEquals(came.stream().map(DaemonReport::incarnation).distinct().count(), 1);
            rig.table = () -> Rig.issued(6, "north", 1, 60_000);
            rig.untilSaid("tables older");
            rig.untilNoSteering();
            rig.table = () -> Rig.issued(rig.versions.incrementAndGet(), "south", 0.5, 60_000);
            rig.untilSaid("tables other-site");
            assertEquals(rig.told.get(rig.told.size() - 1), ZoneWeights.NEUTRAL);
            // The instance that it keeps to goes: the other gets its reports.
            rig.servers.get(0).close();
            rig.untilMoreReports();
            // One that takes calls and says nothing is left, too.
            rig.silent = true;
            rig.untilSaid("calls failed");
            rig.silent = false;
            rig.untilMoreReports();
        }
    }

    /** Under -ea: it is in the log and the report, and no session leans any more. */
    @Test
    public void aBreachOfAnInvariantEndsSteeringAndIsSeen() throws Exception {
        List<String> lines = new CopyOnWriteArrayList<>();
        Log.Sink former = Log.to((kind, text, passedOver) -> lines.add(kind + ": " + text));
        try (Rig rig = new Rig(60_000, 300)) {
            rig.atClock = () -> {
                if (Thread.currentThread().getName().startsWith("fleet")) {
                    throw new AssertionError("planted");
                }
            };
            rig.untilSaid("ended by an invariant");
            rig.untilNoSteering();
            assertEquals(rig.reporting.report().get("in_force"), Map.of());
            assertTrue(lines.stream().anyMatch(line -> line.startsWith("invariant: ")), lines.toString());
        } finally {
            Log.to(former);
        }
    }

    /** A call that cannot be made for a bug keeps nothing in force beyond its lease. */
    @Test
    public void aBugInACallDoesNotKeepAnOldTableInForce() throws Exception {
        try (Rig rig = new Rig(1_200, 300)) {
            rig.atCount = () -> {
                throw new IllegalStateException("a bug");
            };
            rig.table = () -> Rig.issued(1, "north", 1, 60_000);
            rig.untilNoSteering();
        }
    }

    /** It says nothing to a call that may wait a minute; the lease ends meanwhile. */
    @Test
    public void aCallThatIsNotAnsweredDoesNotHoldUpTheEndOfALease() throws Exception {
        try (Rig rig = new Rig(1_200, 60_000)) {
            assertTrue((long) rig.reporting.report().get("lease_left_ms") <= 1_200);
            rig.silent = true;
            rig.untilNoSteering();
            assertTrue((long) rig.reporting.report().get("lease_left_ms") <= 0);
        }
    }

    /** Sessions go on where a count of their keys breaks an invariant: it ends, and nothing is thrown on. */
    @Test
    public void aBreachInCountingKeysEndsTheCountAlone() {
        List<String> lines = new CopyOnWriteArrayList<>();
        // What other tests left running may still have something to say.
        Log.Sink former = Log.to((kind, text, passedOver) ->
                lines.addAll(text.contains("planted in a count") ? List.of(kind) : List.of()));
        try {
            KeySource guarded = new GuardedKeys(new KeySource() {
                @Override
                public void over(String id) {
                    throw new AssertionError("planted in a count");
                }

                @Override
                public Told told() {
                    return new Told(new KeyReport(-1, 1, List.of()), null, null, null);
                }
            });
            assertEquals(guarded.told().keys().sessions(), 1);
            guarded.over("a");
            assertEquals(guarded.told(), KeySource.NONE.told());
            guarded.over("b");
            assertEquals(lines, List.of("invariant"));
        } finally {
            Log.to(former);
        }
        assertTrue(SampledKeys.of(16, List.of()) instanceof GuardedKeys, "not guarded where invariants are checked");
    }
}
