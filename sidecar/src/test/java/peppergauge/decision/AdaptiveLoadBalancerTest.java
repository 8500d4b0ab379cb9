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

/** Behaviour of the whole load balancer, one test for each fault that it must handle. */
class AdaptiveLoadBalancerTest {

    private static Settings singleInstance(boolean reports, boolean watch) {
        return new Settings(
                0,
                1,
                0,
                1,
                watch,
                0.1,
                List.of(ScriptedLoadBalancer.IDEMPOTENT),
                List.of(),
                new Limits(4, true, true, false, true, 1500, false, 15_000),
                new Rules(0.12, 24_000, 2.5, 3_000, true, LoadBalancer.RetryBudgetConfig.UNLIMITED),
                reports ? List.of(LoadBalancer.LoadField.IN_FLIGHT) : List.of());
    }

    @Test
    void aSlowServerIsDrawnFarLessThanItsPeers() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(4);
        int slow = 0;
        for (int i = 0; i < 400; i++) {
            String server = sentTo(s.request("r" + i, 0));
            double took = server.equals("s0") ? 60 : 20;
            s.pass(took);
            s.end("r" + i, 0, server, Outcome.SUCCESS, took);
            slow += i >= 100 && server.equals("s0") ? 1 : 0;
        }
        assertTrue(slow < 15, "slow server drawn " + slow + " times of 300");
    }

    @Test
    void aServerThatFailsFastDoesNotDrawAllTraffic() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(4);
        int failing = 0;
        for (int i = 0; i < 100; i++) {
            String server = sentTo(s.request("r" + i, 0));
            for (int attempt = 0; server.equals("s0"); attempt++) {
                failing++;
                s.pass(1);
                server = sentTo(s.end("r" + i, attempt, server, Outcome.OVERLOADED, 1));
            }
            s.pass(20);
            s.end("r" + i, failing > 0 ? lastAttempt(s) : 0, server, Outcome.SUCCESS, 20);
        }
        assertTrue(failing < 15, "sent " + failing);
    }

    /** The client's reading sets the pace of a streamed response, so it says nothing of the server's load. */
    @Test
    void streamedResponsesDoNotCountAgainstTheConcurrencyLimit() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(4);
        s.warm(60, 20);
        for (int i = 0; i < 100; i++) {
            String server = sentTo(s.request("streamed" + i, 0));
            s.pass(20);
            s.give(new LoadBalancer.ResponseStarted("streamed" + i, 0));
            assertNotNull(server);
        }
        s.pass(5_000);
        for (int i = 0; i < 20; i++) {
            String server = sentTo(s.request("r" + i, 0));
            assertNotNull(server, "waits because of streamed responses");
            s.pass(20);
            s.end("r" + i, 0, server, Outcome.SUCCESS, 20);
        }
        // A streamed response that breaks counts once, and its request is not retried.
        assertNull(sentTo(s.give(new AttemptEnded("streamed0", 0, "s0", Outcome.BROKEN, 20, true, null))));
    }

    @Test
    void aServerThatRejectedARequestIsEjected() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(2);
        s.warm(60, 50);
        String full = sentTo(s.request("a", 0));
        s.end("a", 0, full, Outcome.OVERLOADED, 1);
        for (int i = 0; i < 4; i++) {
            assertNotEquals(full, sentTo(s.request("b" + i, 0)));
        }
    }

    @Test
    void aBurstIsLimitedBeforeLatencyRises() {
        ScriptedLoadBalancer s = new ScriptedLoadBalancer(singleInstance(false, false), 3);
        s.list(true, ScriptedLoadBalancer.servers(2));
        for (int i = 0; i < 60; i++) {
            int together = 1 + i % 4;
            String[] servers = new String[together];
            for (int k = 0; k < together; k++) {
                servers[k] = sentTo(s.request("w" + i + "-" + k, 0));
            }
            s.pass(50);
            for (int k = 0; k < together; k++) {
                s.end("w" + i + "-" + k, 0, servers[k], Outcome.SUCCESS, 50);
            }
        }
        int sent = s.sentOfBurst(60);
        assertTrue(sent <= 14, "sent " + sent + " at once to two servers");
    }

    private static int lastAttempt(ScriptedLoadBalancer s) {
        List<SendAttempt> sends = only(SendAttempt.class, s.actions);
        String id = sends.get(sends.size() - 1).id();
        return (int) sends.stream().filter(send -> send.id().equals(id)).count() - 1;
    }

    @Test
    void aFailedServerGetsTrialTrafficAndRecovers() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(3);
        for (int i = 0; i < 200; i++) {
            String server = sentTo(s.request("r" + i, 0));
            s.pass(5);
            if (server.equals("s0")) {
                server = sentTo(s.end("r" + i, 0, server, Outcome.UNREACHABLE, 5));
                s.pass(20);
                s.end("r" + i, 1, server, Outcome.SUCCESS, 20);
            } else {
                s.pass(15);
                s.end("r" + i, 0, server, Outcome.SUCCESS, 20);
            }
        }
        s.pass(20_000);
        int back = 0;
        for (int i = 0; i < 300; i++) {
            back += s.serve("b" + i, 20).equals("s0") ? 1 : 0;
        }
        assertTrue(back > 60, "came back with " + back + " of 300");
    }

    @Test
    void errorsOfAllServersMakeNoOutlier() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(3);
        int[] drawn = new int[3];
        for (int i = 0; i < 300; i++) {
            String server = sentTo(s.request("r" + i, 2));
            drawn[Integer.parseInt(server.substring(1))]++;
            s.pass(20);
            s.end("r" + i, 0, server, i % 2 == 0 ? Outcome.ERROR : Outcome.SUCCESS, 20);
        }
        for (int count : drawn) {
            assertTrue(count > 50, "drawn " + count + " times of 300");
        }
    }

    @Test
    void aSilentServerWithOpenAttemptsIsAvoidedBeforeTheyTimeOut() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(2);
        s.warm(50, 20);
        String silent = sentTo(s.request("stuck", 0));
        for (int i = 0; i < 10; i++) {
            assertNotEquals(silent, s.serve("r" + i, 20));
        }
    }

    @Test
    void retryAfterLastsUntilTheClientStopsIfItCannotReturnInTime() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(0);
        s.give(new RequestArrived("a", 0, 0, 400, false));
        RejectRequest rejection = only(RejectRequest.class, s.pass(400)).get(0);
        assertTrue(rejection.retryAfterMs() > 400, "Retry-After " + rejection.retryAfterMs());
    }

    @Test
    void theNewestPendingRequestIsSentFirst() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(1);
        s.warm(50, 50);
        String first = null;
        for (int i = 0; i < 8; i++) {
            String server = sentTo(s.request("r" + i, 0));
            first = first == null ? server : first;
            s.pass(1);
        }
        List<LoadBalancer.Action> answer = s.end("r0", 0, first, Outcome.SUCCESS, 50);
        assertEquals("r7", only(SendAttempt.class, answer).get(0).id());
    }

    @Test
    void openAttemptsAtAServerAreLimited() {
        ScriptedLoadBalancer s = new ScriptedLoadBalancer(singleInstance(false, false), 3);
        s.list(true, ScriptedLoadBalancer.servers(2));
        s.warm(40, 20);
        int sent = s.sentOfBurst(50);
        assertTrue(sent <= 8, "sent " + sent + " at once to two servers");
    }

    @Test
    void attemptsAreCancelledOnlyIfReportsShowWorkInFlight() {
        ScriptedLoadBalancer blind = new ScriptedLoadBalancer(singleInstance(false, false), 3);
        blind.list(true, ScriptedLoadBalancer.servers(2));
        blind.request("a", 0);
        blind.pass(2_000);
        assertTrue(only(CancelAttempt.class, blind.actions).isEmpty());
        ScriptedLoadBalancer reported = new ScriptedLoadBalancer(singleInstance(true, false), 3);
        reported.list(true, ScriptedLoadBalancer.servers(2));
        reported.request("a", 0);
        reported.pass(2_000);
        assertEquals(1, only(CancelAttempt.class, reported.actions).size());
    }

    @Test
    void anAttemptCarriesTheTimeUntilItIsAbandoned() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(2);
        assertEquals(300, only(SendAttempt.class, s.request("safe", 0)).get(0).timeoutMs());
        assertEquals(800, only(SendAttempt.class, s.request("unsafe", 2)).get(0).timeoutMs());
    }

    @Test
    void aRejectedClientIsAskedToReturnWhileItCanBeServedInTime() {
        ScriptedLoadBalancer s = new ScriptedLoadBalancer(singleInstance(false, false), 3);
        s.list(true, ScriptedLoadBalancer.servers(1));
        s.warm(40, 10);
        for (int i = 0; i < 30; i++) {
            s.request("r" + i, 0);
        }
        RejectRequest rejection = only(RejectRequest.class, s.pass(100)).get(0);
        assertTrue(rejection.retryAfterMs() < 100, "Retry-After " + rejection.retryAfterMs());
    }

    @Test
    void requestsOverTheQuotaWaitWhileRequestsWithinItAreSent() {
        ScriptedLoadBalancer s = new ScriptedLoadBalancer(
                ScriptedLoadBalancer.settings(true, true, List.of(new Tenant(1), new Tenant(1_000))), 7);
        s.list(true, ScriptedLoadBalancer.servers(1));
        for (int i = 0; i < 30; i++) {
            String server = sentTo(s.give(new RequestArrived("w" + i, 0, 1, 800, false)));
            s.pass(50);
            s.end("w" + i, 0, server, Outcome.SUCCESS, 50);
        }
        s.give(new RequestArrived("share", 0, 0, 800, false));
        for (int i = 0; i < 4; i++) {
            s.give(new RequestArrived("over" + i, 0, 0, 800, false));
        }
        s.give(new RequestArrived("within", 0, 1, 800, false));
        s.pass(50);
        s.end("share", 0, "s0", Outcome.SUCCESS, 50);
        List<String> order =
                only(SendAttempt.class, s.actions).stream().map(SendAttempt::id).toList();
        assertTrue(order.contains("within"));
        assertFalse(order.contains("over3"));
    }

    @Test
    void discoveryIsPolledAgainAfterAFailureAndTheLastListStays() {
        ScriptedLoadBalancer s = new ScriptedLoadBalancer(singleInstance(true, true), 5);
        s.list(true, ScriptedLoadBalancer.servers(2));
        assertEquals(1, only(OpenWatch.class, s.pass(1_000)).size());
        for (int i = 0; i < 6; i++) {
            s.give(new DiscoveryFailed());
            assertEquals(1, only(OpenWatch.class, s.pass(9_000)).size());
        }
        assertTrue(sentTo(s.request("a", 0)) != null);
    }

    @Test
    void sameSeedSameActionsAndInstancesShareNothing() {
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
    void invalidSettingsNameTheField() {
        IllegalArgumentException bad = assertThrows(
                IllegalArgumentException.class,
                () -> new RequestClass(
                        0, 100, 1, 0, LoadBalancer.Idempotency.IDEMPOTENT, LoadBalancer.KeyScope.ALL, 0));
        assertTrue(bad.getMessage().contains("aimMs"));
        assertTrue(assertThrows(
                        IllegalArgumentException.class,
                        () -> new Rules(2, 0, 1, 0, true, LoadBalancer.RetryBudgetConfig.UNLIMITED))
                .getMessage()
                .contains("coldShare"));
    }

    @Test
    void aMissingLoadReportChangesNothing() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(2);
        String server = sentTo(s.request("a", 0));
        s.give(new AttemptEnded("a", 0, server, Outcome.SUCCESS, 20, true, new double[] {Double.NaN}));
        assertNull(sentTo(s.pass(10)));
        assertTrue(sentTo(s.request("b", 0)) != null);
    }

    /** The first responses may be slow because this instance warms up or starts under overload. */
    @Test
    void slowFirstResponsesAreNotTakenForTheUnloadedLatencyIfServiceTimesAreReported() {
        int unreported = burstAfterSlowResponses(Double.NaN);
        int reported = burstAfterSlowResponses(10);
        assertTrue(
                reported > 0 && reported * 2 <= unreported,
                "sent " + reported + " with reports, " + unreported + " without");
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
        ScriptedLoadBalancer s = new ScriptedLoadBalancer(settings, 7);
        s.list(true, ScriptedLoadBalancer.servers(2));
        List<SendAttempt> out = new java.util.ArrayList<>();
        for (int round = 0; round < 40 || !out.isEmpty(); round++) {
            for (int i = 0; i < 8 && round < 40; i++) {
                out.addAll(only(SendAttempt.class, s.request("w" + round + "-" + i, 0)));
            }
            s.pass(60);
            List<SendAttempt> ended = List.copyOf(out);
            out.clear();
            ended.forEach(send -> out.addAll(only(
                    SendAttempt.class,
                    s.give(new AttemptEnded(
                            send.id(), 0, send.server(), Outcome.SUCCESS, 60, true, new double[] {0, serviceMs})))));
        }
        int burst = 0;
        for (int i = 0; i < 40; i++) {
            burst += only(SendAttempt.class, s.request("b" + i, 0)).size();
        }
        return burst;
    }

    /** A server that fails at once is always idle; its load factor must not outweigh its failures. */
    @Test
    void aServerThatFailsAtOnceIsNotPreferredForBeingIdle() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(4);
        java.util.ArrayDeque<SendAttempt> out = new java.util.ArrayDeque<>();
        s.watcher = answer -> out.addAll(only(SendAttempt.class, answer));
        int failed = 0;
        for (int i = 0; i < 300; i++) {
            s.request("r" + i, 2);
            s.pass(6);
            for (int busy = out.size(); busy > 0; busy--) {
                SendAttempt send = out.poll();
                boolean fails = send.server().equals("s0");
                failed += fails && i >= 100 ? 1 : 0;
                if (fails) {
                    s.end(send.id(), 0, "s0", Outcome.ERROR, 1);
                } else if (busy > 3) {
                    s.end(send.id(), 0, send.server(), Outcome.SUCCESS, 60);
                } else {
                    out.add(send);
                }
            }
        }
        assertTrue(failed < 10, "the failing server got " + failed + " of 200");
    }

    /** A long record of successes must not hide new failures. */
    @Test
    void aServerThatBeginsToFailIsAvoidedWithinASecond() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(6);
        List<SendAttempt> busy = new java.util.ArrayList<>();
        int failed = 0;
        for (int i = 0; i < 2_000; i++) {
            for (SendAttempt send : only(SendAttempt.class, s.request("r" + i, 2))) {
                if (i >= 1_500 && send.server().equals("s0") && i % 3 > 0) {
                    failed++;
                    s.give(new AttemptEnded(send.id(), 0, "s0", Outcome.ERROR, 2, false, null));
                } else {
                    busy.add(send);
                }
            }
            s.pass(5);
            if (busy.size() > 8) {
                SendAttempt oldest = busy.remove(0);
                s.end(oldest.id(), 0, oldest.server(), Outcome.SUCCESS, 45);
            }
        }
        assertTrue(failed < 25, "of 500 requests in 2.5 s " + failed + " failed");
    }

    /** A slow server is congested by its own idle latency and not by the fleet's. */
    @Test
    void anIdleSlowServerTakesWhatFastServersHaveNoCapacityFor() {
        ScriptedLoadBalancer s = ScriptedLoadBalancer.withServers(3);
        for (int round = 0; round < 100; round++) {
            List<SendAttempt> out = new java.util.ArrayList<>();
            for (int i = 0; i < 4; i++) {
                out.addAll(only(SendAttempt.class, s.request("w" + round + "-" + i, 0)));
            }
            s.pass(20);
            out.stream()
                    .filter(send -> !send.server().equals("s2"))
                    .forEach(send -> s.end(send.id(), 0, send.server(), Outcome.SUCCESS, 20));
            s.pass(130);
            out.stream()
                    .filter(send -> send.server().equals("s2"))
                    .forEach(send -> s.end(send.id(), 0, send.server(), Outcome.SUCCESS, 150));
            s.pass(50);
        }
        int slow = 0;
        for (int i = 0; i < 8; i++) {
            slow += "s2".equals(sentTo(s.request("b" + i, 0))) ? 1 : 0;
        }
        assertTrue(slow >= 2, "the slow server got " + slow + " of 8");
    }

    /** Responses within the clock's resolution, as over loopback, have a latency of 0. */
    @Test
    public void responsesOfZeroLatencyDoNotExcludeAllServers() {
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
            scripted.pass(3);
            assertNotNull(scripted.serve("next" + i, i % 3 == 0 ? 0 : 0.3), "request " + i + " had no server");
        }
    }
}
