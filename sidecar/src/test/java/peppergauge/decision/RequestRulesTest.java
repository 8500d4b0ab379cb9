package peppergauge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static peppergauge.decision.ScriptedLoadBalancer.only;
import static peppergauge.decision.ScriptedLoadBalancer.sentTo;

import java.util.List;
import org.junit.jupiter.api.Test;
import peppergauge.decision.LoadBalancer.Action;
import peppergauge.decision.LoadBalancer.ClientDisconnected;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.FailRequest;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RejectRequest;
import peppergauge.decision.LoadBalancer.RequestArrived;
import peppergauge.decision.LoadBalancer.SendAttempt;
import peppergauge.decision.LoadBalancer.TimerFired;

/** Tests of the rules for final answers, retries and endpoints in edge cases. */
class RequestRulesTest {

    private static int finalAnswerCount(List<Action> actions) {
        return only(RejectRequest.class, actions).size()
                + only(FailRequest.class, actions).size();
    }

    @Test
    void requestWithoutResponseGetsOneFinalAnswerByDeadline() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(3);
        scripted.request("a", 2);
        scripted.request("b", 0);
        scripted.advance(800);
        assertEquals(2, finalAnswerCount(scripted.actions));
        scripted.advance(5_000);
        assertEquals(2, finalAnswerCount(scripted.actions));
    }

    @Test
    void rejectsRequestWithoutServers() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(0);
        scripted.request("a", 0);
        assertEquals(1, finalAnswerCount(scripted.advance(300)));
    }

    @Test
    void rejectsRequestWithZeroTimeoutAtOnce() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(3);
        List<Action> answer = scripted.deliver(new RequestArrived("a", 0, 0, 0, false));
        assertEquals(1, only(RejectRequest.class, answer).size());
        assertNull(sentTo(answer));
    }

    @Test
    void sendsNothingAfterFinalAnswer() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(3);
        String server = sentTo(scripted.request("a", 0));
        scripted.advance(799);
        assertEquals(1, finalAnswerCount(scripted.actions));
        List<Action> late = scripted.end("a", 0, server, Outcome.UNREACHABLE, 799);
        assertNull(sentTo(late));
        assertEquals(1, finalAnswerCount(scripted.actions));
    }

    @Test
    void failsNonIdempotentRequestThatMayHaveRun() {
        for (Outcome outcome : List.of(Outcome.BROKEN, Outcome.ERROR, Outcome.TIMED_OUT, Outcome.CANCELLED)) {
            ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(3);
            String server = sentTo(scripted.request("a", 2));
            List<Action> answer = scripted.end("a", 0, server, outcome, 5);
            assertNull(sentTo(answer));
            assertEquals(1, only(FailRequest.class, answer).size(), outcome.name());
            assertTrue(only(RejectRequest.class, scripted.actions).isEmpty());
        }
    }

    @Test
    void retriesNonIdempotentRequestThatNeverRanOnAnotherServer() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(3);
        String server = sentTo(scripted.request("a", 2));
        String other = sentTo(scripted.end("a", 0, server, Outcome.UNREACHABLE, 1));
        assertNotNull(other);
        assertNotEquals(server, other);
    }

    @Test
    void retriesRequestWithIdempotencyKeyWithinKeyScope() {
        for (int i = 0; i < 20; i++) {
            ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(9);
            scripted.nowMs += i;
            String server = sentTo(scripted.request("a", 1));
            String other = sentTo(scripted.end("a", 0, server, Outcome.ERROR, 1));
            assertNotNull(other);
            assertEquals(Integer.parseInt(server.substring(1)) % 3, Integer.parseInt(other.substring(1)) % 3);
            scripted.end("a", 1, other, Outcome.UNREACHABLE, 1);
            scripted.advance(800);
            assertTrue(
                    only(RejectRequest.class, scripted.actions).isEmpty(),
                    "expected no rejection, since the request may have run");
        }
    }

    @Test
    void attemptsStopAtLimit() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(9);
        String server = sentTo(scripted.request("a", 0));
        for (int attempt = 0; server != null; attempt++) {
            server = sentTo(scripted.end("a", attempt, server, Outcome.UNREACHABLE, 1));
        }
        assertEquals(4, only(SendAttempt.class, scripted.actions).size());
        assertEquals(1, finalAnswerCount(scripted.actions));
    }

    @Test
    void drainingOrRemovedServerGetsNoAttempts() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(3);
        scripted.updateEndpoints(false, List.of(new Endpoint("s0", 0, 0, EndpointState.DRAINING, 0)));
        scripted.updateEndpoints(false, List.of(new Endpoint("s1", 1, 1, EndpointState.REMOVED, 0)));
        for (int i = 0; i < 200; i++) {
            assertEquals("s2", scripted.serve("r" + i, 10));
        }
        scripted.updateEndpoints(true, List.of(new Endpoint("s0", 0, 0, EndpointState.READY, 0)));
        assertEquals("s0", scripted.serve("last", 10));
    }

    @Test
    void limitsRequestsToServerThatIsWarmingUp() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(2);
        scripted.warmUp(400, 20);
        scripted.updateEndpoints(false, List.of(new Endpoint("s1", 1, 1, EndpointState.READY, scripted.nowMs)));
        int toWarmingUp = 0;
        double workMs = 0;
        while (workMs < 3_000) {
            toWarmingUp += "s1".equals(scripted.serve("c" + workMs, 20)) ? 1 : 0;
            workMs += 20;
        }
        assertTrue(
                toWarmingUp * 20 < 2.5 * 0.25 * 3_000 / 3,
                "expected less load than the warm-up budget but was " + toWarmingUp + " requests");
    }

    @Test
    void ignoresUnknownIds() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(3);
        assertTrue(scripted.end("nobody", 0, "s0", Outcome.SUCCESS, 3).isEmpty());
        assertTrue(scripted.deliver(new ClientDisconnected("nobody")).isEmpty());
        assertTrue(scripted.deliver(new TimerFired(99_999)).isEmpty());
        scripted.request("a", 0);
        scripted.deliver(new ClientDisconnected("a"));
        scripted.advance(2_000);
        assertEquals(0, finalAnswerCount(scripted.actions));
        assertFalse(scripted.actions.isEmpty());
    }
}
