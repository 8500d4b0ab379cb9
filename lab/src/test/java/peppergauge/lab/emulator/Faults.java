package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.UnaryOperator;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Action;
import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.EndpointsUpdated;
import peppergauge.decision.LoadBalancer.Event;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.SendAttempt;
import peppergauge.decision.LoadBalancer.Settings;

/** Planted faults that each disable one guard of the load balancer, by changing its events or its actions. */
enum Faults implements Sabotage {

    /** Reports broken attempts as never sent, so that the load balancer retries non-idempotent requests. */
    NO_DONATION_GUARD(
            event -> event instanceof AttemptEnded end && end.outcome() == Outcome.BROKEN
                    ? new AttemptEnded(
                            end.id(),
                            end.attempt(),
                            end.server(),
                            Outcome.NEVER_SENT,
                            end.latencyMs(),
                            end.requestCompleted(),
                            end.loadReport(),
                            end.localDelayMs())
                    : event,
            Faults::asItIs),

    /** Reports draining servers as ready. */
    NO_DRAIN_CHECK(
            listing(entry -> new Endpoint(
                    entry.server(),
                    entry.zone(),
                    entry.cell(),
                    entry.state() == EndpointState.DRAINING ? EndpointState.READY : entry.state(),
                    entry.startedMs())),
            Faults::asItIs),

    /** Drops all long timers of a sidecar: those of the load balancer, of attempts and of requests. */
    NO_DEADLINE_TIMER(event -> event, Faults::asItIs) {
        @Override
        public boolean swallows(double ms) {
            return ms > 300;
        }
    },

    /** Sends each attempt to two servers. */
    TWO_ATTEMPTS(
            event -> event,
            (action, servers) -> action instanceof SendAttempt send
                    ? List.of(
                            send,
                            new SendAttempt(
                                    send.id(),
                                    servers.get(send.server().equals(servers.get(0)) ? 1 : 0),
                                    send.timeoutMs()))
                    : List.of(action)),

    /** Reports that every server started long ago. */
    NO_COLD_BUDGET(
            listing(entry -> new Endpoint(entry.server(), entry.zone(), entry.cell(), entry.state(), 0)),
            Faults::asItIs),

    /** Rejects requests that may have been executed. */
    DENIES_WHAT_RAN(
            event -> event,
            (action, servers) -> List.of(
                    action instanceof LoadBalancer.FailRequest fail
                            ? new LoadBalancer.RejectRequest(fail.id(), 0)
                            : action)),

    /** Throws an exception at each rejection. */
    THROWS(event -> event, (action, servers) -> {
        if (action instanceof LoadBalancer.RejectRequest) {
            throw new IllegalStateException("planted");
        }
        return List.of(action);
    });

    private final UnaryOperator<Event> told;
    private final BiFunction<Action, List<String>, List<Action>> asked;

    /**
     * A fault of the load balancer.
     *
     * @param told replaces each event
     * @param asked replaces each action, given the action and all servers of the endpoint list
     */
    Faults(UnaryOperator<Event> told, BiFunction<Action, List<String>, List<Action>> asked) {
        this.told = told;
        this.asked = asked;
    }

    private static List<Action> asItIs(Action action, List<String> servers) {
        return List.of(action);
    }

    private static UnaryOperator<Event> listing(UnaryOperator<Endpoint> entries) {
        return event -> event instanceof EndpointsUpdated listed
                ? new EndpointsUpdated(
                        listed.complete(),
                        listed.watchResponse(),
                        listed.endpoints().stream().map(entries).toList())
                : event;
    }

    @Override
    public LoadBalancer instead(LoadBalancer module, Settings settings, long seed) {
        List<String> servers = new ArrayList<>();
        return (now, event, actions) -> {
            if (event instanceof EndpointsUpdated listed) {
                listed.endpoints().stream()
                        .filter(entry -> !servers.contains(entry.server()))
                        .forEach(entry -> servers.add(entry.server()));
            }
            module.handle(
                    now,
                    told.apply(event),
                    action -> asked.apply(action, servers).forEach(actions));
        };
    }
}
