package peppergauge.fleet.client;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.forecast.cache.ServiceTimes.Snapshot;
import peppergauge.forecast.cache.ServiceTimes.Sum;

public class KeyServiceTimesTest {

    private static final long HASH = 7;
    private int nextRequest;

    private void completeRequest(
            KeyServiceTimes times, long hash, String server, int requestClass, double sentMs, double latencyMs) {
        String id = "s" + nextRequest++;
        times.onRequest(id, hash, requestClass, true);
        times.onAttemptSent(id, server, sentMs);
        times.onAttemptEnded(id, server, true, latencyMs);
        times.onRequestEnded(id);
    }

    /** Returns service times with responses of another key that take 100 ms, so that server a has a mean. */
    private KeyServiceTimes withKnownMean() {
        KeyServiceTimes times = new KeyServiceTimes(server -> server.equals("b") ? 2 : 1);
        for (int i = 0; i < 20; i++) {
            completeRequest(times, 99, "a", 0, i * 2, 100);
            completeRequest(times, 99, "a", 1, i * 2 + 1, 1_000);
        }
        return times;
    }

    /** Returns count, sum and bucket of the test key's responses; bucket -1 for no earlier send. */
    private static List<Double> countsOfTestKey(KeyServiceTimes times) {
        Snapshot seen = times.serviceTimes().getOrDefault("1", new Snapshot(List.of(), Map.of()));
        for (int i = 0; i < seen.gaps().size(); i++) {
            if (seen.gaps().get(i).count() > 0) {
                return List.of(
                        (double) seen.gaps().get(i).count(), seen.gaps().get(i).sum(), (double) i);
            }
        }
        Sum fresh = seen.fresh().get(HASH);
        return fresh == null ? List.of() : List.of((double) fresh.count(), fresh.sum(), -1.0);
    }

    @DataProvider
    Object[][] gaps() {
        return new Object[][] {
            // Earlier send, send, request class, latency, expected counts.
            {50_000.0, 51_050.0, 0, 50.0, List.of(1.0, 0.5, 16.0)},
            {50_000.0, 51_050.0, 1, 50.0, List.of(1.0, 0.05, 16.0)},
            {50_000.0, 50_100.0, 0, 50.0, List.of()},
            {null, 50_000.0, 0, 50.0, List.of(1.0, 0.5, -1.0)},
            {null, 20_000.0, 0, 50.0, List.of()},
            {50_000.0, 82_100.0, 0, 9_999.0, List.of(1.0, 5.0, -1.0)},
        };
    }

    /** Sends before the start are unknown, so a key without an earlier send counts only after the longest gap. */
    @Test(dataProvider = "gaps")
    public void countsResponseByGapSinceSameKeyWasSentToServer(
            Double beforeMs, double atMs, int requestClass, double latencyMs, List<Double> expected) {
        KeyServiceTimes times = withKnownMean();
        if (beforeMs != null) {
            String id = "before";
            times.onRequest(id, HASH, 0, true);
            times.onAttemptSent(id, "a", beforeMs);
            times.onAttemptEnded(id, "a", false, 100);
            times.onRequestEnded(id);
        }
        completeRequest(times, HASH, "a", requestClass, atMs, latencyMs);
        List<Double> actual = countsOfTestKey(times);
        assertEquals(actual.size(), expected.size(), actual.toString());
        for (int i = 0; i < actual.size(); i++) {
            assertEquals(actual.get(i), expected.get(i), 1e-9);
        }
    }

    @Test
    public void ignoresResponsesOfOtherServersAndServersWithoutMean() {
        KeyServiceTimes times = withKnownMean();
        for (int i = 0; i < 20; i++) {
            completeRequest(times, 99, "b", 0, i, 100);
        }
        times.onRequest("x", HASH, 0, true);
        times.onAttemptSent("x", "a", 50_000);
        times.onAttemptEnded("x", "b", true, 50);
        times.onAttemptEnded("x", "a", true, Double.NaN);
        times.onAttemptEnded("x", "a", true, 50);
        times.onAttemptEnded("unknown", "a", true, 50);
        times.onAttemptSent("unknown", "a", 50_000);
        completeRequest(times, HASH, "new", 0, 60_000, 50);
        assertEquals(countsOfTestKey(times), List.of());
    }

    /** Response times include all requests with a key; service times include only sampled keys. */
    @Test
    public void unsampledKeysCountOnlyForResponseTimes() {
        KeyServiceTimes times = withKnownMean();
        long before = times.responseTimes().all().count();
        for (int i = 0; i < 3; i++) {
            times.onRequest("x", i == 0 ? HASH : Long.MAX_VALUE, 0, i == 0);
            times.onAttemptSent("x", "a", 50_000 + i * 500);
            times.onAttemptEnded("x", "a", true, 50);
            times.onRequestEnded("x");
        }
        assertEquals(times.responseTimes().all().count(), before + 3);
        assertEquals(times.responseTimes().near().count(), 0);
        assertEquals(countsOfTestKey(times), List.of(1.0, 0.5, -1.0));
        completeRequest(times, HASH, "a", 0, 60_000, 50);
        completeRequest(times, HASH, "a", 0, 60_500, 50);
        assertEquals(times.responseTimes().near().count(), 1);
    }

    @Test
    public void sendsDroppedToBoundMemoryAreNotTakenForNeverSent() {
        KeyServiceTimes times = withKnownMean();
        times.onRequest("x", HASH, 0, true);
        times.onAttemptSent("x", "a", 50_000);
        for (int i = 0; i < 40_000; i++) {
            completeRequest(times, 1_000 + i, "b", 0, 50_001 + i * 0.1, 100);
        }
        completeRequest(times, HASH, "a", 0, 54_100, 50);
        assertEquals(
                countsOfTestKey(times),
                List.of(),
                "expected no count after the first send was dropped within the longest gap");
    }
}
