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

/** Real sockets, threads and files. What is waited for is a state, never a time. */
public class FleetServiceTest {

    private FleetCluster bed;

    @BeforeMethod
    public void start() throws Exception {
        bed = new FleetCluster(1);
        bed.start(0);
    }

    @AfterMethod(alwaysRun = true)
    public void end() throws Exception {
        bed.close();
    }

    @Test
    public void oneAnswersEachReportByItsName() throws Exception {
        long now = System.currentTimeMillis();
        assertEquals(bed.report(0, Samples.report(1, now, 2, now)), "taken");
        bed.untilDaemons(0, 1);
        assertEquals(bed.report(0, Samples.report(1, now, 2, now)), "repeated");
        assertEquals(bed.report(0, Samples.report(1, now, 1, now)), "repeated");
        assertEquals(bed.report(0, Samples.report(1, now - 1, 9, now)), "dead-incarnation");
        assertEquals(bed.report(0, Samples.report(2, now, 1, now - 60_000)), "late");
        assertEquals(bed.report(0, Samples.report(2, now, 1, now + 60_000)), "future");
        HttpCaller.Response oversized = bed.post(0, new byte[150_000]);
        assertEquals(
                oversized.status() + new String(oversized.body()).replaceAll(",.*", ""),
                "413{\"verdict\":\"oversized\"");
        assertEquals(bed.post(0, "{".getBytes()).status(), 400);
        assertEquals(bed.daemons(0), 1);
        for (String path : new String[] {"/fleet/v1/table?known=x", "/fleet/v1/tables", "/"}) {
            assertEquals(bed.get(0, path).status(), path.endsWith("x") ? 400 : 404);
        }
        long counted = Stream.of("taken", "repeated", "oversized", "malformed", "late", "future", "dead-incarnation")
                .mapToLong(verdict -> (Long) bed.status(0, "reports", verdict))
                .sum();
        assertEquals(counted, 8);
    }

    /** By real sockets from two reports to an answer; what cannot be asked has its name. */
    @Test
    public void whatDaemonsSampledBecomesAnAnswer() throws Exception {
        assertEquals(bed.get(0, "/fleet/v1/forecast?change=zone-lost:east").status(), 404);
        long now = System.currentTimeMillis();
        KeySampler sampler = new KeySampler(64);
        assertEquals(bed.report(0, Samples.sampled(1, now, 1, now - 20_000, sampler.report())), "taken");
        bed.untilDaemons(0, 1);
        for (int i = 0; i < 2_000; i++) {
            sampler.onRequest("k" + i % 20, "radio", i * 10L);
        }
        // Of two that come between two looks the second stands for both: the first has to have been looked at.
        Samples.until(
                "looked at",
                () -> Integer.valueOf(1).equals(bed.forecasts.report().get("daemons")));
        assertEquals(bed.report(0, Samples.sampled(1, now, 2, System.currentTimeMillis(), sampler.report())), "taken");
        for (String change : new String[] {"zone-lost:east", "zone-shunned:w%65st", "replaced:0.6", "replaced:1"}) {
            Samples.until(change, () -> status("?change=" + change).startsWith("200"));
            assertTrue(status("?change=" + change).matches(".*\"soon\":\\{\"mean\":0[.].*"), change);
        }
        String[][] wrong = {
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
        for (String[] each : wrong) {
            assertEquals(status(each[0]), "400{\"error\":\"" + each[1] + "\"}", each[0]);
        }
        assertTrue(status("?change=zone-lost:mars").startsWith("404{"), "a zone that nobody told of");
    }

    @Test
    public void noTableWaitsForAForecast() throws Exception {
        bed.hold(0, "forecast");
        bed.untilStatus(0, "duties", "forecast", "stalled");
        long version = bed.awaited(0, 0).version();
        for (int i = 0; i < 3; i++) {
            version = bed.awaited(0, version).version();
        }
        bed.untilStatus(0, "duties", "decide", "fine");
    }

    private String status(String query) {
        try {
            HttpCaller.Response answer = bed.get(0, "/fleet/v1/forecast" + query);
            return answer.status() + new String(answer.body());
        } catch (IOException failed) {
            throw new AssertionError(failed);
        }
    }

    @Test
    public void threeHoldWhatOneWasToldAndAnyOneOfThemGoesOn() throws Exception {
        try (FleetCluster three = new FleetCluster(3)) {
            for (int i = 0; i < 3; i++) {
                three.start(i);
            }
            long now = System.currentTimeMillis();
            for (int daemon = 0; daemon < 6; daemon++) {
                assertEquals(three.report(daemon % 3, Samples.report(daemon, now, 1, now)), "taken");
            }
            for (int i = 0; i < 3; i++) {
                three.untilDaemons(i, 6);
            }
            long first = issued(three, 0, 0).version();
            three.crash(0);
            three.crash(1);
            long next = issued(three, first, 2).version();
            assertEquals(three.report(2, Samples.report(0, now, 2, System.currentTimeMillis())), "taken");
            assertEquals(three.daemons(2), 6, "with nothing lost");
            // Back with its old disk, it learns what it missed, and takes over without a version that goes back.
            three.start(0);
            three.untilDaemons(0, 6);
            issued(three, next, 0);
            three.untilStatus(2, "members", "fleet-1", "dead");
        }
    }

    /** The first table after a version that the last instance hands out and that one issued; none goes back. */
    private static FleetTable issued(FleetCluster bed, long version, int issuer) throws InterruptedException {
        FleetTable next = bed.awaited(2, version);
        assertTrue(next.version() > version);
        return next.issuer().equals("fleet-" + issuer) ? next : issued(bed, next.version(), issuer);
    }

    private void untilForecastsAreTrusted(boolean trusted) throws InterruptedException {
        Samples.until(
                "trusted " + trusted,
                () -> ((Boolean) trusted).equals(bed.forecasts.report().get("trusted")));
    }

    @Test
    public void totalsAndTrustOutliveTheProcessAndADamagedFileMeansAFreshStart() throws Exception {
        long now = System.currentTimeMillis();
        HitRate said = new HitRate(0.2, 0.1, 0.3);
        bed.proved = JsonCodec.write(Map.of(
                "forecaster",
                1,
                "record",
                Map.of("trusted", false, "last", List.of()),
                "scored",
                6,
                "unscored",
                Map.of(),
                "last",
                List.of(new ForecastOutcome("replaced:0.4", "steady", now, said, 0.6, 0.6, 0.01, false))));
        bed.report(0, Samples.report(1, now, 1, now));
        bed.untilDaemons(0, 1);
        untilForecastsAreTrusted(true);
        // What one step found is with the merge before the next one asks.
        long asked = bed.proofs.get();
        Samples.until("found twice", () -> bed.proofs.get() > asked + 1);
        bed.service(0).close();
        bed.proved = null;
        bed.start(0);
        assertEquals(bed.daemons(0), 1);
        untilForecastsAreTrusted(false);
        bed.service(0).close();
        for (String ending : new String[] {"", ".before"}) {
            Path kept = bed.folder(0).resolve("fleet-0-state.snapshot" + ending);
            if (Files.exists(kept)) {
                Files.write(kept, new byte[] {1, 2, 3});
            }
        }
        bed.start(0);
        assertEquals(bed.daemons(0), 0);
        untilForecastsAreTrusted(true);
        assertEquals(bed.report(0, Samples.report(1, now, 2, System.currentTimeMillis())), "taken");
    }

    @Test
    public void aFullRingTurnsReportsAwayAndAllIsWellAfterIt() throws Exception {
        bed.hold(0, "merge");
        long now = System.currentTimeMillis();
        int busy = 0;
        for (int daemon = 0; daemon < 40; daemon++) {
            HttpCaller.Response answer = bed.post(0, JsonCodec.write(Samples.report(daemon, now, 1, now)));
            busy += answer.status() == 503 ? 1 : 0;
        }
        assertTrue(busy >= 40 - 16, busy + " were turned away");
        bed.untilStatus(0, "duties", "merge", "stalled");
        bed.release(0, "merge");
        bed.untilDaemons(0, 40 - busy);
        assertEquals(bed.status(0, "reports", "busy"), (long) busy);
    }

    /** The lease runs out by the clock; until then what is handed out is the last table, and after it nothing. */
    @Test
    public void aDecisionThatDoesNotComeOnLetsNoTableOutPastItsLease() throws Exception {
        bed.awaited(0, 0);
        bed.hold(0, "decide");
        bed.untilStatus(0, "duties", "decide", "stalled");
        Samples.until("views are let go, not piled up", () -> (Long) bed.status(0, "rings", "views_let_go") > 0);
        untilNoTable(0);
        bed.release(0, "decide");
        assertNotNull(bed.awaited(0, 0));
    }

    /** Nor is a version handed out twice, although the clock has gone back. */
    @Test
    public void whereVersionsCannotBeKeptNoTableGoesOut() throws Exception {
        FleetTable last = bed.awaited(0, 0);
        bed.crash(0);
        // In the place of the file that is written first there is a folder.
        Path blocked = bed.folder(0).resolve("fleet-0-versions.snapshot.new");
        Files.createDirectory(blocked);
        Files.createFile(blocked.resolve("x"));
        bed.clockShiftMs.set(-3_600_000);
        bed.start(0);
        Samples.until("counted", () -> (Long) bed.status(0, "failed", "versions") > 0);
        assertNull(bed.table(0, 0).table());
        Files.delete(blocked.resolve("x"));
        Files.delete(blocked);
        assertTrue(bed.awaited(0, 0).version() > last.version());
    }

    @DataProvider
    public Object[][] duties() {
        return new Object[][] {{"merge"}, {"decide"}, {"publish"}, {"gossip"}, {"forecast"}};
    }

    /** Under -ea: what broke is in the log and in the status for good, and nothing of what it held is kept. */
    @Test(dataProvider = "duties")
    public void aBreachOfAnInvariantEndsItsDutyAndIsSeen(String duty) throws Exception {
        List<String> lines = new CopyOnWriteArrayList<>();
        Log.Sink former = Log.setSink((kind, text, passedOver) -> lines.add(kind + ": " + text));
        try {
            long version = bed.awaited(0, 0).version();
            bed.broken.add("0 " + duty);
            bed.untilStatus(0, "duties", duty, "ended");
            assertTrue(
                    lines.stream()
                            .anyMatch(line -> line.startsWith("invariant: ") && line.contains("planted in " + duty)),
                    lines.toString());
            assertEquals(bed.get(0, "/fleet/v1/status").status(), 200);
            if (!List.of("gossip", "forecast").contains(duty)) {
                untilNoTable(version);
            }
        } finally {
            Log.setSink(former);
        }
    }

    /** What is handed out until then was in its lease when it was asked for. */
    private void untilNoTable(long known) throws InterruptedException {
        Samples.until("nothing is handed out", () -> {
            try {
                long askedMs = System.currentTimeMillis();
                FleetTable table = bed.table(0, known).table();
                assertFalse(table != null && table.issuedMs() + FleetCluster.LEASE_MS < askedMs);
                return table == null;
            } catch (IOException failed) {
                throw new AssertionError(failed);
            }
        });
    }

    @Test
    public void aBreachInTheIntakeIsAnsweredAndSeen() throws Exception {
        long now = System.currentTimeMillis();
        bed.broken.add("0 intake");
        assertEquals(
                bed.post(0, JsonCodec.write(Samples.report(1, now, 1, now))).status(), 500);
        assertEquals(bed.report(0, Samples.report(1, now, 1, now)), "taken");
        assertEquals(bed.status(0, "duties", "intake"), "failed 1 times");
    }
}
