package peppergauge.coldstart;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Checks the policy against random sequences of failed calls, in virtual time. The agent becomes reachable at a random
 * time of a sequence: calls that start from then on get a response immediately, calls in flight do not. The properties
 * bound the time from the agent's return to the start of the next call.
 */
class LocalAgentPollPolicyPropertiesTest {

    /** Updates that an idle watch missed, or that were due during failed calls, must be received within this time. */
    private static final double UPDATE_DEADLINE_MS = 6_000;
    /** The shortest drain grace of the known sites. */
    private static final double DRAIN_GRACE_MS = 750;
    /** The event loop checks timeouts once in this interval. */
    private static final double SELECT_INTERVAL_MS = 20;
    /** Maximum time to connect, to receive the response, and to pass it to the load balancer. */
    private static final double RESPONSE_MS = 50;
    /** The longest outage for which {@link #DRAIN_GRACE_MS} applies; an idle watch in it was idle for 2.5 s. */
    private static final double MAX_OUTAGE_MS = 8_000;
    /** How long a process may be stalled between reading its clock and writing. */
    private static final double STALL_MS = 150;
    /** Additional tolerance of each limit on sockets. */
    private static final double SOCKET_TOLERANCE_MS = 50;

    /** How a call fails. */
    enum CallFailure {
        REFUSED,
        NEVER_CONNECTED,
        CONNECTED_LATE_WITHOUT_RESPONSE,
        NO_RESPONSE,
        RESET_BEFORE_HEAD,
        RESET_AFTER_HEAD,
        HEAD_ONLY,
        RESET_WITHIN_UPDATE,
        IDLE_WITHIN_UPDATE;

        /** Whether part of the response is received, so that the idle timeout applies from its last byte on. */
        boolean startsIdleTimeout() {
            return this == HEAD_ONLY || this == IDLE_WITHIN_UPDATE;
        }

        /** Whether the agent ends the call. */
        boolean isEndedByAgent() {
            return this == REFUSED
                    || this == RESET_BEFORE_HEAD
                    || this == RESET_AFTER_HEAD
                    || this == RESET_WITHIN_UPDATE;
        }
    }

    /** A failed call; {@code lastActivityMs} is the time of its last byte, or of its end by the agent. */
    private record FailedCall(CallFailure failure, double startMs, double lastActivityMs, double nextCallMs) {}

    /** A client whose calls fail one after the other. */
    private static final class Client {

        private final LocalAgentPollPolicy policy;
        private double nowMs;

        /** Its watch was open and is lost at 0, by idleness or otherwise. */
        Client(long seed, boolean isIdle) {
            policy = new LocalAgentPollPolicy(seed);
            policy.responseTimeoutMs();
            double idleTimeoutMs = policy.idleTimeoutMs();
            policy.onSuccess();
            nowMs = isIdle
                    ? idleTimeoutMs + SELECT_INTERVAL_MS + policy.delayAfterTimeoutMs()
                    : policy.delayAfterFailureMs();
        }

        /** @param share the share of the applicable timeout after which a part of the response is received */
        FailedCall call(CallFailure failure, double share) {
            double startMs = nowMs;
            double responseTimeoutMs = policy.responseTimeoutMs();
            double headMs = startMs + share * responseTimeoutMs;
            if (failure == CallFailure.NO_RESPONSE
                    || failure == CallFailure.NEVER_CONNECTED
                    || failure == CallFailure.CONNECTED_LATE_WITHOUT_RESPONSE) {
                // One timeout covers connecting and the response; the event loop checks each once an interval.
                nowMs += responseTimeoutMs + 2 * SELECT_INTERVAL_MS + policy.delayAfterTimeoutMs();
                return new FailedCall(failure, startMs, startMs, nowMs);
            }
            if (failure.startsIdleTimeout()) {
                nowMs = headMs + policy.idleTimeoutMs() + SELECT_INTERVAL_MS + policy.delayAfterTimeoutMs();
                return new FailedCall(failure, startMs, headMs, nowMs);
            }
            boolean hasHead = failure == CallFailure.RESET_AFTER_HEAD || failure == CallFailure.RESET_WITHIN_UPDATE;
            double endMs = headMs + (hasHead ? share * policy.idleTimeoutMs() : 0);
            nowMs = endMs + policy.delayAfterFailureMs();
            return new FailedCall(failure, startMs, endMs, nowMs);
        }
    }

    /**
     * Covers a watch that is lost right before servers drain. When a call was abandoned before the next one was made,
     * with delays that doubled up to 2.9 s, the next call started up to 3.1 s after the agent's return.
     */
    @Property(seed = "11", tries = 5_000)
    void callsWithinShortestDrainGraceOfReturn(
            @ForAll long seed,
            @ForAll boolean isIdle,
            @ForAll @Size(min = 1, max = 40) List<CallFailure> failures,
            @ForAll @DoubleRange(max = 1) double share,
            @ForAll @DoubleRange(max = 1) double returnShare) {
        CallFailure first = failures.get(0).startsIdleTimeout() ? CallFailure.NO_RESPONSE : failures.get(0);
        double firstUpdateMs = new Client(seed, false).call(first, 0).nextCallMs() + RESPONSE_MS;
        assertTrue(
                firstUpdateMs <= DRAIN_GRACE_MS, first + ": expected an update in time, was " + firstUpdateMs + " ms");
        Client client = new Client(seed, isIdle);
        for (CallFailure failure : failures) {
            FailedCall call = client.call(failure, share);
            // The agent may return at any time of the call or of the delay after it.
            double returnMs = call.startMs() + returnShare * (call.nextCallMs() - call.startMs());
            if (returnMs > MAX_OUTAGE_MS) {
                return;
            }
            if (call.failure().startsIdleTimeout()) {
                double updateMs = call.nextCallMs() - call.lastActivityMs() + RESPONSE_MS;
                assertTrue(
                        updateMs <= UPDATE_DEADLINE_MS,
                        call + ": expected an update in time after the last byte, was " + updateMs + " ms");
            } else {
                // A call that the agent ends after its return is retried from the end of the call on.
                double fromMs = call.failure().isEndedByAgent() ? Math.max(returnMs, call.lastActivityMs()) : returnMs;
                double updateMs = call.nextCallMs() - fromMs + RESPONSE_MS;
                assertTrue(
                        updateMs <= DRAIN_GRACE_MS,
                        call + ": expected an update in time after the return, was " + updateMs + " ms");
            }
        }
    }

    /** The process is stalled between the end of a delay and the call, or before it processes the update. */
    @Property(seed = "15", tries = 1_000)
    void callsWithinDrainGraceDespiteStalledProcess(
            @ForAll long seed,
            @ForAll @DoubleRange(min = 400, max = 2_000) double drainGraceMs,
            @ForAll @Size(min = 1, max = 20) List<CallFailure> failures) {
        LocalAgentPollPolicy policy = new LocalAgentPollPolicy(seed, drainGraceMs);
        for (CallFailure failure : failures) {
            double nextCallMs = failure.isEndedByAgent()
                    ? policy.delayAfterFailureMs()
                    : policy.responseTimeoutMs() + SELECT_INTERVAL_MS + policy.delayAfterTimeoutMs();
            double updateMs = nextCallMs + STALL_MS + RESPONSE_MS;
            assertTrue(
                    updateMs <= drainGraceMs + SOCKET_TOLERANCE_MS,
                    failure + ": expected an update within " + drainGraceMs + " ms, was " + updateMs);
        }
    }

    /** Covers outages longer than {@link #MAX_OUTAGE_MS}. */
    @Property(seed = "12", tries = 1_000)
    void callsInTimeAfterAnyPreviousCalls(
            @ForAll long seed,
            @ForAll boolean isIdle,
            @ForAll @Size(max = 8) List<CallFailure> before,
            @ForAll @IntRange(max = 60) int callsWithoutResponse,
            @ForAll @Size(min = 1, max = 8) List<CallFailure> failures,
            @ForAll @DoubleRange(max = 1) double share) {
        Client client = new Client(seed, isIdle);
        before.forEach(failure -> client.call(failure, share));
        for (int i = 0; i < callsWithoutResponse; i++) {
            client.call(CallFailure.NO_RESPONSE, 0);
        }
        for (CallFailure failure : failures) {
            FailedCall call = client.call(failure, share);
            double updateMs = call.nextCallMs() - call.startMs() + RESPONSE_MS;
            // After the deadline, a draining server may still receive requests for the drain grace.
            assertTrue(
                    updateMs <= UPDATE_DEADLINE_MS + DRAIN_GRACE_MS + SOCKET_TOLERANCE_MS,
                    call + ": expected an update in time after its start, was " + updateMs + " ms");
        }
    }

    /** Calls without a response have the longest timeouts. */
    @Property(seed = "13", tries = 200)
    void callsInTimeAfterLongOutageWithoutResponses(@ForAll long seed) {
        Client client = new Client(seed, true);
        for (int i = 0; i < 200; i++) {
            FailedCall call = client.call(CallFailure.NO_RESPONSE, 0);
            double updateMs = call.nextCallMs() - call.startMs() + RESPONSE_MS;
            assertTrue(updateMs <= UPDATE_DEADLINE_MS, "after " + i + " calls: expected an update in time: " + call);
        }
    }

    /** An open watch becomes idle, and the response to the next call is incomplete. */
    @Property(seed = "14", tries = 1_000)
    void callsWithinDrainGraceAfterIdleWatchAndIncompleteResponse(
            @ForAll long seed, @ForAll @DoubleRange(max = 1) double share) {
        Client client = new Client(seed, true);
        double updateMs = client.call(CallFailure.HEAD_ONLY, share).nextCallMs() + RESPONSE_MS;
        assertTrue(
                updateMs <= UPDATE_DEADLINE_MS + DRAIN_GRACE_MS + SOCKET_TOLERANCE_MS,
                "expected an update in time, was " + updateMs + " ms");
    }
}
