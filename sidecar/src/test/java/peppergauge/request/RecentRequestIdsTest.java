package peppergauge.request;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class RecentRequestIdsTest {

    @Test
    public void dropsOnlyOldestId() {
        RecentRequestIds ids = new RecentRequestIds();
        for (int i = 0; i <= 2_048; i++) {
            ids.add("r" + i);
        }
        assertFalse(ids.contains("r0"));
        assertTrue(ids.contains("r1") && ids.contains("r2048"));
    }
}
