package peppergauge.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.CancelTimer;
import peppergauge.decision.LoadBalancer.Event;
import peppergauge.decision.LoadBalancer.ScheduleTimer;
import peppergauge.decision.LoadBalancer.TimerFired;

public class LoadBalancerTimersTest {

    @Test
    public void firesTimerOnceUnlessCancelled() {
        ManualEventLoop loop = new ManualEventLoop(1_000);
        List<Event> events = new ArrayList<>();
        LoadBalancerDriver driver = new LoadBalancerDriver((now, event, actions) -> events.add(event), loop, a -> {});
        LoadBalancerTimers timers =
                new LoadBalancerTimers(new DispatchContext(driver, null, null, null, null, loop, loop, null));
        timers.schedule(new ScheduleTimer(1_020, 1));
        timers.schedule(new ScheduleTimer(1_010, 2));
        timers.cancel(new CancelTimer(2));
        timers.cancel(new CancelTimer(3));
        loop.advanceToNextTask(1_100).run();
        loop.advanceToNextTask(1_100).run();
        assertNull(loop.advanceToNextTask(1_100));
        assertEquals(events, List.of(new TimerFired(1)));
    }
}
