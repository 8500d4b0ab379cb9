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
public interface Balancer {

    /**
     * Takes one event and hands each resulting action to {@code actions}, in order.
     *
     * @param nowMs the time of the event
     */
    void on(double nowMs, Event event, Consumer<Action> actions);

    /**
     * What was learned until now, to be kept and later given to another instance by {@link #recall}. Changes nothing
     * that is decided. Servers come in pieces, so that no call takes long where there are thousands.
     *
     * @param nowMs the time of the call, not before that of the last event
     * @param from how many servers to pass over, 0 or more
     * @param most how many servers to hand out at the most
     * @return {@link Learned#NOTHING} from one that keeps nothing
     */
    default Learned learned(double nowMs, int from, int most) {
        return Learned.NOTHING;
    }

    /**
     * Takes back what another instance had learned, worth less the older it is; what the module has learned by itself
     * goes before it. Servers that are not listed, or were started anew since, are passed over.
     *
     * @param nowMs the time of the call, not before that of the last event
     * @param learned an account of servers only has no fleet
     * @param ageMs how long ago it was learned, ms; what is older than {@link Learned#MOST_AGE_MS}, or negative, is
     *     not taken
     */
    default void recall(double nowMs, Learned learned, double ageMs) {}

    /** What repeating a request does. */
    enum Effect {
        /** May be repeated at will. */
        SAFE,
        /** Carries a key by which a group of servers drops repeats for a while. */
        KEYED,
        /** May be repeated only when no earlier attempt can have run. */
        UNSAFE
    }

    /** Which servers share the memory of a key. */
    enum Group {
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
    enum ServerState {
        READY,
        DRAINING,
        GONE
    }

    /** A class of requests; {@code aimMs} is the time within which an answer earns its full worth. */
    record RequestClass(
            double aimMs,
            double deadlineMs,
            double worth,
            double lateWorth,
            Effect effect,
            Group group,
            double keyWindowMs) {
        public RequestClass {
            require(aimMs > 0, "aimMs", aimMs);
            require(deadlineMs >= aimMs, "deadlineMs", deadlineMs);
            require(worth >= 0, "worth", worth);
            require(lateWorth >= 0 && lateWorth <= 1, "lateWorth", lateWorth);
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
            boolean cancelling,
            boolean probing,
            boolean retryAfter,
            double maxRetryAfterMs,
            boolean dearConnections,
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
            double coldShare, double coldMs, double fallMultiple, double fallMs, boolean goneBinds, Budget budget) {
        public Rules {
            require(coldShare > 0 && coldShare <= 1, "coldShare", coldShare);
            require(coldMs >= 0, "coldMs", coldMs);
            require(fallMultiple > 0, "fallMultiple", fallMultiple);
            require(fallMs >= 0, "fallMs", fallMs);
        }
    }

    /**
     * Further attempts of an instance within {@code windowMs}: at most {@code free} and {@code share} of the
     * requests that it took in that time.
     */
    record Budget(double free, double share, double windowMs) {

        /** For a deployment without such a rule. */
        public static final Budget NONE = new Budget(Double.POSITIVE_INFINITY, 0, 0);

        public Budget {
            require(free >= 0, "extraFree", free);
            require(share >= 0 && share < Double.POSITIVE_INFINITY, "resendRatio", share);
            require(windowMs >= 0 && windowMs < Double.POSITIVE_INFINITY, "budgetWindowMs", windowMs);
            require(windowMs > 0 || free == Double.POSITIVE_INFINITY, "budgetWindowMs", windowMs);
        }

        /** Whether the rule binds. */
        public boolean binds() {
            return free < Double.POSITIVE_INFINITY;
        }
    }

    /** All that an instance is told at its start; {@code mustWatch}: the list comes only when asked for. */
    record Settings(
            int self,
            int balancers,
            int zone,
            double tickMs,
            boolean mustWatch,
            double overShareWorth,
            List<RequestClass> classes,
            List<Tenant> tenants,
            Limits limits,
            Rules rules,
            List<LoadField> loadFields) {
        public Settings {
            require(self >= 0, "self", self);
            require(balancers >= 1, "balancers", balancers);
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
    record ServerEntry(String server, int zone, int cell, ServerState state, double startedMs, int kind) {

        /** Shared by all whose kind is not told. */
        public static final int NO_KIND = -1;

        /** One whose kind is not told. */
        public ServerEntry(String server, int zone, int cell, ServerState state, double startedMs) {
            this(server, zone, cell, state, startedMs, NO_KIND);
        }
    }

    /** What can happen to an instance. */
    sealed interface Event {}

    /** News of the server list; a {@code whole} list removes the servers it leaves out. */
    record ServersListed(boolean whole, boolean answersWatch, List<ServerEntry> entries) implements Event {}

    /** A call to discovery failed or the watch broke; the last list stays in force. */
    record DiscoveryFailed() implements Event {}

    /** A client request; {@code budgetMs} is how long the client waits for this try. */
    record RequestArrived(String id, int requestClass, int tenant, double budgetMs, boolean clientRetry)
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
            double tookMs,
            boolean requestDone,
            double[] load,
            double lagMs)
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
    record AnswerStarted(String id, int attempt) implements Event {}

    /** The client no longer waits. */
    record ClientLeft(String id) implements Event {}

    /** A timer is due. */
    record TimerDue(long token) implements Event {}

    /** A probe ended. {@code load} may be null. */
    record ProbeEnded(String server, Outcome outcome, double tookMs, double[] load) implements Event {}

    /**
     * How stations lean to zones from now on: a factor on a server's weight, above 0 and 1 at the most, by index of
     * tenant and of zone. Empty: none, as for an instance that was never told.
     */
    record Steered(double[][] factors) implements Event {}

    /** What an instance can ask of its host. */
    sealed interface Action {}

    /** Send an attempt; attempts of a request are numbered from 0 in the order sent. */
    record Send(String id, String server, double timeoutMs) implements Action {}

    /** Final answer: not served, and safe to try again; 0 gives no advice on when. */
    record Refuse(String id, double retryAfterMs) implements Action {}

    /** Final answer: failed, with no word on whether it ran. */
    record Fail(String id) implements Action {}

    /** Stop waiting for an attempt. */
    record Cancel(String id, int attempt) implements Action {}

    /** Ask a server for its load. */
    record Probe(String server) implements Action {}

    /** Ask discovery for changes from now on. */
    record WatchServers() implements Action {}

    /** Ask to be woken with {@link TimerDue}. */
    record SetTimer(double atMs, long token) implements Action {}

    /** The timer is of no use any more; where none can be taken back, {@link TimerDue} comes all the same. */
    record ClearTimer(long token) implements Action {}

    /** A line for the people on call. */
    record Log(String text) implements Action {}

    private static void require(boolean holds, String field, Object value) {
        if (!holds) {
            throw new IllegalArgumentException("setting " + field + " cannot be " + value);
        }
    }
}
