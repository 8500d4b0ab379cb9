package peppergauge.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import peppergauge.decision.Balancer.Action;
import peppergauge.decision.Balancer.AttemptEnded;
import peppergauge.decision.Balancer.Effect;
import peppergauge.decision.Balancer.Event;
import peppergauge.decision.Balancer.Group;
import peppergauge.decision.Balancer.Limits;
import peppergauge.decision.Balancer.LoadField;
import peppergauge.decision.Balancer.Outcome;
import peppergauge.decision.Balancer.RequestArrived;
import peppergauge.decision.Balancer.RequestClass;
import peppergauge.decision.Balancer.Rules;
import peppergauge.decision.Balancer.Send;
import peppergauge.decision.Balancer.ServerEntry;
import peppergauge.decision.Balancer.ServerState;
import peppergauge.decision.Balancer.ServersListed;
import peppergauge.decision.Balancer.SetTimer;
import peppergauge.decision.Balancer.Settings;
import peppergauge.decision.Balancer.Tenant;
import peppergauge.decision.Balancer.TimerDue;

/** Drives one instance by scripted events and keeps the actions it answered with. */
final class Scripted {

    static final RequestClass SAFE = new RequestClass(300, 800, 1, 0, Effect.SAFE, Group.ALL, 0);
    static final RequestClass KEYED = new RequestClass(300, 800, 1, 0, Effect.KEYED, Group.ZONE, 4000);
    static final RequestClass UNSAFE = new RequestClass(300, 800, 1, 0, Effect.UNSAFE, Group.ALL, 4000);

    final Balancer balancer;
    final List<Action> actions = new ArrayList<>();
    private final PriorityQueue<SetTimer> timers = new PriorityQueue<>(Comparator.comparingDouble(SetTimer::atMs));
    double nowMs = 100_000;
    Consumer<List<Action>> watcher = answer -> {};

    Scripted(Settings settings, long seed) {
        balancer = new Decide(settings, seed);
    }

    static Settings settings(boolean parallel, boolean cancelling, List<Tenant> tenants) {
        return new Settings(
                0,
                3,
                0,
                1,
                false,
                0.1,
                List.of(SAFE, KEYED, UNSAFE),
                tenants,
                new Limits(4, parallel, cancelling, false, true, 1500, false, 15_000),
                new Rules(0.12, 24_000, 2.5, 3_000, true, Balancer.Budget.NONE),
                List.of(LoadField.IN_FLIGHT, LoadField.QUEUED, LoadField.UTILISATION));
    }

    static Scripted withServers(int count) {
        Scripted scripted = new Scripted(settings(true, true, List.of()), 7);
        scripted.list(true, servers(count));
        return scripted;
    }

    static List<ServerEntry> servers(int count) {
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(new ServerEntry("s" + i, i % 3, i % 3, ServerState.READY, 0));
        }
        return entries;
    }

    List<Action> give(Event event) {
        List<Action> answer = new ArrayList<>();
        balancer.on(nowMs, event, answer::add);
        for (Action action : answer) {
            if (action instanceof SetTimer timer) {
                timers.add(timer);
            }
        }
        actions.addAll(answer);
        watcher.accept(answer);
        return answer;
    }

    List<Action> list(boolean whole, List<ServerEntry> entries) {
        return give(new ServersListed(whole, false, entries));
    }

    List<Action> request(String id, int requestClass) {
        return give(new RequestArrived(id, requestClass, 0, 800, false));
    }

    List<Action> end(String id, int attempt, String server, Outcome outcome, double tookMs) {
        return give(new AttemptEnded(id, attempt, server, outcome, tookMs, outcome == Outcome.SUCCESS, null));
    }

    /** Lets time pass, firing the timers that fall due. */
    List<Action> pass(double ms) {
        List<Action> answer = new ArrayList<>();
        double until = nowMs + ms;
        while (!timers.isEmpty() && timers.peek().atMs() <= until) {
            SetTimer timer = timers.poll();
            nowMs = Math.max(nowMs, timer.atMs());
            answer.addAll(give(new TimerDue(timer.token())));
        }
        nowMs = until;
        return answer;
    }

    /** A request sent and answered in time; returns the server. */
    String serve(String id, double tookMs) {
        String server = sentTo(request(id, 0));
        pass(tookMs);
        end(id, 0, server, Outcome.SUCCESS, tookMs);
        return server;
    }

    /** Requests served one after the other, each in so long. */
    void warm(int count, double tookMs) {
        for (int i = 0; i < count; i++) {
            serve("w" + i, tookMs);
        }
    }

    /** How many of so many requests at one moment are sent. */
    int sentOfBurst(int count) {
        int sent = 0;
        for (int i = 0; i < count; i++) {
            sent += sentTo(request("burst" + i, 0)) == null ? 0 : 1;
        }
        return sent;
    }

    static String sentTo(List<Action> answer) {
        return answer.stream()
                .filter(Send.class::isInstance)
                .map(action -> ((Send) action).server())
                .findFirst()
                .orElse(null);
    }

    static <T extends Action> List<T> only(Class<T> kind, List<Action> answer) {
        return answer.stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
