package peppergauge.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

public class VersionTrackerTest {

    private final MembershipConfig config = MembershipConfig.defaults(List.of("n"));

    @Test
    public void acceptsLowerVersionOnceConfirmed() {
        VersionTracker versions = new VersionTracker("n", config);
        DecisionReasons reasons = new DecisionReasons();
        assertTrue(versions.accept(7, 0, reasons));
        assertFalse(versions.accept(3, 1_000, reasons));
        assertFalse(versions.accept(3, 6_000, reasons));
        assertTrue(versions.accept(3, 11_000, reasons));
        assertTrue(versions.accept(3, 11_001, reasons));
        assertEquals(
                reasons.toList().get(2).toString(), "older, by n: version 3 replaces 7: reported 3 times in 10000 ms");
    }

    @Test
    public void listOfPresentVersionRestartsConfirmation() {
        VersionTracker versions = new VersionTracker("n", config);
        DecisionReasons reasons = new DecisionReasons();
        versions.advanceTo(7);
        assertFalse(versions.accept(3, 0, reasons));
        assertFalse(versions.accept(3, 6_000, reasons));
        assertTrue(versions.accept(7, 7_000, reasons));
        assertFalse(versions.accept(3, 11_000, reasons));
    }
}
