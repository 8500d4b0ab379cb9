package peppergauge.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import peppergauge.decision.LoadBalancer.Action;
import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.EndpointsUpdated;
import peppergauge.decision.LoadBalancer.Event;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RequestArrived;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.decision.LoadBalancer.Rules;
import peppergauge.decision.LoadBalancer.ScheduleTimer;
import peppergauge.decision.LoadBalancer.SendAttempt;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.decision.LoadBalancer.Tenant;
import peppergauge.decision.LoadBalancer.TimerFired;

/** Passes events to a load balancer under test, fires its timers, and collects its actions. */
final class ScriptedLoadBalancer {

    static final RequestClass IDEMPOTENT = new RequestClass(300, 800, 1, 0, Idempotency.IDEMPOTENT, KeyScope.ALL, 0);
    static final RequestClass IDEMPOTENCY_KEY =
            new RequestClass(300, 800, 1, 0, Idempotency.IDEMPOTENCY_KEY, KeyScope.ZONE, 4000);
    static final RequestClass NON_IDEMPOTENT =
            new RequestClass(300, 800, 1, 0, Idempotency.NON_IDEMPOTENT, KeyScope.ALL, 4000);

    final LoadBalancer balancer;
    final List<Action> actions = new ArrayList<>();
    private final PriorityQueue<ScheduleTimer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(ScheduleTimer::dueMs));
    double nowMs = 100_000;
    Consumer<List<Action>> watcher = answer -> {};

    ScriptedLoadBalancer(Settings settings, long seed) {
        balancer = new AdaptiveLoadBalancer(settings, seed);
    }

    static Settings settings(boolean parallel, boolean cancellation, List<Tenant> tenants) {
        return new Settings(
                0,
                3,
                0,
                1,
                false,
                0.1,
                List.of(IDEMPOTENT, IDEMPOTENCY_KEY, NON_IDEMPOTENT),
                tenants,
                new Limits(4, parallel, cancellation, false, true, 1500, false, 15_000),
                new Rules(0.12, 24_000, 2.5, 3_000, true, LoadBalancer.RetryBudgetConfig.UNLIMITED),
                List.of(LoadField.IN_FLIGHT, LoadField.QUEUED, LoadField.UTILISATION));
    }

    static ScriptedLoadBalancer withServers(int count) {
        ScriptedLoadBalancer scripted = new ScriptedLoadBalancer(settings(true, true, List.of()), 7);
        scripted.updateEndpoints(true, servers(count));
        return scripted;
    }

    static List<Endpoint> servers(int count) {
        List<Endpoint> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(new Endpoint("s" + i, i % 3, i % 3, EndpointState.READY, 0));
        }
        return entries;
    }

    /** Delivers an event at the current time and returns the resulting actions. */
    List<Action> deliver(Event event) {
        List<Action> answer = new ArrayList<>();
        balancer.handle(nowMs, event, answer::add);
        for (Action action : answer) {
            if (action instanceof ScheduleTimer timer) {
                timers.add(timer);
            }
        }
        actions.addAll(answer);
        watcher.accept(answer);
        return answer;
    }

    List<Action> updateEndpoints(boolean complete, List<Endpoint> entries) {
        return deliver(new EndpointsUpdated(complete, false, entries));
    }

    List<Action> request(String id, int requestClass) {
        return deliver(new RequestArrived(id, requestClass, 0, 800, false));
    }

    List<Action> end(String id, int attempt, String server, Outcome outcome, double tookMs) {
        return deliver(new AttemptEnded(id, attempt, server, outcome, tookMs, outcome == Outcome.SUCCESS, null));
    }

    /** Advances the clock and fires the timers that become due. */
    List<Action> advance(double ms) {
        List<Action> answer = new ArrayList<>();
        double until = nowMs + ms;
        while (!timers.isEmpty() && timers.peek().dueMs() <= until) {
            ScheduleTimer timer = timers.poll();
            nowMs = Math.max(nowMs, timer.dueMs());
            answer.addAll(deliver(new TimerFired(timer.token())));
        }
        nowMs = until;
        return answer;
    }

    /** Sends a request that succeeds after {@code tookMs}; returns its server. */
    String serve(String id, double tookMs) {
        String server = sentTo(request(id, 0));
        advance(tookMs);
        end(id, 0, server, Outcome.SUCCESS, tookMs);
        return server;
    }

    /** Serves requests one after another. */
    void warmUp(int count, double tookMs) {
        for (int i = 0; i < count; i++) {
            serve("w" + i, tookMs);
        }
    }

    /** Sends {@code count} requests at the same time; returns how many got an attempt. */
    int sendBurst(int count) {
        int sent = 0;
        for (int i = 0; i < count; i++) {
            sent += sentTo(request("burst" + i, 0)) == null ? 0 : 1;
        }
        return sent;
    }

    /** The server of the first attempt among the actions; null if there is none. */
    static String sentTo(List<Action> answer) {
        return answer.stream()
                .filter(SendAttempt.class::isInstance)
                .map(action -> ((SendAttempt) action).server())
                .findFirst()
                .orElse(null);
    }

    /** The actions of one type. */
    static <T extends Action> List<T> only(Class<T> kind, List<Action> answer) {
        return answer.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
