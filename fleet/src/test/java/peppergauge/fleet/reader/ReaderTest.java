package peppergauge.fleet.reader;

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

public class ReaderTest {

    private static final SettingsNames NAMES =
            new SettingsNames(List.of("listen", "give"), List.of("radio", "press"), List.of("east", "west"));

    // ---- The module ----

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

    /** What a module decides while all happens that may, by a seed; but for steering, which would hide ours. */
    private static List<Action> decided(LoadBalancer module, long seed) {
        List<Action> actions = new ArrayList<>();
        new RandomHost(
                        (now, event, host) -> {
                            if (!(event instanceof LoadBalancer.ZoneWeightsUpdated)) {
                                module.handle(now, event, action -> {
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

    private static ZoneWeightedLoadBalancer steered(long seed, KeySource keys, double[][] factors) {
        ZoneWeightedLoadBalancer steered =
                new ZoneWeightedLoadBalancer(new AdaptiveLoadBalancer(settings(), seed), new Witness(NAMES), keys);
        steered.steer(factors);
        return steered;
    }

    /** Same seed, same events, same draws: with the reader round it and no table the module is what it was. */
    @Test
    public void withoutATableTheModuleDecidesAsOneThatWasNeverTold() {
        double[][] none = FleetExtension.factors(ZoneWeights.NEUTRAL, NAMES);
        for (long seed = 1; seed <= 3; seed++) {
            List<Action> plain = decided(new AdaptiveLoadBalancer(settings(), seed), seed);
            assertTrue(plain.stream()
                            .filter(LoadBalancer.SendAttempt.class::isInstance)
                            .count()
                    > 500);
            assertFalse(
                    decided(new AdaptiveLoadBalancer(settings(), seed + 100), seed)
                            .equals(plain),
                    "the seed decides nothing");
            assertEquals(
                    decided(
                            new ZoneWeightedLoadBalancer(
                                    new AdaptiveLoadBalancer(settings(), seed), new Witness(NAMES), KeySource.NONE),
                            seed),
                    plain);
            assertEquals(decided(steered(seed, KeySource.NONE, none), seed), plain, "a table of nothing is as none");
            assertEquals(
                    decided(steered(seed, SampledKeys.of(16, NAMES.zones()), none), seed),
                    plain,
                    "counting keys decides nothing");
            assertFalse(
                    decided(steered(seed, KeySource.NONE, new double[][] {{0.05, 1, 1}}), seed)
                            .equals(plain),
                    "a table decides nothing");
        }
    }

    @Test
    public void whatIsInForceReachesTheModuleOnceAndBeforeItsNextEvent() {
        List<Event> seen = new ArrayList<>();
        ZoneWeightedLoadBalancer steered = new ZoneWeightedLoadBalancer(
                (now, event, actions) -> seen.add(event), new Witness(NAMES), KeySource.NONE);
        steered.steer(new double[0][]);
        double[][] factors = FleetExtension.factors(
                new ZoneWeights(Map.of("press", Map.of("west", 0.5, "mars", 0.1), "stranger", Map.of("east", 0.1))),
                NAMES);
        steered.steer(factors);
        Event event = new LoadBalancer.DiscoveryFailed();
        steered.handle(1, event, action -> {});
        steered.handle(2, event, action -> {});
        assertEquals(seen.size(), 3);
        assertEquals(((LoadBalancer.ZoneWeightsUpdated) seen.get(0)).weights(), new double[][] {{1, 1}, {1, 0.5}});
        assertEquals(FleetExtension.factors(ZoneWeights.NEUTRAL, NAMES).length, 0);
    }

    // ---- What clients saw ----

    /** Counts whatever it is answered. */
    private static ResponseListener client(String id, Map<String, Integer> answers) {
        return (ResponseListener) Proxy.newProxyInstance(
                ResponseListener.class.getClassLoader(),
                new Class<?>[] {ResponseListener.class},
                (proxy, answer, how) -> {
                    answers.merge(id, 1, Integer::sum);
                    return null;
                });
    }

    @Test
    public void eachSessionIsCountedOnceByWhereItWentAndHowItEnded() {
        Witness witness = new Witness(NAMES);
        witness.listed(true, Map.of("s0", 0, "s1", 1));
        Map<String, ResponseListener> handed = new TreeMap<>();
        List<Runnable> posted = new ArrayList<>();
        boolean[] here = {false};
        RequestHandler sessions = new RequestHandler() {
            @Override
            public void handle(IncomingRequest opening, ResponseListener frontend) {
                handed.put(opening.id(), frontend);
            }

            @Override
            public void cancel(String id, ResponseListener frontend) {
                assertEquals(frontend, handed.get(id), "who leaves is whom they know");
            }
        };
        WitnessedIntake intake = new WitnessedIntake(
                sessions,
                witness,
                KeySource.NONE,
                NAMES.tenants(),
                new Clock(0) {
                    @Override
                    public double nowMs() {
                        return 1_040;
                    }
                },
                new WitnessedIntake.Loop() {
                    @Override
                    public boolean isHere() {
                        return here[0];
                    }

                    @Override
                    public void execute(Runnable task) {
                        posted.add(task);
                    }
                });
        Map<String, ResponseListener> clients = new TreeMap<>();
        Map<String, Integer> answers = new HashMap<>();
        for (String id : new String[] {"served", "again", "refused", "denied", "failed", "left", "twice"}) {
            clients.put(id, client(id, answers));
            intake.handle(
                    new IncomingRequest(id, id.equals("failed") ? 1 : 0, 1, 500, false, 1_000, null), clients.get(id));
        }
        assertTrue(handed.isEmpty(), "nothing off the loop");
        here[0] = true;
        posted.forEach(Runnable::run);
        witness.sent("served", "s1");
        witness.sent("again", "s1");
        witness.sent("again", "s0");
        witness.sent("refused", "s0");
        witness.sent("failed", "s9");
        handed.get("served").onResponse(null);
        handed.get("again").onResponse(null);
        handed.get("refused").onRejected(0);
        here[0] = false;
        posted.clear();
        handed.get("denied").onRejected(0);
        assertFalse(answers.containsKey("denied"), "nothing off the loop");
        here[0] = true;
        posted.forEach(Runnable::run);
        handed.get("failed").onFailed(true);
        handed.get("twice").onDuplicateId();
        intake.cancel("left", clients.get("left"));
        clients.keySet().forEach(id -> assertEquals(answers.get(id), id.equals("left") ? null : (Integer) 1, id));
        assertEquals(witness.open(), 0);
        Map<TrafficKey, String> counted = new HashMap<>();
        witness.copy()
                .forEach(cells -> counted.put(
                        cells.cell(),
                        cells.answered() + " " + cells.denied() + " " + cells.failed() + " "
                                + (cells.latency() == null
                                        ? ""
                                        : cells.latency().getMaxValue())));
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

    // ---- Whom it asks ----

    @Test
    public void daemonsOfOneSeedWithNamesThatDifferByADigitSpread() {
        Map<String, Integer> first = new TreeMap<>();
        int[] tenths = new int[10];
        for (int i = 0; i < 300; i++) {
            Random random = Reporting.random(7, "sidecar-" + i);
            first.merge(new Addresses(List.of("a", "b", "c"), 60_000, random).present(), 1, Integer::sum);
            tenths[(int) (random.nextDouble() * 10)]++;
        }
        assertTrue(first.values().stream().allMatch(count -> count > 70 && count < 130), first.toString());
        assertTrue(java.util.Arrays.stream(tenths).allMatch(count -> count > 10 && count < 60));
    }

    @Test
    public void daemonsSpreadOverInstancesAndOverTime() {
        Set<String> first = new HashSet<>();
        Set<Long> waits = new HashSet<>();
        for (long seed = 0; seed < 30; seed++) {
            Addresses addresses = new Addresses(List.of("a", "b", "c"), 60_000, new Random(seed));
            first.add(addresses.present());
            Set<String> met = new HashSet<>();
            long most = 0;
            for (int i = 0; i < 3; i++) {
                met.add(addresses.present());
                most = Math.max(most, addresses.failed(10_000));
            }
            assertEquals(met.size(), 3);
            assertTrue(most <= 2_000, "the others are asked soon");
            for (int i = 0; i < 60; i++) {
                long wait = addresses.failed(10_000);
                assertTrue(wait <= 60_000 && wait >= 500);
                most = Math.max(most, wait);
            }
            assertTrue(most > 30_000, "where all are gone they are left in peace");
            long wait = addresses.worked(10_000);
            assertTrue(wait >= 8_000 && wait <= 12_000);
            waits.add(wait);
        }
        assertEquals(first, Set.of("a", "b", "c"));
        assertTrue(waits.size() > 25);
    }
}
