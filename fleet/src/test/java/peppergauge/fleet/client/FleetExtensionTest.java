package peppergauge.fleet.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.testng.annotations.Test;
import peppergauge.decision.AdaptiveLoadBalancer;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Action;
import peppergauge.decision.LoadBalancer.Event;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.invariant.RandomHost;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.ZoneWeights;
import peppergauge.request.Clock;
import peppergauge.request.IncomingRequest;
import peppergauge.request.RequestHandler;
import peppergauge.request.ResponseListener;
import peppergauge.settings.SettingsNames;

public class FleetExtensionTest {

    private static final SettingsNames NAMES =
            new SettingsNames(List.of("listen", "give"), List.of("radio", "press"), List.of("east", "west"));

    // ---- Load balancer ----

    private static LoadBalancer.Settings settings() {
        return new LoadBalancer.Settings(
                0,
                3,
                0,
                1,
                false,
                0.1,
                List.of(new LoadBalancer.RequestClass(300, 800, 1, 0, Idempotency.IDEMPOTENT, KeyScope.ALL, 0)),
                List.of(new LoadBalancer.Tenant(1_000)),
                new LoadBalancer.Limits(4, false, true, false, true, 1_500, false, 15_000),
                new LoadBalancer.Rules(0.12, 24_000, 2.5, 3_000, true, LoadBalancer.RetryBudgetConfig.UNLIMITED),
                List.of());
    }

    /** Returns the actions under random events, without weight updates, which would replace those of the test. */
    private static List<Action> actionsOf(LoadBalancer loadBalancer, long seed) {
        List<Action> actions = new ArrayList<>();
        new RandomHost(
                        (now, event, host) -> {
                            if (!(event instanceof LoadBalancer.ZoneWeightsUpdated)) {
                                loadBalancer.handle(now, event, action -> {
                                    actions.add(action);
                                    host.accept(action);
                                });
                            }
                        },
                        settings(),
                        seed)
                .run(3_000);
        return actions;
    }

    private static ZoneWeightedLoadBalancer weighted(long seed, KeyStatistics keys, double[][] weights) {
        ZoneWeightedLoadBalancer weighted = new ZoneWeightedLoadBalancer(
                new AdaptiveLoadBalancer(settings(), seed), new TrafficCounter(NAMES), keys);
        weighted.setZoneWeights(weights);
        return weighted;
    }

    /** Without a table the wrapper must not change decisions: same seed, same events, same actions. */
    @Test
    public void decidesAsUnwrappedLoadBalancerWithoutTable() {
        double[][] none = FleetExtension.weightsByIndex(ZoneWeights.NEUTRAL, NAMES);
        for (long seed = 1; seed <= 3; seed++) {
            List<Action> plain = actionsOf(new AdaptiveLoadBalancer(settings(), seed), seed);
            assertTrue(plain.stream()
                            .filter(LoadBalancer.SendAttempt.class::isInstance)
                            .count()
                    > 500);
            assertFalse(
                    actionsOf(new AdaptiveLoadBalancer(settings(), seed + 100), seed)
                            .equals(plain),
                    "expected other actions with another seed");
            assertEquals(
                    actionsOf(
                            new ZoneWeightedLoadBalancer(
                                    new AdaptiveLoadBalancer(settings(), seed),
                                    new TrafficCounter(NAMES),
                                    KeyStatistics.NONE),
                            seed),
                    plain);
            assertEquals(
                    actionsOf(weighted(seed, KeyStatistics.NONE, none), seed),
                    plain,
                    "expected the same actions with neutral weights");
            assertEquals(
                    actionsOf(weighted(seed, SampledKeyStatistics.of(16, NAMES.zones()), none), seed),
                    plain,
                    "expected the same actions with key statistics");
            assertFalse(
                    actionsOf(weighted(seed, KeyStatistics.NONE, new double[][] {{0.05, 1, 1}}), seed)
                            .equals(plain),
                    "expected other actions with weights");
        }
    }

    @Test
    public void passesWeightsOnceBeforeNextEvent() {
        List<Event> seen = new ArrayList<>();
        ZoneWeightedLoadBalancer weighted = new ZoneWeightedLoadBalancer(
                (now, event, actions) -> seen.add(event), new TrafficCounter(NAMES), KeyStatistics.NONE);
        weighted.setZoneWeights(new double[0][]);
        double[][] weights = FleetExtension.weightsByIndex(
                new ZoneWeights(Map.of("press", Map.of("west", 0.5, "mars", 0.1), "stranger", Map.of("east", 0.1))),
                NAMES);
        weighted.setZoneWeights(weights);
        Event event = new LoadBalancer.DiscoveryFailed();
        weighted.handle(1, event, action -> {});
        weighted.handle(2, event, action -> {});
        assertEquals(seen.size(), 3);
        assertEquals(((LoadBalancer.ZoneWeightsUpdated) seen.get(0)).weights(), new double[][] {{1, 1}, {1, 0.5}});
        assertEquals(FleetExtension.weightsByIndex(ZoneWeights.NEUTRAL, NAMES).length, 0);
    }

    // ---- Counting requests ----

    /** Returns a listener that counts its calls by request. */
    private static ResponseListener client(String id, Map<String, Integer> responses) {
        return (ResponseListener) Proxy.newProxyInstance(
                ResponseListener.class.getClassLoader(),
                new Class<?>[] {ResponseListener.class},
                (proxy, method, arguments) -> {
                    responses.merge(id, 1, Integer::sum);
                    return null;
                });
    }

    @Test
    public void countsEachRequestOnceByZoneAndOutcome() {
        TrafficCounter counter = new TrafficCounter(NAMES);
        counter.onEndpointUpdate(true, Map.of("s0", 0, "s1", 1));
        Map<String, ResponseListener> listeners = new TreeMap<>();
        List<Runnable> posted = new ArrayList<>();
        boolean[] onEventLoop = {false};
        RequestHandler requests = new RequestHandler() {
            @Override
            public void handle(IncomingRequest request, ResponseListener listener) {
                listeners.put(request.id(), listener);
            }

            @Override
            public void cancel(String id, ResponseListener listener) {
                assertEquals(listener, listeners.get(id), "expected cancellation with the listener of the request");
            }
        };
        CountingRequestHandler handler = new CountingRequestHandler(
                requests,
                counter,
                KeyStatistics.NONE,
                NAMES.tenants(),
                new Clock(0) {
                    @Override
                    public double nowMs() {
                        return 1_040;
                    }
                },
                new CountingRequestHandler.EventLoopExecutor() {
                    @Override
                    public boolean isEventLoopThread() {
                        return onEventLoop[0];
                    }

                    @Override
                    public void execute(Runnable task) {
                        posted.add(task);
                    }
                });
        Map<String, ResponseListener> clients = new TreeMap<>();
        Map<String, Integer> responses = new HashMap<>();
        for (String id : new String[] {"served", "again", "refused", "denied", "failed", "left", "twice"}) {
            clients.put(id, client(id, responses));
            handler.handle(
                    new IncomingRequest(id, id.equals("failed") ? 1 : 0, 1, 500, false, 1_000, null), clients.get(id));
        }
        assertTrue(listeners.isEmpty(), "expected no request handled outside the event loop");
        onEventLoop[0] = true;
        posted.forEach(Runnable::run);
        counter.onAttemptSent("served", "s1");
        counter.onAttemptSent("again", "s1");
        counter.onAttemptSent("again", "s0");
        counter.onAttemptSent("refused", "s0");
        counter.onAttemptSent("failed", "s9");
        listeners.get("served").onResponse(null);
        listeners.get("again").onResponse(null);
        listeners.get("refused").onRejected(0);
        onEventLoop[0] = false;
        posted.clear();
        listeners.get("denied").onRejected(0);
        assertFalse(responses.containsKey("denied"), "expected no response delivered outside the event loop");
        onEventLoop[0] = true;
        posted.forEach(Runnable::run);
        listeners.get("failed").onFailed(true);
        listeners.get("twice").onDuplicateId();
        handler.cancel("left", clients.get("left"));
        clients.keySet().forEach(id -> assertEquals(responses.get(id), id.equals("left") ? null : (Integer) 1, id));
        assertEquals(counter.openRequests(), 0);
        Map<TrafficKey, String> counted = new HashMap<>();
        counter.copy()
                .forEach(counts -> counted.put(
                        counts.key(),
                        counts.answered() + " " + counts.rejected() + " " + counts.failed() + " "
                                + (counts.latency() == null
                                        ? ""
                                        : counts.latency().getMaxValue())));
        assertEquals(
                counted,
                Map.of(
                        new TrafficKey("press", "listen", "west"),
                        "1 0 0 40",
                        new TrafficKey("press", "listen", "east"),
                        "1 1 0 40",
                        new TrafficKey("press", "listen", ""),
                        "0 1 1 ",
                        new TrafficKey("press", "give", ""),
                        "0 0 1 "));
    }

    // ---- Selection of instances ----

    @Test
    public void daemonsWithSameSeedAndSimilarNamesSpread() {
        Map<String, Integer> first = new TreeMap<>();
        int[] tenths = new int[10];
        for (int i = 0; i < 300; i++) {
            Random random = FleetClient.random(7, "sidecar-" + i);
            first.merge(new InstanceSelector(List.of("a", "b", "c"), 60_000, random).current(), 1, Integer::sum);
            tenths[(int) (random.nextDouble() * 10)]++;
        }
        assertTrue(first.values().stream().allMatch(count -> count > 70 && count < 130), first.toString());
        assertTrue(java.util.Arrays.stream(tenths).allMatch(count -> count > 10 && count < 60));
    }

    @Test
    public void daemonsSpreadOverInstancesAndTime() {
        Set<String> first = new HashSet<>();
        Set<Long> delaysMs = new HashSet<>();
        for (long seed = 0; seed < 30; seed++) {
            InstanceSelector addresses = new InstanceSelector(List.of("a", "b", "c"), 60_000, new Random(seed));
            first.add(addresses.current());
            Set<String> selected = new HashSet<>();
            long longestDelayMs = 0;
            for (int i = 0; i < 3; i++) {
                selected.add(addresses.current());
                longestDelayMs = Math.max(longestDelayMs, addresses.onFailure(10_000));
            }
            assertEquals(selected.size(), 3);
            assertTrue(longestDelayMs <= 2_000, "expected short delays in the first round");
            for (int i = 0; i < 60; i++) {
                long delayMs = addresses.onFailure(10_000);
                assertTrue(delayMs <= 60_000 && delayMs >= 500);
                longestDelayMs = Math.max(longestDelayMs, delayMs);
            }
            assertTrue(longestDelayMs > 30_000, "expected a long backoff when all instances fail");
            long delayMs = addresses.onSuccess(10_000);
            assertTrue(delayMs >= 8_000 && delayMs <= 12_000);
            delaysMs.add(delayMs);
        }
        assertEquals(first, Set.of("a", "b", "c"));
        assertTrue(delaysMs.size() > 25);
    }
}
