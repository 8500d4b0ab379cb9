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
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.fleet.Samples;
import peppergauge.fleet.decide.ForecastOutcome;
import peppergauge.fleet.http.Caller;
import peppergauge.fleet.wire.FleetTable;
import peppergauge.fleet.wire.Json;
import peppergauge.forecast.hits.HitRate;
import peppergauge.forecast.sample.KeySampler;
import peppergauge.log.Log;

/** Real sockets, threads and files. What is waited for is a state, never a time. */
public class ServiceTest {

    private static int held(Bed bed, int i) {
        return Bed.<Integer>of(bed.service(i).status(), "daemons");
    }

    private static FleetTable awaited(Bed bed, int i, long known) {
        FleetTable[] found = new FleetTable[1];
        Bed.until("a table after " + known + " at " + i, () -> {
            try {
                found[0] = bed.table(i, known).table();
                return found[0] != null;
            } catch (IOException gone) {
                return false;
            }
        });
        return found[0];
    }

    @Test
    public void oneAnswersEachReportByItsName() throws Exception {
        try (Bed bed = new Bed(1)) {
            bed.start(0);
            long now = System.currentTimeMillis();
            assertEquals(bed.report(0, Samples.report(1, now, 2, now)), "taken");
            Bed.until("merged", () -> held(bed, 0) == 1);
            assertEquals(bed.report(0, Samples.report(1, now, 2, now)), "repeated");
            assertEquals(bed.report(0, Samples.report(1, now, 1, now)), "repeated");
            assertEquals(bed.report(0, Samples.report(1, now - 1, 9, now)), "dead-incarnation");
            assertEquals(bed.report(0, Samples.report(2, now, 1, now - 60_000)), "late");
            assertEquals(bed.report(0, Samples.report(2, now, 1, now + 60_000)), "future");
            Caller.Answer oversized = bed.post(0, new byte[150_000]);
            assertEquals(oversized.status() + new String(oversized.body()).replaceAll(",.*", ""),
                    "413{\"verdict\":\"oversized\"");
            assertEquals(bed.post(0, "{".getBytes()).status(), 400);
            assertEquals(held(bed, 0), 1);
            for (String path : new String[] {"/fleet/v1/table?known=x", "/fleet/v1/tables", "/"}) {
                assertEquals(bed.get(0, path).status(), path.endsWith("x") ? 400 : 404);
            }
            Map<String, Long> counts = Bed.of(bed.service(0).status(), "reports");
            assertEquals(counts.get("taken") + counts.get("repeated") + counts.get("oversized")
                    + counts.get("malformed") + counts.get("late") + counts.get("future")
                    + counts.get("dead-incarnation"), 8);
        }
    }

    /** By real sockets from two reports to an answer; what cannot be asked has its name. */
    @Test
    public void whatDaemonsSampledBecomesAnAnswer() throws Exception {
        try (Bed bed = new Bed(1)) {
            bed.start(0);
            assertEquals(bed.get(0, "/fleet/v1/forecast?change=zone-lost:east").status(), 404);
            long now = System.currentTimeMillis();
            KeySampler sampler = new KeySampler(64);
            assertEquals(bed.report(0, Samples.sampled(1, now, 1, now - 20_000, sampler.report())), "taken");
            Bed.until("merged", () -> held(bed, 0) == 1);
            for (int i = 0; i < 2_000; i++) {
                sampler.seen("k" + i % 20, "radio", i * 10L);
            }
            // Of two that come between two looks the second stands for both: the first has to have been looked at.
            Bed.until("looked at", () -> Integer.valueOf(1).equals(bed.forecasts.report().get("daemons")));
            assertEquals(bed.report(0, Samples.sampled(1, now, 2, now, sampler.report())), "taken");
            for (String change : new String[] {"zone-lost:east", "zone-shunned:w%65st", "replaced:0.6", "replaced:1"}) {
                Bed.until(change, () -> status(bed, "?change=" + change).startsWith("200"));
                assertTrue(status(bed, "?change=" + change).matches(".*\"soon\":\\{\"mean\":0[.].*"), change);
            }
            String[][] wrong = {{"", "malformed"}, {"?change", "malformed"}, {"?change=zone-lost", "malformed-change"},
                {"?change=zone-lost:", "malformed-zone"}, {"?change=zone-lost:%zz", "malformed"},
                {"?change=zone-found:east", "unknown-change"}, {"?change=replaced:NaN", "malformed-share"},
                {"?change=replaced:0.55", "share-not-answered"}, {"?change=replaced:0.6&x=1", "malformed"}};
            for (String[] each : wrong) {
                assertEquals(status(bed, each[0]), "400{\"error\":\"" + each[1] + "\"}", each[0]);
            }
            assertTrue(status(bed, "?change=zone-lost:mars").startsWith("404{"), "a zone that nobody told of");
        }
    }

    @Test
    public void noTableWaitsForAForecast() throws Exception {
        try (Bed bed = new Bed(1)) {
            bed.start(0);
            bed.hold(0, "forecast");
            Bed.until("seen", () -> "stalled".equals(
                    Bed.<Map<String, String>>of(bed.service(0).status(), "duties").get("forecast")));
            long version = awaited(bed, 0, 0).version();
            for (int i = 0; i < 3; i++) {
                version = awaited(bed, 0, version).version();
            }
            assertEquals(Bed.<Map<String, String>>of(bed.service(0).status(), "duties").get("decide"), "fine");
        }
    }

    private static String status(Bed bed, String query) {
        try {
            Caller.Answer answer = bed.get(0, "/fleet/v1/forecast" + query);
            return answer.status() + new String(answer.body());
        } catch (IOException failed) {
            throw new AssertionError(failed);
        }
    }

    @Test
    public void threeHoldWhatOneWasToldAndAnyOneOfThemGoesOn() throws Exception {
        try (Bed bed = new Bed(3)) {
            for (int i = 0; i < 3; i++) {
                bed.start(i);
            }
            long now = System.currentTimeMillis();
            for (int daemon = 0; daemon < 6; daemon++) {
                assertEquals(bed.report(daemon % 3, Samples.report(daemon, now, 1, now)), "taken");
            }
            for (int i = 0; i < 3; i++) {
                int at = i;
                Bed.until("all at " + i, () -> held(bed, at) == 6);
            }
            Bed.until("one of them issues", () -> awaited(bed, 2, 0).issuer().equals("fleet-0"));
            FleetTable first = awaited(bed, 2, 0);
            bed.crash(0);
            bed.crash(1);
            long version = first.version();
            FleetTable next = awaited(bed, 2, version);
            while (!next.issuer().equals("fleet-2")) {
                assertTrue(next.version() > version);
                version = next.version();
                next = awaited(bed, 2, version);
            }
            assertEquals(bed.report(2, Samples.report(0, now, 2, now)), "taken");
            assertEquals(held(bed, 2), 6, "with nothing lost");
            // Back with its old disk, it learns what it missed, and takes over without a version that goes back.
            bed.start(0);
            Bed.until("caught up", () -> held(bed, 0) == 6);
            long before = next.version();
            Bed.until("on duty again", () -> awaited(bed, 2, before).issuer().equals("fleet-0"));
            Bed.until("buried", () -> "dead".equals(
                    Bed.<Map<String, String>>of(bed.service(2).status(), "members").get("fleet-1")));
        }
    }

    @Test
    public void noVersionIsHandedOutTwiceOverACrashAndAClockThatWentBack() throws Exception {
        try (Bed bed = new Bed(1)) {
            bed.start(0);
            FleetTable before = awaited(bed, 0, 0);
            bed.crash(0);
            bed.clockShiftMs.set(-3_600_000);
            bed.start(0);
            FleetTable after = awaited(bed, 0, 0);
            assertTrue(after.version() > before.version());
        }
    }

    private static void untilForecastsAreTrusted(Bed bed, boolean trusted) {
        Bed.until("trusted " + trusted, () -> ((Boolean) trusted).equals(bed.forecasts.report().get("trusted")));
    }

    @Test
    public void totalsAndTrustOutliveTheProcessAndADamagedFileMeansAFreshStart() throws Exception {
        try (Bed bed = new Bed(1)) {
            long now = System.currentTimeMillis();
            HitRate said = new HitRate(0.2, 0.1, 0.3);
            bed.proved = Json.write(Map.of("forecaster", 1, "record", Map.of("trusted", false, "last", List.of()),
                    "scored", 6, "unscored", Map.of(), "last", List.of(new ForecastOutcome("replaced:0.4", "steady",
                            now, said, 0.6, 0.6, 0.01, false))));
            bed.start(0);
            bed.report(0, Samples.report(1, now, 1, now));
            Bed.until("merged", () -> held(bed, 0) == 1);
            untilForecastsAreTrusted(bed, true);
            bed.service(0).close();
            bed.proved = null;
            bed.start(0);
            assertEquals(held(bed, 0), 1);
            untilForecastsAreTrusted(bed, false);
            bed.service(0).close();
            for (String ending : new String[] {"", ".before"}) {
                Path kept = bed.folder(0).resolve("fleet-0-state.snapshot" + ending);
                if (Files.exists(kept)) {
                    Files.write(kept, new byte[] {1, 2, 3});
                }
            }
            bed.start(0);
            assertEquals(held(bed, 0), 0);
            untilForecastsAreTrusted(bed, true);
            assertEquals(bed.report(0, Samples.report(1, now, 2, now)), "taken");
        }
    }

    @Test
    public void aFullRingTurnsReportsAwayAndAllIsWellAfterIt() throws Exception {
        try (Bed bed = new Bed(1)) {
            bed.start(0);
            bed.hold(0, "merge");
            long now = System.currentTimeMillis();
            int busy = 0;
            for (int daemon = 0; daemon < 40; daemon++) {
                Caller.Answer answer = bed.post(0, Json.write(Samples.report(daemon, now, 1, now)));
                busy += answer.status() == 503 ? 1 : 0;
            }
            assertTrue(busy >= 40 - 16, busy + " were turned away");
            Bed.until("seen", () -> "stalled".equals(
                    Bed.<Map<String, String>>of(bed.service(0).status(), "duties").get("merge")));
            bed.release(0, "merge");
            int turnedAway = busy;
            Bed.until("merged", () -> held(bed, 0) == 40 - turnedAway);
            assertEquals(Bed.<Map<String, Long>>of(bed.service(0).status(), "reports").get("busy"), (Long) (long) busy);
        }
    }

    /** The lease runs out by the clock; until then what is handed out is the last table, and after it nothing. */
    @Test
    public void aDecisionThatDoesNotComeOnLetsNoTableOutPastItsLease() throws Exception {
        try (Bed bed = new Bed(1)) {
            bed.start(0);
            awaited(bed, 0, 0);
            bed.hold(0, "decide");
            Bed.until("seen", () -> "stalled".equals(
                    Bed.<Map<String, String>>of(bed.service(0).status(), "duties").get("decide")));
            Bed.until("views are let go, not piled up", () ->
                    Bed.<Map<String, Long>>of(bed.service(0).status(), "rings").get("views_let_go") > 0);
            Bed.until("nothing is handed out", () -> {
                try {
                    FleetTable table = bed.table(0, 0).table();
                    assertFalse(table != null && table.issuedMs() + Bed.LEASE_MS + 1_000 < System.currentTimeMillis());
                    return table == null;
                } catch (IOException failed) {
                    throw new AssertionError(failed);
                }
            });
            bed.release(0, "decide");
            assertNotNull(awaited(bed, 0, 0));
        }
    }

    @Test
    public void whereVersionsCannotBeKeptNoTableGoesOut() throws Exception {
        try (Bed bed = new Bed(1)) {
            bed.start(0);
            FleetTable last = awaited(bed, 0, 0);
            bed.crash(0);
            // In the place of the file that is written first there is a folder.
            Path blocked = bed.folder(0).resolve("fleet-0-versions.snapshot.new");
            Files.createDirectory(blocked);
            Files.createFile(blocked.resolve("x"));
            bed.start(0);
            Bed.until("counted", () -> Bed.<Map<String, Long>>of(bed.service(0).status(), "failed")
                    .get("versions") > 0);
            assertNull(bed.table(0, 0).table());
            Files.delete(blocked.resolve("x"));
            Files.delete(blocked);
            assertTrue(awaited(bed, 0, 0).version() > last.version());
        }
    }

    @DataProvider
    public Object[][] duties() {
        return new Object[][] {{"merge"}, {"decide"}, {"publish"}, {"gossip"}, {"forecast"}};
    }

    /** Under -ea: what broke is in the log and in the status for good, and nothing of what it held is kept. */
    @Test(dataProvider = "duties")
    public void aBreachOfAnInvariantEndsItsDutyAndIsSeen(String duty) throws Exception {
        List<String> lines = new CopyOnWriteArrayList<>();
        Log.Sink former = Log.to((kind, text, passedOver) -> lines.add(kind + ": " + text));
        try (Bed bed = new Bed(1)) {
            bed.start(0);
            long version = awaited(bed, 0, 0).version();
            bed.broken.add("0 " + duty);
            Bed.until(duty + " ended", () -> "ended".equals(Bed.<Map<String, String>>of(bed.service(0).status(),
                    "duties").get(duty)));
            assertTrue(lines.stream().anyMatch(line -> line.startsWith("invariant: ")
                    && line.contains("planted in " + duty)), lines.toString());
            assertEquals(bed.get(0, "/fleet/v1/status").status(), 200);
            if (!List.of("gossip", "forecast").contains(duty)) {
                Bed.until("tables run out", () -> {
                    try {
                        return bed.table(0, version).table() == null;
                    } catch (IOException gone) {
                        return false;
                    }
                });
            }
        } finally {
            Log.to(former);
        }
    }

    @Test
    public void aBreachInTheIntakeIsAnsweredAndSeen() throws Exception {
        try (Bed bed = new Bed(1)) {
            bed.start(0);
            long now = System.currentTimeMillis();
            bed.broken.add("0 intake");
            assertEquals(bed.post(0, Json.write(Samples.report(1, now, 1, now))).status(), 500);
            assertEquals(bed.report(0, Samples.report(1, now, 1, now)), "taken");
            assertEquals(Bed.<Map<String, String>>of(bed.service(0).status(), "duties").get("intake"),
                    "failed 1 times");
        }
    }
}
