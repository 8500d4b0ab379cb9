package peppergauge.request;

import java.util.HashMap;
import java.util.Map;
import peppergauge.decision.LoadBalancer.CancelTimer;
import peppergauge.decision.LoadBalancer.ScheduleTimer;
import peppergauge.decision.LoadBalancer.TimerFired;

/** The load balancer's timers that have not fired yet, by their tokens. Event-loop thread only. */
final class LoadBalancerTimers {

    private final Map<Long, Scheduler.ScheduledTask> pending = new HashMap<>();
    private final LoadBalancerDriver loadBalancer;
    private final Clock clock;
    private final Scheduler scheduler;

    LoadBalancerTimers(DispatchContext context) {
        loadBalancer = context.loadBalancer();
        clock = context.clock();
        scheduler = context.scheduler();
    }

    void schedule(ScheduleTimer timer) {
        Scheduler.ScheduledTask task = scheduler.schedule(timer.dueMs() - clock.nowMs(), () -> onTimer(timer.token()));
        Scheduler.ScheduledTask other = pending.put(timer.token(), task);
        assert other == null : "one token for two timers: " + timer.token();
    }

    void cancel(CancelTimer timer) {
        Scheduler.ScheduledTask task = pending.remove(timer.token());
        if (task != null) {
            task.cancel();
        }
    }

    private void onTimer(long token) {
        pending.remove(token);
        loadBalancer.handle(new TimerFired(token));
    }
}
