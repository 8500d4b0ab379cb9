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

/** The rules for final answers, retries and endpoints, with their edge cases. */
class RequestRulesTest {

    private static int finalAnswerCount(List<Action> actions) {
        return only(RejectRequest.class, actions).size()
                + only(FailRequest.class, actions).size();
    }

    @Test
    void aRequestWithoutResponseGetsOneFinalAnswerBeforeItsDeadline() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(3);
        s.request("a", 2);
        s.request("b", 0);
        s.pass(800);
        assertEquals(2, finalAnswerCount(s.actions));
        s.pass(5_000);
        assertEquals(2, finalAnswerCount(s.actions));
    }

    @Test
    void withoutServersARequestIsRejected() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(0);
        s.request("a", 0);
        assertEquals(1, finalAnswerCount(s.pass(300)));
    }

    @Test
    void aZeroTimeoutIsRejectedAtOnce() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(3);
        List<Action> answer = s.give(new RequestArrived("a", 0, 0, 0, false));
        assertEquals(1, only(RejectRequest.class, answer).size());
        assertNull(sentTo(answer));
    }

    @Test
    void nothingIsSentAfterTheFinalAnswer() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(3);
        String server = sentTo(s.request("a", 0));
        s.pass(799);
        assertEquals(1, finalAnswerCount(s.actions));
        List<Action> late = s.end("a", 0, server, Outcome.UNREACHABLE, 799);
        assertNull(sentTo(late));
        assertEquals(1, finalAnswerCount(s.actions));
    }

    @Test
    void aNonIdempotentRequestThatMayHaveRunIsNeitherRetriedNorRejected() {
        for (Outcome outcome : List.of(Outcome.BROKEN, Outcome.ERROR, Outcome.TIMED_OUT, Outcome.CANCELLED)) {
            ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(3);
            String server = sentTo(s.request("a", 2));
            List<Action> answer = s.end("a", 0, server, outcome, 5);
            assertNull(sentTo(answer));
            assertEquals(1, only(FailRequest.class, answer).size(), outcome.name());
            assertTrue(only(RejectRequest.class, s.actions).isEmpty());
        }
    }

    @Test
    void aNonIdempotentRequestThatNeverRanIsRetriedElsewhereAtOnce() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(3);
        String server = sentTo(s.request("a", 2));
        String other = sentTo(s.end("a", 0, server, Outcome.UNREACHABLE, 1));
        assertNotNull(other);
        assertNotEquals(server, other);
    }

    @Test
    void aRequestWithIdempotencyKeyIsRetriedWithinTheScopeOfItsKey() {
        for (int i = 0; i < 20; i++) {
            ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(9);
            s.nowMs += i;
            String server = sentTo(s.request("a", 1));
            String other = sentTo(s.end("a", 0, server, Outcome.ERROR, 1));
            assertNotNull(other);
            assertEquals(Integer.parseInt(server.substring(1)) % 3, Integer.parseInt(other.substring(1)) % 3);
            s.end("a", 1, other, Outcome.UNREACHABLE, 1);
            s.pass(800);
            assertTrue(only(RejectRequest.class, s.actions).isEmpty(), "a rejection would promise that it never ran");
        }
    }

    @Test
    void attemptsStopAtTheLimit() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(9);
        String server = sentTo(s.request("a", 0));
        for (int attempt = 0; server != null; attempt++) {
            server = sentTo(s.end("a", attempt, server, Outcome.UNREACHABLE, 1));
        }
        assertEquals(4, only(SendAttempt.class, s.actions).size());
        assertEquals(1, finalAnswerCount(s.actions));
    }

    @Test
    void aDrainingOrRemovedServerGetsNoAttempts() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(3);
        s.list(false, List.of(new Endpoint("s0", 0, 0, EndpointState.DRAINING, 0)));
        s.list(false, List.of(new Endpoint("s1", 1, 1, EndpointState.REMOVED, 0)));
        for (int i = 0; i < 200; i++) {
            assertEquals("s2", s.serve("r" + i, 10));
        }
        s.list(true, List.of(new Endpoint("s0", 0, 0, EndpointState.READY, 0)));
        assertEquals("s0", s.serve("last", 10));
    }

    @Test
    void aServerThatWarmsUpIsNotOverloaded() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(2);
        s.warm(400, 20);
        s.list(false, List.of(new Endpoint("s1", 1, 1, EndpointState.READY, s.nowMs)));
        int cold = 0;
        double workMs = 0;
        while (workMs < 3_000) {
            cold += "s1".equals(s.serve("c" + workMs, 20)) ? 1 : 0;
            workMs += 20;
        }
        assertTrue(cold * 20 < 2.5 * 0.25 * 3_000 / 3, "sent " + cold);
    }

    @Test
    void unknownIdsAreIgnored() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(3);
        assertTrue(s.end("nobody", 0, "s0", Outcome.SUCCESS, 3).isEmpty());
        assertTrue(s.give(new ClientDisconnected("nobody")).isEmpty());
        assertTrue(s.give(new TimerFired(99_999)).isEmpty());
        s.request("a", 0);
        s.give(new ClientDisconnected("a"));
        s.pass(2_000);
        assertEquals(0, finalAnswerCount(s.actions));
        assertFalse(s.actions.isEmpty());
    }
}
