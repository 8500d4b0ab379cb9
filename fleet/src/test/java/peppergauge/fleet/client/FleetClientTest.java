package peppergauge.fleet.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static peppergauge.fleet.Samples.awaitCondition;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.testng.annotations.Test;
import peppergauge.fleet.http.HttpReply;
import peppergauge.fleet.http.HttpServer;
import peppergauge.fleet.table.LeasedTable;
import peppergauge.fleet.table.ZoneWeightMath;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.FleetTable;
import peppergauge.fleet.wire.JsonCodec;
import peppergauge.fleet.wire.ReportResponse;
import peppergauge.fleet.wire.TableResponse;
import peppergauge.forecast.KeyReport;
import peppergauge.log.Log;
import peppergauge.promises.ZoneWeights;

/** Tests of the client's threads against scripted HTTP servers. Tests wait for states, not for fixed times. */
public class FleetClientTest {

    /** Two servers and a client that has applied a first table; its clock and its collection of counters can fail. */
    private static final class Fixture implements AutoCloseable {

        private final List<DaemonReport> reports = new CopyOnWriteArrayList<>();
        private final List<ZoneWeights> appliedWeights = new CopyOnWriteArrayList<>();
        private final AtomicLong versions = new AtomicLong(10);
        private volatile Supplier<FleetTable> table;
        private volatile boolean unresponsive;
        private volatile Runnable onClockRead = () -> {};
        private volatile Runnable onCollect = () -> {};
        private final List<HttpServer> servers = List.of(server(), server());
        private final FleetClient client;

        Fixture(long leaseMs, long timeoutMs) throws Exception {
            table = () -> issueTable(versions.incrementAndGet(), "north", 0.5, leaseMs);
            client = new FleetClient(
                    new FleetClientConfig(
                            "north",
                            servers.stream()
                                    .map(each -> "127.0.0.1:" + each.address().getPort())
                                    .toList(),
                            true,
                            20,
                            100,
                            timeoutMs,
                            new LeasedTable.Limits("north", 5_000, 0.5, 10, 60_000),
                            0),
                    "d",
                    1,
                    () -> {
                        onClockRead.run();
                        return System.currentTimeMillis();
                    },
                    future -> {
                        onCollect.run();
                        future.complete(new FleetClient.Counters(List.of(), KeyStatistics.NONE.snapshot()));
                    },
                    appliedWeights::add);
            client.start();
            awaitCondition(
                    "weights of the first table are effective",
                    () -> appliedWeights.stream()
                            .anyMatch(each -> ZoneWeightMath.weight(each, "radio", "east") == 0.5));
        }

        private HttpServer server() throws Exception {
            return new HttpServer(new InetSocketAddress("127.0.0.1", 0), 1 << 20, 10, (method, path, body, reply) -> {
                if (unresponsive) {
                    return;
                }
                if (method.equals("POST")) {
                    reports.add(JsonCodec.read(body, DaemonReport.class));
                    reply.accept(HttpReply.json(200, new ReportResponse("taken", 20, 20)));
                } else {
                    reply.accept(HttpReply.json(200, new TableResponse(table.get(), 20)));
                }
            });
        }

        static FleetTable issueTable(long version, String site, double weight, long leaseMs) {
            return new FleetTable(
                    site,
                    version,
                    System.currentTimeMillis(),
                    leaseMs,
                    "a",
                    new ZoneWeights(Map.of("radio", Map.of("east", weight))));
        }

        void awaitInStatus(String text) throws InterruptedException {
            awaitCondition(
                    "status contains " + text, () -> client.report().toString().contains(text));
        }

        void awaitNeutralWeights() throws InterruptedException {
            awaitCondition(
                    "weights are neutral",
                    () -> appliedWeights.get(appliedWeights.size() - 1).equals(ZoneWeights.NEUTRAL));
        }

        void awaitMoreReports() throws InterruptedException {
            int before = reports.size();
            awaitCondition("the servers receive more reports", () -> reports.size() > before + 2);
        }

        @Override
        public void close() {
            client.close();
            servers.forEach(HttpServer::close);
        }
    }

    @Test
    public void sendsReportsAppliesTablesAndReturnsToNeutralWeights() throws Exception {
        try (Fixture fixture = new Fixture(1_200, 300)) {
            fixture.awaitMoreReports();
            // On a busy machine a call can time out; its report may then be lost, or arrive after the next one.
            List<DaemonReport> received = List.copyOf(fixture.reports);
            assertEquals(
                    received.stream().map(DaemonReport::sequence).distinct().count(), received.size());
            assertEquals(
                    received.stream().map(DaemonReport::incarnation).distinct().count(), 1);
            fixture.table = () -> Fixture.issueTable(6, "north", 1, 60_000);
            fixture.awaitInStatus("tables older");
            fixture.awaitNeutralWeights();
            fixture.table = () -> Fixture.issueTable(fixture.versions.incrementAndGet(), "south", 0.5, 60_000);
            fixture.awaitInStatus("tables other-site");
            assertEquals(fixture.appliedWeights.get(fixture.appliedWeights.size() - 1), ZoneWeights.NEUTRAL);
            // After the end of one instance the other one receives the reports.
            fixture.servers.get(0).close();
            fixture.awaitMoreReports();
            // Calls to an instance that accepts connections but sends no response fail, too.
            fixture.unresponsive = true;
            fixture.awaitInStatus("calls failed");
            fixture.unresponsive = false;
            fixture.awaitMoreReports();
        }
    }

    /** With assertions enabled, a broken invariant is logged and shown in the status, and weights become neutral. */
    @Test
    public void logsBrokenInvariantAndReturnsToNeutralWeights() throws Exception {
        List<String> lines = new CopyOnWriteArrayList<>();
        Log.Sink previousSink = Log.setSink((kind, text, dropped) -> lines.add(kind + ": " + text));
        try (Fixture fixture = new Fixture(60_000, 300)) {
            fixture.onClockRead = () -> {
                if (Thread.currentThread().getName().startsWith("fleet")) {
                    throw new AssertionError("planted");
                }
            };
            fixture.awaitInStatus("ended by an invariant");
            fixture.awaitNeutralWeights();
            assertEquals(fixture.client.report().get("in_force"), Map.of());
            assertTrue(lines.stream().anyMatch(line -> line.startsWith("invariant: ")), lines.toString());
        } finally {
            Log.setSink(previousSink);
        }
    }

    /** Calls that fail with an unexpected exception must not extend the lease of an old table. */
    @Test
    public void endsLeaseWhenCallsFailUnexpectedly() throws Exception {
        try (Fixture fixture = new Fixture(1_200, 300)) {
            fixture.onCollect = () -> {
                throw new IllegalStateException("planted failure of the collector");
            };
            fixture.table = () -> Fixture.issueTable(1, "north", 1, 60_000);
            fixture.awaitNeutralWeights();
        }
    }

    /** The lease ends while a call waits for a response; the call's timeout is a minute. */
    @Test
    public void endsLeaseWhileCallIsBlocked() throws Exception {
        try (Fixture fixture = new Fixture(1_200, 60_000)) {
            assertTrue((long) fixture.client.report().get("lease_left_ms") <= 1_200);
            fixture.unresponsive = true;
            fixture.awaitNeutralWeights();
            assertTrue((long) fixture.client.report().get("lease_left_ms") <= 0);
        }
    }

    /** A broken invariant in key statistics ends them without an exception, so that requests are not affected. */
    @Test
    public void brokenInvariantInKeyStatisticsEndsOnlyKeyStatistics() {
        List<String> lines = new CopyOnWriteArrayList<>();
        // Threads of other tests may still log, so only lines of this test are collected.
        Log.Sink previousSink = Log.setSink((kind, text, dropped) ->
                lines.addAll(text.contains("planted in key statistics") ? List.of(kind) : List.of()));
        try {
            KeyStatistics statistics = new FailSafeKeyStatistics(new KeyStatistics() {
                @Override
                public void onRequestEnded(String id) {
                    throw new AssertionError("planted in key statistics");
                }

                @Override
                public Snapshot snapshot() {
                    return new Snapshot(new KeyReport(-1, 1, List.of()), null, null, null);
                }
            });
            assertEquals(statistics.snapshot().keys().sessions(), 1);
            statistics.onRequestEnded("a");
            assertEquals(statistics.snapshot(), KeyStatistics.NONE.snapshot());
            statistics.onRequestEnded("b");
            assertEquals(lines, List.of("invariant"));
        } finally {
            Log.setSink(previousSink);
        }
        assertTrue(
                SampledKeyStatistics.of(16, List.of()) instanceof FailSafeKeyStatistics,
                "expected fail-safe statistics where assertions are enabled");
    }
}
