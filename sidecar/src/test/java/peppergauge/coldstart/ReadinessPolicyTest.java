package peppergauge.coldstart;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ReadinessPolicyTest {

    @DataProvider
    public Object[][] updates() {
        return new Object[][] {
            // Whether the update is complete, usable servers in it, servers in the cached list, whether ready after it.
            {true, 3, 0, true},
            {true, 3, 200, true},
            {true, 0, 200, false},
            {true, 0, 0, false},
            {false, 0, 200, true},
            {false, 1, 0, true},
            {false, 0, 0, false},
        };
    }

    @Test(dataProvider = "updates")
    public void isReadyAfterUpdateWithServersOrChangeOfCachedList(
            boolean complete, int usableServers, int knownServers, boolean isReady) {
        ReadinessPolicy readiness = new ReadinessPolicy(2_000, 20_000);
        assertEquals(readiness.isReadyAfter(complete, usableServers, knownServers), isReady);
        assertEquals(readiness.timeoutMs(knownServers), knownServers > 0 ? 2_000 : 20_000, 0.0);
    }

    @Test
    public void rejectsShorterTimeoutWithoutCachedList() {
        assertThrows(IllegalArgumentException.class, () -> new ReadinessPolicy(3, 2));
        assertThrows(IllegalArgumentException.class, () -> new ReadinessPolicy(-1, 2));
    }
}
