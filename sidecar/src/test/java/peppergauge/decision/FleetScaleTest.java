package peppergauge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static peppergauge.decision.ScriptedLoadBalancer.only;
import static peppergauge.decision.ScriptedLoadBalancer.sentTo;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.CancelAttempt;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RejectRequest;
import peppergauge.decision.LoadBalancer.RequestArrived;
import peppergauge.decision.LoadBalancer.RetryBudgetConfig;
import peppergauge.decision.LoadBalancer.Rules;
import peppergauge.decision.LoadBalancer.SendAttempt;
import peppergauge.decision.LoadBalancer.Settings;

/** The retry budget, and what holds at any number of instances. */
class FleetScaleTest {

    private static Settings settings(
            int instances,
            boolean healthChecks,
            boolean costly,
            boolean removalForbidsSends,
            RetryBudgetConfig budget,
            List<LoadField> fields) {
        return new Settings(
                0,
                instances,
                0,
                1,
                false,
                1,
                List.of(
                        ScriptedLoadBalancer.IDEMPOTENT,
                        ScriptedLoadBalancer.IDEMPOTENCY_KEY,
                        ScriptedLoadBalancer.NON_IDEMPOTENT),
                List.of(),
                new Limits(4, false, true, healthChecks, true, 1500, costly, 60_000),
                new Rules(0.12, 24_000, 2.5, 3_000, removalForbidsSends, budget),
                fields);
    }

    private static ScriptedLoadBalancer budgeted(RetryBudgetConfig budget) {
        ScriptedLoadBalancer s = new ScriptedLoadBalancer(settings(3, false, false, true, budget, List.of()), 5);
        s.list(true, ScriptedLoadBalancer.servers(30));
        return s;
    }

    private static String retryAfterFailure(ScriptedLoadBalancer s, String id, Outcome first) {
        return sentTo(s.end(id, 0, sentTo(s.request(id, 0)), first, 1));
    }

    @Test
    void retriesStopAtTheBudgetAndResumeAfterTheWindow() {
        ScriptedLoadBalancer s = budgeted(new RetryBudgetConfig(2, 0, 5_000));
        assertNotNull(retryAfterFailure(s, "a", Outcome.UNREACHABLE));
        assertNotNull(retryAfterFailure(s, "b", Outcome.UNREACHABLE));
        assertNull(retryAfterFailure(s, "c", Outcome.UNREACHABLE));
        s.pass(5_000);
        assertNull(retryAfterFailure(s, "d", Outcome.UNREACHABLE), "the window's edge counts");
        s.pass(1);
        assertNotNull(retryAfterFailure(s, "e", Outcome.UNREACHABLE));
    }

    @Test
    void arrivedRequestsEarnRetriesIncludingRejectedOnes() {
        ScriptedLoadBalancer s = budgeted(new RetryBudgetConfig(0, 0.25, 5_000));
        for (int i = 0; i < 3; i++) {
            s.give(new RequestArrived("refused" + i, 0, 0, 0, false));
        }
        assertNotNull(retryAfterFailure(s, "a", Outcome.UNREACHABLE), "four requests allow one retry");
        assertNull(retryAfterFailure(s, "b", Outcome.UNREACHABLE), "five requests allow no second retry");
    }

    @Test
    void anAttemptThatWasNeverSentDoesNotCountAgainstTheBudget() {
        ScriptedLoadBalancer s = budgeted(new RetryBudgetConfig(1, 0, 5_000));
        String second = retryAfterFailure(s, "a", Outcome.UNREACHABLE);
        s.end("a", 1, second, Outcome.NEVER_SENT, 0);
        assertTrue(
                only(SendAttempt.class, s.actions).size() >= 3,
                "the attempt that was never sent was given back to the budget");
    }

    @Test
    void invalidBudgetsNameTheField() {
        assertTrue(assertThrows(IllegalArgumentException.class, () -> new RetryBudgetConfig(-1, 0, 1))
                .getMessage()
                .contains("extraFree"));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> new RetryBudgetConfig(1, Double.NaN, 1))
                .getMessage()
                .contains("resendRatio"));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> new RetryBudgetConfig(1, 0, 0))
                .getMessage()
                .contains("budgetWindowMs"));
    }

    @Test
    void aDrainingServerThatIsRemovedStaysDrainingIfRemovalPermitsSends() {
        ScriptedLoadBalancer s =
                new ScriptedLoadBalancer(settings(3, false, false, false, RetryBudgetConfig.UNLIMITED, List.of()), 5);
        s.list(true, ScriptedLoadBalancer.servers(2));
        String busy = sentTo(s.request("hold", 0));
        int number = Integer.parseInt(busy.substring(1));
        s.list(false, List.of(new Endpoint(busy, number, number, EndpointState.DRAINING, 0)));
        s.list(false, List.of(new Endpoint(busy, number, number, EndpointState.REMOVED, 0)));
        s.end("hold", 0, busy, Outcome.SUCCESS, 20);
        for (int i = 0; i < 50; i++) {
            assertNotEquals(busy, s.serve("r" + i, 20));
        }
    }

    @Test
    void removedServersStayInUseIfRemovalPermitsSends() {
        ScriptedLoadBalancer s =
                new ScriptedLoadBalancer(settings(3, false, false, false, RetryBudgetConfig.UNLIMITED, List.of()), 5);
        s.list(true, ScriptedLoadBalancer.servers(3));
        s.serve("w", 20);
        s.list(true, List.of());
        assertNotNull(sentTo(s.request("a", 0)));
    }

    @Test
    void manyInstancesTogetherStayWithinTheWarmUpBudgetOfAFleetThatStartedAtOnce() {
        double capacity = 0.12 + 0.88 * 5 / 24;
        for (boolean costly : new boolean[] {false, true}) {
            // With one request each, every tenth instance has twenty times the others' requests.
            for (int requestsEach : new int[] {1, 20}) {
                int[] sent = sentToWarmingUp(400, costly ? 60 : 20, costly, requestsEach);
                int asked = 0;
                for (int b = 0; b < 400; b++) {
                    asked += requestCount(b, requestsEach);
                }
                double share = Arrays.stream(sent).sum() / (double) asked;
                assertTrue(share < 2.5 * capacity, "a fleet that started together got " + share);
                assertTrue(share > (costly ? 0.6 : 1) * capacity, "servers that warm up are left unused: " + share);
                // Shares and subsets are random: three standard deviations are allowed.
                double bears = 2.5 * capacity * asked / sent.length;
                double most = Arrays.stream(sent).max().getAsInt();
                assertTrue(
                        most <= bears + 3 * Math.sqrt(bears) + 3,
                        "one of them got " + most + ", costly connections " + costly);
            }
        }
    }

    private static int requestCount(int instance, int each) {
        return each > 1 || instance % 10 == 0 ? 20 : each;
    }

    /** Requests that each of the servers, all of which started 5 s ago, gets from all instances. */
    private static int[] sentToWarmingUp(int instances, int servers, boolean costly, int requestsEach) {
        int[] sent = new int[servers];
        for (int b = 0; b < instances; b++) {
            ScriptedLoadBalancer s = new ScriptedLoadBalancer(
                    settings(instances, false, costly, true, RetryBudgetConfig.UNLIMITED, List.of()), b);
            List<Endpoint> entries = new ArrayList<>();
            for (int k = 0; k < servers; k++) {
                entries.add(new Endpoint("s" + k, 0, 0, EndpointState.READY, s.nowMs - 5_000));
            }
            s.list(true, entries);
            for (int i = 0; i < requestCount(b, requestsEach); i++) {
                String server = s.serve("r" + i, 1);
                if (server != null) {
                    sent[Integer.parseInt(server.substring(1))]++;
                }
            }
        }
        return sent;
    }

    /** A server without a report counts as a mean one of its kind, not as idle. */
    @Test
    void aServerThatReportedToBeIdleIsPreferredToOnesWithoutReports() {
        ScriptedLoadBalancer s = new ScriptedLoadBalancer(
                settings(100, true, false, false, RetryBudgetConfig.UNLIMITED, List.of(LoadField.IN_FLIGHT)), 5);
        s.list(true, ScriptedLoadBalancer.servers(20));
        for (int i = 0; i < 60; i++) {
            serveWithReport(s, "w" + i, 4);
        }
        for (int i = 0; i < 10; i++) {
            s.pass(1_000);
            for (int k = 0; k < 6; k++) {
                serveWithReport(s, "k" + i + "-" + k, 4);
            }
            String idle = serveWithReport(s, "i" + i, 0);
            assertEquals(idle, serveWithReport(s, "n" + i, 4));
        }
    }

    /** With a few requests a second an instance sends too little to each of 100 servers to learn its speed. */
    @Test
    void theSpeedOfAMachineKindIsLearnedFromAFewServers() {
        ScriptedLoadBalancer s = new ScriptedLoadBalancer(
                settings(
                        100,
                        true,
                        false,
                        false,
                        RetryBudgetConfig.UNLIMITED,
                        List.of(LoadField.IN_FLIGHT, LoadField.LATENCY_MS)),
                5);
        List<Endpoint> entries = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            entries.add(new Endpoint("s" + i, 0, 0, EndpointState.READY, 0, i % 2));
        }
        s.list(true, entries);
        int slow = 0;
        for (int i = 0; i < 80; i++) {
            String server = sentTo(s.request("r" + i, 0));
            boolean odd = Integer.parseInt(server.substring(1)) % 2 == 1;
            s.pass(odd ? 40 : 20);
            s.give(new AttemptEnded(
                    "r" + i, 0, server, Outcome.SUCCESS, odd ? 40 : 20, true, new double[] {0, odd ? 36 : 18}));
            slow += i >= 30 && odd ? 1 : 0;
        }
        assertTrue(slow <= 5, slow + " of 50 went to the slow kind");
    }

    /** The least limits of all servers together would overload the fleet after a mass restart. */
    @Test
    void requestsInFlightAtAllMembersTogetherAreLimited() {
        ScriptedLoadBalancer s = partialSubset(60, 100);
        int sent = s.sentOfBurst(60);
        assertEquals(4, sent);
    }

    /** The instance limit follows the arrivals, not the responses since the start. */
    @Test
    void anInstanceThatWasIdleMaySendItsPresentRate() {
        ScriptedLoadBalancer s = partialSubset(60, 100);
        s.pass(10_000);
        Deque<SendAttempt> out = new ArrayDeque<>();
        s.watcher = answer -> out.addAll(only(SendAttempt.class, answer));
        drive(s, out, 0, 200, 5, 74);
        int rejected = only(RejectRequest.class, s.actions).size();
        assertTrue(rejected <= 40, rejected + " of 200 were rejected");
    }

    /** Clients' retries under overload must not make the subset grow until it has no limit. */
    @Test
    void underOverloadTheSubsetDoesNotGrowAndLessIsSent() {
        ScriptedLoadBalancer s = partialSubset(60, 100);
        Deque<SendAttempt> out = new ArrayDeque<>();
        Set<String> used = new HashSet<>();
        s.watcher = answer -> only(SendAttempt.class, answer).forEach(send -> {
            out.add(send);
            used.add(send.server());
        });
        drive(s, out, 0, 200, 10, 100);
        int members = used.size();
        drive(s, out, 200, 1_200, 5, 700);
        int most = 0;
        for (int i = 1_200; i < 1_500; i++) {
            drive(s, out, i, i + 1, 5, 700);
            most = Math.max(most, out.size());
        }
        assertTrue(used.size() <= members + 4, members + " servers before and " + used.size() + " after");
        assertTrue(most <= 16, most + " in flight under overload");
    }

    /** Sends requests at intervals, and ends attempts that have been open for {@code tookMs}. */
    private static void drive(
            ScriptedLoadBalancer s, Deque<SendAttempt> out, int from, int to, double everyMs, double tookMs) {
        for (int i = from; i < to; i++) {
            s.request("d" + i, 0);
            s.pass(everyMs);
            while (out.size() * everyMs > tookMs || i % 20 == 0 && !out.isEmpty()) {
                SendAttempt oldest = out.remove();
                s.give(new AttemptEnded(oldest.id(), 0, oldest.server(), Outcome.SUCCESS, tookMs, true, new double[] {
                    tookMs / 50, tookMs / 2
                }));
            }
        }
    }

    /** One of many instances with costly connections, which works with a part of the servers. */
    private static ScriptedLoadBalancer partialSubset(int servers, int instances) {
        ScriptedLoadBalancer s = new ScriptedLoadBalancer(
                settings(
                        instances,
                        false,
                        true,
                        true,
                        RetryBudgetConfig.UNLIMITED,
                        List.of(LoadField.IN_FLIGHT, LoadField.LATENCY_MS)),
                5);
        s.list(true, ScriptedLoadBalancer.servers(servers));
        return s;
    }

    /** A server that vanished sends nothing, and the endpoint list follows seconds later. */
    @Test
    void anIdempotentRequestAtAVanishedServerIsRetriedInTimeAndTheServerIsEjected() {
        ScriptedLoadBalancer s = partialSubset(30, 100);
        s.warm(60, 20);
        String gone = sentTo(s.request("a", 0));
        assertTrue(only(CancelAttempt.class, s.pass(140)).isEmpty(), "half of its 300 ms has not passed");
        assertEquals(1, only(CancelAttempt.class, s.pass(15)).size());
        String second = sentTo(s.end("a", 0, gone, Outcome.CANCELLED, 155));
        assertNotNull(second);
        assertNotEquals(gone, second);
        s.end("a", 1, second, Outcome.SUCCESS, 20);
        String single = sentTo(s.request("d", 2));
        assertTrue(only(CancelAttempt.class, s.pass(250)).isEmpty(), "a non-idempotent request stays where it is");
        s.end("d", 0, single, Outcome.SUCCESS, 250);
    }

    @Test
    void underOverloadNoAttemptTimesOutEarly() {
        ScriptedLoadBalancer s = partialSubset(30, 100);
        s.warm(60, 120);
        sentTo(s.request("a", 0));
        assertTrue(only(CancelAttempt.class, s.pass(280)).isEmpty());
    }

    /** A request served in 20 ms by a server that reports {@code others} in flight; returns the server. */
    private static String serveWithReport(ScriptedLoadBalancer s, String id, int others) {
        String server = sentTo(s.request(id, 0));
        s.pass(20);
        s.give(new AttemptEnded(id, 0, server, Outcome.SUCCESS, 20, true, new double[] {others}));
        return server;
    }

    @Test
    void withCostlyConnectionsAnIdleInstanceUsesFewServersAndReplacesFailedOnes() {
        ScriptedLoadBalancer s = new ScriptedLoadBalancer(
                settings(
                        300,
                        false,
                        true,
                        true,
                        RetryBudgetConfig.UNLIMITED,
                        List.of(LoadField.UTILISATION, LoadField.SERVED_PER_S)),
                5);
        s.list(true, ScriptedLoadBalancer.servers(60));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            used.add(s.serve("r" + i, 20));
            s.pass(1_000);
        }
        assertTrue(used.size() <= 8, "used " + used);
        String down = used.iterator().next();
        int later = 0;
        for (int i = 0; i < 60; i++) {
            String server = sentTo(s.request("f" + i, 0));
            Outcome outcome = used.contains(server) ? Outcome.UNREACHABLE : Outcome.SUCCESS;
            String next = sentTo(s.end("f" + i, 0, server, outcome, 5));
            if (next != null) {
                s.end("f" + i, 1, next, used.contains(next) ? Outcome.BROKEN : Outcome.SUCCESS, 5);
            }
            later += used.contains(server) ? 0 : 1;
            s.pass(1_000);
        }
        assertNotNull(down);
        assertTrue(later > 20, "members that failed were not replaced");
    }

    @Test
    void aRequestWhoseServerDiedIsNotRetried() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(3);
        List<LoadBalancer.Action> answer = s.end("a", 0, sentTo(s.request("a", 0)), Outcome.BROKEN, 5);
        assertNull(sentTo(answer));
        assertTrue(
                only(RejectRequest.class, answer).get(0).retryAfterMs() > 300,
                "its client is not asked to return soon");
    }

    @Test
    void errorsAtEveryServerAreNotRetried() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(6);
        for (int i = 0; i < 40; i++) {
            String server = sentTo(s.request("w" + i, 0));
            s.give(new AttemptEnded("w" + i, 0, server, Outcome.ERROR, 2, false, null));
        }
        assertNull(retryAfterFailure(s, "last", Outcome.ERROR));
        assertFalse(only(RejectRequest.class, s.actions).isEmpty());
    }
}
