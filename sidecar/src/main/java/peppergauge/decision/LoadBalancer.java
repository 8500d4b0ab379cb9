package peppergauge.decision;

import java.util.List;
import java.util.function.Consumer;

/**
 * A load balancer as a pure state machine: settings at construction, events in, actions out.
 *
 * <p>An instance has no threads and does no I/O; one thread at a time may call it. The caller passes the clock with
 * each event (milliseconds from any origin, never going backwards) and carries out the actions in the order given. The
 * same settings, seed and events always give the same actions.
 */
public interface LoadBalancer {

    /**
     * Handles one event and passes each resulting action to {@code actions}, in order.
     *
     * @param nowMs the time of the event, ms
     */
    void handle(double nowMs, Event event, Consumer<Action> actions);

    /**
     * Exports the learned state, for {@link #importState} of another instance. Does not influence later decisions.
     * Servers are exported in pages, so that no call takes long.
     *
     * @param nowMs the time of the call, ms, not before that of the last event
     * @param offset number of servers to skip, 0 or more
     * @param maxServers maximum number of servers to export
     * @return {@link LearnedState#EMPTY} if the implementation has no learned state
     */
    default LearnedState exportState(double nowMs, int offset, int maxServers) {
        return LearnedState.EMPTY;
    }

    /**
     * Imports the learned state of another instance; its weight decreases with its age. Does not replace what this
     * instance has learned itself. Skips servers that are not listed or were restarted since the export.
     *
     * @param nowMs the time of the call, ms, not before that of the last event
     * @param learned the state; without statistics of all servers together if it is a page of servers
     * @param ageMs time since the export, ms; a state older than {@link LearnedState#MAX_AGE_MS}, or of negative
     *     age, is ignored
     */
    default void importState(double nowMs, LearnedState learned, double ageMs) {}

    /** Whether a request may be executed more than once. */
    enum Idempotency {
        /** The request may be executed any number of times. */
        IDEMPOTENT,
        /** The request has an idempotency key, by which servers in the key's scope drop repeats within its window. */
        IDEMPOTENCY_KEY,
        /** The request may be sent again only if no earlier attempt can have been executed. */
        NON_IDEMPOTENT
    }

    /** The servers that share their memory of an idempotency key: all, those of one zone, or those of one cell. */
    enum KeyScope {
        ALL,
        ZONE,
        CELL
    }

    /**
     * How an attempt or a health check ended: SUCCESS with a successful response; OVERLOADED with a response which says
     * that the request was not executed; ERROR with any other response; TIMED_OUT without a response in time;
     * UNREACHABLE as no connection could be established; BROKEN as the connection failed after part of the request was
     * sent; CANCELLED by this program; NEVER_SENT before the first byte, as when the server was removed meanwhile.
     */
    enum Outcome {
        SUCCESS,
        ERROR,
        OVERLOADED,
        TIMED_OUT,
        UNREACHABLE,
        BROKEN,
        CANCELLED,
        NEVER_SENT;

        /** Whether this outcome proves that the request was not executed. */
        public boolean neverRan() {
            return this == OVERLOADED || this == UNREACHABLE || this == NEVER_SENT;
        }
    }

    /**
     * The meaning of a value in a load report: requests in flight at the server, requests that wait at it, its
     * utilisation, its mean latency in ms, responses per s, errors per s, and a value that is not used.
     */
    enum LoadField {
        IN_FLIGHT,
        QUEUED,
        UTILISATION,
        LATENCY_MS,
        SERVED_PER_S,
        ERRORS_PER_S,
        OTHER
    }

    /** State of a server in the endpoint list: gets attempts; is draining and gets no new ones; was removed. */
    enum EndpointState {
        READY,
        DRAINING,
        REMOVED
    }

    /**
     * A class of requests.
     *
     * @param latencyObjectiveMs time within which a response has its full value, ms
     * @param deadlineMs time after which the client stops waiting, ms
     * @param priorityWeight value of a response, 0 or more
     * @param lateWeightShare share of the value that remains between objective and deadline, 0 to 1
     * @param keyScope scope of an idempotency key; ignored for requests without one
     * @param keyWindowMs how long servers remember an idempotency key, ms
     */
    record RequestClass(
            double latencyObjectiveMs,
            double deadlineMs,
            double priorityWeight,
            double lateWeightShare,
            Idempotency idempotency,
            KeyScope keyScope,
            double keyWindowMs) {
        public RequestClass {
            require(latencyObjectiveMs > 0, "aimMs", "over 0", latencyObjectiveMs);
            require(
                    deadlineMs >= latencyObjectiveMs,
                    "deadlineMs",
                    "aimMs (" + latencyObjectiveMs + ") or more",
                    deadlineMs);
            require(priorityWeight >= 0, "worth", "0 or more", priorityWeight);
            require(lateWeightShare >= 0 && lateWeightShare <= 1, "lateWorth", "0 to 1", lateWeightShare);
            require(keyWindowMs >= 0, "keyTtlMs", "0 or more", keyWindowMs);
        }
    }

    /** A tenant and its quota, in requests per second over all instances. */
    record Tenant(double quotaPerS) {
        public Tenant {
            require(quotaPerS >= 0, "quotaPerS", "0 or more", quotaPerS);
        }
    }

    /**
     * Limits that the settings impose on an instance.
     *
     * @param maxAttempts maximum number of attempts of a request, the first included
     * @param parallelAttempts whether a request may have several attempts open
     * @param cancellation whether attempts may be cancelled
     * @param healthChecks whether servers may be probed
     * @param retryAfter whether rejections may carry a Retry-After time
     * @param maxRetryAfterMs longest Retry-After time, ms
     * @param costlyConnections whether opening or keeping connections has a cost
     * @param connectionIdleMs time after which an idle connection is closed, ms
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
            require(connectionIdleMs >= 0, "connIdleMs", "0 or more", connectionIdleMs);
            require(maxAttempts >= 1, "mostTries", "1 or more", maxAttempts);
            require(maxRetryAfterMs >= 0, "maxRetryAfterMs", "0 or more", maxRetryAfterMs);
        }
    }

    /**
     * Rules of the service's servers.
     *
     * @param warmUpInitialCapacity share of its capacity that a server starts with, over 0 to 1
     * @param warmUpMs time after which a server has its full capacity, ms
     * @param overloadMultiple load, in present capacities, above which a server breaks down
     * @param overloadWindowMs time for which a server withstands such a load, ms
     * @param removalForbidsSends whether servers removed from the list get no attempts; draining ones never get any
     * @param retryBudget limits the attempts beyond each request's first
     */
    record Rules(
            double warmUpInitialCapacity,
            double warmUpMs,
            double overloadMultiple,
            double overloadWindowMs,
            boolean removalForbidsSends,
            RetryBudgetConfig retryBudget) {
        public Rules {
            boolean isShare = warmUpInitialCapacity > 0 && warmUpInitialCapacity <= 1;
            require(isShare, "coldShare", "over 0 and up to 1", warmUpInitialCapacity);
            require(warmUpMs >= 0, "coldMs", "0 or more", warmUpMs);
            require(overloadMultiple > 0, "tipMultiple", "over 0", overloadMultiple);
            require(overloadWindowMs >= 0, "fallMs", "0 or more", overloadWindowMs);
        }
    }

    /**
     * Limits the retries of an instance within a sliding window.
     *
     * @param minRetries retries that are always permitted
     * @param retryRatio additional retries for each request that arrived in the window
     * @param windowMs length of the window, ms
     */
    record RetryBudgetConfig(double minRetries, double retryRatio, double windowMs) {

        /** No limit. */
        public static final RetryBudgetConfig UNLIMITED = new RetryBudgetConfig(Double.POSITIVE_INFINITY, 0, 0);

        public RetryBudgetConfig {
            require(minRetries >= 0, "extraFree", "0 or more", minRetries);
            boolean isFiniteRatio = retryRatio >= 0 && retryRatio < Double.POSITIVE_INFINITY;
            require(isFiniteRatio, "resendRatio", "0 or more and finite", retryRatio);
            boolean isFiniteWindow = windowMs >= 0 && windowMs < Double.POSITIVE_INFINITY;
            require(isFiniteWindow, "budgetWindowMs", "0 or more and finite", windowMs);
            boolean isUnlimited = minRetries == Double.POSITIVE_INFINITY;
            require(windowMs > 0 || isUnlimited, "budgetWindowMs", "over 0", windowMs);
        }

        /** Whether there is a limit. */
        public boolean isLimited() {
            return minRetries < Double.POSITIVE_INFINITY;
        }
    }

    /**
     * Settings of an instance.
     *
     * @param instance index of this instance
     * @param instances number of instances that share the servers
     * @param zone of this instance
     * @param tickMs resolution of the clock, ms
     * @param watchRequired whether endpoint updates come only after {@link OpenWatch}
     * @param overQuotaWeight value of a request beyond its tenant's quota, relative to one within it
     * @param loadFields meaning of the values in load reports, in their order
     */
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
            require(instance >= 0, "me", "0 or more", instance);
            require(instances >= 1, "balancers", "1 or more", instances);
            require(tickMs >= 0, "tickMs", "0 or more", tickMs);
            require(!classes.isEmpty(), "profiles", "a list with one element or more", classes);
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            loadFields = List.copyOf(loadFields);
        }
    }

    /**
     * An entry of the endpoint list.
     *
     * @param cell group of servers within the zone, for the scope of idempotency keys
     * @param startedMs when the server's process started, ms; 0 or less if unknown
     * @param kind number of the machine kind, equal for all servers of one kind
     */
    record Endpoint(String server, int zone, int cell, EndpointState state, double startedMs, int kind) {

        /** The machine kind of servers whose kind is unknown. */
        public static final int NO_KIND = -1;

        /** An entry of a server of unknown machine kind. */
        public Endpoint(String server, int zone, int cell, EndpointState state, double startedMs) {
            this(server, zone, cell, state, startedMs, NO_KIND);
        }
    }

    /** An input of {@link #handle}. */
    sealed interface Event {}

    /**
     * The endpoint list changed.
     *
     * @param complete whether servers that are not in {@code endpoints} are removed
     * @param watchResponse whether the update was sent by an open watch
     */
    record EndpointsUpdated(boolean complete, boolean watchResponse, List<Endpoint> endpoints) implements Event {}

    /** A call to discovery failed or the watch broke; the last endpoint list stays in force. */
    record DiscoveryFailed() implements Event {}

    /**
     * A request arrived.
     *
     * @param requestClass index in the settings
     * @param tenant index in the settings
     * @param timeoutMs how long the client waits for the response to this try, ms
     * @param clientRetry whether the client retries a request that it sent before
     */
    record RequestArrived(String id, int requestClass, int tenant, double timeoutMs, boolean clientRetry)
            implements Event {}

    /**
     * An attempt ended.
     *
     * @param attempt number of the attempt, from 0
     * @param latencyMs from the send to the end, ms, without {@code localDelayMs}
     * @param requestCompleted whether the client has its response
     * @param loadReport values in the order of {@link Settings#loadFields}; null if none came
     * @param localDelayMs delay of request and response on this host itself, ms, 0 or more
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

        /** The end of an attempt without local delay. */
        public AttemptEnded(
                String id,
                int attempt,
                String server,
                Outcome outcome,
                double latencyMs,
                boolean requestCompleted,
                double[] loadReport) {
            this(id, attempt, server, outcome, latencyMs, requestCompleted, loadReport, 0);
        }
    }

    /**
     * Either a streamed response has begun, or part of a streamed request body was forwarded to one server and not
     * buffered, so that no other server can get it. In both cases the client determines how long the attempt takes from
     * here on, and neither deadline nor timeout apply any longer.
     */
    record ResponseStarted(String id, int attempt) implements Event {}

    /** The client stopped waiting for the response. */
    record ClientDisconnected(String id) implements Event {}

    /** A timer fired. */
    record TimerFired(long token) implements Event {}

    /** A health check ended; {@link AdaptiveLoadBalancer} ignores it. The load report is as in {@link AttemptEnded}. */
    record ProbeEnded(String server, Outcome outcome, double latencyMs, double[] loadReport) implements Event {}

    /**
     * The zone weights changed.
     *
     * @param weights over 0 to 1, by index of tenant and of zone; a missing weight is 1
     */
    record ZoneWeightsUpdated(double[][] weights) implements Event {}

    /** An output of {@link #handle}, for the caller to carry out. */
    sealed interface Action {}

    /** Send an attempt and wait {@code timeoutMs} for its response. A request's attempts are numbered from 0. */
    record SendAttempt(String id, String server, double timeoutMs) implements Action {}

    /**
     * Answer the client that the request was rejected and may safely be retried.
     *
     * @param retryAfterMs time after which the client may retry, ms; 0 if the response carries no Retry-After
     * @param cause for the log
     */
    record RejectRequest(String id, double retryAfterMs, RejectionCause cause) implements Action {}

    /** Answer the client that the request failed and may have been executed. */
    record FailRequest(String id) implements Action {}

    /** Cancel an attempt; its end follows as {@link AttemptEnded}. */
    record CancelAttempt(String id, int attempt) implements Action {}

    /** Send a health check to a server; {@link AdaptiveLoadBalancer} sends none. */
    record ProbeServer(String server) implements Action {}

    /** Open a watch of the endpoint list. */
    record OpenWatch() implements Action {}

    /** Set a timer that fires at {@code dueMs}, as a {@link TimerFired} with the same token. */
    record ScheduleTimer(double dueMs, long token) implements Action {}

    /** Cancel a timer; it may fire nevertheless. */
    record CancelTimer(long token) implements Action {}

    /** Log a line; {@link AdaptiveLoadBalancer} logs none. */
    record LogMessage(String text) implements Action {}

    private static void require(boolean holds, String field, String expected, Object value) {
        if (!holds) {
            throw new IllegalArgumentException("setting " + field + " must be " + expected + " but is " + value);
        }
    }
}
