package peppergauge.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.decision.LoadBalancer.RetryBudgetConfig;
import peppergauge.decision.LoadBalancer.Rules;
import peppergauge.decision.LoadBalancer.SendAttempt;
import peppergauge.decision.LoadBalancer.Settings;

/** One of a hundred instances during and after an overload of the fleet. */
public class OverloadTest {

    private static final double WARM_UP_MS = 80_000;

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}, {4}, {5}};
    }

    /** A new server without reports must not count as a mean one of its kind while the others are congested. */
    @Test(dataProvider = "seeds")
    public void anIdleNewServerIsUsedWhileTheOthersAreCongested(int seed) {
        ScriptedLoadBalancer s = oneOfMany(seed, 100);
        s.list(true, ScriptedLoadBalancer.servers(8));
        for (int i = 0; i < 40; i++) {
            serve(s, "w" + i);
        }
        List<Endpoint> fresh = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            fresh.add(new Endpoint("new" + i, 0, 0, EndpointState.READY, s.nowMs));
        }
        s.list(false, fresh);
        s.pass(WARM_UP_MS / 4);
        int found = 0;
        for (int i = 0; i < 40; i++) {
            found += serve(s, "r" + i).startsWith("new") ? 1 : 0;
            s.pass(1_000);
        }
        // Their warm-up shares are a good third of the requests; with 15 assumed in flight they would get almost none.
        Assert.assertTrue(found >= 8, "successors got " + found + " of 40");
    }

    /** New servers of which no report came may be congested by other instances: they must not count as idle. */
    @Test(dataProvider = "seeds")
    public void aNewServerWithoutReportsIsNotTakenForIdle(int seed) {
        ScriptedLoadBalancer s = oneOfMany(seed, 100);
        s.list(true, ScriptedLoadBalancer.servers(8));
        List<Endpoint> fresh = new ArrayList<>();
        int found = 0;
        for (int i = 0; i < 80; i++) {
            if (i == 40) {
                for (int j = 0; j < 4; j++) {
                    fresh.add(new Endpoint("new" + j, 0, 0, EndpointState.READY, s.nowMs - 0.7 * WARM_UP_MS));
                }
                s.list(false, fresh);
            }
            String server = ScriptedLoadBalancer.sentTo(s.request("r" + i, 0));
            boolean late = server.startsWith("new");
            found += late ? 1 : 0;
            s.pass(40);
            s.give(new AttemptEnded(
                    "r" + i,
                    0,
                    server,
                    late ? Outcome.CANCELLED : Outcome.SUCCESS,
                    40,
                    true,
                    late ? null : new double[] {1, 30}));
            s.pass(200);
        }
        // They are a third of the members, with warm-up shares for half of the requests.
        Assert.assertTrue(found <= 15, "successors got " + found + " of 40 without a report");
    }

    /** Where nearly all servers warm up, overlapping shares would leave most requests without a server. */
    @Test(dataProvider = "seeds")
    public void warmUpSharesDoNotOverlap(int seed) {
        ScriptedLoadBalancer s = oneOfMany(seed, 100, 1_000 * WARM_UP_MS);
        List<Endpoint> fresh = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            fresh.add(new Endpoint("new" + i, 0, 0, EndpointState.READY, s.nowMs));
        }
        s.list(true, fresh);
        Map<String, Integer> sent = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            String id = "r" + i;
            String server = ScriptedLoadBalancer.sentTo(s.request(id, 0));
            if (server != null) {
                sent.merge(server, 1, Integer::sum);
                s.pass(40);
                s.give(new AttemptEnded(id, 0, server, Outcome.SUCCESS, 40, true, new double[] {0, 30}));
            }
            s.pass(2_500);
        }
        int all = sent.values().stream().mapToInt(Integer::intValue).sum();
        // At 0.32 to 0.36 of their capacity they may have 0.60 to 0.67 of the requests, a sixteenth of that each.
        Assert.assertTrue(all >= 220 && all <= 290, all + " of 400 were sent at once");
        Assert.assertTrue(sent.values().stream().allMatch(count -> count <= 34), "unevenly: " + sent);
    }

    /** An instance that restarts during an overload has seen no other latencies. */
    @Test(dataProvider = "seeds")
    public void anInstanceThatStartsUnderOverloadDoesNotTakeItsLatenciesForUsual(int seed) {
        ScriptedLoadBalancer s = oneOfMany(seed, 100);
        s.list(true, ScriptedLoadBalancer.servers(60));
        Deque<OpenAttempt> out = collectAttempts(s);
        int most = 0;
        for (int i = 0; i < 100; i++) {
            drive(s, out, "d" + i, 45, 450);
            most = i < 20 ? 0 : Math.max(most, out.size());
        }
        Assert.assertTrue(most <= 7, most + " in flight at answers of 450 ms");
    }

    /** Twenty instances that use all of twelve servers: the least limit of a server would be forty requests there. */
    @Test(dataProvider = "seeds")
    public void manyInstancesThatUseAllServersAreLimitedUnderOverload(int seed) {
        ScriptedLoadBalancer s = oneOfMany(seed, 20);
        s.list(true, ScriptedLoadBalancer.servers(12));
        Deque<OpenAttempt> out = collectAttempts(s);
        for (int i = 0; i < 100; i++) {
            drive(s, out, "calm" + i, 50, 60);
        }
        int most = 0;
        for (int i = 0; i < 150; i++) {
            drive(s, out, "overload" + i, 30, 1_200);
            most = i < 80 ? 0 : Math.max(most, out.size());
        }
        Assert.assertTrue(most <= 4, most + " in flight at answers of 1,200 ms");
    }

    /** The limit must follow the latencies of the last second, not a mean that includes the overload. */
    @Test(dataProvider = "seeds")
    public void afterAnOverloadRequestsAreNoLongerRejected(int seed) {
        ScriptedLoadBalancer s = oneOfMany(seed, 100);
        s.list(true, ScriptedLoadBalancer.servers(60));
        Deque<OpenAttempt> out = collectAttempts(s);
        for (int i = 0; i < 60; i++) {
            drive(s, out, "calm" + i, 150, 100);
        }
        for (int i = 0; i < 150; i++) {
            drive(s, out, "overload" + i, 60, 1_200);
        }
        for (int i = 0; i < 25; i++) {
            drive(s, out, "end" + i, 60, 100);
        }
        Set<String> rejected = new HashSet<>();
        int from = s.actions.size();
        for (int i = 0; i < 40; i++) {
            drive(s, out, "after" + i, 60, 100);
        }
        ScriptedLoadBalancer.only(LoadBalancer.RejectRequest.class, s.actions.subList(from, s.actions.size()))
                .forEach(rejection -> rejected.add(rejection.id()));
        Assert.assertTrue(rejected.size() <= 4, rejected.size() + " of 40 rejected from 1.5 s after the overload on");
    }

    /** Without reports and responses, only the abandoned attempts show the overload. */
    @Test(dataProvider = "seeds")
    public void withoutResponsesInTimeHardlyAnythingIsSent(int seed) {
        Unreported unreported = new Unreported(oneOfMany(seed, 100), server -> true);
        unreported.s.list(true, ScriptedLoadBalancer.servers(60));
        unreported.drive("calm", 400, 100);
        unreported.answering = server -> false;
        unreported.drive("overload", 200, 100);
        unreported.maxOpen = 0;
        unreported.drive("lasting", 200, 100);
        Assert.assertTrue(unreported.maxOpen <= 3, unreported.maxOpen + " in flight though there are no responses");
    }

    /** An instance that gets 40 requests a second and no load reports. */
    private static final class Unreported {

        private final ScriptedLoadBalancer s;
        private final Map<String, OpenAttempt> out = new LinkedHashMap<>();
        /** Number of attempts of each request. */
        private final Map<String, Integer> attempts = new HashMap<>();

        private Predicate<String> answering;
        private int maxOpen;

        Unreported(ScriptedLoadBalancer s, Predicate<String> answering) {
            this.s = s;
            this.answering = answering;
            s.watcher = answer -> {
                for (SendAttempt send : ScriptedLoadBalancer.only(SendAttempt.class, answer)) {
                    out.put(send.id(), new OpenAttempt(send.id(), send.server(), s.nowMs));
                    attempts.merge(send.id(), 1, Integer::sum);
                }
                maxOpen = Math.max(maxOpen, out.size());
                ScriptedLoadBalancer.only(LoadBalancer.CancelAttempt.class, answer)
                        .forEach(this::onCancel);
            };
        }

        private void onCancel(LoadBalancer.CancelAttempt cancel) {
            OpenAttempt given = out.remove(cancel.id());
            s.give(new AttemptEnded(
                    given.id, cancel.attempt(), given.server, Outcome.CANCELLED, s.nowMs - given.atMs, false, null));
        }

        void drive(String name, int requests, double tookMs) {
            for (int i = 0; i < requests; i++) {
                s.request(name + i, 0);
                s.pass(25);
                for (OpenAttempt oldest : List.copyOf(out.values())) {
                    if (s.nowMs - oldest.atMs >= tookMs && answering.test(oldest.server)) {
                        out.remove(oldest.id);
                        s.give(new AttemptEnded(
                                oldest.id,
                                attempts.get(oldest.id) - 1,
                                oldest.server,
                                Outcome.SUCCESS,
                                s.nowMs - oldest.atMs,
                                true,
                                null));
                    }
                }
            }
        }
    }

    /** Sends one request, lets time pass, and ends attempts that have been open for {@code tookMs}. */
    private static void drive(
            ScriptedLoadBalancer s, Deque<OpenAttempt> out, String id, double everyMs, double tookMs) {
        s.request(id, 0);
        s.pass(everyMs);
        while (!out.isEmpty() && s.nowMs - out.peek().atMs >= tookMs) {
            OpenAttempt oldest = out.remove();
            s.give(new AttemptEnded(
                    oldest.id, 0, oldest.server, Outcome.SUCCESS, s.nowMs - oldest.atMs, true, new double[] {
                        tookMs / 50, tookMs / 2
                    }));
        }
    }

    private record OpenAttempt(String id, String server, double atMs) {}

    private static Deque<OpenAttempt> collectAttempts(ScriptedLoadBalancer s) {
        Deque<OpenAttempt> out = new ArrayDeque<>();
        s.watcher = answer -> {
            for (SendAttempt send : ScriptedLoadBalancer.only(SendAttempt.class, answer)) {
                out.add(new OpenAttempt(send.id(), send.server(), s.nowMs));
            }
        };
        return out;
    }

    /** New servers report 0 in flight; half of the others report 6, half 24. */
    private static String serve(ScriptedLoadBalancer s, String id) {
        String server = ScriptedLoadBalancer.sentTo(s.request(id, 0));
        Assert.assertNotNull(server);
        boolean fresh = server.startsWith("new");
        int others = fresh ? 0 : server.charAt(1) % 2 == 0 ? 6 : 24;
        s.pass(40);
        s.give(new AttemptEnded(id, 0, server, Outcome.SUCCESS, fresh ? 60 : 150, true, new double[] {others, 50}));
        return server;
    }

    private static ScriptedLoadBalancer oneOfMany(int seed, int instances) {
        return oneOfMany(seed, instances, WARM_UP_MS);
    }

    private static ScriptedLoadBalancer oneOfMany(int seed, int instances, double warmUpMs) {
        List<RequestClass> classes = new ArrayList<>();
        classes.add(new RequestClass(500, 2_500, 1, 0, Idempotency.IDEMPOTENT, KeyScope.ALL, 0));
        return new ScriptedLoadBalancer(
                new Settings(
                        0,
                        instances,
                        0,
                        1,
                        false,
                        0.1,
                        classes,
                        List.of(),
                        new Limits(4, false, true, false, true, 1_200, true, 10_000),
                        new Rules(0.32, warmUpMs, 2.5, 3_000, true, RetryBudgetConfig.UNLIMITED),
                        List.of(LoadField.IN_FLIGHT, LoadField.LATENCY_MS)),
                seed);
    }
}
