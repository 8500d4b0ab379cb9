package peppergauge.invariant;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.lang.reflect.Field;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.AdaptiveLoadBalancer;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.DiscoveryFailed;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.EndpointsUpdated;
import peppergauge.decision.LoadBalancer.RequestArrived;
import peppergauge.decision.LoadBalancer.Settings;

/**
 * The module under random load, with all invariants on. {@code -Dinvariant.seeds=2000} is the long run by hand, beginning
 * at {@code -Dinvariant.first} with {@code -Dinvariant.events} for each.
 */
public class RandomLoadTest {

    private static final int SEEDS = Integer.getInteger("invariant.seeds", 40);
    private static final int SEEDS_FOR_A_FAULT = 60;
    private static final int FIRST = Integer.getInteger("invariant.first", 1);
    private static final int EVENTS = Integer.getInteger("invariant.events", 2_000);

    @Test
    public void allHoldsWhateverHappens() throws ReflectiveOperationException {
        long events = 0;
        long sent = 0;
        long startedNs = System.nanoTime();
        for (int seed = FIRST; seed < FIRST + SEEDS; seed++) {
            try {
                RandomHost host = run(seed);
                events += host.events();
                sent += host.sent();
            } catch (AssertionError | RuntimeException broken) {
                throw new AssertionError("seed " + seed + ": " + broken, broken);
            }
        }
        System.out.printf(
                "module: %d events, %d attempts, %d seeds, %.1f s%n",
                events, sent, SEEDS, (System.nanoTime() - startedNs) / 1e9);
    }

    private static RandomHost run(long seed) throws ReflectiveOperationException {
        Settings settings = DrawnSettings.of(new SplittableRandom(seed));
        AdaptiveLoadBalancer module = new AdaptiveLoadBalancer(settings, seed);
        CheckedBalancer checked = (CheckedBalancer) CheckedBalancer.around(module, settings);
        RandomHost host = new RandomHost(checked, settings, seed);
        host.run(EVENTS);
        assertOver(host, checked, module);
        assertTrue(host.servesAgain(), "not served again");
        assertOver(host, checked, module);
        return host;
    }

    @DataProvider
    public Object[][] mutants() {
        return Stream.of(Mutant.values()).map(mutant -> new Object[] {mutant}).toArray(Object[][]::new);
    }

    /** Each is found by its own invariant, where another one does not bind first. */
    @Test(dataProvider = "mutants")
    public void aPlantedFaultIsFound(Mutant mutant) {
        Map<Invariant, Integer> found = new EnumMap<>(Invariant.class);
        for (long seed = 1; seed <= SEEDS_FOR_A_FAULT && !found.containsKey(mutant.found); seed++) {
            Settings settings = DrawnSettings.of(new SplittableRandom(seed));
            LoadBalancer module = new AdaptiveLoadBalancer(mutant.settings(settings), seed);
            try {
                new RandomHost(CheckedBalancer.around(mutant.around(module, settings), settings), settings, seed)
                        .run(EVENTS);
            } catch (InvariantBroken broken) {
                found.merge(broken.invariant(), 1, Integer::sum);
            }
        }
        assertTrue(found.containsKey(mutant.found), mutant + " was found by " + found);
    }

    /** A host's own faults: what it tells is held against the same account. */
    @Test
    public void aHostThatTellsWhatCannotBeIsFound() {
        Settings settings = DrawnSettings.of(new SplittableRandom(1));
        RequestArrived arrived = new RequestArrived("r", 0, 0, 100, false);
        assertBroken(Invariant.CLOCK, settings, balancer -> {
            balancer.handle(10, new DiscoveryFailed(), action -> {});
            balancer.handle(9, new DiscoveryFailed(), action -> {});
        });
        assertBroken(Invariant.CLOCK, settings, balancer -> balancer.handle(Double.NaN, arrived, action -> {}));
        assertBroken(Invariant.HOST, settings, balancer -> {
            balancer.handle(
                    9,
                    new EndpointsUpdated(true, false, List.of(new Endpoint("s", 0, 0, EndpointState.READY, 0))),
                    action -> {});
            balancer.handle(10, arrived, action -> {});
            balancer.handle(11, arrived, action -> {});
        });
        assertBroken(
                Invariant.HOST,
                settings,
                balancer -> balancer.handle(10, new RequestArrived("r", 0, 0, Double.NaN, false), action -> {}));
    }

    private static void assertBroken(Invariant invariant, Settings settings, Consumer<LoadBalancer> host) {
        LoadBalancer checked = CheckedBalancer.around(new AdaptiveLoadBalancer(settings, 1), settings);
        assertEquals(
                expectThrows(InvariantBroken.class, () -> host.accept(checked)).invariant(), invariant);
    }

    /** The module's own maps: what stays in them is never let go. */
    private static void assertOver(RandomHost host, CheckedBalancer checked, AdaptiveLoadBalancer module)
            throws ReflectiveOperationException {
        assertEquals(host.unanswered(), 0, "unanswered");
        assertEquals(checked.open(), 0, "kept by the account");
        assertEquals(map(module, "requests").size(), 0, "requests");
        assertEquals(map(field(module, "pendingQueue"), "requests").size(), 0, "pending requests");
    }

    private static Map<?, ?> map(Object of, String name) throws ReflectiveOperationException {
        return (Map<?, ?>) field(of, name);
    }

    private static Object field(Object of, String name) throws ReflectiveOperationException {
        Field field = of.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(of);
    }
}
