package peppergauge;

import org.testng.annotations.DataProvider;
import peppergauge.coldstart.PollPolicyLoad;
import peppergauge.invariant.Loads;
import peppergauge.invariant.UnderRandomLoad;
import peppergauge.overload.OverloadControllerLoad;
import peppergauge.request.RequestDispatcherLoad;
import peppergauge.sockets.ClientConnectionsLoad;

/**
 * Requests, overload control, socket limits and poll policies under random load, unchanged and with faults planted in
 * their sources. Not in one of their packages, since it depends on all of them.
 */
public class PlantedFaultsTest extends UnderRandomLoad {

    private static final int SEEDS = 15;
    private static final int SEEDS_FOR_A_FAULT = 25;

    private static final String REQUESTS = "peppergauge.request.RequestDispatcherLoad";
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
            {"requests", (Loads.Load) RequestDispatcherLoad::run, SEEDS},
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
                REQUESTS,
                "request/AttemptLifecycle.java",
                "if (!request.hasResponded()) {\n                requests.respond(",
                "if (request != null) {\n                requests.respond(",
                "a second response"
            },
            {
                REQUESTS,
                "request/RequestLifecycle.java",
                " && request.attemptsInFlight == 0 && !request.hasResponded()",
                " && request.attemptsInFlight == 0",
                "a second response"
            },
            {
                REQUESTS,
                "request/RequestLifecycle.java",
                "            fail(request, false);\n            completeIfDone(request);\n",
                "            fail(request, false);\n",
                "completed requests are still open"
            },
            {
                REQUESTS,
                "request/AttemptLifecycle.java",
                "if (attempt.state != Attempt.State.IN_FLIGHT) {",
                "if (attempt.state == Attempt.State.STREAMING_RESPONSE) {",
                "more ends than attempts"
            },
            {
                REQUESTS,
                "request/AttemptLifecycle.java",
                "        inFlight.remove(attempt);\n",
                "",
                "attempts of completed requests"
            },
            {REQUESTS, "request/RequestAdmission.java", "requests.isKnown(id) || ", "", "one id for two open requests"},
            {
                REQUESTS,
                "request/RequestLifecycle.java",
                "request.hasResponded() && request.attemptsInFlight == 0 && open.remove",
                "request.hasResponded() && open.remove",
                "attempts of completed requests"
            },
            {
                REQUESTS,
                "request/RequestLifecycle.java",
                "        request.attempts.forEach(attempts::cancelIfUnsent);\n",
                "",
                "a first byte for"
            },
            {
                REQUESTS,
                "request/AttemptLifecycle.java",
                "        if (request == null || request.hasResponded()) {\n            return;",
                "        if (request == null) {\n            return;",
                "an attempt for"
            },
            {
                REQUESTS,
                "request/AttemptLifecycle.java",
                "Math.min(now + action.timeoutMs(), requestDeadlineMs)",
                "now + action.timeoutMs()",
                "after the deadline of"
            },
            {
                REQUESTS,
                "request/RequestLifecycle.java",
                "scheduler.schedule(incoming.deadlineMs() - now,",
                "scheduler.schedule(incoming.deadlineMs() - now + 20,",
                "no response by its deadline"
            },
            {REQUESTS, "request/RequestAdmission.java", "submitted.get() > 0 || ", "", "idle while responses are owed"},
            {
                REQUESTS,
                "request/RequestDispatcher.java",
                "!admission.hasPending() && !requests.hasOpen()",
                "!admission.hasPending()",
                "idle while responses are owed"
            },
            {
                REQUESTS,
                "request/RequestAdmission.java",
                "            overload.queue().addNew(id, pending);\n",
                "",
                "no response by its deadline"
            },
            {
                REQUESTS,
                "request/IdleCallbacks.java",
                "        callbacks.add(callback);\n",
                "        callbacks.clear();\n        callbacks.add(callback);\n",
                "a callback did not run"
            },
            {
                REQUESTS,
                "request/AttemptLifecycle.java",
                "            endLater(attempt, Outcome.BROKEN);\n",
                "",
                "waits for an attempt that cannot end"
            },
            {REQUESTS, "request/AttemptLifecycle.java", "        attempt.exchange = UNSENT;\n", "", "exchange\" is null"
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
                "the admitted share is out of bounds"
            },
            {
                OVERLOAD,
                "overload/PriorityAdmission.java",
                "(shedSinceTrial[priority] + 1) % TRIAL_INTERVAL",
                "shedSinceTrial[priority] + 1",
                "no trial"
            },
            {OVERLOAD, "overload/PriorityHistogram.java", "        total /= 2;\n", "", "the sum of the levels"},
            {
                OVERLOAD,
                "overload/EventLoopLatency.java",
                "earliestArrivalMs = selectReturnedMs;\n" + "        }\n" + "        roundEndedMs",
                "earliestArrivalMs = nowMs + 1;\n" + "        }\n" + "        roundEndedMs",
                "after it was read"
            },
            {
                OVERLOAD,
                "overload/RetryAfter.java",
                "Math.min(upperBoundMs, remainingMs)",
                "upperBoundMs",
                "Retry-After delay out of range"
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
                        + "     * Selects the connection to close for a new one",
                "        }\n" + "    }\n" + "\n" + "    /**\n" + "     * Selects the connection to close for a new one",
                "\"idleClass\""
            },
            {
                CLIENTS,
                "sockets/SocketLimit.java",
                "closedThisRound.getAndSet(0)",
                "closedThisRound.get()",
                "more sockets are free than the limit"
            },
            {
                CLIENTS,
                "sockets/ClientConnections.java",
                "        sockets.onSocketClosed();\n",
                "        sockets.onSocketClosed();\n" + "        sockets.onSocketClosed();\n",
                "closed twice"
            },
            {
                CLIENTS,
                "sockets/ClientConnections.java",
                "for (EvictableConnection spare = eviction.nextSurplus",
                "onClosed(connection); for (EvictableConnection spare = eviction.nextSurplus",
                "ended twice"
            },
            {
                REQUESTS,
                "request/RecentRequestIds.java",
                "if (ids.size() > limit) {",
                "if (ids.isEmpty()) {",
                "without bound"
            },
            {
                POLL_POLICIES,
                "coldstart/LocalAgentPollPolicy.java",
                "RESPONSE_TIMEOUT_SHARE = 0.55",
                "RESPONSE_TIMEOUT_SHARE = 1.4",
                "a call started only after"
            },
            {
                POLL_POLICIES,
                "coldstart/LocalAgentPollPolicy.java",
                "MAX_IDLE_TIMEOUT_MS = 2_900",
                "MAX_IDLE_TIMEOUT_MS = 3_200",
                "expected by 3100.0"
            },
            {
                POLL_POLICIES,
                "coldstart/LocalAgentPollPolicy.java",
                "        peakLatencyMs *= DECAY_PER_SUCCESS;\n",
                "",
                "the response timeout is still extended"
            },
            {
                POLL_POLICIES,
                "coldstart/LocalAgentPollPolicy.java",
                "Math.max(latencyMs, DECAY_PER_RESPONSE",
                "Math.min(latencyMs, DECAY_PER_RESPONSE",
                "ms after a latency of"
            },
            {
                POLL_POLICIES,
                "coldstart/LocalAgentPollPolicy.java",
                "Math.max(OVERLOADED_LATENCY_MS, 2 * peakLatencyMs)",
                "peakLatencyMs",
                "ms after a latency of"
            },
            {
                POLL_POLICIES,
                "coldstart/LocalAgentPollPolicy.java",
                "uniform(MIN_IDLE_TIMEOUT_MS, MAX",
                "uniform(minBackoffMs, MAX",
                "idle timeout out of range"
            },
            {
                POLL_POLICIES,
                "coldstart/LocalAgentPollPolicy.java",
                "Math.min(retryWindowMs, BACKOFF_MULTIPLIER",
                "Math.max(retryWindowMs, BACKOFF_MULTIPLIER",
                "backoff out of range"
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
            {POLL_POLICIES, "coldstart/SharedServicePollPolicy.java", "(0.5 + random", "(0.3 + random", "call interval"
            },
            {
                POLL_POLICIES,
                "coldstart/SharedServicePollPolicy.java",
                "Math.min(config.maxResponseTimeoutMs(), TIMEOUT_MULTIPLIER * responseTimeoutMs)",
                "TIMEOUT_MULTIPLIER * responseTimeoutMs",
                "response timeout out of range"
            },
            {
                POLL_POLICIES,
                "coldstart/SharedServicePollPolicy.java",
                "Math.min(config.maxBackoffMs(), BACKOFF_MULTIPLIER * backoffMs)",
                "BACKOFF_MULTIPLIER * backoffMs",
                "backoff out of range"
            },
            {
                POLL_POLICIES,
                "coldstart/SharedServicePollPolicy.java",
                "        backoffMs = MIN_DELAY_MS;\n",
                "        backoffMs = 4 * MIN_DELAY_MS;\n",
                "a long delay"
            },
            {
                POLL_POLICIES,
                "coldstart/ReadinessPolicy.java",
                "usableServers > 0 || !complete &&",
                "usableServers > 0 ||",
                "ready after an empty list"
            },
            {
                POLL_POLICIES,
                "coldstart/ReadinessPolicy.java",
                "!complete && knownServers > 0;",
                "!complete;",
                "ready after an update without servers"
            },
            {
                POLL_POLICIES,
                "coldstart/ReadinessPolicy.java",
                "knownServers > 0 ? cachedEndpointsTimeoutMs : noEndpointsTimeoutMs;",
                "knownServers > 0 ? 2 * noEndpointsTimeoutMs : noEndpointsTimeoutMs;",
                "readiness timeout out of range"
            },
        };
    }
}
