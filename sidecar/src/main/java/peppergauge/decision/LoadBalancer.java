package peppergauge.decision;

import java.util.List;
import java.util.function.Consumer;

/**
 * The interface of the decision module: settings at start, events in, actions out.
 *
 * <p>An instance has no threads and does no I/O. The caller brings the clock with each event (milliseconds
 * from any origin, never going backwards) and the seed at construction, and carries out the actions in the
 * order given. The same settings, seed and events always give the same actions.
 */
public interface LoadBalancer {

    /**
     * Takes one event and hands each resulting action to {@code actions}, in order.
     *
     * @param nowMs the time of the event
     */
    void handle(double nowMs, Event event, Consumer<Action> actions);

    /**
     * What was learned until now, to be kept and later given to another instance by {@link #recall}. Changes nothing
     * that is decided. Servers come in pieces, so that no call takes long where there are thousands.
     *
     * @param nowMs the time of the call, not before that of the last event
     * @param from how many servers to pass over, 0 or more
     * @param most how many servers to hand out at the most
     * @return {@link LearnedState#EMPTY} from one that keeps nothing
     */
    default LearnedState exportState(double nowMs, int from, int most) {
        return LearnedState.EMPTY;
    }

    /**
     * Takes back what another instance had learned, worth less the older it is; what the module has learned by itself
     * goes before it. Servers that are not listed, or were started anew since, are passed over.
     *
     * @param nowMs the time of the call, not before that of the last event
     * @param learned an account of servers only has no fleet
     * @param ageMs how long ago it was learned, ms; what is older than {@link LearnedState#MAX_AGE_MS}, or negative, is
     *     not taken
     */
    default void importState(double nowMs, LearnedState learned, double ageMs) {}

    /** What repeating a request does. */
    enum Idempotency {
        /** May be repeated at will. */
        IDEMPOTENT,
        /** Carries a key by which a group of servers drops repeats for a while. */
        IDEMPOTENCY_KEY,
        /** May be repeated only when no earlier attempt can have run. */
        NON_IDEMPOTENT
    }

    /** Which servers share the memory of a key. */
    enum KeyScope {
        ALL,
        ZONE,
        CELL
    }

    /** How an attempt or a probe ended. */
    enum Outcome {
        SUCCESS,
        ERROR,
        OVERLOADED,
        TIMED_OUT,
        UNREACHABLE,
        BROKEN,
        CANCELLED,
        NEVER_SENT;

        /** Whether this outcome proves that the attempt never ran. */
        public boolean neverRan() {
            return this == OVERLOADED || this == UNREACHABLE || this == NEVER_SENT;
        }
    }

    /** What a value in a load report means. */
    enum LoadField {
        IN_FLIGHT,
        QUEUED,
        UTILISATION,
        LATENCY_MS,
        SERVED_PER_S,
        ERRORS_PER_S,
        OTHER
    }

    /** Where a listed server stands. */
    enum EndpointState {
        READY,
        DRAINING,
        REMOVED
    }

    /** A class of requests; {@code aimMs} is the time within which an answer earns its full worth. */
    record RequestClass(
            double latencyObjectiveMs,
            double deadlineMs,
            double priorityWeight,
            double lateWeightShare,
            Idempotency idempotency,
            KeyScope keyScope,
            double keyWindowMs) {
        public RequestClass {
            require(latencyObjectiveMs > 0, "aimMs", latencyObjectiveMs);
            require(deadlineMs >= latencyObjectiveMs, "deadlineMs", deadlineMs);
            require(priorityWeight >= 0, "worth", priorityWeight);
            require(lateWeightShare >= 0 && lateWeightShare <= 1, "lateWorth", lateWeightShare);
            require(keyWindowMs >= 0, "keyWindowMs", keyWindowMs);
        }
    }

    /** A tenant; {@code quotaPerS} is its share of the fleet over all balancers. */
    record Tenant(double quotaPerS) {
        public Tenant {
            require(quotaPerS >= 0, "quotaPerS", quotaPerS);
        }
    }

    /**
     * What the deployment allows; {@code dearConnections}: opening or keeping connections has a price,
     * {@code connectionIdleMs}: one that is idle for so long is closed.
     */
    record Limits(
            int maxAttempts,
            boolean parallelAttempts,
            boolean cancellation,
            boolean healthChecks,
            boolean retryAfter,
            double maxRetryAfterMs,
            boolean costlyConnections,
            double connectionIdleMs) {
        public Limits {
            require(connectionIdleMs >= 0, "connectionIdleMs", connectionIdleMs);
            require(maxAttempts >= 1, "maxAttempts", maxAttempts);
            require(maxRetryAfterMs >= 0, "maxRetryAfterMs", maxRetryAfterMs);
        }
    }

    /**
     * The figures of the rules. A server starts at {@code coldShare} of its capacity or more, is warm
     * after {@code coldMs} and falls over when sent more than {@code fallMultiple} times its present
     * capacity for {@code fallMs}. With {@code goneBinds} false only draining forbids sends. {@code budget}
     * limits attempts beyond each request's first.
     */
    record Rules(
            double warmUpInitialCapacity,
            double warmUpMs,
            double overloadMultiple,
            double overloadWindowMs,
            boolean removalForbidsSends,
            RetryBudgetConfig retryBudget) {
        public Rules {
            require(warmUpInitialCapacity > 0 && warmUpInitialCapacity <= 1, "coldShare", warmUpInitialCapacity);
            require(warmUpMs >= 0, "coldMs", warmUpMs);
            require(overloadMultiple > 0, "fallMultiple", overloadMultiple);
            require(overloadWindowMs >= 0, "fallMs", overloadWindowMs);
        }
    }

    /**
     * Further attempts of an instance within {@code windowMs}: at most {@code free} and {@code share} of the
     * requests that it took in that time.
     */
    record RetryBudgetConfig(double minRetries, double retryRatio, double windowMs) {

        /** For a deployment without such a rule. */
        public static final RetryBudgetConfig UNLIMITED = new RetryBudgetConfig(Double.POSITIVE_INFINITY, 0, 0);

        public RetryBudgetConfig {
            require(minRetries >= 0, "extraFree", minRetries);
            require(retryRatio >= 0 && retryRatio < Double.POSITIVE_INFINITY, "resendRatio", retryRatio);
            require(windowMs >= 0 && windowMs < Double.POSITIVE_INFINITY, "budgetWindowMs", windowMs);
            require(windowMs > 0 || minRetries == Double.POSITIVE_INFINITY, "budgetWindowMs", windowMs);
        }

        /** Whether the rule binds. */
        public boolean isLimited() {
            return minRetries < Double.POSITIVE_INFINITY;
        }
    }

    /** All that an instance is told at its start; {@code mustWatch}: the list comes only when asked for. */
    record Settings(
            int instance,
            int instances,
            int zone,
            double tickMs,
            boolean watchRequired,
            double overQuotaWeight,
            List<RequestClass> classes,
            List<Tenant> tenants,
            Limits limits,
            Rules rules,
            List<LoadField> loadFields) {
        public Settings {
            require(instance >= 0, "self", instance);
            require(instances >= 1, "balancers", instances);
            require(tickMs >= 0, "tickMs", tickMs);
            require(!classes.isEmpty(), "classes", 0);
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            loadFields = List.copyOf(loadFields);
        }
    }

    /**
     * One entry of the server list; {@code startedMs} of 0 or less means long ago or not told, {@code kind} is any
     * number that machines of one kind share.
     */
    record Endpoint(String server, int zone, int cell, EndpointState state, double startedMs, int kind) {

        /** Shared by all whose kind is not told. */
        public static final int NO_KIND = -1;

        /** One whose kind is not told. */
        public Endpoint(String server, int zone, int cell, EndpointState state, double startedMs) {
            this(server, zone, cell, state, startedMs, NO_KIND);
        }
    }

    /** What can happen to an instance. */
    sealed interface Event {}

    /** News of the server list; a {@code whole} list removes the servers it leaves out. */
    record EndpointsUpdated(boolean complete, boolean watchResponse, List<Endpoint> endpoints) implements Event {}

    /** A call to discovery failed or the watch broke; the last list stays in force. */
    record DiscoveryFailed() implements Event {}

    /** A client request; {@code budgetMs} is how long the client waits for this try. */
    record RequestArrived(String id, int requestClass, int tenant, double timeoutMs, boolean clientRetry)
            implements Event {}

    /**
     * An attempt ended.
     *
     * @param tookMs from its send to its end, ms, less {@code lagMs}
     * @param requestDone whether the client has its answer
     * @param load null if none came along
     * @param lagMs how long its bytes, going out or coming in, waited for the host itself, ms, 0 or more
     */
    record AttemptEnded(
            String id,
            int attempt,
            String server,
            Outcome outcome,
            double latencyMs,
            boolean requestCompleted,
            double[] loadReport,
            double localDelayMs)
            implements Event {

        /** At a host that is never late. */
        public AttemptEnded(
                String id,
                int attempt,
                String server,
                Outcome outcome,
                double tookMs,
                boolean requestDone,
                double[] load) {
            this(id, attempt, server, outcome, tookMs, requestDone, load, 0);
        }
    }

    /** A streamed answer began: deadline and time-out no longer count. */
    record ResponseStarted(String id, int attempt) implements Event {}

    /** The client no longer waits. */
    record ClientDisconnected(String id) implements Event {}

    /** A timer is due. */
    record TimerFired(long token) implements Event {}

    /** A probe ended. {@code load} may be null. */
    record ProbeEnded(String server, Outcome outcome, double latencyMs, double[] loadReport) implements Event {}

    /**
     * How stations lean to zones from now on: a factor on a server's weight, above 0 and 1 at the most, by index of
     * tenant and of zone. Empty: none, as for an instance that was never told.
     */
    record ZoneWeightsUpdated(double[][] weights) implements Event {}

    /** What an instance can ask of its host. */
    sealed interface Action {}

    /** Send an attempt; attempts of a request are numbered from 0 in the order sent. */
    record SendAttempt(String id, String server, double timeoutMs) implements Action {}

    /** Final answer: not served, and safe to try again; 0 gives no advice on when. */
    record RejectRequest(String id, double retryAfterMs) implements Action {}

    /** Final answer: failed, with no word on whether it ran. */
    record FailRequest(String id) implements Action {}

    /** Stop waiting for an attempt. */
    record CancelAttempt(String id, int attempt) implements Action {}

    /** Ask a server for its load. */
    record ProbeServer(String server) implements Action {}

    /** Ask discovery for changes from now on. */
    record OpenWatch() implements Action {}

    /** Ask to be woken with {@link TimerFired}. */
    record ScheduleTimer(double dueMs, long token) implements Action {}

    /** The timer is of no use any more; where none can be taken back, {@link TimerFired} comes all the same. */
    record CancelTimer(long token) implements Action {}

    /** A line for the people on call. */
    record LogMessage(String text) implements Action {}

    private static void require(boolean holds, String field, Object value) {
        if (!holds) {
            throw new IllegalArgumentException("setting " + field + " cannot be " + value);
        }
    }
}
