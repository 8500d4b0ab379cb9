package peppergauge.promises.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;
import peppergauge.promises.CumulativeOutcomes;
import peppergauge.promises.ServiceLevelObjective;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.outcome.OutcomeWindows;

public class ZoneHealthTest {

    private static final long WINDOW_MS = 600_000;
    private static final long NOW_MS = 1_700_000_000_000L;
    private static final ServiceLevelObjective OBJECTIVE =
            new ServiceLevelObjective("radio", "listen", 0.95, 400, List.of(WINDOW_MS), 1, List.of());

    @Test
    public void holdTimeDoublesWithEachFlapUpToLimit() {
        ZoneHealth health = ZoneHealth.HEALTHY.markUnhealthy(NOW_MS, WINDOW_MS);
        long nowMs = NOW_MS;
        assertEquals(health.holdUntilMs() - nowMs, WINDOW_MS / 10);
        for (int flap = 1; flap <= 6; flap++) {
            nowMs += 1_000;
            health = health.markHealthy(nowMs).markUnhealthy(nowMs, WINDOW_MS);
            assertEquals(health.holdUntilMs() - nowMs, WINDOW_MS / 10 << Math.min(4, flap));
        }
        long later = nowMs + 2 * WINDOW_MS;
        assertEquals(health.markHealthy(nowMs).markUnhealthy(later, WINDOW_MS).flapCount(), 0);
    }

    @Test
    public void zoneThatMissesObjectiveStaysUnhealthyUntilItMeetsItAgain() {
        OutcomeWindows windows = new OutcomeWindows();
        windows.setObjectives(List.of(OBJECTIVE));
        ZoneHealthTracker tracker = new ZoneHealthTracker();
        windows.record(NOW_MS, counters(0, 0, 0, 0), true);
        windows.record(NOW_MS, counters(50, 50, 100, 0), false);
        tracker.update(Map.of("radio", List.of(OBJECTIVE)), windows, NOW_MS);
        assertEquals(tracker.unhealthyZones("radio", Set.of("east", "west")), Set.of("east"));
        assertEquals(tracker.unhealthyZones("radio", Set.of("west")), Set.of());
        long laterMs = NOW_MS + WINDOW_MS / 5;
        windows.record(laterMs, counters(150, 50, 200, 0), false);
        tracker.update(Map.of("radio", List.of(OBJECTIVE)), windows, laterMs);
        assertEquals(tracker.unhealthyZones("radio", Set.of("east", "west")), Set.of());
    }

    @Test
    public void mergesStoredHealthByLatestChange() {
        ZoneHealthTracker tracker = new ZoneHealthTracker();
        ZoneHealth unhealthy = ZoneHealth.HEALTHY.markUnhealthy(NOW_MS, WINDOW_MS);
        tracker.mergeState("radio", Map.of("east", ControllerState.PersistedZoneHealth.of(unhealthy)));
        assertTrue(tracker.exportState().get("radio").get("east").unhealthy());
        ZoneHealth healthy = unhealthy.markHealthy(NOW_MS + 1);
        tracker.mergeState("radio", Map.of("east", ControllerState.PersistedZoneHealth.of(healthy)));
        assertFalse(tracker.exportState().get("radio").get("east").unhealthy());
        tracker.retainTenants(Set.of());
        assertEquals(tracker.exportState(), Map.of());
    }

    private static List<CumulativeOutcomes> counters(long eastMet, long eastMissed, long westMet, long westMissed) {
        return List.of(
                new CumulativeOutcomes(new TrafficKey("radio", "listen", "east"), eastMet, eastMissed),
                new CumulativeOutcomes(new TrafficKey("radio", "listen", "west"), westMet, westMissed));
    }
}
