package peppergauge.coldstart;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ReadinessPolicyTest {

    @DataProvider
    public Object[][] news() {
        return new Object[][] {
            // Whole, servers in it, servers known: an empty list is none, whether servers are known or not.
            {true, 3, 0, true},
            {true, 3, 200, true},
            {true, 0, 200, false},
            {true, 0, 0, false},
            {false, 0, 200, true},
            {false, 1, 0, true},
            {false, 0, 0, false},
        };
    }

    @Test(dataProvider = "news")
    public void oneIsReadyByNewsThatNamesServersOrLeavesWhatIsKnown(
            boolean whole, int servers, int known, boolean ready) {
        ReadinessPolicy readiness = new ReadinessPolicy(2_000, 20_000);
        assertEquals(readiness.isReadyAfter(whole, servers, known), ready);
        assertEquals(readiness.timeoutMs(known), known > 0 ? 2_000 : 20_000, 0.0);
    }

    @Test
    public void whatHasNothingNeverWaitsShorterThanWhatHasSomething() {
        assertThrows(IllegalArgumentException.class, () -> new ReadinessPolicy(3, 2));
        assertThrows(IllegalArgumentException.class, () -> new ReadinessPolicy(-1, 2));
    }
}
