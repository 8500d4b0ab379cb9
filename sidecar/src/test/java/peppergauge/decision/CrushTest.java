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

/** One of a hundred balancers during and after a crush; the figures are those of plays of hundreds of sidecars. */
public class CrushTest {

    private static final double COLD_MS = 80_000;

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}, {4}, {5}};
    }

    /**
     * While a release replaced servers under load, successors idled at 0 to 1 requests in flight and the others
     * had 10 to 36: one of which nothing was heard counted as a mean one of its kind.
     */
    @Test(dataProvider = "seeds")
    public void aSuccessorIsFoundIdleWhileTheOthersAreCrowded(int seed) {
        Scripted s = many(seed, 100);
        s.list(true, Scripted.servers(8));
        for (int i = 0; i < 40; i++) {
            answer(s, "w" + i);
        }
        List<Endpoint> fresh = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            fresh.add(new Endpoint("new" + i, 0, 0, EndpointState.READY, s.nowMs));
        }
        s.list(false, fresh);
        s.pass(COLD_MS / 4);
        int found = 0;
        for (int i = 0; i < 40; i++) {
            found += answer(s, "r" + i).startsWith("new") ? 1 : 0;
            s.pass(1_000);
        }
        // By their lots they may have a good third of them; as mean ones, of 15 in flight, next to nothing.
        Assert.assertTrue(found >= 8, "successors got " + found + " of 40");
    }

    /**
     * After an outage of discovery all took successors that crowded unheard for idle: of a kind none of whose cold
     * ones had answered, each counted as holding nothing, was sent all that the lots allow, and choked for good.
     */
    @Test(dataProvider = "seeds")
    public void aSuccessorOfWhichOneHearsLateIsNotTakenForIdle(int seed) {
        Scripted s = many(seed, 100);
        s.list(true, Scripted.servers(8));
        List<Endpoint> fresh = new ArrayList<>();
        int found = 0;
        for (int i = 0; i < 80; i++) {
            if (i == 40) {
                for (int j = 0; j < 4; j++) {
                    fresh.add(new Endpoint("new" + j, 0, 0, EndpointState.READY, s.nowMs - 0.7 * COLD_MS));
                }
                s.list(false, fresh);
            }
            String server = Scripted.sentTo(s.request("r" + i, 0));
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
        // They are a third of the members and have lots for half of the requests.
        Assert.assertTrue(found <= 15, "successors got " + found + " of 40 unheard");
    }

    /**
     * Where nearly all servers were cold, seven in ten requests had no server to go to though the lots would do for
     * most: members are the first by the hash that placed their lots, so these lay on one another.
     */
    @Test(dataProvider = "seeds")
    public void lotsOfColdServersLieSideBySide(int seed) {
        Scripted s = many(seed, 100, 1_000 * COLD_MS);
        List<Endpoint> fresh = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            fresh.add(new Endpoint("new" + i, 0, 0, EndpointState.READY, s.nowMs));
        }
        s.list(true, fresh);
        Map<String, Integer> sent = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            String id = "r" + i;
            String server = Scripted.sentTo(s.request(id, 0));
            if (server != null) {
                sent.merge(server, 1, Integer::sum);
                s.pass(40);
                s.give(new AttemptEnded(id, 0, server, Outcome.SUCCESS, 40, true, new double[] {0, 30}));
            }
            s.pass(2_500);
        }
        int all = sent.values().stream().mapToInt(Integer::intValue).sum();
        // At 0.32 to 0.36 of their capacity they have 0.60 to 0.67 of the requests, a sixteenth of it each.
        Assert.assertTrue(all >= 220 && all <= 290, all + " of 400 went out at once");
        Assert.assertTrue(sent.values().stream().allMatch(count -> count <= 34), "unevenly: " + sent);
    }

    /** Sidecars that came back into a crush let out two to three times as much as the others, for a second or two. */
    @Test(dataProvider = "seeds")
    public void aBalancerThatStartsIntoACrushTakesItsLatenciesForNoUsualOnes(int seed) {
        Scripted s = many(seed, 100);
        s.list(true, Scripted.servers(60));
        Deque<Out> out = watched(s);
        int most = 0;
        for (int i = 0; i < 100; i++) {
            drive(s, out, "d" + i, 45, 450);
            most = i < 20 ? 0 : Math.max(most, out.size());
        }
        Assert.assertTrue(most <= 7, most + " in flight at answers of 450 ms");
    }

    /**
     * Twenty sidecars before twelve servers work with all of them, and had no bound on all in flight: two each at a
     * server are forty there, which choked for the rest of the day while nearly all that came was denied.
     */
    @Test(dataProvider = "seeds")
    public void manyBalancersThatWorkWithAllServersAreBoundInACrush(int seed) {
        Scripted s = many(seed, 20);
        s.list(true, Scripted.servers(12));
        Deque<Out> out = watched(s);
        for (int i = 0; i < 100; i++) {
            drive(s, out, "calm" + i, 50, 60);
        }
        int most = 0;
        for (int i = 0; i < 150; i++) {
            drive(s, out, "crush" + i, 30, 1_200);
            most = i < 80 ? 0 : Math.max(most, out.size());
        }
        Assert.assertTrue(most <= 4, most + " in flight at answers of 1,200 ms");
    }

    /** Answers were fast again, and half was denied for ten seconds more: the bound followed a mean of the crush. */
    @Test(dataProvider = "seeds")
    public void whenACrushIsOverNoMoreIsDenied(int seed) {
        Scripted s = many(seed, 100);
        s.list(true, Scripted.servers(60));
        Deque<Out> out = watched(s);
        for (int i = 0; i < 60; i++) {
            drive(s, out, "calm" + i, 150, 100);
        }
        for (int i = 0; i < 150; i++) {
            drive(s, out, "crush" + i, 60, 1_200);
        }
        for (int i = 0; i < 25; i++) {
            drive(s, out, "end" + i, 60, 100);
        }
        Set<String> denied = new HashSet<>();
        int from = s.actions.size();
        for (int i = 0; i < 40; i++) {
            drive(s, out, "after" + i, 60, 100);
        }
        Scripted.only(LoadBalancer.RejectRequest.class, s.actions.subList(from, s.actions.size()))
                .forEach(refuse -> denied.add(refuse.id()));
        Assert.assertTrue(denied.size() <= 4, denied.size() + " of 40 denied from 1.5 s after the crush on");
    }

    /**
     * No server reports its load, and none answers in time any more: what is given up on is all that tells of the
     * crush. It was not counted, so that the bound opened again; and at the last call each server counted as idle, for
     * this instance had nothing in flight there.
     */
    @Test(dataProvider = "seeds")
    public void whereNothingIsAnsweredInTimeHardlyAnythingIsSent(int seed) {
        Unreported unreported = new Unreported(many(seed, 100), server -> true);
        unreported.s.list(true, Scripted.servers(60));
        unreported.drive("calm", 400, 100);
        unreported.answering = server -> false;
        unreported.drive("crush", 200, 100);
        unreported.mostOut = 0;
        unreported.drive("lasting", 200, 100);
        Assert.assertTrue(unreported.mostOut <= 3, unreported.mostOut + " in flight though nothing is answered");
    }

    /** An instance that is asked 40 times a second and hears of no server's load. */
    private static final class Unreported {

        private final Scripted s;
        private final Map<String, Out> out = new LinkedHashMap<>();
        /** The attempts of each request, counted. */
        private final Map<String, Integer> attempts = new HashMap<>();

        private Predicate<String> answering;
        private int mostOut;

        Unreported(Scripted s, Predicate<String> answering) {
            this.s = s;
            this.answering = answering;
            s.watcher = answer -> {
                for (SendAttempt send : Scripted.only(SendAttempt.class, answer)) {
                    out.put(send.id(), new Out(send.id(), send.server(), s.nowMs));
                    attempts.merge(send.id(), 1, Integer::sum);
                }
                mostOut = Math.max(mostOut, out.size());
                Scripted.only(LoadBalancer.CancelAttempt.class, answer).forEach(this::cancelled);
            };
        }

        private void cancelled(LoadBalancer.CancelAttempt cancel) {
            Out given = out.remove(cancel.id());
            s.give(new AttemptEnded(
                    given.id, cancel.attempt(), given.server, Outcome.CANCELLED, s.nowMs - given.atMs, false, null));
        }

        void drive(String name, int requests, double tookMs) {
            for (int i = 0; i < requests; i++) {
                s.request(name + i, 0);
                s.pass(25);
                for (Out oldest : List.copyOf(out.values())) {
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

    /** Asks for one, lets time pass, and has what has been out for so long answered. */
    private static void drive(Scripted s, Deque<Out> out, String id, double everyMs, double tookMs) {
        s.request(id, 0);
        s.pass(everyMs);
        while (!out.isEmpty() && s.nowMs - out.peek().atMs >= tookMs) {
            Out oldest = out.remove();
            s.give(new AttemptEnded(
                    oldest.id, 0, oldest.server, Outcome.SUCCESS, s.nowMs - oldest.atMs, true, new double[] {
                        tookMs / 50, tookMs / 2
                    }));
        }
    }

    private record Out(String id, String server, double atMs) {}

    private static Deque<Out> watched(Scripted s) {
        Deque<Out> out = new ArrayDeque<>();
        s.watcher = answer -> {
            for (SendAttempt send : Scripted.only(SendAttempt.class, answer)) {
                out.add(new Out(send.id(), send.server(), s.nowMs));
            }
        };
        return out;
    }

    /** Served by the new one, which has none else, or by the others: half of them hold 6 besides, half 24. */
    private static String answer(Scripted s, String id) {
        String server = Scripted.sentTo(s.request(id, 0));
        Assert.assertNotNull(server);
        boolean fresh = server.startsWith("new");
        int others = fresh ? 0 : server.charAt(1) % 2 == 0 ? 6 : 24;
        s.pass(40);
        s.give(new AttemptEnded(id, 0, server, Outcome.SUCCESS, fresh ? 60 : 150, true, new double[] {others, 50}));
        return server;
    }

    private static Scripted many(int seed, int balancers) {
        return many(seed, balancers, COLD_MS);
    }

    private static Scripted many(int seed, int balancers, double coldMs) {
        List<RequestClass> classes = new ArrayList<>();
        classes.add(new RequestClass(500, 2_500, 1, 0, Idempotency.IDEMPOTENT, KeyScope.ALL, 0));
        return new Scripted(
                new Settings(
                        0,
                        balancers,
                        0,
                        1,
                        false,
                        0.1,
                        classes,
                        List.of(),
                        new Limits(4, false, true, false, true, 1_200, true, 10_000),
                        new Rules(0.32, coldMs, 2.5, 3_000, true, RetryBudgetConfig.UNLIMITED),
                        List.of(LoadField.IN_FLIGHT, LoadField.LATENCY_MS)),
                seed);
    }
}
