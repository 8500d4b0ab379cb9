package peppergauge.invariant;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LearnedState.WeightedSum;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Action;
import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.CancelAttempt;
import peppergauge.decision.LoadBalancer.CancelTimer;
import peppergauge.decision.LoadBalancer.ClientDisconnected;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.EndpointsUpdated;
import peppergauge.decision.LoadBalancer.Event;
import peppergauge.decision.LoadBalancer.FailRequest;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.ProbeServer;
import peppergauge.decision.LoadBalancer.RejectRequest;
import peppergauge.decision.LoadBalancer.RequestArrived;
import peppergauge.decision.LoadBalancer.Rules;
import peppergauge.decision.LoadBalancer.ScheduleTimer;
import peppergauge.decision.LoadBalancer.SendAttempt;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.decision.LoadBalancer.TimerFired;
import peppergauge.decision.RejectionCause;

/** Faults of a load balancer in its settings, events, actions or exported state, and the invariants they violate. */
enum Mutant {
    SENDS_TWO_FINAL_ANSWERS(
            Invariant.ONE_ANSWER,
            repeatedAction((instance, action) -> action instanceof RejectRequest || action instanceof FailRequest)),
    ANSWERS_A_DISCONNECTED_CLIENT(
            Invariant.ONE_ANSWER,
            addedAction(ClientDisconnected.class, (instance, disconnect) -> new FailRequest(disconnect.id()))),
    SENDS_FOR_A_DISCONNECTED_CLIENT(
            Invariant.CLIENT_LEFT,
            addedAction(ClientDisconnected.class, (instance, disconnect) -> instance.send(disconnect.id()))),
    SENDS_FOR_A_DISCONNECTED_CLIENT_AT_AN_END(
            Invariant.CLIENT_LEFT,
            addedAction(
                    AttemptEnded.class,
                    (instance, ended) ->
                            instance.disconnected.contains(ended.id()) ? instance.send(ended.id()) : null)),
    SENDS_FOR_A_DISCONNECTED_CLIENT_BY_A_TIMER(
            Invariant.CLIENT_LEFT,
            addedAction(
                    TimerFired.class,
                    (instance, fired) -> instance.disconnected.stream()
                            .findFirst()
                            .map(instance::send)
                            .orElse(null))),
    SENDS_FOR_AN_ANSWERED_REQUEST(
            Invariant.OPEN_SESSION,
            addedAction(
                    AttemptEnded.class,
                    (instance, ended) ->
                            ended.outcome() == Outcome.SUCCESS && !instance.disconnected.contains(ended.id())
                                    ? instance.send(ended.id())
                                    : null)),
    SENDS_PARALLEL_ATTEMPTS(
            Invariant.ONE_OUT,
            repeatedAction((instance, action) ->
                    action instanceof SendAttempt && !instance.settings.limits().parallelAttempts())),
    ONE_ATTEMPT_OVER_THE_LIMIT(
            Invariant.MOST_ATTEMPTS,
            changedLimits(real -> new Limits(
                    real.maxAttempts() + 1,
                    real.parallelAttempts(),
                    real.cancellation(),
                    real.healthChecks(),
                    real.retryAfter(),
                    real.maxRetryAfterMs(),
                    real.costlyConnections(),
                    real.connectionIdleMs()))),
    RETRIES_NON_IDEMPOTENT_REQUESTS(
            Invariant.RAN_TWICE,
            changedEvent(
                    RequestArrived.class,
                    (instance, arrived) -> instance.settings
                                            .classes()
                                            .get(arrived.requestClass())
                                            .idempotency()
                                    != Idempotency.NON_IDEMPOTENT
                            ? arrived
                            : new RequestArrived(
                                    arrived.id(), 0, arrived.tenant(), arrived.timeoutMs(), arrived.clientRetry()))),
    RETRIES_OUTSIDE_THE_KEY_SCOPE(
            Invariant.RAN_TWICE,
            changedEndpoints(endpoint ->
                    new Endpoint(endpoint.server(), 0, 0, endpoint.state(), endpoint.startedMs(), endpoint.kind()))),
    BROKEN_TREATED_AS_UNREACHABLE(
            Invariant.RAN_TWICE,
            changedEvent(
                    AttemptEnded.class,
                    (instance, ended) -> ended.outcome() != Outcome.BROKEN
                            ? ended
                            : new AttemptEnded(
                                    ended.id(),
                                    ended.attempt(),
                                    ended.server(),
                                    Outcome.UNREACHABLE,
                                    ended.latencyMs(),
                                    ended.requestCompleted(),
                                    ended.loadReport(),
                                    ended.localDelayMs()))),
    REJECTS_WHAT_MAY_HAVE_RUN(
            Invariant.REFUSED_WHAT_RAN,
            changedAction(
                    FailRequest.class, failure -> new RejectRequest(failure.id(), 0, RejectionCause.UNSPECIFIED))),
    SENDS_TO_A_DRAINING_SERVER(Invariant.SERVER, treatedAsReady(EndpointState.DRAINING)),
    SENDS_TO_A_REMOVED_SERVER(Invariant.SERVER, treatedAsReady(EndpointState.REMOVED)),
    SENDS_TO_AN_UNKNOWN_SERVER(
            Invariant.SERVER,
            changedAction(SendAttempt.class, send -> new SendAttempt(send.id(), "unknown", send.timeoutMs()))),
    NO_TIMEOUT(
            Invariant.TIME_OUT,
            changedAction(SendAttempt.class, send -> new SendAttempt(send.id(), send.server(), Double.NaN))),
    TIMEOUT_AFTER_THE_DEADLINE(
            Invariant.TIME_OUT,
            changedAction(SendAttempt.class, send -> new SendAttempt(send.id(), send.server(), 1_501))),
    RETRY_WITH_THE_FIRST_TIMEOUT(Invariant.TIME_OUT, new Fault() {
        @Override
        public void changeAction(Instance instance, Action action, Consumer<Action> actions) {
            actions.accept(
                    action instanceof SendAttempt send
                            ? new SendAttempt(
                                    send.id(),
                                    send.server(),
                                    instance.firstTimeoutMs.computeIfAbsent(send.id(), id -> send.timeoutMs()))
                            : action);
        }
    }),
    RETRY_AFTER_OVER_THE_LIMIT(
            Invariant.RETRY_AFTER,
            changedLimits(real -> new Limits(
                    real.maxAttempts(),
                    real.parallelAttempts(),
                    real.cancellation(),
                    real.healthChecks(),
                    true,
                    3 * real.maxRetryAfterMs(),
                    real.costlyConnections(),
                    real.connectionIdleMs()))),
    NO_RETRY_BUDGET(
            Invariant.BUDGET,
            settings(real -> with(
                    real,
                    real.limits(),
                    new Rules(
                            real.rules().warmUpInitialCapacity(),
                            real.rules().warmUpMs(),
                            real.rules().overloadMultiple(),
                            real.rules().overloadWindowMs(),
                            real.rules().removalForbidsSends(),
                            LoadBalancer.RetryBudgetConfig.UNLIMITED)))),
    TIMER_IN_THE_PAST(
            Invariant.TIMER,
            changedAction(ScheduleTimer.class, timer -> new ScheduleTimer(timer.dueMs() - 3_000, timer.token()))),
    SAME_TOKEN_FOR_ALL_TIMERS(
            Invariant.TIMER, changedAction(ScheduleTimer.class, timer -> new ScheduleTimer(timer.dueMs(), 7))),
    CANCELS_TIMERS_TWICE(Invariant.TIMER, repeatedAction((instance, action) -> action instanceof CancelTimer)),
    NEVER_CANCELS_TIMERS(Invariant.NOTHING_LEFT, changedAction(CancelTimer.class, cancellation -> null)),
    /** Drops every 50th timer, including the expiry timer of the first request. */
    DROPS_TIMERS(
            Invariant.DEADLINE,
            changedAction(
                    Action.class,
                    action -> action instanceof ScheduleTimer timer && timer.token() % 50 == 1
                                    || action instanceof CancelTimer cancellation && cancellation.token() % 50 == 1
                            ? null
                            : action)),
    NEVER_REJECTS(Invariant.DEADLINE, changedAction(RejectRequest.class, rejection -> null)),
    CANCELS_ENDED_ATTEMPTS(
            Invariant.ALLOWED,
            addedAction(AttemptEnded.class, (instance, ended) -> new CancelAttempt(ended.id(), ended.attempt()))),
    SENDS_HEALTH_CHECKS(Invariant.ALLOWED, changedAction(SendAttempt.class, send -> new ProbeServer(send.server()))),
    OPENS_WATCHES(
            Invariant.ALLOWED,
            addedAction(
                    Event.class,
                    (instance, event) -> instance.settings.watchRequired() ? null : new LoadBalancer.OpenWatch())),
    EXPORTS_NAN(Invariant.FIGURES, new Fault() {
        @Override
        public LearnedState changeLearnedState(LearnedState real) {
            return new LearnedState(
                    real.serverCount(),
                    real.cluster(),
                    List.of(new LearnedState.ClassStatistics(new WeightedSum(Double.NaN, 1), WeightedSum.NONE, 1)),
                    real.servers());
        }
    });

    /** State of a load balancer: its real settings, the servers listed so far, and requests of disconnected clients. */
    private static final class Instance {

        private final Settings settings;
        private final Set<String> servers = new HashSet<>();
        private final Set<String> disconnected = new LinkedHashSet<>();
        /** Timeout of the first attempt, by request, ms. */
        private final Map<String, Double> firstTimeoutMs = new HashMap<>();

        Instance(Settings settings) {
            this.settings = settings;
        }

        /** An attempt at any listed server; null if none was listed. */
        Action send(String id) {
            return servers.isEmpty()
                    ? null
                    : new SendAttempt(id, servers.iterator().next(), 1);
        }
    }

    /** Changes what a load balancer receives or returns; by default, nothing is changed. */
    private interface Fault {

        default Settings changeSettings(Settings real) {
            return real;
        }

        default Event changeEvent(Instance instance, Event event) {
            return event;
        }

        default void changeAction(Instance instance, Action action, Consumer<Action> actions) {
            actions.accept(action);
        }

        default void addActions(Instance instance, Event event, Consumer<Action> actions) {}

        default LearnedState changeLearnedState(LearnedState real) {
            return real;
        }
    }

    final Invariant violated;
    private final Fault fault;

    Mutant(Invariant violated, Fault fault) {
        this.violated = violated;
        this.fault = fault;
    }

    Settings settings(Settings real) {
        return fault.changeSettings(real);
    }

    /** Wraps a load balancer with this fault. */
    LoadBalancer wrap(LoadBalancer balancer, Settings real) {
        Instance instance = new Instance(real);
        return new LoadBalancer() {
            @Override
            public void handle(double nowMs, Event event, Consumer<Action> actions) {
                if (event instanceof EndpointsUpdated update) {
                    update.endpoints().forEach(endpoint -> instance.servers.add(endpoint.server()));
                }
                if (event instanceof ClientDisconnected disconnect) {
                    instance.disconnected.add(disconnect.id());
                }
                Event changed = fault.changeEvent(instance, event);
                balancer.handle(nowMs, changed, action -> fault.changeAction(instance, action, actions));
                fault.addActions(instance, event, actions);
            }

            @Override
            public LearnedState exportState(double nowMs, int offset, int maxServers) {
                return fault.changeLearnedState(balancer.exportState(nowMs, offset, maxServers));
            }
        };
    }

    // ---- Kinds of faults ----

    private static Fault settings(UnaryOperator<Settings> change) {
        return new Fault() {
            @Override
            public Settings changeSettings(Settings real) {
                return change.apply(real);
            }
        };
    }

    private static Fault changedLimits(UnaryOperator<Limits> change) {
        return settings(real -> with(real, change.apply(real.limits()), real.rules()));
    }

    private static Settings with(Settings real, Limits limits, Rules rules) {
        return new Settings(
                real.instance(),
                real.instances(),
                real.zone(),
                real.tickMs(),
                real.watchRequired(),
                real.overQuotaWeight(),
                real.classes(),
                real.tenants(),
                limits,
                rules,
                real.loadFields());
    }

    private static <E extends Event> Fault changedEvent(Class<E> type, BiFunction<Instance, E, Event> change) {
        return new Fault() {
            @Override
            public Event changeEvent(Instance instance, Event event) {
                return type.isInstance(event) ? change.apply(instance, type.cast(event)) : event;
            }
        };
    }

    private static Fault changedEndpoints(UnaryOperator<Endpoint> change) {
        return changedEvent(
                EndpointsUpdated.class,
                (instance, update) -> new EndpointsUpdated(
                        update.complete(),
                        update.watchResponse(),
                        update.endpoints().stream().map(change).toList()));
    }

    private static Fault treatedAsReady(EndpointState state) {
        return changedEndpoints(endpoint -> new Endpoint(
                endpoint.server(),
                endpoint.zone(),
                endpoint.cell(),
                endpoint.state() == state ? EndpointState.READY : endpoint.state(),
                endpoint.startedMs(),
                endpoint.kind()));
    }

    /** Changes all actions of a type; null drops the action. */
    private static <A extends Action> Fault changedAction(Class<A> type, Function<A, Action> change) {
        return new Fault() {
            @Override
            public void changeAction(Instance instance, Action action, Consumer<Action> actions) {
                accept(type.isInstance(action) ? change.apply(type.cast(action)) : action, actions);
            }
        };
    }

    private static Fault repeatedAction(BiPredicate<Instance, Action> isRepeated) {
        return new Fault() {
            @Override
            public void changeAction(Instance instance, Action action, Consumer<Action> actions) {
                actions.accept(action);
                accept(isRepeated.test(instance, action) ? action : null, actions);
            }
        };
    }

    /** Adds an action after each event of a type, unless the action is null. */
    private static <E extends Event> Fault addedAction(Class<E> type, BiFunction<Instance, E, Action> added) {
        return new Fault() {
            @Override
            public void addActions(Instance instance, Event event, Consumer<Action> actions) {
                accept(type.isInstance(event) ? added.apply(instance, type.cast(event)) : null, actions);
            }
        };
    }

    private static void accept(Action action, Consumer<Action> actions) {
        if (action != null) {
            actions.accept(action);
        }
    }
}
