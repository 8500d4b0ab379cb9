package peppergauge.overload;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public class BackgroundTasksTest {

    @Test
    public void tasksSuspendedFirstResumeLast() {
        BackgroundTasks tasks = new BackgroundTasks();
        tasks.onOverloadLevel(0, OverloadLevel.STANDING_QUEUE);
        assertTrue(!tasks.isAllowed(0, BackgroundTask.IDLE_CONNECTION_SWEEP)
                && tasks.isAllowed(0, BackgroundTask.HEALTH_CHECK));
        tasks.onOverloadLevel(0, OverloadLevel.SEVERE);
        BackgroundTask[] all = BackgroundTask.values();
        for (int i = 1; i < all.length; i++) {
            assertTrue(tasks.isAllowed(all[i].resumeAfterMs, all[i])
                    && !tasks.isAllowed(all[i].resumeAfterMs, all[i - 1]));
        }
    }
}
