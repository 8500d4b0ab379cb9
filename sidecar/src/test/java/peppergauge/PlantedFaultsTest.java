package peppergauge;

import org.testng.annotations.DataProvider;
import peppergauge.coldstart.PollPolicyLoad;
import peppergauge.invariant.Loads;
import peppergauge.invariant.UnderRandomLoad;
import peppergauge.overload.OverloadControllerLoad;
import peppergauge.request.RequestDispatcherLoad;
import peppergauge.sockets.ClientConnectionsLoad;

/**
 * Sessions, overload control, sockets' places and the paces of a start under random load, as they are and with faults
 * planted in their sources. In no package of theirs, since it knows them all and they know the invariants.
 */
public class PlantedFaultsTest extends UnderRandomLoad {

    private static final int SEEDS = 15;
    private static final int SEEDS_FOR_A_FAULT = 25;

    private static final String SESSIONS = "peppergauge.request.RequestDispatcherLoad";
    private static final String OVERLOAD = "peppergauge.overload.OverloadControllerLoad";
    private static final String CLIENTS = "peppergauge.sockets.ClientConnectionsLoad";
    private static final String POLL_POLICIES = "peppergauge.coldstart.PollPolicyLoad";

    public PlantedFaultsTest() {
        super("", "", SEEDS_FOR_A_FAULT);
    }

    @Override
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {"sessions", (Loads.Load) RequestDispatcherLoad::run, SEEDS},
            {"overload", (Loads.Load) OverloadControllerLoad::run, SEEDS},
            {"clients", (Loads.Load) ClientConnectionsLoad::run, SEEDS},
            {"poll policies", (Loads.Load) PollPolicyLoad::run, SEEDS},
        };
    }

    @Override
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "if (!session.answered) {\n                end(session);",
                "if (session != null) {\n                end(session);",
                "a second answer"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                " && session.out == 0 && !session.answered",
                " && session.out == 0",
                "a second answer"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "            fail(session, false);\n            forgetIfOver(session);\n",
                "            fail(session, false);\n",
                "sessions are held that are over"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "if (attempt.ended || attempt.begun) {",
                "if (attempt.begun) {",
                "more ends than attempts"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "        out.remove(attempt);\n",
                "",
                "attempts of sessions that are over"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "open.containsKey(id) || ended.contains(id) || ",
                "",
                "one id for two open sessions"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "session.answered && session.out == 0 && open.remove",
                "session.answered && open.remove",
                "attempts of sessions that are over"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "        session.attempts.forEach(this::takeBack);\n",
                "",
                "a first byte for"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "        if (session == null || session.answered) {\n            return;",
                "        if (session == null) {\n            return;",
                "an attempt for"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "Math.min(now + send.timeoutMs(), deadlineMs)",
                "now + send.timeoutMs()",
                "after the deadline of"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "after(opening.deadlineMs() - now,",
                "after(opening.deadlineMs() - now + 20,",
                "no answer by its deadline"
            },
            {SESSIONS, "request/RequestDispatcher.java", "arriving.get() > 0 || ", "", "idle while answers are owed"},
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "!open.isEmpty() || overload.queue()",
                "overload.queue()",
                "idle while answers are owed"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "                overload.queue().addNew(id, waiting);\n",
                "",
                "no answer by its deadline"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "            whenIdle.add(task);\n",
                "            whenIdle.clear();\n            whenIdle.add(task);\n",
                "a caller is not told"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "            post(() -> ended(attempt, new Backend.Result(Outcome.BROKEN)));\n",
                "",
                "waits for an attempt that cannot end"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "        attempt.exchange = NOTHING_OUT;\n",
                "",
                "exchange\" is null"
            },
            {
                OVERLOAD,
                "overload/AcceptRateLimiter.java",
                "tokens = Math.min(tokens, ratePerS * BURST_S);\n" + "        assert",
                "assert",
                "accepts"
            },
            {OVERLOAD, "overload/AcceptRateLimiter.java", "Math.max(MIN_RATE_PER_S, ", "Math.max(0, ", "accepts"},
            {
                OVERLOAD,
                "overload/PriorityAdmission.java",
                "Math.max(MIN_ADMITTED_SHARE, Math.min(1, admittedShare))",
                "Math.min(1, admittedShare)",
                "a share that is none"
            },
            {
                OVERLOAD,
                "overload/PriorityAdmission.java",
                "(shedSinceTrial[priority] + 1) % TRIAL_INTERVAL",
                "shedSinceTrial[priority] + 1",
                "no trial"
            },
            {OVERLOAD, "overload/PriorityHistogram.java", "        total /= 2;\n", "", "the levels' sum"},
            {
                OVERLOAD,
                "overload/EventLoopLatency.java",
                "earliestArrivalMs = selectReturnedMs;\n" + "        }\n" + "        roundEndedMs",
                "earliestArrivalMs = nowMs + 1;\n" + "        }\n" + "        roundEndedMs",
                "after they were read"
            },
            {
                OVERLOAD,
                "overload/RetryAfter.java",
                "Math.min(upperBoundMs, remainingMs)",
                "upperBoundMs",
                "to come back after"
            },
            {
                OVERLOAD,
                "overload/ArrivalQueue.java",
                "return newById.remove(id);",
                "arrivalOrder.remove(id); arrivalOrder.pollFirst(); return newById.remove(id);",
                "wait"
            },
            {
                OVERLOAD,
                "overload/ConnectionEvictionPolicy.java",
                "state.requestsServed > 0 || state.pendingResponses > 0 ? null : IdleClass.PARTIAL_REQUEST",
                "state.requestsServed > 0 ? null : IdleClass.PARTIAL_REQUEST",
                "do not add up"
            },
            {
                OVERLOAD,
                "overload/ConnectionEvictionPolicy.java",
                "            reclassify(connection, state, null, 0);\n"
                        + "        }\n"
                        + "    }\n"
                        + "\n"
                        + "    /**\n"
                        + "     * The connection to close now",
                "        }\n" + "    }\n" + "\n" + "    /**\n" + "     * The connection to close now",
                "\"idleClass\""
            },
            {
                CLIENTS,
                "sockets/SocketLimit.java",
                "closedThisRound.getAndSet(0)",
                "closedThisRound.get()",
                "more places than there are"
            },
            {
                CLIENTS,
                "sockets/ClientConnections.java",
                "        room.onSocketClosed();\n",
                "        room.onSocketClosed();\n" + "        room.onSocketClosed();\n",
                "closed twice"
            },
            {
                CLIENTS,
                "sockets/ClientConnections.java",
                "for (EvictableConnection spare = claims.nextSurplus",
                "onClosed(connection); for (EvictableConnection spare = claims.nextSurplus",
                "over twice"
            },
            {
                SESSIONS,
                "request/RequestDispatcher.java",
                "if (ended.size() > IDS_KEPT) {",
                "if (ended.isEmpty()) {",
                "without bound"
            },
            {
                POLL_POLICIES,
                "coldstart/LocalAgentPollPolicy.java",
                "RESPONSE_TIMEOUT_SHARE = 0.55",
                "RESPONSE_TIMEOUT_SHARE = 1.4",
                "asked for anew only after"
            },
            {
                POLL_POLICIES,
                "coldstart/LocalAgentPollPolicy.java",
                "MAX_IDLE_TIMEOUT_MS = 2_900",
                "MAX_IDLE_TIMEOUT_MS = 3_200",
                "of 3100.0"
            },
            {
                POLL_POLICIES,
                "coldstart/LocalAgentPollPolicy.java",
                "        peakLatencyMs *= DECAY_PER_SUCCESS;\n",
                "",
                "still waited for"
            },
            {
                POLL_POLICIES,
                "coldstart/LocalAgentPollPolicy.java",
                "Math.max(latencyMs, DECAY_PER_RESPONSE",
                "Math.min(latencyMs, DECAY_PER_RESPONSE",
                "asked again after"
            },
            {
                POLL_POLICIES,
                "coldstart/LocalAgentPollPolicy.java",
                "Math.max(OVERLOADED_LATENCY_MS, 2 * peakLatencyMs)",
                "peakLatencyMs",
                "asked again after"
            },
            {
                POLL_POLICIES,
                "coldstart/LocalAgentPollPolicy.java",
                "uniform(MIN_IDLE_TIMEOUT_MS, MAX",
                "uniform(minBackoffMs, MAX",
                "an idle timeout of"
            },
            {
                POLL_POLICIES,
                "coldstart/LocalAgentPollPolicy.java",
                "Math.min(retryWindowMs, BACKOFF_MULTIPLIER",
                "Math.max(retryWindowMs, BACKOFF_MULTIPLIER",
                "a delay of"
            },
            {
                POLL_POLICIES,
                "coldstart/SharedServicePollPolicy.java",
                "        lastTimeoutMs = Math.min(lastTimeoutMs, timeoutMs);\n",
                "",
                "after the last"
            },
            {
                POLL_POLICIES,
                "coldstart/SharedServicePollPolicy.java",
                "return nextDelayMs(0);",
                "return nextDelayMs(lastTimeoutMs);",
                "after the last"
            },
            {
                POLL_POLICIES,
                "coldstart/SharedServicePollPolicy.java",
                "(0.5 + random",
                "(0.3 + random",
                "of intervals of"
            },
            {
                POLL_POLICIES,
                "coldstart/SharedServicePollPolicy.java",
                "Math.min(config.maxResponseTimeoutMs(), TIMEOUT_MULTIPLIER * responseTimeoutMs)",
                "TIMEOUT_MULTIPLIER * responseTimeoutMs",
                "a response timeout of"
            },
            {
                POLL_POLICIES,
                "coldstart/SharedServicePollPolicy.java",
                "Math.min(config.maxBackoffMs(), BACKOFF_MULTIPLIER * backoffMs)",
                "BACKOFF_MULTIPLIER * backoffMs",
                "a delay of"
            },
            {
                POLL_POLICIES,
                "coldstart/SharedServicePollPolicy.java",
                "        backoffMs = MIN_DELAY_MS;\n",
                "        backoffMs = 4 * MIN_DELAY_MS;\n",
                "a long pause"
            },
            {
                POLL_POLICIES,
                "coldstart/ReadinessPolicy.java",
                "usableServers > 0 || !complete &&",
                "usableServers > 0 ||",
                "an empty list"
            },
            {
                POLL_POLICIES,
                "coldstart/ReadinessPolicy.java",
                "!complete && knownServers > 0;",
                "!complete;",
                "ready by an update without servers"
            },
            {
                POLL_POLICIES,
                "coldstart/ReadinessPolicy.java",
                "knownServers > 0 ? cachedEndpointsTimeoutMs : noEndpointsTimeoutMs;",
                "knownServers > 0 ? 2 * noEndpointsTimeoutMs : noEndpointsTimeoutMs;",
                "ready only after"
            },
        };
    }
}
