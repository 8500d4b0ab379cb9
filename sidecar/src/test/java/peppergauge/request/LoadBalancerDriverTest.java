package peppergauge.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.CancelTimer;
import peppergauge.decision.LoadBalancer.DiscoveryFailed;
import peppergauge.decision.LoadBalancer.TimerFired;

public class LoadBalancerDriverTest {

    @Test
    public void executesActionsBeforeExceptionIndependently() {
        List<Long> executed = new ArrayList<>();
        LoadBalancerDriver driver = new LoadBalancerDriver(
                (now, event, actions) -> {
                    actions.accept(new CancelTimer(1));
                    actions.accept(new CancelTimer(2));
                    if (event instanceof DiscoveryFailed) {
                        throw new IllegalStateException("expected by the test");
                    }
                },
                new ManualEventLoop(0),
                action -> {
                    executed.add(((CancelTimer) action).token());
                    throw new IllegalStateException("expected by the test");
                });
        assertTrue(driver.handle(new TimerFired(7)));
        assertFalse(driver.handle(new DiscoveryFailed()));
        assertEquals(executed, List.of(1L, 2L, 1L, 2L));
    }
}
