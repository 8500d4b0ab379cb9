package peppergauge.fleet.reader;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.testng.annotations.BeforeMethod;
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
import peppergauge.promises.Steering;

/** The daemon's thread against servers that answer as this says. */
public class ReportingTest {

    private volatile List<DaemonReport> reports;
    private volatile List<Steering> told;
    private volatile Supplier<FleetTable> table;
    private final AtomicLong versions = new AtomicLong(10);
    private volatile boolean silent;

    /** Lists of its own for each test: a thread of the one before may still end. */
    @BeforeMethod
    public void begin() {
        reports = new CopyOnWriteArrayList<>();
        told = Collections.synchronizedList(new ArrayList<>());
        silent = false;
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

    private static void until(String what, BooleanSupplier holds) throws InterruptedException {
        for (int i = 0; i < 1_000 && !holds.getAsBoolean(); i++) {
            Thread.sleep(10);
        }
        assertTrue(holds.getAsBoolean(), what);
    }

    private static FleetTable issued(long version, String site, double factor, long leaseMs) {
        return new FleetTable(site, version, System.currentTimeMillis(), leaseMs, "a",
                new Steering(Map.of("radio", Map.of("east", factor))));
    }

    @Test
    public void itReportsTakesTablesAndGoesBackToNoSteering() throws Exception {
        try (Servers servers = new Servers(server(), server())) {
            table = () -> issued(versions.incrementAndGet(), "north", 0.5, 1_200);
            try (Reporting reporting = new Reporting(settings(servers), "d", 1, System::currentTimeMillis,
                    future -> future.complete(new Reporting.Counted(List.of(), KeySource.NONE.told())), told::add)) {
                reporting.start();
                until("reports come", () -> reports.size() > 3);
                for (int i = 1; i < 3; i++) {
                    assertEquals(reports.get(i).sequence(), reports.get(i - 1).sequence() + 1);
                    assertEquals(reports.get(i).incarnation(), reports.get(0).incarnation());
                }
                until("steered", () -> told.stream().anyMatch(each -> Factors.of(each, "radio", "east") == 0.5));
                table = () -> issued(6, "north", 1, 60_000);
                until("older is turned away", () -> reporting.report().toString().contains("tables older"));
                until("no steering", () -> told.get(told.size() - 1).equals(Steering.NONE));
                table = () -> issued(versions.incrementAndGet(), "south", 0.5, 60_000);
                until("another site's is", () -> reporting.report().toString().contains("tables other-site"));
                assertEquals(told.get(told.size() - 1), Steering.NONE);
                // The instance that it keeps to goes: the other gets its reports.
                servers.first().close();
                int before = reports.size();
                until("reports go on", () -> reports.size() > before + 2);
                // One that takes calls and says nothing is left, too.
                silent = true;
                until("calls fail", () -> reporting.report().toString().contains("calls failed"));
                silent = false;
                int then = reports.size();
                until("reports come again", () -> reports.size() > then);
            }
        }
    }

    /** Under -ea: it is in the log and the report, and no session leans any more. */
    @Test
    public void aBreachOfAnInvariantEndsSteeringAndIsSeen() throws Exception {
        List<String> lines = new CopyOnWriteArrayList<>();
        AtomicBoolean breaks = new AtomicBoolean();
        Log.Sink former = Log.to((kind, text, passedOver) -> lines.add(kind + ": " + text));
        try (Servers servers = new Servers(server(), server())) {
            table = () -> issued(versions.incrementAndGet(), "north", 0.5, 60_000);
            try (Reporting reporting = new Reporting(settings(servers), "d", 1, () -> {
                if (breaks.get() && Thread.currentThread().getName().startsWith("fleet")) {
                    throw new AssertionError("planted");
                }
                return System.currentTimeMillis();
            }, future -> future.complete(new Reporting.Counted(List.of(), KeySource.NONE.told())), told::add)) {
                reporting.start();
                until("steered", () -> told.stream().anyMatch(each -> Factors.of(each, "radio", "east") == 0.5));
                breaks.set(true);
                until("it is told", () -> reporting.report().toString().contains("ended by an invariant"));
                until("no steering", () -> told.get(told.size() - 1).equals(Steering.NONE));
                assertEquals(reporting.report().get("in_force"), Map.of());
                assertTrue(lines.stream().anyMatch(line -> line.startsWith("invariant: ")), lines.toString());
            }
        } finally {
            Log.to(former);
        }
    }

    /** A call that cannot be made for a bug keeps nothing in force beyond its lease. */
    @Test
    public void aBugInACallDoesNotKeepAnOldTableInForce() throws Exception {
        try (Servers servers = new Servers(server(), server())) {
            table = () -> issued(versions.incrementAndGet(), "north", 0.5, 1_200);
            AtomicBoolean fails = new AtomicBoolean();
            try (Reporting reporting = new Reporting(settings(servers), "d", 1, System::currentTimeMillis, future -> {
                if (fails.get()) {
                    throw new IllegalStateException("a bug");
                }
                future.complete(new Reporting.Counted(List.of(), KeySource.NONE.told()));
            }, told::add)) {
                reporting.start();
                until("steered", () -> told.stream().anyMatch(each -> Factors.of(each, "radio", "east") == 0.5));
                fails.set(true);
                table = () -> issued(1, "north", 1, 60_000);
                until("no steering", () -> told.get(told.size() - 1).equals(Steering.NONE));
            }
        }
    }

    /** It says nothing to a call that may wait a minute; the lease ends meanwhile. */
    @Test
    public void aCallThatIsNotAnsweredDoesNotHoldUpTheEndOfALease() throws Exception {
        try (Servers servers = new Servers(server(), server())) {
            ReaderSettings settings = new ReaderSettings("north", servers.addresses(), true, 20, 100, 60_000,
                    new TableReader.Bounds("north", 5_000, 0.5, 10, 60_000), 0);
            table = () -> issued(versions.incrementAndGet(), "north", 0.5, 1_200);
            try (Reporting reporting = new Reporting(settings, "d", 1, System::currentTimeMillis,
                    future -> future.complete(new Reporting.Counted(List.of(), KeySource.NONE.told())), told::add)) {
                reporting.start();
                until("steered", () -> told.stream().anyMatch(each -> Factors.of(each, "radio", "east") == 0.5));
                assertTrue((long) reporting.report().get("lease_left_ms") <= 1_200);
                silent = true;
                until("no steering", () -> told.get(told.size() - 1).equals(Steering.NONE));
                assertTrue((long) reporting.report().get("lease_left_ms") <= 0);
            }
        }
    }

    /** Sessions go on where a count of their keys breaks an invariant: it ends, and nothing is thrown on. */
    @Test
    public void aBreachInCountingKeysEndsTheCountAlone() {
        List<String> lines = new ArrayList<>();
        Log.Sink former = Log.to((kind, text, passedOver) -> lines.add(kind + ": " + text));
        try {
            KeySource guarded = new GuardedKeys(new KeySource() {
                @Override
                public void over(String id) {
                    throw new AssertionError("planted");
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
            assertEquals(lines.size(), 1, lines.toString());
        } finally {
            Log.to(former);
        }
        assertTrue(SampledKeys.of(16, List.of()) instanceof GuardedKeys, "not guarded where invariants are checked");
    }

    private static ReaderSettings settings(Servers servers) {
        return new ReaderSettings("north", servers.addresses(), true, 20, 100, 300,
                new TableReader.Bounds("north", 5_000, 0.5, 10, 60_000), 0);
    }

    private record Servers(Server first, Server second) implements AutoCloseable {

        List<String> addresses() {
            return List.of("127.0.0.1:" + first.address().getPort(), "127.0.0.1:" + second.address().getPort());
        }

        @Override
        public void close() {
            first.close();
            second.close();
        }
    }
}
