package peppergauge.promises.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.Test;
import peppergauge.promises.CumulativeOutcomes;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.outcome.OutcomeWindows;

public class TrafficModelTest {

    private static final long NOW_MS = 1_700_000_000_000L;

    @Test
    public void learnsRatesAndNaturalShares() {
        OutcomeWindows windows = new OutcomeWindows();
        TrafficModel model = new TrafficModel();
        windows.record(NOW_MS, counters(0, 0), true);
        windows.record(NOW_MS + 1_000, counters(300, 100), false);
        model.observe(windows, Map.of(), NOW_MS + 1_000, 1_000);
        assertEquals(model.requestsPerSecond("radio"), 400, 1e-9);
        assertEquals(model.naturalShares().get("east"), 0.75, 1e-9);
        assertEquals(model.naturalSharesWithin(Set.of("west")), Map.of("east", 0.0, "west", 1.0));
        assertFalse(model.isLost("east", NOW_MS + 2_000, 1_000));
        assertTrue(model.isLost("east", NOW_MS + 2_001, 1_000));
        assertTrue(model.isLost("north", NOW_MS, 1_000));
    }

    @Test
    public void weightIsShareOverAttractionClampedToMinimumAndOne() {
        OutcomeWindows windows = new OutcomeWindows();
        TrafficModel model = new TrafficModel();
        windows.record(NOW_MS, counters(0, 0), true);
        windows.record(NOW_MS + 1_000, counters(100, 100), false);
        model.observe(windows, Map.of(), NOW_MS + 1_000, 1_000);
        assertEquals(model.weightFor(0.5, "east"), 1, 0);
        assertEquals(model.weightFor(0.4, "east"), 0.5, 1e-9);
        assertEquals(model.weightFor(0.001, "east"), 0.05, 1e-9);
        assertEquals(model.naturalWeight("east"), 0.625, 1e-9);
    }

    private static List<CumulativeOutcomes> counters(long east, long west) {
        return List.of(
                new CumulativeOutcomes(new TrafficKey("radio", "listen", "east"), east, 0),
                new CumulativeOutcomes(new TrafficKey("radio", "listen", "west"), west, 0));
    }
}
