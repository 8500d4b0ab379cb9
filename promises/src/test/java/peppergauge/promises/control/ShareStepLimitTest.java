package peppergauge.promises.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import org.testng.annotations.Test;

public class ShareStepLimitTest {

    @Test
    public void movesAllSharesByTheSameFractionOfTheirDistance() {
        var present = Map.of("radio", Map.of("east", 0.5, "west", 0.5));
        var target = Map.of("radio", Map.of("east", 0.1, "west", 0.7, "north", 0.2));
        var next = ShareStepLimit.step(present, target, Map.of(), 0.1).get("radio");
        assertEquals(next.get("east"), 0.4, 1e-9);
        assertEquals(next.get("west"), 0.55, 1e-9);
        assertEquals(next.get("north"), 0.05, 1e-9);
    }

    @Test
    public void startsAtInitialSharesAndReachesTargetWithinOneStep() {
        var target = Map.of("radio", Map.of("east", 0.45, "west", 0.55));
        var next = ShareStepLimit.step(Map.of(), target, Map.of("east", 0.5, "west", 0.5), 0.1);
        assertEquals(next, target);
    }

    @Test
    public void detectsStepsThatAreTooLargeAndSharesThatDoNotSumToOne() {
        var before = Map.of("radio", Map.of("east", 0.5, "west", 0.5));
        assertTrue(ShareStepLimit.isWithinLimit(before, Map.of("radio", Map.of("east", 0.4, "west", 0.6)), 0.1));
        assertFalse(ShareStepLimit.isWithinLimit(before, Map.of("radio", Map.of("east", 0.3, "west", 0.7)), 0.1));
        assertFalse(ShareStepLimit.isWithinLimit(before, Map.of("radio", Map.of("east", 0.5, "west", 0.6)), 0.1));
    }
}
