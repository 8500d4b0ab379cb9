package peppergauge.fleet.service;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.fleet.Samples;
import peppergauge.fleet.http.HttpCaller;
import peppergauge.fleet.planner.ForecastOutcome;
import peppergauge.fleet.wire.FleetTable;
import peppergauge.fleet.wire.JsonCodec;
import peppergauge.forecast.hitrate.HitRate;
import peppergauge.forecast.sample.KeySampler;
import peppergauge.log.Log;

/** Tests of instances with real sockets, threads and files. Tests wait for states, not for fixed times. */
public class FleetServiceTest {

    private FleetCluster cluster;

    @BeforeMethod
    public void start() throws Exception {
        cluster = new FleetCluster(1);
        cluster.start(0);
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        cluster.close();
    }

    @Test
    public void respondsToEachReportWithVerdict() throws Exception {
        long now = System.currentTimeMillis();
        assertEquals(cluster.report(0, Samples.report(1, now, 2, now)), "taken");
        cluster.awaitDaemons(0, 1);
        assertEquals(cluster.report(0, Samples.report(1, now, 2, now)), "repeated");
        assertEquals(cluster.report(0, Samples.report(1, now, 1, now)), "repeated");
        assertEquals(cluster.report(0, Samples.report(1, now - 1, 9, now)), "dead-incarnation");
        assertEquals(cluster.report(0, Samples.report(2, now, 1, now - 60_000)), "late");
        assertEquals(cluster.report(0, Samples.report(2, now, 1, now + 60_000)), "future");
        HttpCaller.Response oversized = cluster.post(0, new byte[150_000]);
        assertEquals(
                oversized.status() + new String(oversized.body()).replaceAll(",.*", ""),
                "413{\"verdict\":\"oversized\"");
        assertEquals(cluster.post(0, "{".getBytes()).status(), 400);
        assertEquals(cluster.daemons(0), 1);
        for (String path : new String[] {"/fleet/v1/table?known=x", "/fleet/v1/tables", "/"}) {
            assertEquals(cluster.get(0, path).status(), path.endsWith("x") ? 400 : 404);
        }
        long counted = Stream.of("taken", "repeated", "oversized", "malformed", "late", "future", "dead-incarnation")
                .mapToLong(verdict -> (Long) cluster.status(0, "reports", verdict))
                .sum();
        assertEquals(counted, 8);
    }

    /** Forecasts follow from two reports; each malformed query has a named error. */
    @Test
    public void answersForecastQueriesFromSampledKeys() throws Exception {
        assertEquals(cluster.get(0, "/fleet/v1/forecast?change=zone-lost:east").status(), 404);
        long now = System.currentTimeMillis();
        KeySampler sampler = new KeySampler(64);
        assertEquals(cluster.report(0, Samples.reportWithKeys(1, now, 1, now - 20_000, sampler.report())), "taken");
        cluster.awaitDaemons(0, 1);
        for (int i = 0; i < 2_000; i++) {
            sampler.onRequest("k" + i % 20, "radio", i * 10L);
        }
        // A report replaces an earlier one that was not processed yet, so the test waits until the first one was.
        Samples.awaitCondition(
                "the first report was processed",
                () -> Integer.valueOf(1).equals(cluster.forecasts.report().get("daemons")));
        assertEquals(
                cluster.report(0, Samples.reportWithKeys(1, now, 2, System.currentTimeMillis(), sampler.report())),
                "taken");
        for (String change : new String[] {"zone-lost:east", "zone-shunned:w%65st", "replaced:0.6", "replaced:1"}) {
            Samples.awaitCondition(change, () -> status("?change=" + change).startsWith("200"));
            assertTrue(status("?change=" + change).matches(".*\"soon\":\\{\"mean\":0[.].*"), change);
        }
        String[][] malformedQueries = {
            {"", "malformed"},
            {"?change", "malformed"},
            {"?change=zone-lost", "malformed-change"},
            {"?change=zone-lost:", "malformed-zone"},
            {"?change=zone-lost:%zz", "malformed"},
            {"?change=zone-found:east", "unknown-change"},
            {"?change=replaced:NaN", "malformed-share"},
            {"?change=replaced:0.55", "share-not-answered"},
            {"?change=replaced:0.6&x=1", "malformed"}
        };
        for (String[] each : malformedQueries) {
            assertEquals(status(each[0]), "400{\"error\":\"" + each[1] + "\"}", each[0]);
        }
        assertTrue(
                status("?change=zone-lost:mars").startsWith("404{"), "expected 404 for a zone that no daemon reported");
    }

    @Test
    public void publishesTablesWhileForecastIsStalled() throws Exception {
        cluster.pauseWorker(0, "forecast");
        cluster.awaitStatus(0, "duties", "forecast", "stalled");
        long version = cluster.awaitTable(0, 0).version();
        for (int i = 0; i < 3; i++) {
            version = cluster.awaitTable(0, version).version();
        }
        cluster.awaitStatus(0, "duties", "decide", "fine");
    }

    private String status(String query) {
        try {
            HttpCaller.Response response = cluster.get(0, "/fleet/v1/forecast" + query);
            return response.status() + new String(response.body());
        } catch (IOException failed) {
            throw new AssertionError(failed);
        }
    }

    @Test
    public void instancesShareReportsAndOneSurvivesLossOfTwo() throws Exception {
        try (FleetCluster instances = new FleetCluster(3)) {
            for (int i = 0; i < 3; i++) {
                instances.start(i);
            }
            long now = System.currentTimeMillis();
            for (int daemon = 0; daemon < 6; daemon++) {
                assertEquals(instances.report(daemon % 3, Samples.report(daemon, now, 1, now)), "taken");
            }
            for (int i = 0; i < 3; i++) {
                instances.awaitDaemons(i, 6);
            }
            long first = awaitTableOf(instances, 0, 0).version();
            instances.crash(0);
            instances.crash(1);
            long next = awaitTableOf(instances, first, 2).version();
            assertEquals(instances.report(2, Samples.report(0, now, 2, System.currentTimeMillis())), "taken");
            assertEquals(instances.daemons(2), 6, "expected all daemons after the loss of two instances");
            // The first instance restarts with its old files, catches up, and issues tables with greater versions.
            instances.start(0);
            instances.awaitDaemons(0, 6);
            awaitTableOf(instances, next, 0);
            instances.awaitStatus(2, "members", "fleet-1", "dead");
        }
    }

    /** Returns the next table after a version at the last instance that an issuer issued; versions must grow. */
    private static FleetTable awaitTableOf(FleetCluster cluster, long version, int issuer) throws InterruptedException {
        FleetTable next = cluster.awaitTable(2, version);
        assertTrue(next.version() > version);
        return next.issuer().equals("fleet-" + issuer) ? next : awaitTableOf(cluster, next.version(), issuer);
    }

    private void awaitTrust(boolean trusted) throws InterruptedException {
        Samples.awaitCondition(
                "trusted " + trusted,
                () -> ((Boolean) trusted).equals(cluster.forecasts.report().get("trusted")));
    }

    @Test
    public void restoresStateAfterRestartAndStartsEmptyWithDamagedFiles() throws Exception {
        long now = System.currentTimeMillis();
        HitRate forecast = new HitRate(0.2, 0.1, 0.3);
        cluster.forecastStateOverride = JsonCodec.write(Map.of(
                "forecaster",
                1,
                "record",
                Map.of("trusted", false, "last", List.of()),
                "scored",
                6,
                "unscored",
                Map.of(),
                "last",
                List.of(new ForecastOutcome("replaced:0.4", "steady", now, forecast, 0.6, 0.6, 0.01, false))));
        cluster.report(0, Samples.report(1, now, 1, now));
        cluster.awaitDaemons(0, 1);
        awaitTrust(true);
        // A step passes its forecast state to the merge worker before the next step exports it.
        long exportsBefore = cluster.forecastStateExports.get();
        Samples.awaitCondition(
                "forecast state was exported twice", () -> cluster.forecastStateExports.get() > exportsBefore + 1);
        cluster.service(0).close();
        cluster.forecastStateOverride = null;
        cluster.start(0);
        assertEquals(cluster.daemons(0), 1);
        awaitTrust(false);
        cluster.service(0).close();
        for (String ending : new String[] {"", ".before"}) {
            Path file = cluster.folder(0).resolve("fleet-0-state.snapshot" + ending);
            if (Files.exists(file)) {
                Files.write(file, new byte[] {1, 2, 3});
            }
        }
        cluster.start(0);
        assertEquals(cluster.daemons(0), 0);
        awaitTrust(true);
        assertEquals(cluster.report(0, Samples.report(1, now, 2, System.currentTimeMillis())), "taken");
    }

    @Test
    public void rejectsReportsWhileInboxIsFullAndRecovers() throws Exception {
        cluster.pauseWorker(0, "merge");
        long now = System.currentTimeMillis();
        int busy = 0;
        for (int daemon = 0; daemon < 40; daemon++) {
            HttpCaller.Response response = cluster.post(0, JsonCodec.write(Samples.report(daemon, now, 1, now)));
            busy += response.status() == 503 ? 1 : 0;
        }
        assertTrue(busy >= 40 - 16, "expected at least 24 rejected reports, got " + busy);
        cluster.awaitStatus(0, "duties", "merge", "stalled");
        cluster.resumeWorker(0, "merge");
        cluster.awaitDaemons(0, 40 - busy);
        assertEquals(cluster.status(0, "reports", "busy"), (long) busy);
    }

    /** Until its lease ends the last table is published, and afterwards none. */
    @Test
    public void publishesNoTableBeyondLeaseWhilePlanningIsStalled() throws Exception {
        cluster.awaitTable(0, 0);
        cluster.pauseWorker(0, "decide");
        cluster.awaitStatus(0, "duties", "decide", "stalled");
        Samples.awaitCondition(
                "views are dropped, not queued", () -> (Long) cluster.status(0, "rings", "views_let_go") > 0);
        awaitNoTable(0);
        cluster.resumeWorker(0, "decide");
        assertNotNull(cluster.awaitTable(0, 0));
    }

    /** Versions grow even though the clock was set back. */
    @Test
    public void publishesNoTableWhenVersionsCannotBeReserved() throws Exception {
        FleetTable last = cluster.awaitTable(0, 0);
        cluster.crash(0);
        // A folder in place of the temporary file makes writing fail.
        Path blocked = cluster.folder(0).resolve("fleet-0-versions.snapshot.new");
        Files.createDirectory(blocked);
        Files.createFile(blocked.resolve("x"));
        cluster.clockShiftMs.set(-3_600_000);
        cluster.start(0);
        Samples.awaitCondition(
                "a failed reservation is counted", () -> (Long) cluster.status(0, "failed", "versions") > 0);
        assertNull(cluster.table(0, 0).table());
        Files.delete(blocked.resolve("x"));
        Files.delete(blocked);
        assertTrue(cluster.awaitTable(0, 0).version() > last.version());
    }

    @DataProvider
    public Object[][] workers() {
        return new Object[][] {{"merge"}, {"decide"}, {"publish"}, {"gossip"}, {"forecast"}};
    }

    /** With assertions enabled, a broken invariant is logged, and its worker is shown as ended. */
    @Test(dataProvider = "workers")
    public void brokenInvariantEndsWorkerAndIsLogged(String worker) throws Exception {
        List<String> lines = new CopyOnWriteArrayList<>();
        Log.Sink previousSink = Log.setSink((kind, text, dropped) -> lines.add(kind + ": " + text));
        try {
            long version = cluster.awaitTable(0, 0).version();
            cluster.plantedViolations.add("0 " + worker);
            cluster.awaitStatus(0, "duties", worker, "ended");
            assertTrue(
                    lines.stream()
                            .anyMatch(line -> line.startsWith("invariant: ") && line.contains("planted in " + worker)),
                    lines.toString());
            assertEquals(cluster.get(0, "/fleet/v1/status").status(), 200);
            if (!List.of("gossip", "forecast").contains(worker)) {
                awaitNoTable(version);
            }
        } finally {
            Log.setSink(previousSink);
        }
    }

    /** Waits until no table is published; each table until then must be within its lease. */
    private void awaitNoTable(long known) throws InterruptedException {
        Samples.awaitCondition("no table is published", () -> {
            try {
                long requestedMs = System.currentTimeMillis();
                FleetTable table = cluster.table(0, known).table();
                assertFalse(table != null && table.issuedMs() + FleetCluster.LEASE_MS < requestedMs);
                return table == null;
            } catch (IOException failed) {
                throw new AssertionError(failed);
            }
        });
    }

    @Test
    public void brokenInvariantInEndpointFailsOneRequest() throws Exception {
        long now = System.currentTimeMillis();
        cluster.plantedViolations.add("0 intake");
        assertEquals(
                cluster.post(0, JsonCodec.write(Samples.report(1, now, 1, now))).status(), 500);
        assertEquals(cluster.report(0, Samples.report(1, now, 1, now)), "taken");
        assertEquals(cluster.status(0, "duties", "intake"), "failed 1 times");
    }
}
