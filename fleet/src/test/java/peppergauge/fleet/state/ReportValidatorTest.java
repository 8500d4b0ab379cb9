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
import peppergauge.fleet.planner.FleetView;
import peppergauge.fleet.state.ReportValidator.NewestReport;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.DaemonReport.TrafficCounts;
import peppergauge.fleet.wire.JsonCodec;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.cache.ServiceTimes.Snapshot;
import peppergauge.forecast.cache.ServiceTimes.Sum;
import peppergauge.forecast.observation.ResponseTimes;

public class ReportValidatorTest {

    private static final long NOW_MS = 1_000_000;
    private static final ReportLimits LIMITS = new ReportLimits(30_000, 5_000, 500_000, 2, 3, 100);

    private static DaemonReport reportSentAt(long ms) {
        return Samples.report(1, 900_000, 4, ms);
    }

    private static DaemonReport reportOf(
            String site, String daemon, long incarnation, long sequence, List<TrafficCounts> trafficCounts) {
        return new DaemonReport(site, daemon, incarnation, sequence, NOW_MS, trafficCounts);
    }

    private static List<TrafficCounts> counts(long answered, String latency) {
        return List.of(new TrafficCounts("radio", "listen", "east", answered, 0, 0, latency));
    }

    @DataProvider
    public Object[][] reports() {
        NewestReport newest = new NewestReport(900_000, 3);
        List<TrafficCounts> many = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            many.add(new TrafficCounts("radio" + i, "listen", "east", 1, 0, 0, null));
        }
        List<TrafficCounts> twice = new ArrayList<>(counts(1, null));
        twice.addAll(counts(2, null));
        return new Object[][] {
            {reportSentAt(NOW_MS), null, 0, ReportVerdict.TAKEN},
            {reportSentAt(NOW_MS), newest, 1, ReportVerdict.TAKEN},
            {reportSentAt(NOW_MS), newest, 2, ReportVerdict.TAKEN},
            {reportSentAt(NOW_MS), null, 2, ReportVerdict.FULL},
            {reportSentAt(NOW_MS), new NewestReport(900_000, 4), 1, ReportVerdict.REPEATED},
            {reportSentAt(NOW_MS), new NewestReport(900_000, 9), 1, ReportVerdict.REPEATED},
            {reportSentAt(NOW_MS), new NewestReport(900_001, 1), 1, ReportVerdict.DEAD_INCARNATION},
            {reportSentAt(NOW_MS - 30_000), null, 0, ReportVerdict.TAKEN},
            {reportSentAt(NOW_MS - 30_001), null, 0, ReportVerdict.LATE},
            {reportSentAt(NOW_MS + 5_000), null, 0, ReportVerdict.TAKEN},
            {reportSentAt(NOW_MS + 5_001), null, 0, ReportVerdict.FUTURE},
            {reportOf("north", "d", NOW_MS + 5_001, 1, List.of()), null, 0, ReportVerdict.FUTURE},
            {reportOf("south", "d", 1, 1, List.of()), null, 0, ReportVerdict.OTHER_SITE},
            {reportOf("north", "", 1, 1, List.of()), null, 0, ReportVerdict.MALFORMED},
            {reportOf("north", "d", 0, 1, List.of()), null, 0, ReportVerdict.MALFORMED},
            {reportOf("north", "d", 1, 0, List.of()), null, 0, ReportVerdict.MALFORMED},
            {reportOf("north", "d", 1, 1, null), null, 0, ReportVerdict.MALFORMED},
            {reportOf("north", "d", 1, 1, many), null, 0, ReportVerdict.MALFORMED},
            {reportOf("north", "d", 1, 1, twice), null, 0, ReportVerdict.MALFORMED},
            {reportOf("north", "d", 1, 1, counts(-1, null)), null, 0, ReportVerdict.MALFORMED},
            {reportOf("north", "d", 1, 1, counts(1, "no histogram")), null, 0, ReportVerdict.MALFORMED},
            {reportOf("north", "d", 1, 1, counts(1L << 48, null)), null, 0, ReportVerdict.TAKEN},
            {reportOf("north", "d", 1, 1, counts((1L << 48) + 1, null)), null, 0, ReportVerdict.MALFORMED},
            {reportOf("north", "d", 1, 1, counts(1, histogram(1L << 62, 4))), null, 0, ReportVerdict.MALFORMED},
            {reportOf("north", "d", 1, 1, counts(1, histogram(1L << 40, 4))), null, 0, ReportVerdict.TAKEN},
            {
                reportOf("north", "d", 1, 1, counts(1, LatencyHistograms.encode(new Histogram(1, 1_000, 5)))),
                null,
                0,
                ReportVerdict.MALFORMED
            },
        };
    }

    /** Returns a histogram of values with the same count each; the sum of 4 counts of 2^62 overflows to 0. */
    private static String histogram(long times, int values) {
        Histogram histogram = LatencyHistograms.empty();
        for (int i = 0; i < values; i++) {
            histogram.recordValueWithCount(10 + i, times);
        }
        return LatencyHistograms.encode(histogram);
    }

    /** Returns the verdict of an instance without stored reports. */
    private static ReportVerdict validate(
            KeyReport keys,
            List<DaemonReport.Server> servers,
            Map<String, Snapshot> times,
            ResponseTimes responseTimes) {
        return new ReportValidator("north", LIMITS)
                .validate(
                        new DaemonReport("north", "d", 1, 1, NOW_MS, List.of(), keys, servers, times, responseTimes),
                        NOW_MS,
                        null,
                        new ReportValidator.StoreSize(0, 0));
    }

    private static Map<String, Snapshot> times(int buckets, Sum sum, Sum fresh) {
        return Map.of("1", new Snapshot(Collections.nCopies(buckets, sum), Map.of(7L, fresh)));
    }

    @DataProvider
    Object[][] serviceTimes() {
        Sum fine = new Sum(1, 1, 1);
        return new Object[][] {
            {times(56, fine, fine), ReportVerdict.TAKEN},
            {times(55, fine, fine), ReportVerdict.MALFORMED},
            {times(56, null, fine), ReportVerdict.MALFORMED},
            {times(56, new Sum(0, 0, 0), fine), ReportVerdict.TAKEN},
            {times(56, fine, new Sum(0, 0, 0)), ReportVerdict.MALFORMED},
            {times(56, new Sum(1, Double.NaN, 1), fine), ReportVerdict.MALFORMED},
            {times(56, new Sum(1, -1, 1), fine), ReportVerdict.MALFORMED},
            {Map.of("1", new Snapshot(null, null)), ReportVerdict.MALFORMED},
        };
    }

    @Test(dataProvider = "serviceTimes")
    public void rejectsUnusableServiceTimes(Map<String, Snapshot> times, ReportVerdict verdict) {
        assertEquals(validate(null, null, times, null), verdict);
    }

    private static ResponseTimes responseTimesOf(long all, long near, long key) {
        return new ResponseTimes(-1, new Sum(all, 1, 1), new Sum(near, 1, 1), Map.of(7L, new Sum(key, 1, 1)));
    }

    @DataProvider
    Object[][] responseTimes() {
        return new Object[][] {
            {responseTimesOf(5, 5, 1), ReportVerdict.TAKEN},
            {null, ReportVerdict.TAKEN},
            {responseTimesOf(5, 6, 1), ReportVerdict.MALFORMED},
            {responseTimesOf(-1, -1, 1), ReportVerdict.MALFORMED},
            {responseTimesOf(5, 5, 0), ReportVerdict.MALFORMED},
            {responseTimesOf(Long.MAX_VALUE, 5, 1), ReportVerdict.MALFORMED},
            {new ResponseTimes(-1, null, new Sum(0, 0, 0), Map.of()), ReportVerdict.MALFORMED},
            {new ResponseTimes(-1, new Sum(5, Double.NaN, 1), new Sum(0, 0, 0), Map.of()), ReportVerdict.MALFORMED},
        };
    }

    @Test(dataProvider = "responseTimes")
    public void rejectsUnusableResponseTimes(ResponseTimes responseTimes, ReportVerdict verdict) {
        assertEquals(validate(null, null, null, responseTimes), verdict);
    }

    @DataProvider
    Object[][] keysAndServers() {
        List<Long> gaps = List.of(1L, 2L);
        return new Object[][] {
            {new KeyReport(-1, 5, List.of(new KeyReport.Key(1, "radio", 5, gaps))), "east", ReportVerdict.TAKEN},
            {new KeyReport(-1, 5, List.of(new KeyReport.Key(1, null, 5, gaps))), "east", ReportVerdict.MALFORMED},
            {new KeyReport(-1, 5, List.of(new KeyReport.Key(1, "radio", -5, gaps))), "east", ReportVerdict.MALFORMED},
            {
                new KeyReport(-1, 5, List.of(new KeyReport.Key(1, "radio", 5, List.of(-1L)))),
                "east",
                ReportVerdict.MALFORMED
            },
            {new KeyReport(-1, Long.MAX_VALUE, List.of()), "east", ReportVerdict.MALFORMED},
            {new KeyReport(2, 5, List.of()), "east", ReportVerdict.TAKEN},
            {new KeyReport(1, 5, List.of()), "east", ReportVerdict.MALFORMED},
            {heavy(3, 3, 1, "radio", 5), "east", ReportVerdict.TAKEN},
            {heavy(0, 0, 2_048, "", 0), "east", ReportVerdict.TAKEN},
            {heavy(0, 0, 2_049, "radio", 5), "east", ReportVerdict.MALFORMED},
            {heavy(3, 2, 1, "radio", 5), "east", ReportVerdict.MALFORMED},
            {heavy(-1, 2, 1, "radio", 5), "east", ReportVerdict.MALFORMED},
            {heavy(0, Long.MAX_VALUE, 1, "radio", 5), "east", ReportVerdict.MALFORMED},
            {heavy(0, 0, 1, null, 5), "east", ReportVerdict.MALFORMED},
            {heavy(0, 0, 1, "r".repeat(201), 5), "east", ReportVerdict.MALFORMED},
            {heavy(0, 0, 1, "radio", -5), "east", ReportVerdict.MALFORMED},
            {heavy(0, 0, 1, "radio", Long.MAX_VALUE), "east", ReportVerdict.MALFORMED},
            {null, null, ReportVerdict.MALFORMED},
            {null, "", ReportVerdict.MALFORMED},
            {null, "east", ReportVerdict.TAKEN},
        };
    }

    private static KeyReport heavy(long error, long floor, int keys, String tenant, long count) {
        return new KeyReport(
                1L << 60,
                5,
                List.of(),
                new KeyReport.Heavy(
                        error, floor, Collections.nCopies(keys, new KeyReport.Heavy.Count(512, tenant, count))));
    }

    /** One faulty daemon must not stop the forecasts for all. */
    @Test(dataProvider = "keysAndServers")
    public void rejectsUnusableKeysAndServers(KeyReport keys, String zone, ReportVerdict verdict) {
        assertEquals(validate(keys, List.of(new DaemonReport.Server("s", zone, -1)), null, null), verdict);
    }

    @Test(dataProvider = "reports")
    public void returnsVerdictOnEachReport(
            DaemonReport report, NewestReport newest, int daemons, ReportVerdict verdict) {
        ReportValidator validator = new ReportValidator(Samples.SITE, LIMITS);
        assertEquals(validator.validate(report, NOW_MS, newest, new ReportValidator.StoreSize(daemons, 79)), verdict);
        ReportVerdict nearLimit =
                verdict != ReportVerdict.TAKEN ? verdict : newest == null ? ReportVerdict.FULL : ReportVerdict.TAKEN;
        assertEquals(validator.validate(report, NOW_MS, newest, new ReportValidator.StoreSize(daemons, 80)), nearLimit);
        assertEquals(
                validator.validate(report, NOW_MS, newest, new ReportValidator.StoreSize(daemons, 100)),
                nearLimit == ReportVerdict.TAKEN ? ReportVerdict.FULL : nearLimit);
    }

    /** The library allocates memory by the size in the header, here about 2^40 entries. */
    @Test(timeOut = 60_000)
    public void rejectsHistogramThatClaimsHugeSize() {
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
                () -> LatencyHistograms.decode(Base64.getEncoder().encodeToString(whole.array())));
    }

    @DataProvider
    public Object[][] malformedReports() {
        String good = new String(JsonCodec.write(reportSentAt(NOW_MS)));
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

    @Test(dataProvider = "malformedReports")
    public void rejectsMalformedReports(String text) {
        assertThrows(IllegalArgumentException.class, () -> JsonCodec.read(text.getBytes(), DaemonReport.class));
    }

    @Test
    public void reportRoundTripsAndUnknownPropertiesAreIgnored() {
        DaemonReport report = reportSentAt(NOW_MS);
        assertEquals(JsonCodec.read(JsonCodec.write(report), DaemonReport.class), report);
        String more = new String(JsonCodec.write(report)).replaceFirst("\\{", "{\"of-a-later-release\":[1],");
        assertEquals(JsonCodec.read(more.getBytes(), DaemonReport.class), report);
    }

    /** The first report of a daemon that started long ago may have been counted and removed before. */
    @Test
    public void countsOnlyGrowthOfDaemonsStartedLongAgo() {
        TrafficTotals totals = new TrafficTotals(10);
        ReportStore store = new ReportStore();
        totals.count(store.add(Samples.report(1, NOW_MS - 500_001, 4, NOW_MS)), NOW_MS, LIMITS.retentionMs());
        assertEquals(totals.totals().size(), 0);
        totals.count(store.add(Samples.report(1, NOW_MS - 500_001, 5, NOW_MS)), NOW_MS, LIMITS.retentionMs());
        assertEquals(totals.totals().values().iterator().next().rejected(), 1);
    }

    /** An instance that reaches all others requests from each only the reports that came from daemons. */
    @Test
    public void relaysReportsOnlyOnRequest() {
        ReportStore relaying = new ReportStore();
        relaying.add(Samples.report(1, 1, 1, 1), false);
        relaying.add(Samples.report(2, 1, 1, 1), true);
        assertEquals(relaying.changesSince(0, 9_999, false).reports(), List.of(Samples.report(2, 1, 1, 1)));
        assertEquals(relaying.changesSince(0, 9_999, true).reports().size(), 2);
    }

    @Test
    public void countsLateRejectedAndFailedRequestsAsMissed() {
        TrafficTotals totals = new TrafficTotals(10);
        ReportStore store = new ReportStore();
        // The report has 4 x (1 + 1 + 1) requests answered in 11 ms, and 4 rejected ones.
        totals.count(store.add(Samples.report(1, 1, 4, NOW_MS)), NOW_MS, 2 * NOW_MS);
        FleetView view = new FleetView(NOW_MS, totals.totals(), Map.of(), 1);
        assertEquals(
                view.outcomes(key -> key.zone().equals("east") ? 11 : 10).stream()
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
    public void intervalBoundsRateOfAllDaemons(int daemons, long intervalMs) {
        assertEquals(new CallRate(50, 2_000, 120_000).intervalMs(daemons), intervalMs);
    }
}
