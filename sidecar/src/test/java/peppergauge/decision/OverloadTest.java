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

/** Tests one of many instances during and after an overload of the fleet. */
public class OverloadTest {

    private static final double WARM_UP_MS = 80_000;

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}, {4}, {5}};
    }

    /** A new server without load reports must not be assumed to have the load of the congested servers of its kind. */
    @Test(dataProvider = "seeds")
    public void usesIdleNewServersWhileOthersAreCongested(int seed) {
        ScriptedLoadBalancer scripted = oneOfMany(seed, 100);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(8));
        for (int i = 0; i < 40; i++) {
            serve(scripted, "w" + i);
        }
        List<Endpoint> newServers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            newServers.add(new Endpoint("new" + i, 0, 0, EndpointState.READY, scripted.nowMs));
        }
        scripted.updateEndpoints(false, newServers);
        scripted.advance(WARM_UP_MS / 4);
        int toNewServers = 0;
        for (int i = 0; i < 40; i++) {
            toNewServers += serve(scripted, "r" + i).startsWith("new") ? 1 : 0;
            scripted.advance(1_000);
        }
        // Their warm-up shares sum to over a third of the requests. If each were assumed to have the 15 requests in
        // flight that the others report on average, they would get almost none.
        Assert.assertTrue(
                toNewServers >= 8, "expected at least 8 of 40 requests at the new servers but was " + toNewServers);
    }

    /** New servers without load reports may be congested by other instances, so they must not count as idle. */
    @Test(dataProvider = "seeds")
    public void newServerWithoutReportsDoesNotCountAsIdle(int seed) {
        ScriptedLoadBalancer scripted = oneOfMany(seed, 100);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(8));
        List<Endpoint> newServers = new ArrayList<>();
        int toNewServers = 0;
        for (int i = 0; i < 80; i++) {
            if (i == 40) {
                for (int j = 0; j < 4; j++) {
                    double startedMs = scripted.nowMs - 0.7 * WARM_UP_MS;
                    newServers.add(new Endpoint("new" + j, 0, 0, EndpointState.READY, startedMs));
                }
                scripted.updateEndpoints(false, newServers);
            }
            String server = ScriptedLoadBalancer.sentTo(scripted.request("r" + i, 0));
            boolean isNew = server.startsWith("new");
            toNewServers += isNew ? 1 : 0;
            scripted.advance(40);
            scripted.deliver(new AttemptEnded(
                    "r" + i,
                    0,
                    server,
                    isNew ? Outcome.CANCELLED : Outcome.SUCCESS,
                    40,
                    true,
                    isNew ? null : new double[] {1, 30}));
            scripted.advance(200);
        }
        // The new servers are a third of the members and have warm-up shares for half of the requests.
        Assert.assertTrue(
                toNewServers <= 15,
                "expected at most 15 of 40 requests at servers without reports but was " + toNewServers);
    }

    /** If nearly all servers are warming up, overlapping warm-up shares would leave most requests without a server. */
    @Test(dataProvider = "seeds")
    public void warmUpSharesDoNotOverlap(int seed) {
        ScriptedLoadBalancer scripted = oneOfMany(seed, 100, 1_000 * WARM_UP_MS);
        List<Endpoint> newServers = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            newServers.add(new Endpoint("new" + i, 0, 0, EndpointState.READY, scripted.nowMs));
        }
        scripted.updateEndpoints(true, newServers);
        Map<String, Integer> sent = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            String id = "r" + i;
            String server = ScriptedLoadBalancer.sentTo(scripted.request(id, 0));
            if (server != null) {
                sent.merge(server, 1, Integer::sum);
                scripted.advance(40);
                scripted.deliver(new AttemptEnded(id, 0, server, Outcome.SUCCESS, 40, true, new double[] {0, 30}));
            }
            scripted.advance(2_500);
        }
        int all = sent.values().stream().mapToInt(Integer::intValue).sum();
        // At 0.32 to 0.36 of their capacity, the members may get 0.60 to 0.67 of the requests, each a sixteenth of it.
        Assert.assertTrue(
                all >= 220 && all <= 290, "expected 220 to 290 of 400 requests to be sent at once but was " + all);
        Assert.assertTrue(
                sent.values().stream().allMatch(count -> count <= 34),
                "expected at most 34 requests at each server but was " + sent);
    }

    /** An instance that starts during an overload has measured only high latencies, which must not count as normal. */
    @Test(dataProvider = "seeds")
    public void instanceThatStartsUnderOverloadLimitsRequestsInFlight(int seed) {
        ScriptedLoadBalancer scripted = oneOfMany(seed, 100);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(60));
        Deque<OpenAttempt> openAttempts = collectAttempts(scripted);
        int maxOpen = 0;
        for (int i = 0; i < 100; i++) {
            drive(scripted, openAttempts, "d" + i, 45, 450);
            maxOpen = i < 20 ? 0 : Math.max(maxOpen, openAttempts.size());
        }
        Assert.assertTrue(
                maxOpen <= 7, "expected at most 7 attempts in flight at latencies of 450 ms but was " + maxOpen);
    }

    /** With twenty instances, the minimum limit of each server would allow forty requests in flight there. */
    @Test(dataProvider = "seeds")
    public void limitsInstancesThatShareAllServersUnderOverload(int seed) {
        ScriptedLoadBalancer scripted = oneOfMany(seed, 20);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(12));
        Deque<OpenAttempt> openAttempts = collectAttempts(scripted);
        for (int i = 0; i < 100; i++) {
            drive(scripted, openAttempts, "calm" + i, 50, 60);
        }
        int maxOpen = 0;
        for (int i = 0; i < 150; i++) {
            drive(scripted, openAttempts, "overload" + i, 30, 1_200);
            maxOpen = i < 80 ? 0 : Math.max(maxOpen, openAttempts.size());
        }
        Assert.assertTrue(
                maxOpen <= 4, "expected at most 4 attempts in flight at latencies of 1,200 ms but was " + maxOpen);
    }

    /** The instance limit must follow the latencies of the last second and not a mean that includes the overload. */
    @Test(dataProvider = "seeds")
    public void stopsRejectingRequestsAfterOverload(int seed) {
        ScriptedLoadBalancer scripted = oneOfMany(seed, 100);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(60));
        Deque<OpenAttempt> openAttempts = collectAttempts(scripted);
        for (int i = 0; i < 60; i++) {
            drive(scripted, openAttempts, "calm" + i, 150, 100);
        }
        for (int i = 0; i < 150; i++) {
            drive(scripted, openAttempts, "overload" + i, 60, 1_200);
        }
        for (int i = 0; i < 25; i++) {
            drive(scripted, openAttempts, "end" + i, 60, 100);
        }
        Set<String> rejected = new HashSet<>();
        int from = scripted.actions.size();
        for (int i = 0; i < 40; i++) {
            drive(scripted, openAttempts, "after" + i, 60, 100);
        }
        List<LoadBalancer.Action> later = scripted.actions.subList(from, scripted.actions.size());
        ScriptedLoadBalancer.only(LoadBalancer.RejectRequest.class, later)
                .forEach(rejection -> rejected.add(rejection.id()));
        Assert.assertTrue(
                rejected.size() <= 4,
                "expected at most 4 of 40 requests rejected 1.5 s after the overload but was " + rejected.size());
    }

    /** Without load reports and responses, only cancelled attempts show the overload. */
    @Test(dataProvider = "seeds")
    public void sendsFewRequestsWhileNoResponseIsInTime(int seed) {
        Unreported unreported = new Unreported(oneOfMany(seed, 100), server -> true);
        unreported.scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(60));
        unreported.drive("calm", 400, 100);
        unreported.responding = server -> false;
        unreported.drive("overload", 200, 100);
        unreported.maxOpen = 0;
        unreported.drive("lasting", 200, 100);
        Assert.assertTrue(
                unreported.maxOpen <= 3,
                "expected at most 3 attempts in flight without responses but was " + unreported.maxOpen);
    }

    /** An instance that gets 40 requests per second and no load reports. */
    private static final class Unreported {

        private final ScriptedLoadBalancer scripted;
        private final Map<String, OpenAttempt> openAttempts = new LinkedHashMap<>();
        /** Number of attempts of each request. */
        private final Map<String, Integer> attempts = new HashMap<>();

        private Predicate<String> responding;
        private int maxOpen;

        Unreported(ScriptedLoadBalancer scripted, Predicate<String> responding) {
            this.scripted = scripted;
            this.responding = responding;
            scripted.watcher = answer -> {
                for (SendAttempt send : ScriptedLoadBalancer.only(SendAttempt.class, answer)) {
                    openAttempts.put(send.id(), new OpenAttempt(send.id(), send.server(), scripted.nowMs));
                    attempts.merge(send.id(), 1, Integer::sum);
                }
                maxOpen = Math.max(maxOpen, openAttempts.size());
                ScriptedLoadBalancer.only(LoadBalancer.CancelAttempt.class, answer)
                        .forEach(this::onCancel);
            };
        }

        private void onCancel(LoadBalancer.CancelAttempt cancel) {
            OpenAttempt attempt = openAttempts.remove(cancel.id());
            scripted.deliver(new AttemptEnded(
                    attempt.id,
                    cancel.attempt(),
                    attempt.server,
                    Outcome.CANCELLED,
                    scripted.nowMs - attempt.sentMs,
                    false,
                    null));
        }

        void drive(String name, int requests, double tookMs) {
            for (int i = 0; i < requests; i++) {
                scripted.request(name + i, 0);
                scripted.advance(25);
                for (OpenAttempt oldest : List.copyOf(openAttempts.values())) {
                    if (scripted.nowMs - oldest.sentMs >= tookMs && responding.test(oldest.server)) {
                        openAttempts.remove(oldest.id);
                        scripted.deliver(new AttemptEnded(
                                oldest.id,
                                attempts.get(oldest.id) - 1,
                                oldest.server,
                                Outcome.SUCCESS,
                                scripted.nowMs - oldest.sentMs,
                                true,
                                null));
                    }
                }
            }
        }
    }

    /** Sends a request, lets time pass, and ends attempts that have been open for {@code tookMs}. */
    private static void drive(
            ScriptedLoadBalancer scripted, Deque<OpenAttempt> openAttempts, String id, double everyMs, double tookMs) {
        scripted.request(id, 0);
        scripted.advance(everyMs);
        while (!openAttempts.isEmpty() && scripted.nowMs - openAttempts.peek().sentMs >= tookMs) {
            OpenAttempt oldest = openAttempts.remove();
            scripted.deliver(new AttemptEnded(
                    oldest.id, 0, oldest.server, Outcome.SUCCESS, scripted.nowMs - oldest.sentMs, true, new double[] {
                        tookMs / 50, tookMs / 2
                    }));
        }
    }

    private record OpenAttempt(String id, String server, double sentMs) {}

    private static Deque<OpenAttempt> collectAttempts(ScriptedLoadBalancer scripted) {
        Deque<OpenAttempt> openAttempts = new ArrayDeque<>();
        scripted.watcher = answer -> {
            for (SendAttempt send : ScriptedLoadBalancer.only(SendAttempt.class, answer)) {
                openAttempts.add(new OpenAttempt(send.id(), send.server(), scripted.nowMs));
            }
        };
        return openAttempts;
    }

    /** Serves a request. New servers report 0 requests in flight; of the others, half report 6 and half 24. */
    private static String serve(ScriptedLoadBalancer scripted, String id) {
        String server = ScriptedLoadBalancer.sentTo(scripted.request(id, 0));
        Assert.assertNotNull(server);
        boolean isNew = server.startsWith("new");
        int others = isNew ? 0 : server.charAt(1) % 2 == 0 ? 6 : 24;
        scripted.advance(40);
        double latencyMs = isNew ? 60 : 150;
        double[] report = {others, 50};
        scripted.deliver(new AttemptEnded(id, 0, server, Outcome.SUCCESS, latencyMs, true, report));
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
