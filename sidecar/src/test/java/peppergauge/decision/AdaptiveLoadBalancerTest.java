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

import java.util.List;
import org.junit.jupiter.api.Test;
import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.CancelAttempt;
import peppergauge.decision.LoadBalancer.DiscoveryFailed;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.OpenWatch;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RejectRequest;
import peppergauge.decision.LoadBalancer.RequestArrived;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.decision.LoadBalancer.Rules;
import peppergauge.decision.LoadBalancer.SendAttempt;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.decision.LoadBalancer.Tenant;

/** Tests of the whole load balancer against single faults of servers, clients and discovery. */
class AdaptiveLoadBalancerTest {

    private static Settings singleInstance(boolean reports, boolean watch) {
        return singleInstance(reports, watch, ScriptedLoadBalancer.IDEMPOTENT);
    }

    private static Settings singleInstance(boolean reports, boolean watch, RequestClass requestClass) {
        return new Settings(
                0,
                1,
                0,
                1,
                watch,
                0.1,
                List.of(requestClass),
                List.of(),
                new Limits(4, true, true, false, true, 1500, false, 15_000),
                new Rules(0.12, 24_000, 2.5, 3_000, true, LoadBalancer.RetryBudgetConfig.UNLIMITED),
                reports ? List.of(LoadBalancer.LoadField.IN_FLIGHT) : List.of());
    }

    @Test
    void selectsSlowServerLessOften() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(4);
        int slow = 0;
        for (int i = 0; i < 400; i++) {
            String server = sentTo(scripted.request("r" + i, 0));
            double tookMs = server.equals("s0") ? 60 : 20;
            scripted.advance(tookMs);
            scripted.end("r" + i, 0, server, Outcome.SUCCESS, tookMs);
            slow += i >= 100 && server.equals("s0") ? 1 : 0;
        }
        assertTrue(slow < 15, "expected fewer than 15 of 300 attempts at the slow server but was " + slow);
    }

    @Test
    void limitsTrafficToServerThatRejectsQuickly() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(4);
        int failing = 0;
        for (int i = 0; i < 100; i++) {
            String server = sentTo(scripted.request("r" + i, 0));
            for (int attempt = 0; server.equals("s0"); attempt++) {
                failing++;
                scripted.advance(1);
                server = sentTo(scripted.end("r" + i, attempt, server, Outcome.OVERLOADED, 1));
            }
            scripted.advance(20);
            scripted.end("r" + i, failing > 0 ? lastAttempt(scripted) : 0, server, Outcome.SUCCESS, 20);
        }
        assertTrue(failing < 15, "expected fewer than 15 attempts at the rejecting server but was " + failing);
    }

    /** The client determines how long a streamed response takes, so it does not count as load of the server. */
    @Test
    void streamedResponsesDoNotCountTowardsConcurrencyLimit() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(4);
        scripted.warmUp(60, 20);
        for (int i = 0; i < 100; i++) {
            String server = sentTo(scripted.request("streamed" + i, 0));
            scripted.advance(20);
            scripted.deliver(new LoadBalancer.ResponseStarted("streamed" + i, 0));
            assertNotNull(server);
        }
        scripted.advance(5_000);
        for (int i = 0; i < 20; i++) {
            String server = sentTo(scripted.request("r" + i, 0));
            assertNotNull(server, "expected an attempt despite open streamed responses");
            scripted.advance(20);
            scripted.end("r" + i, 0, server, Outcome.SUCCESS, 20);
        }
        // A streamed response that breaks off is counted once, and its request is not retried.
        assertNull(sentTo(scripted.deliver(new AttemptEnded("streamed0", 0, "s0", Outcome.BROKEN, 20, true, null))));
    }

    @Test
    void ejectsServerThatRejectedRequest() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(2);
        scripted.warmUp(60, 50);
        String full = sentTo(scripted.request("a", 0));
        scripted.end("a", 0, full, Outcome.OVERLOADED, 1);
        for (int i = 0; i < 4; i++) {
            assertNotEquals(full, sentTo(scripted.request("b" + i, 0)));
        }
    }

    @Test
    void limitsBurstBeforeLatencyRises() {
        ScriptedLoadBalancer scripted = new ScriptedLoadBalancer(singleInstance(false, false), 3);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(2));
        for (int i = 0; i < 60; i++) {
            int batchSize = 1 + i % 4;
            String[] servers = new String[batchSize];
            for (int k = 0; k < batchSize; k++) {
                servers[k] = sentTo(scripted.request("w" + i + "-" + k, 0));
            }
            scripted.advance(50);
            for (int k = 0; k < batchSize; k++) {
                scripted.end("w" + i + "-" + k, 0, servers[k], Outcome.SUCCESS, 50);
            }
        }
        int sent = scripted.sendBurst(60);
        assertTrue(sent <= 14, "expected at most 14 attempts in flight at two servers but was " + sent);
    }

    private static int lastAttempt(ScriptedLoadBalancer scripted) {
        List<SendAttempt> sends = only(SendAttempt.class, scripted.actions);
        String id = sends.get(sends.size() - 1).id();
        return (int) sends.stream().filter(send -> send.id().equals(id)).count() - 1;
    }

    @Test
    void usesRecoveredServerAgainAfterTrialTraffic() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(3);
        for (int i = 0; i < 200; i++) {
            String server = sentTo(scripted.request("r" + i, 0));
            scripted.advance(5);
            if (server.equals("s0")) {
                server = sentTo(scripted.end("r" + i, 0, server, Outcome.UNREACHABLE, 5));
                scripted.advance(20);
                scripted.end("r" + i, 1, server, Outcome.SUCCESS, 20);
            } else {
                scripted.advance(15);
                scripted.end("r" + i, 0, server, Outcome.SUCCESS, 20);
            }
        }
        scripted.advance(20_000);
        int toRecovered = 0;
        for (int i = 0; i < 300; i++) {
            toRecovered += scripted.serve("b" + i, 20).equals("s0") ? 1 : 0;
        }
        assertTrue(toRecovered > 60, "expected over 60 of 300 attempts at the recovered server but was " + toRecovered);
    }

    @Test
    void errorsAtAllServersMakeNoServerAnOutlier() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(3);
        int[] drawn = new int[3];
        for (int i = 0; i < 300; i++) {
            String server = sentTo(scripted.request("r" + i, 2));
            drawn[Integer.parseInt(server.substring(1))]++;
            scripted.advance(20);
            scripted.end("r" + i, 0, server, i % 2 == 0 ? Outcome.ERROR : Outcome.SUCCESS, 20);
        }
        for (int count : drawn) {
            assertTrue(count > 50, "expected over 50 of 300 attempts at each server but was " + count);
        }
    }

    @Test
    void avoidsSilentServerBeforeItsAttemptsTimeOut() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(2);
        scripted.warmUp(50, 20);
        String silent = sentTo(scripted.request("stuck", 0));
        for (int i = 0; i < 10; i++) {
            assertNotEquals(silent, scripted.serve("r" + i, 20));
        }
    }

    @Test
    void retryAfterLastsUntilClientDeadlineIfClientCannotRetryInTime() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(0);
        scripted.deliver(new RequestArrived("a", 0, 0, 400, false));
        RejectRequest rejection =
                only(RejectRequest.class, scripted.advance(400)).get(0);
        double retryAfterMs = rejection.retryAfterMs();
        assertTrue(retryAfterMs > 400, "expected Retry-After over 400 ms but was " + retryAfterMs);
    }

    /** The third of three pipelined requests was rejected by a service time that nobody had measured yet. */
    @Test
    void keepsPendingRequestBeforeFirstResponse() {
        RequestClass usefulUntilDeadline =
                new RequestClass(400, 1_000, 9, 0.3, Idempotency.NON_IDEMPOTENT, KeyScope.ALL, 0);
        ScriptedLoadBalancer scripted = new ScriptedLoadBalancer(singleInstance(true, false, usefulUntilDeadline), 3);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(1));
        scripted.request("a", 0);
        scripted.request("b", 0);
        assertTrue(only(SendAttempt.class, scripted.request("c", 0)).isEmpty());
        assertTrue(only(RejectRequest.class, scripted.advance(120)).isEmpty());
        List<LoadBalancer.Action> answer = scripted.end("a", 0, "s0", Outcome.SUCCESS, 120);
        assertEquals("c", only(SendAttempt.class, answer).get(0).id());
    }

    @Test
    void sendsNewestPendingRequestFirst() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(1);
        scripted.warmUp(50, 50);
        String first = null;
        for (int i = 0; i < 8; i++) {
            String server = sentTo(scripted.request("r" + i, 0));
            first = first == null ? server : first;
            scripted.advance(1);
        }
        List<LoadBalancer.Action> answer = scripted.end("r0", 0, first, Outcome.SUCCESS, 50);
        assertEquals("r7", only(SendAttempt.class, answer).get(0).id());
    }

    @Test
    void limitsOpenAttemptsPerServer() {
        ScriptedLoadBalancer scripted = new ScriptedLoadBalancer(singleInstance(false, false), 3);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(2));
        scripted.warmUp(40, 20);
        int sent = scripted.sendBurst(50);
        assertTrue(sent <= 8, "expected at most 8 attempts in flight at two servers but was " + sent);
    }

    @Test
    void cancelsAttemptsOnlyIfLoadReportsShowRequestsInFlight() {
        ScriptedLoadBalancer unreported = new ScriptedLoadBalancer(singleInstance(false, false), 3);
        unreported.updateEndpoints(true, ScriptedLoadBalancer.servers(2));
        unreported.request("a", 0);
        unreported.advance(2_000);
        assertTrue(only(CancelAttempt.class, unreported.actions).isEmpty());
        ScriptedLoadBalancer reported = new ScriptedLoadBalancer(singleInstance(true, false), 3);
        reported.updateEndpoints(true, ScriptedLoadBalancer.servers(2));
        reported.request("a", 0);
        reported.advance(2_000);
        assertEquals(1, only(CancelAttempt.class, reported.actions).size());
    }

    @Test
    void attemptTimeoutEndsAtObjectiveIfCancellableElseAtDeadline() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(2);
        assertEquals(
                300, only(SendAttempt.class, scripted.request("safe", 0)).get(0).timeoutMs());
        assertEquals(
                800,
                only(SendAttempt.class, scripted.request("unsafe", 2)).get(0).timeoutMs());
    }

    @Test
    void retryAfterIsShortIfClientCanRetryInTime() {
        ScriptedLoadBalancer scripted = new ScriptedLoadBalancer(singleInstance(false, false), 3);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(1));
        scripted.warmUp(40, 10);
        for (int i = 0; i < 30; i++) {
            scripted.request("r" + i, 0);
        }
        RejectRequest rejection =
                only(RejectRequest.class, scripted.advance(100)).get(0);
        double retryAfterMs = rejection.retryAfterMs();
        assertTrue(retryAfterMs < 100, "expected Retry-After under 100 ms but was " + retryAfterMs);
    }

    @Test
    void sendsRequestsWithinQuotaBeforeRequestsOverQuota() {
        ScriptedLoadBalancer scripted = new ScriptedLoadBalancer(
                ScriptedLoadBalancer.settings(true, true, List.of(new Tenant(1), new Tenant(1_000))), 7);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(1));
        for (int i = 0; i < 30; i++) {
            String server = sentTo(scripted.deliver(new RequestArrived("w" + i, 0, 1, 800, false)));
            scripted.advance(50);
            scripted.end("w" + i, 0, server, Outcome.SUCCESS, 50);
        }
        scripted.deliver(new RequestArrived("share", 0, 0, 800, false));
        for (int i = 0; i < 4; i++) {
            scripted.deliver(new RequestArrived("over" + i, 0, 0, 800, false));
        }
        scripted.deliver(new RequestArrived("within", 0, 1, 800, false));
        scripted.advance(50);
        scripted.end("share", 0, "s0", Outcome.SUCCESS, 50);
        List<String> order = only(SendAttempt.class, scripted.actions).stream()
                .map(SendAttempt::id)
                .toList();
        assertTrue(order.contains("within"));
        assertFalse(order.contains("over3"));
    }

    @Test
    void reopensWatchAfterDiscoveryFailureAndKeepsEndpoints() {
        ScriptedLoadBalancer scripted = new ScriptedLoadBalancer(singleInstance(true, true), 5);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(2));
        assertEquals(1, only(OpenWatch.class, scripted.advance(1_000)).size());
        for (int i = 0; i < 6; i++) {
            scripted.deliver(new DiscoveryFailed());
            assertEquals(1, only(OpenWatch.class, scripted.advance(9_000)).size());
        }
        assertTrue(sentTo(scripted.request("a", 0)) != null);
    }

    @Test
    void sameSeedGivesSameActionsInIndependentInstances() {
        ScriptedLoadBalancer one = ScriptedLoadBalancer.withServers(5);
        ScriptedLoadBalancer two = ScriptedLoadBalancer.withServers(5);
        for (int i = 0; i < 100; i++) {
            one.serve("r" + i, 20 + i % 7);
        }
        for (int i = 0; i < 100; i++) {
            two.serve("r" + i, 20 + i % 7);
        }
        assertEquals(only(SendAttempt.class, one.actions), only(SendAttempt.class, two.actions));
    }

    @Test
    void invalidSettingIsNamedInException() {
        IllegalArgumentException invalid = assertThrows(
                IllegalArgumentException.class,
                () -> new RequestClass(
                        0, 100, 1, 0, LoadBalancer.Idempotency.IDEMPOTENT, LoadBalancer.KeyScope.ALL, 0));
        assertTrue(invalid.getMessage().contains("aimMs"));
        assertTrue(assertThrows(
                        IllegalArgumentException.class,
                        () -> new Rules(2, 0, 1, 0, true, LoadBalancer.RetryBudgetConfig.UNLIMITED))
                .getMessage()
                .contains("coldShare"));
    }

    @Test
    void ignoresLoadReportWithoutNumber() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(2);
        String server = sentTo(scripted.request("a", 0));
        scripted.deliver(new AttemptEnded("a", 0, server, Outcome.SUCCESS, 20, true, new double[] {Double.NaN}));
        assertNull(sentTo(scripted.advance(10)));
        assertTrue(sentTo(scripted.request("b", 0)) != null);
    }

    /**
     * The first responses may be slow because the instance is warming up or starts under overload. Without reported
     * service times, it takes their latency for the unloaded latency and sends more attempts at once.
     */
    @Test
    void reportedServiceTimesLimitUnloadedLatencyAfterSlowFirstResponses() {
        int unreported = burstAfterSlowResponses(Double.NaN);
        int reported = burstAfterSlowResponses(10);
        assertTrue(
                reported > 0 && reported * 2 <= unreported,
                "expected at most half of " + unreported + " attempts with reported service times but was " + reported);
    }

    private static int burstAfterSlowResponses(double serviceMs) {
        Settings settings = new Settings(
                0,
                1,
                0,
                1,
                false,
                0.1,
                List.of(ScriptedLoadBalancer.IDEMPOTENT),
                List.of(),
                new Limits(4, false, true, true, true, 1500, false, 15_000),
                new Rules(0.12, 24_000, 2.5, 3_000, true, LoadBalancer.RetryBudgetConfig.UNLIMITED),
                List.of(LoadBalancer.LoadField.IN_FLIGHT, LoadBalancer.LoadField.LATENCY_MS));
        ScriptedLoadBalancer scripted = new ScriptedLoadBalancer(settings, 7);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(2));
        List<SendAttempt> out = new java.util.ArrayList<>();
        for (int round = 0; round < 40 || !out.isEmpty(); round++) {
            for (int i = 0; i < 8 && round < 40; i++) {
                out.addAll(only(SendAttempt.class, scripted.request("w" + round + "-" + i, 0)));
            }
            scripted.advance(60);
            List<SendAttempt> ended = List.copyOf(out);
            out.clear();
            ended.forEach(send -> out.addAll(only(
                    SendAttempt.class,
                    scripted.deliver(new AttemptEnded(
                            send.id(), 0, send.server(), Outcome.SUCCESS, 60, true, new double[] {0, serviceMs})))));
        }
        int burst = 0;
        for (int i = 0; i < 40; i++) {
            burst += only(SendAttempt.class, scripted.request("b" + i, 0)).size();
        }
        return burst;
    }

    /** A server that fails quickly is always idle. Its high load factor must not outweigh its failures. */
    @Test
    void doesNotPreferServerThatIsIdleBecauseItFails() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(4);
        java.util.ArrayDeque<SendAttempt> out = new java.util.ArrayDeque<>();
        scripted.watcher = answer -> out.addAll(only(SendAttempt.class, answer));
        int failed = 0;
        for (int i = 0; i < 300; i++) {
            scripted.request("r" + i, 2);
            scripted.advance(6);
            for (int busy = out.size(); busy > 0; busy--) {
                SendAttempt send = out.poll();
                boolean fails = send.server().equals("s0");
                failed += fails && i >= 100 ? 1 : 0;
                if (fails) {
                    scripted.end(send.id(), 0, "s0", Outcome.ERROR, 1);
                } else if (busy > 3) {
                    scripted.end(send.id(), 0, send.server(), Outcome.SUCCESS, 60);
                } else {
                    out.add(send);
                }
            }
        }
        assertTrue(failed < 10, "expected fewer than 10 of 200 requests at the failing server but was " + failed);
    }

    /** Many earlier successes must not hide the first failures of a server. */
    @Test
    void avoidsServerSoonAfterItBeginsToFail() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(6);
        List<SendAttempt> busy = new java.util.ArrayList<>();
        int failed = 0;
        for (int i = 0; i < 2_000; i++) {
            for (SendAttempt send : only(SendAttempt.class, scripted.request("r" + i, 2))) {
                if (i >= 1_500 && send.server().equals("s0") && i % 3 > 0) {
                    failed++;
                    scripted.deliver(new AttemptEnded(send.id(), 0, "s0", Outcome.ERROR, 2, false, null));
                } else {
                    busy.add(send);
                }
            }
            scripted.advance(5);
            if (busy.size() > 8) {
                SendAttempt oldest = busy.remove(0);
                scripted.end(oldest.id(), 0, oldest.server(), Outcome.SUCCESS, 45);
            }
        }
        assertTrue(failed < 25, "expected fewer than 25 failures of 500 requests in 2.5 s but was " + failed);
    }

    /** Whether a slow server is congested is decided by its own idle latency and not by the fleet's. */
    @Test
    void usesIdleSlowServerWhileFastServersAreBusy() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(3);
        for (int round = 0; round < 100; round++) {
            List<SendAttempt> out = new java.util.ArrayList<>();
            for (int i = 0; i < 4; i++) {
                out.addAll(only(SendAttempt.class, scripted.request("w" + round + "-" + i, 0)));
            }
            scripted.advance(20);
            out.stream()
                    .filter(send -> !send.server().equals("s2"))
                    .forEach(send -> scripted.end(send.id(), 0, send.server(), Outcome.SUCCESS, 20));
            scripted.advance(130);
            out.stream()
                    .filter(send -> send.server().equals("s2"))
                    .forEach(send -> scripted.end(send.id(), 0, send.server(), Outcome.SUCCESS, 150));
            scripted.advance(50);
        }
        int slow = 0;
        for (int i = 0; i < 8; i++) {
            slow += "s2".equals(sentTo(scripted.request("b" + i, 0))) ? 1 : 0;
        }
        assertTrue(slow >= 2, "expected at least 2 of 8 requests at the slow server but was " + slow);
    }

    /** Responses that arrive within the clock's resolution, as over loopback, have a latency of 0. */
    @Test
    public void zeroLatencyResponsesDoNotExcludeServers() {
        ScriptedLoadBalancer scripted = ScriptedLoadBalancer.withServers(3);
        for (int i = 0; i < 3; i++) {
            scripted.request("first" + i, 0);
        }
        for (LoadBalancer.Action action : java.util.List.copyOf(scripted.actions)) {
            if (action instanceof LoadBalancer.SendAttempt send) {
                scripted.end(send.id(), 0, send.server(), LoadBalancer.Outcome.SUCCESS, 0);
            }
        }
        for (int i = 0; i < 20; i++) {
            scripted.advance(3);
            assertNotNull(scripted.serve("next" + i, i % 3 == 0 ? 0 : 0.3), "expected an attempt for request " + i);
        }
    }
}
