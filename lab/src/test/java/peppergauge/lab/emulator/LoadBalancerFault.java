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
import peppergauge.decision.RejectionCause;

/** Planted faults that each disable one guard of the load balancer, by changing its events or its actions. */
enum LoadBalancerFault implements PlantedFault {

    /** Reports broken attempts as never sent, so that the load balancer retries non-idempotent requests. */
    NO_IDEMPOTENCY_GUARD(
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
            LoadBalancerFault::unchanged),

    /** Reports draining servers as ready. */
    NO_DRAIN_CHECK(
            mapEndpoints(entry -> new Endpoint(
                    entry.server(),
                    entry.zone(),
                    entry.cell(),
                    entry.state() == EndpointState.DRAINING ? EndpointState.READY : entry.state(),
                    entry.startedMs())),
            LoadBalancerFault::unchanged),

    /** Drops all long timers of a sidecar: those of the load balancer, of attempts and of requests. */
    NO_DEADLINE_TIMER(event -> event, LoadBalancerFault::unchanged) {
        @Override
        public boolean dropsTimer(double ms) {
            return ms > 300;
        }
    },

    /** Sends each attempt to two servers. */
    TWO_CONCURRENT_ATTEMPTS(
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
            mapEndpoints(entry -> new Endpoint(entry.server(), entry.zone(), entry.cell(), entry.state(), 0)),
            LoadBalancerFault::unchanged),

    /** Rejects requests that may have been executed. */
    REJECTS_EXECUTED_REQUESTS(
            event -> event,
            (action, servers) -> List.of(
                    action instanceof LoadBalancer.FailRequest fail
                            ? new LoadBalancer.RejectRequest(fail.id(), 0, RejectionCause.UNSPECIFIED)
                            : action)),

    /** Throws an exception at each rejection. */
    THROWS_ON_REJECTION(event -> event, (action, servers) -> {
        if (action instanceof LoadBalancer.RejectRequest) {
            throw new IllegalStateException("planted");
        }
        return List.of(action);
    });

    private final UnaryOperator<Event> eventMapping;
    private final BiFunction<Action, List<String>, List<Action>> actionMapping;

    /**
     * A fault of the load balancer.
     *
     * @param eventMapping replaces each event
     * @param actionMapping replaces each action, given the action and all servers of the endpoint list
     */
    LoadBalancerFault(UnaryOperator<Event> eventMapping, BiFunction<Action, List<String>, List<Action>> actionMapping) {
        this.eventMapping = eventMapping;
        this.actionMapping = actionMapping;
    }

    private static List<Action> unchanged(Action action, List<String> servers) {
        return List.of(action);
    }

    private static UnaryOperator<Event> mapEndpoints(UnaryOperator<Endpoint> entries) {
        return event -> event instanceof EndpointsUpdated update
                ? new EndpointsUpdated(
                        update.complete(),
                        update.watchResponse(),
                        update.endpoints().stream().map(entries).toList())
                : event;
    }

    @Override
    public LoadBalancer wrap(LoadBalancer loadBalancer, Settings settings, long seed) {
        List<String> servers = new ArrayList<>();
        return (now, event, actions) -> {
            if (event instanceof EndpointsUpdated update) {
                update.endpoints().stream()
                        .filter(entry -> !servers.contains(entry.server()))
                        .forEach(entry -> servers.add(entry.server()));
            }
            loadBalancer.handle(
                    now,
                    eventMapping.apply(event),
                    action -> actionMapping.apply(action, servers).forEach(actions));
        };
    }
}
