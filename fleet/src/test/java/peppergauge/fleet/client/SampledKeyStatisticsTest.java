package peppergauge.fleet.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.JsonCodec;
import peppergauge.forecast.KeyReport;
import peppergauge.forecast.cache.ServiceTimes;
import peppergauge.forecast.observation.ResponseTimeCounter;
import peppergauge.forecast.sample.FrequentKeys;
import peppergauge.forecast.sample.KeySampler;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;

public class SampledKeyStatisticsTest {

    @DataProvider
    Object[][] targets() {
        return new Object[][] {
            {"/episode-list/listener-7", "listener-7"},
            {"/a/b/c", "c"},
            {"/a/b?x=/y/z", "b"},
            {"/a/b?", "b"},
            {"/a", null},
            {"/a?x=/y", null},
            {"/", null},
            {"", null},
            {null, null},
            {"/a/", null},
            {"/a/?x", null},
            {"//b", null},
            {"*", null},
            {"http://host/a/b", null},
            {"?/a/b", null},
        };
    }

    @Test(dataProvider = "targets")
    public void keyIsLastSegmentOfPathWithSeveralSegments(String target, String key) {
        assertEquals(SampledKeyStatistics.keyOf(target), key);
    }

    private static IncomingRequest request(Message message) {
        return new IncomingRequest("id", 0, 0, 500, false, 0, message);
    }

    @Test
    public void countsRequestsWithKeyByHashAndTenant() {
        KeyStatistics keys = SampledKeyStatistics.of(16, List.of());
        keys.onRequest(request(null), "radio", 0);
        keys.onRequest(request(new Message("GET", "/alone", List.of(), new byte[0], null)), "radio", 0);
        for (int i = 0; i < 3; i++) {
            keys.onRequest(
                    request(new Message("GET", "/list/k?n=" + i, List.of(), new byte[0], null)), "radio", 1e3 * i);
        }
        KeyReport report = keys.snapshot().keys();
        assertEquals(report.sessions(), 3);
        assertEquals(report.keys().size(), 1);
        KeyReport.Key key = report.keys().get(0);
        assertEquals(
                List.of(key.hash(), key.station(), key.count(), key.gaps().get(9)),
                List.of(KeySampler.hash("k"), "radio", 3L, 2L));
        assertNull(
                SampledKeyStatistics.of(0, List.of()).snapshot().keys(),
                "expected no key report with a sample size of 0");
    }

    private static void sendRequest(KeyStatistics keys, int key, int round) {
        keys.onRequest(
                request(new Message("GET", "/list/" + key, List.of(), new byte[0], null)),
                "a-station-of-a-longer-name",
                round * (1_000.0 + key % 60_000));
    }

    /** The service's default report-size is 1 MiB. */
    @Test
    public void longestReportFitsDefaultSizeLimitAndRoundTrips() {
        KeyStatistics keys = SampledKeyStatistics.of(SampledKeyStatistics.MAX_KEYS, List.of("east"));
        int all = 0;
        for (; all <= SampledKeyStatistics.MAX_KEYS; all++) {
            sendRequest(keys, all, 0);
        }
        // The sampling threshold has been lowered; further keys fill the sample again.
        KeyReport lowered = keys.snapshot().keys();
        for (int sampled = lowered.keys().size(); sampled < SampledKeyStatistics.MAX_KEYS; all++) {
            sendRequest(keys, all, 0);
            sampled += Long.compareUnsigned(KeySampler.hash("" + all), lowered.threshold()) < 0 ? 1 : 0;
        }
        for (int round = 1; round < 40; round++) {
            for (int i = 0; i < all; i++) {
                sendRequest(keys, i, round);
            }
        }
        keys.onEndpointUpdate(
                true,
                IntStream.range(0, 3_000)
                        .mapToObj(i -> endpoint("backend-server-" + i, 0, EndpointState.READY))
                        .toList());
        ServiceTimes times = new ServiceTimes(KeyServiceTimes.MAX_FRESH_KEYS);
        for (int i = 0; i < 100_000; i++) {
            times.onResponse(KeySampler.hash("k" + i % 1_000), 1e9 / (1 + i), 1.0 / (3 + i % 7));
        }
        ResponseTimeCounter responseTimes = new ResponseTimeCounter();
        for (int i = 0; i < 100_000; i++) {
            responseTimes.onResponse(KeySampler.hash("k" + i % 1_000), true, 1, 1, 500, 1.0 / (3 + i % 7));
        }
        KeyStatistics.Snapshot snapshot = keys.snapshot();
        DaemonReport report = new DaemonReport(
                "site",
                "d",
                1,
                1,
                1,
                List.of(),
                snapshot.keys(),
                snapshot.servers(),
                Map.of("1", times.snapshot(), "2", times.snapshot(), "3", times.snapshot(), "4", times.snapshot()),
                responseTimes.snapshot());
        byte[] body = JsonCodec.write(report);
        assertEquals(report.keys().keys().size(), SampledKeyStatistics.MAX_KEYS);
        assertEquals(report.keys().heavy().keys().size(), FrequentKeys.MAX_REPORTED);
        assertTrue(body.length < (1 << 20) - 60_000, body.length + " bytes");
        assertEquals(JsonCodec.read(body, DaemonReport.class), report);
    }

    @Test
    public void readsReportWithoutServers() {
        DaemonReport report = JsonCodec.read(
                "{\"site\":\"s\",\"daemon\":\"d\",\"incarnation\":1,\"sequence\":1,\"sentMs\":1,"
                        .concat("\"cells\":[],\"keys\":null}")
                        .getBytes(),
                DaemonReport.class);
        assertEquals(report, new DaemonReport("s", "d", 1, 1, 1, List.of()));
    }

    @DataProvider
    Object[][] releases() {
        KeyReport.Heavy expected = new KeyReport.Heavy(1, 2, List.of(new KeyReport.Heavy.Count(512, "radio", 9)));
        String heavy = "{\"error\":1,\"floor\":2,\"keys\":[{\"hash\":512,\"station\":\"radio\",\"count\":9}]}";
        return new Object[][] {
            {"", null},
            {",\"heavy\":null", null},
            {",\"heavy\":" + heavy, expected},
            {",\"heavy\":" + heavy.replace("9}", "9,\"later\":[1]}"), expected},
            {",\"later\":{}", null},
        };
    }

    @Test(dataProvider = "releases")
    public void readsReportsWithAndWithoutHeavyKeys(String field, KeyReport.Heavy heavy) {
        byte[] body = ("{\"threshold\":8,\"sessions\":20,\"keys\":[]" + field + "}").getBytes(StandardCharsets.UTF_8);
        assertEquals(JsonCodec.read(body, KeyReport.class), new KeyReport(8, 20, List.of(), heavy));
    }

    private static Endpoint endpoint(String id, int zone, EndpointState state) {
        return new Endpoint(id, zone, 0, state, 0, 3);
    }

    @Test
    public void reportsReadyServersUpToLimit() {
        KnownEndpoints endpoints = new KnownEndpoints(List.of("east"));
        endpoints.onEndpointUpdate(
                true,
                List.of(
                        endpoint("a", 0, EndpointState.READY),
                        endpoint("b", 9, EndpointState.READY),
                        endpoint("c", 0, EndpointState.DRAINING)));
        assertEquals(
                endpoints.copy(),
                List.of(new DaemonReport.Server("a", "east", 3), new DaemonReport.Server("b", "unknown", 3)));
        endpoints.onEndpointUpdate(false, List.of(endpoint("a", 0, EndpointState.REMOVED)));
        assertEquals(endpoints.copy().size(), 1);
        endpoints.onEndpointUpdate(
                true,
                IntStream.range(0, 3_000)
                        .mapToObj(i -> endpoint("s" + i, 0, EndpointState.READY))
                        .toList());
        assertEquals(endpoints.copy().size(), DaemonReport.MAX_SERVERS);
    }
}
