package peppergauge.fleet.state;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.zip.Deflater;
import org.HdrHistogram.Histogram;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.fleet.Samples;
import peppergauge.fleet.decide.MergedView;
import peppergauge.fleet.state.Intake.Newest;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.DaemonReport.CellCounts;
import peppergauge.fleet.wire.Json;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.memory.ServiceTimes.Seen;
import peppergauge.forecast.memory.ServiceTimes.Sum;
import peppergauge.forecast.seen.AnswerLevels;

public class IntakeTest {

    private static final long NOW = 1_000_000;
    private static final Limits LIMITS = new Limits(30_000, 5_000, 500_000, 2, 3, 100);

    private static DaemonReport sent(long ms) {
        return Samples.report(1, 900_000, 4, ms);
    }

    private static DaemonReport with(
            String site, String daemon, long incarnation, long sequence, List<CellCounts> cells) {
        return new DaemonReport(site, daemon, incarnation, sequence, NOW, cells);
    }

    private static List<CellCounts> cell(long answered, String latency) {
        return List.of(new CellCounts("radio", "listen", "east", answered, 0, 0, latency));
    }

    @DataProvider
    public Object[][] reports() {
        Newest held = new Newest(900_000, 3);
        List<CellCounts> many = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            many.add(new CellCounts("radio" + i, "listen", "east", 1, 0, 0, null));
        }
        List<CellCounts> twice = new ArrayList<>(cell(1, null));
        twice.addAll(cell(2, null));
        return new Object[][] {
            {sent(NOW), null, 0, Verdict.TAKEN},
            {sent(NOW), held, 1, Verdict.TAKEN},
            {sent(NOW), held, 2, Verdict.TAKEN},
            {sent(NOW), null, 2, Verdict.FULL},
            {sent(NOW), new Newest(900_000, 4), 1, Verdict.REPEATED},
            {sent(NOW), new Newest(900_000, 9), 1, Verdict.REPEATED},
            {sent(NOW), new Newest(900_001, 1), 1, Verdict.DEAD_INCARNATION},
            {sent(NOW - 30_000), null, 0, Verdict.TAKEN},
            {sent(NOW - 30_001), null, 0, Verdict.LATE},
            {sent(NOW + 5_000), null, 0, Verdict.TAKEN},
            {sent(NOW + 5_001), null, 0, Verdict.FUTURE},
            {with("north", "d", NOW + 5_001, 1, List.of()), null, 0, Verdict.FUTURE},
            {with("south", "d", 1, 1, List.of()), null, 0, Verdict.OTHER_SITE},
            {with("north", "", 1, 1, List.of()), null, 0, Verdict.MALFORMED},
            {with("north", "d", 0, 1, List.of()), null, 0, Verdict.MALFORMED},
            {with("north", "d", 1, 0, List.of()), null, 0, Verdict.MALFORMED},
            {with("north", "d", 1, 1, null), null, 0, Verdict.MALFORMED},
            {with("north", "d", 1, 1, many), null, 0, Verdict.MALFORMED},
            {with("north", "d", 1, 1, twice), null, 0, Verdict.MALFORMED},
            {with("north", "d", 1, 1, cell(-1, null)), null, 0, Verdict.MALFORMED},
            {with("north", "d", 1, 1, cell(1, "no histogram")), null, 0, Verdict.MALFORMED},
            {with("north", "d", 1, 1, cell(1L << 48, null)), null, 0, Verdict.TAKEN},
            {with("north", "d", 1, 1, cell((1L << 48) + 1, null)), null, 0, Verdict.MALFORMED},
            {with("north", "d", 1, 1, cell(1, counted(1L << 62, 4))), null, 0, Verdict.MALFORMED},
            {with("north", "d", 1, 1, cell(1, counted(1L << 40, 4))), null, 0, Verdict.TAKEN},
            {with("north", "d", 1, 1, cell(1, Latencies.encode(new Histogram(1, 1_000, 5)))), null, 0, Verdict.MALFORMED
            },
        };
    }

    /** So many values each counted so often; 4 times 2^62 is 0 in a sum of 64 bits. */
    private static String counted(long times, int values) {
        Histogram histogram = Latencies.empty();
        for (int i = 0; i < values; i++) {
            histogram.recordValueWithCount(10 + i, times);
        }
        return Latencies.encode(histogram);
    }

    /** Of an instance that holds nothing yet. */
    private static Verdict judged(
            KeyReport keys, List<DaemonReport.Server> servers, Map<String, Seen> times, AnswerLevels levels) {
        return new Intake("north", LIMITS)
                .judge(
                        new DaemonReport("north", "d", 1, 1, NOW, List.of(), keys, servers, times, levels),
                        NOW,
                        null,
                        new Intake.Held(0, 0));
    }

    private static Map<String, Seen> times(int buckets, Sum sum, Sum fresh) {
        return Map.of("1", new Seen(Collections.nCopies(buckets, sum), Map.of(7L, fresh)));
    }

    @DataProvider
    Object[][] timed() {
        Sum fine = new Sum(1, 1, 1);
        return new Object[][] {
            {times(56, fine, fine), Verdict.TAKEN},
            {times(55, fine, fine), Verdict.MALFORMED},
            {times(56, null, fine), Verdict.MALFORMED},
            {times(56, new Sum(0, 0, 0), fine), Verdict.TAKEN},
            {times(56, fine, new Sum(0, 0, 0)), Verdict.MALFORMED},
            {times(56, new Sum(1, Double.NaN, 1), fine), Verdict.MALFORMED},
            {times(56, new Sum(1, -1, 1), fine), Verdict.MALFORMED},
            {Map.of("1", new Seen(null, null)), Verdict.MALFORMED},
        };
    }

    @Test(dataProvider = "timed")
    public void serviceTimesThatNothingCanBeInferredFromAreMalformed(Map<String, Seen> times, Verdict verdict) {
        assertEquals(judged(null, null, times, null), verdict);
    }

    private static AnswerLevels levels(long all, long near, long key) {
        return new AnswerLevels(-1, new Sum(all, 1, 1), new Sum(near, 1, 1), Map.of(7L, new Sum(key, 1, 1)));
    }

    @DataProvider
    Object[][] levelled() {
        return new Object[][] {
            {levels(5, 5, 1), Verdict.TAKEN},
            {null, Verdict.TAKEN},
            {levels(5, 6, 1), Verdict.MALFORMED},
            {levels(-1, -1, 1), Verdict.MALFORMED},
            {levels(5, 5, 0), Verdict.MALFORMED},
            {levels(Long.MAX_VALUE, 5, 1), Verdict.MALFORMED},
            {new AnswerLevels(-1, null, new Sum(0, 0, 0), Map.of()), Verdict.MALFORMED},
            {new AnswerLevels(-1, new Sum(5, Double.NaN, 1), new Sum(0, 0, 0), Map.of()), Verdict.MALFORMED},
        };
    }

    @Test(dataProvider = "levelled")
    public void levelsThatNothingCanBeScoredByAreMalformed(AnswerLevels levels, Verdict verdict) {
        assertEquals(judged(null, null, null, levels), verdict);
    }

    @DataProvider
    Object[][] sampled() {
        List<Long> gaps = List.of(1L, 2L);
        return new Object[][] {
            {new KeyReport(-1, 5, List.of(new KeyReport.Key(1, "radio", 5, gaps))), "east", Verdict.TAKEN},
            {new KeyReport(-1, 5, List.of(new KeyReport.Key(1, null, 5, gaps))), "east", Verdict.MALFORMED},
            {new KeyReport(-1, 5, List.of(new KeyReport.Key(1, "radio", -5, gaps))), "east", Verdict.MALFORMED},
            {new KeyReport(-1, 5, List.of(new KeyReport.Key(1, "radio", 5, List.of(-1L)))), "east", Verdict.MALFORMED},
            {new KeyReport(-1, Long.MAX_VALUE, List.of()), "east", Verdict.MALFORMED},
            {new KeyReport(2, 5, List.of()), "east", Verdict.TAKEN},
            {new KeyReport(1, 5, List.of()), "east", Verdict.MALFORMED},
            {heavy(3, 3, 1, "radio", 5), "east", Verdict.TAKEN},
            {heavy(0, 0, 2_048, "", 0), "east", Verdict.TAKEN},
            {heavy(0, 0, 2_049, "radio", 5), "east", Verdict.MALFORMED},
            {heavy(3, 2, 1, "radio", 5), "east", Verdict.MALFORMED},
            {heavy(-1, 2, 1, "radio", 5), "east", Verdict.MALFORMED},
            {heavy(0, Long.MAX_VALUE, 1, "radio", 5), "east", Verdict.MALFORMED},
            {heavy(0, 0, 1, null, 5), "east", Verdict.MALFORMED},
            {heavy(0, 0, 1, "r".repeat(201), 5), "east", Verdict.MALFORMED},
            {heavy(0, 0, 1, "radio", -5), "east", Verdict.MALFORMED},
            {heavy(0, 0, 1, "radio", Long.MAX_VALUE), "east", Verdict.MALFORMED},
            {null, null, Verdict.MALFORMED},
            {null, "", Verdict.MALFORMED},
            {null, "east", Verdict.TAKEN},
        };
    }

    private static KeyReport heavy(long error, long floor, int keys, String station, long count) {
        return new KeyReport(
                1L << 60,
                5,
                List.of(),
                new KeyReport.Heavy(
                        error, floor, Collections.nCopies(keys, new KeyReport.Heavy.Count(512, station, count))));
    }

    /** One broken daemon must not end the forecasts for all. */
    @Test(dataProvider = "sampled")
    public void whatCannotBeForecastWithIsMalformed(KeyReport keys, String zone, Verdict verdict) {
        assertEquals(judged(keys, List.of(new DaemonReport.Server("s", zone, -1)), null, null), verdict);
    }

    @Test(dataProvider = "reports")
    public void eachReportHasANamedAnswer(DaemonReport report, Newest held, int daemons, Verdict verdict) {
        Intake intake = new Intake(Samples.SITE, LIMITS);
        assertEquals(intake.judge(report, NOW, held, new Intake.Held(daemons, 79)), verdict);
        Verdict tight = verdict != Verdict.TAKEN ? verdict : held == null ? Verdict.FULL : Verdict.TAKEN;
        assertEquals(intake.judge(report, NOW, held, new Intake.Held(daemons, 80)), tight);
        assertEquals(
                intake.judge(report, NOW, held, new Intake.Held(daemons, 100)),
                tight == Verdict.TAKEN ? Verdict.FULL : tight);
    }

    /** The library would take as much memory as the head says: 2^40 entries here. */
    @Test(timeOut = 60_000)
    public void aHistogramThatSaysThatItIsHugeIsNotMade() {
        ByteBuffer inner = ByteBuffer.allocate(100);
        inner.putInt(0x1c849303 | 0x10)
                .putInt(60)
                .putInt(0)
                .putInt(5)
                .putLong(1)
                .putLong(1L << 62)
                .putDouble(1);
        Deflater deflater = new Deflater();
        deflater.setInput(inner.array());
        deflater.finish();
        byte[] packed = new byte[200];
        int length = deflater.deflate(packed);
        ByteBuffer whole = ByteBuffer.allocate(8 + length)
                .putInt(0x1c849304 | 0x10)
                .putInt(length)
                .put(packed, 0, length);
        assertThrows(
                IllegalArgumentException.class,
                () -> Latencies.decode(Base64.getEncoder().encodeToString(whole.array())));
    }

    @DataProvider
    public Object[][] texts() {
        String good = new String(Json.write(sent(NOW)));
        return new Object[][] {
            {""},
            {"null"},
            {"[]"},
            {good + "x"},
            {good.substring(0, good.length() / 2)},
            {good.replace("\"sequence\":4", "\"sequence\":\"4\"")},
            {good.replace("\"sequence\":4,", "")},
            {good.replace("\"sequence\":4", "\"sequence\":4.5")},
            {good.replace("\"sequence\":4", "\"sequence\":" + "9".repeat(40))},
            {good.replace("\"cells\":[", "\"cells\":" + "[".repeat(50))}
        };
    }

    @Test(dataProvider = "texts")
    public void whatIsNoReportIsNotRead(String text) {
        assertThrows(IllegalArgumentException.class, () -> Json.read(text.getBytes(), DaemonReport.class));
    }

    @Test
    public void aReportReadsAsItWasWritten() {
        DaemonReport report = sent(NOW);
        assertEquals(Json.read(Json.write(report), DaemonReport.class), report);
        String more = new String(Json.write(report)).replaceFirst("\\{", "{\"of-a-later-release\":[1],");
        assertEquals(Json.read(more.getBytes(), DaemonReport.class), report);
    }

    /** It may have been counted, and forgotten since. */
    @Test
    public void whatMayHaveBeenCountedBeforeCountsFromHereOn() {
        Tally tally = new Tally(10);
        FleetState state = new FleetState();
        tally.count(state.take(Samples.report(1, NOW - 500_001, 4, NOW)), NOW, LIMITS.forgetMs());
        assertEquals(tally.totals().size(), 0);
        tally.count(state.take(Samples.report(1, NOW - 500_001, 5, NOW)), NOW, LIMITS.forgetMs());
        assertEquals(tally.totals().values().iterator().next().denied(), 1);
    }

    /** An instance that reaches all others asks each for what it was told itself. */
    @Test
    public void whatOthersToldIsPassedOnOnlyToWhoAsksForAll() {
        FleetState relaying = new FleetState();
        relaying.take(Samples.report(1, 1, 1, 1), false);
        relaying.take(Samples.report(2, 1, 1, 1), true);
        assertEquals(relaying.since(0, 9_999, false).reports(), List.of(Samples.report(2, 1, 1, 1)));
        assertEquals(relaying.since(0, 9_999, true).reports().size(), 2);
    }

    @Test
    public void whatCameLateWasDeniedOrFailedIsMissed() {
        Tally tally = new Tally(10);
        FleetState state = new FleetState();
        // Answered in 11 ms, 4 x (1 + 1 + 1) of them, and 4 denied.
        tally.count(state.take(Samples.report(1, 1, 4, NOW)), NOW, 2 * NOW);
        MergedView view = new MergedView(NOW, tally.totals(), Map.of(), 1);
        assertEquals(
                view.evidence(cell -> cell.zone().equals("east") ? 11 : 10).stream()
                        .map(each -> each.key().zone() + " " + each.met() + " " + each.missed())
                        .sorted()
                        .toList(),
                List.of("east 12 4", "west 0 16"));
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{0, 2_000}, {100, 2_000}, {1_000, 20_000}, {3_000, 60_000}, {100_000, 120_000}};
    }

    @Test(dataProvider = "fleets")
    public void theIntervalKeepsTheCostOfAllFlat(int daemons, long intervalMs) {
        assertEquals(new Pace(50, 2_000, 120_000).intervalMs(daemons), intervalMs);
    }
}
