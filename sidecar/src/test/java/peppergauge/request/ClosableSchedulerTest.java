package peppergauge.request;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

public class ClosableSchedulerTest {

    @Test
    public void dropsTasksDueAfterClose() {
        ManualEventLoop loop = new ManualEventLoop(0);
        ClosableScheduler scheduler = new ClosableScheduler(loop);
        List<String> ran = new ArrayList<>();
        scheduler.execute(() -> ran.add("before"));
        loop.runTasks();
        scheduler.execute(() -> ran.add("submitted before"));
        scheduler.schedule(10, () -> ran.add("scheduled before"));
        scheduler.close();
        scheduler.execute(() -> ran.add("after"));
        loop.runTasks();
        loop.advanceToNextTask(20).run();
        assertEquals(ran, List.of("before"));
    }
}
