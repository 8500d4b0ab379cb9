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

/** Tests of the retry budget, and of instances that share their servers with many others. */
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
        ScriptedLoadBalancer scripted = new ScriptedLoadBalancer(settings(3, false, false, true, budget, List.of()), 5);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(30));
        return scripted;
    }

    private static String retryAfterFailure(ScriptedLoadBalancer scripted, String id, Outcome first) {
        return sentTo(scripted.end(id, 0, sentTo(scripted.request(id, 0)), first, 1));
    }

    @Test
    void retriesStopAtBudgetAndResumeAfterWindow() {
        ScriptedLoadBalancer scripted = budgeted(new RetryBudgetConfig(2, 0, 5_000));
        assertNotNull(retryAfterFailure(scripted, "a", Outcome.UNREACHABLE));
        assertNotNull(retryAfterFailure(scripted, "b", Outcome.UNREACHABLE));
        assertNull(retryAfterFailure(scripted, "c", Outcome.UNREACHABLE));
        scripted.advance(5_000);
        assertNull(
                retryAfterFailure(scripted, "d", Outcome.UNREACHABLE),
                "expected the retry at the start of the window to count");
        scripted.advance(1);
        assertNotNull(retryAfterFailure(scripted, "e", Outcome.UNREACHABLE));
    }

    @Test
    void rejectedRequestsCountTowardsRetryBudget() {
        ScriptedLoadBalancer scripted = budgeted(new RetryBudgetConfig(0, 0.25, 5_000));
        for (int i = 0; i < 3; i++) {
            scripted.deliver(new RequestArrived("refused" + i, 0, 0, 0, false));
        }
        assertNotNull(
                retryAfterFailure(scripted, "a", Outcome.UNREACHABLE), "expected four requests to allow one retry");
        assertNull(
                retryAfterFailure(scripted, "b", Outcome.UNREACHABLE),
                "expected five requests to allow no second retry");
    }

    @Test
    void retryThatWasNeverSentIsReturnedToBudget() {
        ScriptedLoadBalancer scripted = budgeted(new RetryBudgetConfig(1, 0, 5_000));
        String second = retryAfterFailure(scripted, "a", Outcome.UNREACHABLE);
        scripted.end("a", 1, second, Outcome.NEVER_SENT, 0);
        assertTrue(
                only(SendAttempt.class, scripted.actions).size() >= 3,
                "expected the retry that was never sent to be returned to the budget");
    }

    @Test
    void invalidBudgetSettingIsNamedInException() {
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
    void removedDrainingServerStaysDrainingIfRemovalPermitsSends() {
        ScriptedLoadBalancer scripted =
                new ScriptedLoadBalancer(settings(3, false, false, false, RetryBudgetConfig.UNLIMITED, List.of()), 5);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(2));
        String busy = sentTo(scripted.request("hold", 0));
        int number = Integer.parseInt(busy.substring(1));
        scripted.updateEndpoints(false, List.of(new Endpoint(busy, number, number, EndpointState.DRAINING, 0)));
        scripted.updateEndpoints(false, List.of(new Endpoint(busy, number, number, EndpointState.REMOVED, 0)));
        scripted.end("hold", 0, busy, Outcome.SUCCESS, 20);
        for (int i = 0; i < 50; i++) {
            assertNotEquals(busy, scripted.serve("r" + i, 20));
        }
    }

    @Test
    void removedServersStayInUseIfRemovalPermitsSends() {
        ScriptedLoadBalancer scripted =
                new ScriptedLoadBalancer(settings(3, false, false, false, RetryBudgetConfig.UNLIMITED, List.of()), 5);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(3));
        scripted.serve("w", 20);
        scripted.updateEndpoints(true, List.of());
        assertNotNull(sentTo(scripted.request("a", 0)));
    }

    @Test
    void manyInstancesStayWithinWarmUpBudgetOfFleetThatStartedTogether() {
        double capacity = 0.12 + 0.88 * 5 / 24;
        for (boolean costly : new boolean[] {false, true}) {
            // With one request each, every tenth instance sends twenty instead.
            for (int requestsEach : new int[] {1, 20}) {
                int[] sent = attemptsPerWarmingUpServer(400, costly ? 60 : 20, costly, requestsEach);
                int requests = 0;
                for (int b = 0; b < 400; b++) {
                    requests += requestCount(b, requestsEach);
                }
                double share = Arrays.stream(sent).sum() / (double) requests;
                assertTrue(
                        share < 2.5 * capacity,
                        "expected a share under " + 2.5 * capacity + " for the whole fleet but was " + share);
                assertTrue(
                        share > (costly ? 0.6 : 1) * capacity,
                        "expected servers that are warming up to be used but their share was " + share);
                // Warm-up shares and subsets are random, so three standard deviations are allowed.
                double budget = 2.5 * capacity * requests / sent.length;
                double maximum = Arrays.stream(sent).max().getAsInt();
                assertTrue(
                        maximum <= budget + 3 * Math.sqrt(budget) + 3,
                        "expected about " + budget + " requests at most but was " + maximum + ", costly is " + costly);
            }
        }
    }

    private static int requestCount(int instance, int requestsEach) {
        return requestsEach > 1 || instance % 10 == 0 ? 20 : requestsEach;
    }

    /** The number of requests from all instances to each server, if all servers have started 5 s ago. */
    private static int[] attemptsPerWarmingUpServer(int instances, int servers, boolean costly, int requestsEach) {
        int[] sent = new int[servers];
        for (int b = 0; b < instances; b++) {
            ScriptedLoadBalancer scripted = new ScriptedLoadBalancer(
                    settings(instances, false, costly, true, RetryBudgetConfig.UNLIMITED, List.of()), b);
            List<Endpoint> entries = new ArrayList<>();
            for (int k = 0; k < servers; k++) {
                entries.add(new Endpoint("s" + k, 0, 0, EndpointState.READY, scripted.nowMs - 5_000));
            }
            scripted.updateEndpoints(true, entries);
            for (int i = 0; i < requestCount(b, requestsEach); i++) {
                String server = scripted.serve("r" + i, 1);
                if (server != null) {
                    sent[Integer.parseInt(server.substring(1))]++;
                }
            }
        }
        return sent;
    }

    /** A server without a load report is assumed to have the mean load of its machine kind, not to be idle. */
    @Test
    void prefersServerReportedAsIdleToServersWithoutReports() {
        ScriptedLoadBalancer scripted = new ScriptedLoadBalancer(
                settings(100, true, false, false, RetryBudgetConfig.UNLIMITED, List.of(LoadField.IN_FLIGHT)), 5);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(20));
        for (int i = 0; i < 60; i++) {
            serveWithReport(scripted, "w" + i, 4);
        }
        for (int i = 0; i < 10; i++) {
            scripted.advance(1_000);
            for (int k = 0; k < 6; k++) {
                serveWithReport(scripted, "k" + i + "-" + k, 4);
            }
            String idle = serveWithReport(scripted, "i" + i, 0);
            assertEquals(idle, serveWithReport(scripted, "n" + i, 4));
        }
    }

    /** With a few requests per second, an instance sends too few to each of 100 servers to learn its speed. */
    @Test
    void learnsSpeedOfMachineKindFromFewServers() {
        ScriptedLoadBalancer scripted = new ScriptedLoadBalancer(
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
        scripted.updateEndpoints(true, entries);
        int slow = 0;
        for (int i = 0; i < 80; i++) {
            String server = sentTo(scripted.request("r" + i, 0));
            boolean isSlow = Integer.parseInt(server.substring(1)) % 2 == 1;
            scripted.advance(isSlow ? 40 : 20);
            scripted.deliver(new AttemptEnded(
                    "r" + i, 0, server, Outcome.SUCCESS, isSlow ? 40 : 20, true, new double[] {0, isSlow ? 36 : 18}));
            slow += i >= 30 && isSlow ? 1 : 0;
        }
        assertTrue(slow <= 5, "expected at most 5 of 50 requests at the slow machine kind but was " + slow);
    }

    /** After a restart of all servers, the minimum limits of the servers together would overload the fleet. */
    @Test
    void limitsRequestsInFlightAtAllMembersTogether() {
        ScriptedLoadBalancer scripted = partialSubset(60, 100);
        int sent = scripted.sendBurst(60);
        assertEquals(4, sent);
    }

    /** The instance limit follows the arrivals, not the responses since the start. */
    @Test
    void instanceLimitFollowsRateAfterIdleTime() {
        ScriptedLoadBalancer scripted = partialSubset(60, 100);
        scripted.advance(10_000);
        Deque<SendAttempt> out = new ArrayDeque<>();
        scripted.watcher = answer -> out.addAll(only(SendAttempt.class, answer));
        drive(scripted, out, 0, 200, 5, 74);
        int rejected = only(RejectRequest.class, scripted.actions).size();
        assertTrue(rejected <= 40, "expected at most 40 rejections of 200 requests but was " + rejected);
    }

    /** Retries by clients under overload must not make the subset grow until the instance limit no longer applies. */
    @Test
    void subsetDoesNotGrowAndRequestsInFlightFallUnderOverload() {
        ScriptedLoadBalancer scripted = partialSubset(60, 100);
        Deque<SendAttempt> out = new ArrayDeque<>();
        Set<String> used = new HashSet<>();
        scripted.watcher = answer -> only(SendAttempt.class, answer).forEach(send -> {
            out.add(send);
            used.add(send.server());
        });
        drive(scripted, out, 0, 200, 10, 100);
        int members = used.size();
        drive(scripted, out, 200, 1_200, 5, 700);
        int maximum = 0;
        for (int i = 1_200; i < 1_500; i++) {
            drive(scripted, out, i, i + 1, 5, 700);
            maximum = Math.max(maximum, out.size());
        }
        assertTrue(
                used.size() <= members + 4,
                "expected at most 4 servers more than " + members + " but was " + used.size());
        assertTrue(maximum <= 16, "expected at most 16 attempts in flight under overload but was " + maximum);
    }

    /** Sends requests at fixed intervals, and ends attempts that have been open for {@code tookMs}. */
    private static void drive(
            ScriptedLoadBalancer scripted, Deque<SendAttempt> out, int from, int to, double everyMs, double tookMs) {
        for (int i = from; i < to; i++) {
            scripted.request("d" + i, 0);
            scripted.advance(everyMs);
            while (out.size() * everyMs > tookMs || i % 20 == 0 && !out.isEmpty()) {
                SendAttempt oldest = out.remove();
                double[] report = {tookMs / 50, tookMs / 2};
                scripted.deliver(
                        new AttemptEnded(oldest.id(), 0, oldest.server(), Outcome.SUCCESS, tookMs, true, report));
            }
        }
    }

    /** Creates one of many instances with costly connections, which uses a subset of the servers. */
    private static ScriptedLoadBalancer partialSubset(int servers, int instances) {
        ScriptedLoadBalancer scripted = new ScriptedLoadBalancer(
                settings(
                        instances,
                        false,
                        true,
                        true,
                        RetryBudgetConfig.UNLIMITED,
                        List.of(LoadField.IN_FLIGHT, LoadField.LATENCY_MS)),
                5);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(servers));
        return scripted;
    }

    /** A server that vanished sends nothing, and the endpoint list is updated only seconds later. */
    @Test
    void retriesIdempotentRequestInTimeIfServerVanished() {
        ScriptedLoadBalancer scripted = partialSubset(30, 100);
        scripted.warmUp(60, 20);
        String vanished = sentTo(scripted.request("a", 0));
        assertTrue(
                only(CancelAttempt.class, scripted.advance(140)).isEmpty(),
                "expected no cancellation before half of 300 ms");
        assertEquals(1, only(CancelAttempt.class, scripted.advance(15)).size());
        String second = sentTo(scripted.end("a", 0, vanished, Outcome.CANCELLED, 155));
        assertNotNull(second);
        assertNotEquals(vanished, second);
        scripted.end("a", 1, second, Outcome.SUCCESS, 20);
        String single = sentTo(scripted.request("d", 2));
        assertTrue(
                only(CancelAttempt.class, scripted.advance(250)).isEmpty(),
                "expected no cancellation of a non-idempotent request");
        scripted.end("d", 0, single, Outcome.SUCCESS, 250);
    }

    @Test
    void noAttemptTimesOutEarlyUnderOverload() {
        ScriptedLoadBalancer scripted = partialSubset(30, 100);
        scripted.warmUp(60, 120);
        sentTo(scripted.request("a", 0));
        assertTrue(only(CancelAttempt.class, scripted.advance(280)).isEmpty());
    }

    /** Serves a request in 20 ms by a server that reports {@code others} requests in flight; returns the server. */
    private static String serveWithReport(ScriptedLoadBalancer scripted, String id, int others) {
        String server = sentTo(scripted.request(id, 0));
        scripted.advance(20);
        scripted.deliver(new AttemptEnded(id, 0, server, Outcome.SUCCESS, 20, true, new double[] {others}));
        return server;
    }

    @Test
    void usesFewServersAndReplacesFailedOnesIfConnectionsAreCostly() {
        ScriptedLoadBalancer scripted = new ScriptedLoadBalancer(
                settings(
                        300,
                        false,
                        true,
                        true,
                        RetryBudgetConfig.UNLIMITED,
                        List.of(LoadField.UTILISATION, LoadField.SERVED_PER_S)),
                5);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(60));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            used.add(scripted.serve("r" + i, 20));
            scripted.advance(1_000);
        }
        assertTrue(used.size() <= 8, "expected at most 8 servers but was " + used);
        String down = used.iterator().next();
        int later = 0;
        for (int i = 0; i < 60; i++) {
            String server = sentTo(scripted.request("f" + i, 0));
            Outcome outcome = used.contains(server) ? Outcome.UNREACHABLE : Outcome.SUCCESS;
            String next = sentTo(scripted.end("f" + i, 0, server, outcome, 5));
            if (next != null) {
                scripted.end("f" + i, 1, next, used.contains(next) ? Outcome.BROKEN : Outcome.SUCCESS, 5);
            }
            later += used.contains(server) ? 0 : 1;
            scripted.advance(1_000);
        }
        assertNotNull(down);
        assertTrue(later > 20, "expected over 20 of 60 requests at new members but was " + later);
    }

    @Test
    void doesNotRetryRequestWhoseServerCrashed() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(3);
        List<LoadBalancer.Action> answer = scripted.end("a", 0, sentTo(scripted.request("a", 0)), Outcome.BROKEN, 5);
        assertNull(sentTo(answer));
        assertTrue(
                only(RejectRequest.class, answer).get(0).retryAfterMs() > 300,
                "expected the Retry-After time to last until the client's deadline");
    }

    @Test
    void doesNotRetryErrorsIfAllServersReturnThem() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(6);
        for (int i = 0; i < 40; i++) {
            String server = sentTo(scripted.request("w" + i, 0));
            scripted.deliver(new AttemptEnded("w" + i, 0, server, Outcome.ERROR, 2, false, null));
        }
        assertNull(retryAfterFailure(scripted, "last", Outcome.ERROR));
        assertFalse(only(RejectRequest.class, scripted.actions).isEmpty());
    }
}
