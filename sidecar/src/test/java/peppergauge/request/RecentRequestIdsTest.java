package peppergauge.request;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class RecentRequestIdsTest {

    @Test
    public void dropsOnlyOldestIdOfEachKind() {
        RecentRequestIds ids = new RecentRequestIds();
        for (int i = 0; i <= RecentRequestIds.MAX_IDS_NOT_TO_RUN_AGAIN; i++) {
            ids.add("n" + i, false);
        }
        for (int i = 0; i <= RecentRequestIds.MAX_OTHER_IDS; i++) {
            ids.add("r" + i, true);
        }
        assertFalse(ids.contains("n0") || ids.contains("r0"));
        assertTrue(ids.contains("n1") && ids.contains("r1"));
        assertTrue(ids.contains("n" + RecentRequestIds.MAX_IDS_NOT_TO_RUN_AGAIN));
    }
}
