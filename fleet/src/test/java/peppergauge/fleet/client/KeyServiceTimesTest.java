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
    private int session;

    private void answered(
            KeyServiceTimes times, long hash, String server, int requestClass, double sentMs, double tookMs) {
        String id = "s" + session++;
        times.onRequest(id, hash, requestClass, true);
        times.onAttemptSent(id, server, sentMs);
        times.onAttemptEnded(id, server, true, tookMs);
        times.onRequestEnded(id);
    }

    /** Answers of another key that take 100 ms, so that a usual time is known. */
    private KeyServiceTimes usual() {
        KeyServiceTimes times = new KeyServiceTimes(server -> server.equals("b") ? 2 : 1);
        for (int i = 0; i < 20; i++) {
            answered(times, 99, "a", 0, i * 2, 100);
            answered(times, 99, "a", 1, i * 2 + 1, 1_000);
        }
        return times;
    }

    /** Answers, the sum and the bucket; bucket -1 for no gap. */
    private static List<Double> counted(KeyServiceTimes times) {
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
            // Sent before at, then at; class; took; what is counted.
            {50_000.0, 51_050.0, 0, 50.0, List.of(1.0, 0.5, 16.0)},
            {50_000.0, 51_050.0, 1, 50.0, List.of(1.0, 0.05, 16.0)},
            {50_000.0, 50_100.0, 0, 50.0, List.of()},
            {null, 50_000.0, 0, 50.0, List.of(1.0, 0.5, -1.0)},
            {null, 20_000.0, 0, 50.0, List.of()},
            {50_000.0, 82_100.0, 0, 9_999.0, List.of(1.0, 5.0, -1.0)},
        };
    }

    /** What was sent before the start is not known, so that for a while "never sent" is not known either. */
    @Test(dataProvider = "gaps")
    public void anAnswerCountsByTheGapSinceTheSameKeyWentThere(
            Double beforeMs, double atMs, int requestClass, double tookMs, List<Double> counted) {
        KeyServiceTimes times = usual();
        if (beforeMs != null) {
            String id = "before";
            times.onRequest(id, HASH, 0, true);
            times.onAttemptSent(id, "a", beforeMs);
            times.onAttemptEnded(id, "a", false, 100);
            times.onRequestEnded(id);
        }
        answered(times, HASH, "a", requestClass, atMs, tookMs);
        List<Double> found = counted(times);
        assertEquals(found.size(), counted.size(), found.toString());
        for (int i = 0; i < found.size(); i++) {
            assertEquals(found.get(i), counted.get(i), 1e-9);
        }
    }

    @Test
    public void whatIsNoAnswerOfThatServerOrHasNoUsualTimeTeachesNothing() {
        KeyServiceTimes times = usual();
        for (int i = 0; i < 20; i++) {
            answered(times, 99, "b", 0, i, 100);
        }
        times.onRequest("x", HASH, 0, true);
        times.onAttemptSent("x", "a", 50_000);
        times.onAttemptEnded("x", "b", true, 50);
        times.onAttemptEnded("x", "a", true, Double.NaN);
        times.onAttemptEnded("x", "a", true, 50);
        times.onAttemptEnded("unknown", "a", true, 50);
        times.onAttemptSent("unknown", "a", 50_000);
        answered(times, HASH, "new", 0, 60_000, 50);
        assertEquals(counted(times), List.of());
    }

    /** All answers to sessions with a key make the level; only of sampled ones more is known. */
    @Test
    public void answersOfKeysThatAreNotSampledCountForTheLevelAlone() {
        KeyServiceTimes times = usual();
        long before = times.answerLevels().all().count();
        for (int i = 0; i < 3; i++) {
            times.onRequest("x", i == 0 ? HASH : Long.MAX_VALUE, 0, i == 0);
            times.onAttemptSent("x", "a", 50_000 + i * 500);
            times.onAttemptEnded("x", "a", true, 50);
            times.onRequestEnded("x");
        }
        assertEquals(times.answerLevels().all().count(), before + 3);
        assertEquals(times.answerLevels().near().count(), 0);
        assertEquals(counted(times), List.of(1.0, 0.5, -1.0));
        answered(times, HASH, "a", 0, 60_000, 50);
        answered(times, HASH, "a", 0, 60_500, 50);
        assertEquals(times.answerLevels().near().count(), 1);
    }

    @Test
    public void memoryIsBoundedAndWhatWasDroppedIsNotTakenForNeverSent() {
        KeyServiceTimes times = usual();
        times.onRequest("x", HASH, 0, true);
        times.onAttemptSent("x", "a", 50_000);
        for (int i = 0; i < 40_000; i++) {
            answered(times, 1_000 + i, "b", 0, 50_001 + i * 0.1, 100);
        }
        answered(times, HASH, "a", 0, 54_100, 50);
        assertEquals(counted(times), List.of(), "the first send is forgotten, and too young for that");
    }
}
