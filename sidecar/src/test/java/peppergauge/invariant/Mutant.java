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

/** The load balancer with one fault: in its events, its settings, its actions or its exported state. */
enum Mutant {
    SENDS_TWO_FINAL_ANSWERS(
            Invariant.ONE_ANSWER,
            repeatedAction((at, action) -> action instanceof RejectRequest || action instanceof FailRequest)),
    ANSWERS_A_DISCONNECTED_CLIENT(
            Invariant.ONE_ANSWER, addedAction(ClientDisconnected.class, (at, left) -> new FailRequest(left.id()))),
    SENDS_FOR_A_DISCONNECTED_CLIENT(
            Invariant.CLIENT_LEFT, addedAction(ClientDisconnected.class, (at, left) -> at.send(left.id()))),
    SENDS_FOR_A_DISCONNECTED_CLIENT_AT_AN_END(
            Invariant.CLIENT_LEFT,
            addedAction(
                    AttemptEnded.class, (at, end) -> at.disconnected.contains(end.id()) ? at.send(end.id()) : null)),
    SENDS_FOR_A_DISCONNECTED_CLIENT_BY_A_TIMER(
            Invariant.CLIENT_LEFT,
            addedAction(
                    TimerFired.class,
                    (at, due) ->
                            at.disconnected.stream().findFirst().map(at::send).orElse(null))),
    SENDS_FOR_AN_ANSWERED_REQUEST(
            Invariant.OPEN_SESSION,
            addedAction(
                    AttemptEnded.class,
                    (at, end) -> end.outcome() == Outcome.SUCCESS && !at.disconnected.contains(end.id())
                            ? at.send(end.id())
                            : null)),
    SENDS_PARALLEL_ATTEMPTS(
            Invariant.ONE_OUT,
            repeatedAction((at, action) ->
                    action instanceof SendAttempt && !at.settings.limits().parallelAttempts())),
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
                    (at, arrived) -> at.settings
                                            .classes()
                                            .get(arrived.requestClass())
                                            .idempotency()
                                    != Idempotency.NON_IDEMPOTENT
                            ? arrived
                            : new RequestArrived(
                                    arrived.id(), 0, arrived.tenant(), arrived.timeoutMs(), arrived.clientRetry()))),
    RETRIES_OUTSIDE_THE_KEY_SCOPE(
            Invariant.RAN_TWICE,
            changedEndpoints(
                    entry -> new Endpoint(entry.server(), 0, 0, entry.state(), entry.startedMs(), entry.kind()))),
    BROKEN_TAKEN_FOR_UNREACHABLE(
            Invariant.RAN_TWICE,
            changedEvent(
                    AttemptEnded.class,
                    (at, end) -> end.outcome() != Outcome.BROKEN
                            ? end
                            : new AttemptEnded(
                                    end.id(),
                                    end.attempt(),
                                    end.server(),
                                    Outcome.UNREACHABLE,
                                    end.latencyMs(),
                                    end.requestCompleted(),
                                    end.loadReport(),
                                    end.localDelayMs()))),
    REJECTS_WHAT_MAY_HAVE_RUN(
            Invariant.REFUSED_WHAT_RAN, changedAction(FailRequest.class, fail -> new RejectRequest(fail.id(), 0))),
    SENDS_TO_A_DRAINING_SERVER(Invariant.SERVER, takenForReady(EndpointState.DRAINING)),
    SENDS_TO_A_REMOVED_SERVER(Invariant.SERVER, takenForReady(EndpointState.REMOVED)),
    SENDS_TO_AN_UNKNOWN_SERVER(
            Invariant.SERVER,
            changedAction(SendAttempt.class, send -> new SendAttempt(send.id(), "nobody", send.timeoutMs()))),
    NO_TIMEOUT(
            Invariant.TIME_OUT,
            changedAction(SendAttempt.class, send -> new SendAttempt(send.id(), send.server(), Double.NaN))),
    TIMEOUT_AFTER_THE_DEADLINE(
            Invariant.TIME_OUT,
            changedAction(SendAttempt.class, send -> new SendAttempt(send.id(), send.server(), 1_501))),
    RETRY_WITH_THE_FIRST_TIMEOUT(Invariant.TIME_OUT, new Fault() {
        @Override
        public void changeAction(Instance at, Action action, Consumer<Action> out) {
            out.accept(
                    action instanceof SendAttempt send
                            ? new SendAttempt(
                                    send.id(),
                                    send.server(),
                                    at.firstTimeoutMs.computeIfAbsent(send.id(), id -> send.timeoutMs()))
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
    CANCELS_TIMERS_TWICE(Invariant.TIMER, repeatedAction((at, action) -> action instanceof CancelTimer)),
    NEVER_CANCELS_TIMERS(Invariant.NOTHING_LEFT, changedAction(CancelTimer.class, cleared -> null)),
    /** Every 50th, and with it the first request's end. */
    FORGETS_A_TIMER(
            Invariant.DEADLINE,
            changedAction(
                    Action.class,
                    action -> action instanceof ScheduleTimer timer && timer.token() % 50 == 1
                                    || action instanceof CancelTimer cleared && cleared.token() % 50 == 1
                            ? null
                            : action)),
    NEVER_REJECTS(Invariant.DEADLINE, changedAction(RejectRequest.class, refuse -> null)),
    CANCELS_ENDED_ATTEMPTS(
            Invariant.ALLOWED,
            addedAction(AttemptEnded.class, (at, end) -> new CancelAttempt(end.id(), end.attempt()))),
    SENDS_HEALTH_CHECKS(Invariant.ALLOWED, changedAction(SendAttempt.class, send -> new ProbeServer(send.server()))),
    OPENS_WATCHES(
            Invariant.ALLOWED,
            addedAction(Event.class, (at, event) -> at.settings.watchRequired() ? null : new LoadBalancer.OpenWatch())),
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

    /** An instance: its real settings, all servers that were listed, and the requests whose client disconnected. */
    private static final class Instance {

        private final Settings settings;
        private final Set<String> servers = new HashSet<>();
        private final Set<String> disconnected = new LinkedHashSet<>();
        /** Timeout of the first attempt by request, ms. */
        private final Map<String, Double> firstTimeoutMs = new HashMap<>();

        Instance(Settings settings) {
            this.settings = settings;
        }

        /** An attempt at any server; null if none is known. */
        Action send(String id) {
            return servers.isEmpty()
                    ? null
                    : new SendAttempt(id, servers.iterator().next(), 1);
        }
    }

    /** A fault; without overrides there is none. */
    private interface Fault {

        default Settings changeSettings(Settings real) {
            return real;
        }

        default Event changeEvent(Instance at, Event event) {
            return event;
        }

        default void changeAction(Instance at, Action action, Consumer<Action> out) {
            out.accept(action);
        }

        default void addActions(Instance at, Event event, Consumer<Action> out) {}

        default LearnedState changeLearnedState(LearnedState real) {
            return real;
        }
    }

    final Invariant violated;
    private final Fault fault;

    Mutant(Invariant found, Fault fault) {
        this.violated = found;
        this.fault = fault;
    }

    Settings settings(Settings real) {
        return fault.changeSettings(real);
    }

    /** Wraps a load balancer with this fault. */
    LoadBalancer wrap(LoadBalancer module, Settings real) {
        Instance at = new Instance(real);
        return new LoadBalancer() {
            @Override
            public void handle(double nowMs, Event event, Consumer<Action> actions) {
                if (event instanceof EndpointsUpdated listed) {
                    listed.endpoints().forEach(entry -> at.servers.add(entry.server()));
                }
                if (event instanceof ClientDisconnected gone) {
                    at.disconnected.add(gone.id());
                }
                module.handle(nowMs, fault.changeEvent(at, event), action -> fault.changeAction(at, action, actions));
                fault.addActions(at, event, actions);
            }

            @Override
            public LearnedState exportState(double nowMs, int from, int most) {
                return fault.changeLearnedState(module.exportState(nowMs, from, most));
            }
        };
    }

    // ---- Kinds of faults ----

    private static Fault settings(UnaryOperator<Settings> faulty) {
        return new Fault() {
            @Override
            public Settings changeSettings(Settings real) {
                return faulty.apply(real);
            }
        };
    }

    private static Fault changedLimits(UnaryOperator<Limits> faulty) {
        return settings(real -> with(real, faulty.apply(real.limits()), real.rules()));
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

    private static <E extends Event> Fault changedEvent(Class<E> of, BiFunction<Instance, E, Event> faulty) {
        return new Fault() {
            @Override
            public Event changeEvent(Instance at, Event event) {
                return of.isInstance(event) ? faulty.apply(at, of.cast(event)) : event;
            }
        };
    }

    private static Fault changedEndpoints(UnaryOperator<Endpoint> faulty) {
        return changedEvent(
                EndpointsUpdated.class,
                (at, listed) -> new EndpointsUpdated(
                        listed.complete(),
                        listed.watchResponse(),
                        listed.endpoints().stream().map(faulty).toList()));
    }

    private static Fault takenForReady(EndpointState instead) {
        return changedEndpoints(entry -> new Endpoint(
                entry.server(),
                entry.zone(),
                entry.cell(),
                entry.state() == instead ? EndpointState.READY : entry.state(),
                entry.startedMs(),
                entry.kind()));
    }

    /** Changes actions; null drops one. */
    private static <A extends Action> Fault changedAction(Class<A> of, Function<A, Action> faulty) {
        return new Fault() {
            @Override
            public void changeAction(Instance at, Action action, Consumer<Action> out) {
                accept(of.isInstance(action) ? faulty.apply(of.cast(action)) : action, out);
            }
        };
    }

    private static Fault repeatedAction(BiPredicate<Instance, Action> which) {
        return new Fault() {
            @Override
            public void changeAction(Instance at, Action action, Consumer<Action> out) {
                out.accept(action);
                accept(which.test(at, action) ? action : null, out);
            }
        };
    }

    /** Adds an action after an event, unless it is null. */
    private static <E extends Event> Fault addedAction(Class<E> of, BiFunction<Instance, E, Action> more) {
        return new Fault() {
            @Override
            public void addActions(Instance at, Event event, Consumer<Action> out) {
                accept(of.isInstance(event) ? more.apply(at, of.cast(event)) : null, out);
            }
        };
    }

    private static void accept(Action action, Consumer<Action> out) {
        if (action != null) {
            out.accept(action);
        }
    }
}
