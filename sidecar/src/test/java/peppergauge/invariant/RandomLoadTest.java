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
 * Runs the load balancer under random load and checks all invariants. For a longer run than in the build, {@code
 * -Dinvariant.seeds} sets the number of seeds (such as 2000), {@code -Dinvariant.first} the first seed, and {@code
 * -Dinvariant.events} the number of events of each run.
 */
public class RandomLoadTest {

    private static final int SEEDS = Integer.getInteger("invariant.seeds", 40);
    private static final int SEEDS_FOR_A_FAULT = 60;
    private static final int FIRST_SEED = Integer.getInteger("invariant.first", 1);
    private static final int EVENTS = Integer.getInteger("invariant.events", 2_000);

    @Test
    public void invariantsHoldUnderRandomLoad() throws ReflectiveOperationException {
        long events = 0;
        long sent = 0;
        long startedNs = System.nanoTime();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            try {
                RandomHost host = run(seed);
                events += host.events();
                sent += host.sent();
            } catch (AssertionError | RuntimeException failure) {
                throw new AssertionError("seed " + seed + ": " + failure, failure);
            }
        }
        System.out.printf(
                "load balancer: %d events, %d attempts, %d seeds, %.1f s%n",
                events, sent, SEEDS, (System.nanoTime() - startedNs) / 1e9);
    }

    private static RandomHost run(long seed) throws ReflectiveOperationException {
        Settings settings = RandomSettings.of(new SplittableRandom(seed));
        AdaptiveLoadBalancer balancer = new AdaptiveLoadBalancer(settings, seed);
        InvariantCheckingLoadBalancer checked =
                (InvariantCheckingLoadBalancer) InvariantCheckingLoadBalancer.wrap(balancer, settings);
        RandomHost host = new RandomHost(checked, settings, seed);
        host.run(EVENTS);
        assertNothingLeft(host, checked, balancer);
        assertTrue(host.recovers(), "expected most requests to be sent once all servers are healthy");
        assertNothingLeft(host, checked, balancer);
        return host;
    }

    @DataProvider
    public Object[][] mutants() {
        return Stream.of(Mutant.values()).map(mutant -> new Object[] {mutant}).toArray(Object[][]::new);
    }

    /** Each fault must be detected by the invariant that it violates. */
    @Test(dataProvider = "mutants")
    public void plantedFaultViolatesItsInvariant(Mutant mutant) {
        Map<Invariant, Integer> violations = new EnumMap<>(Invariant.class);
        for (long seed = 1; seed <= SEEDS_FOR_A_FAULT && !violations.containsKey(mutant.violated); seed++) {
            Settings settings = RandomSettings.of(new SplittableRandom(seed));
            LoadBalancer balancer = new AdaptiveLoadBalancer(mutant.settings(settings), seed);
            try {
                new RandomHost(
                                InvariantCheckingLoadBalancer.wrap(mutant.wrap(balancer, settings), settings),
                                settings,
                                seed)
                        .run(EVENTS);
            } catch (InvariantViolation violation) {
                violations.merge(violation.invariant(), 1, Integer::sum);
            }
        }
        assertTrue(
                violations.containsKey(mutant.violated),
                mutant + ": expected a violation of " + mutant.violated + " but was " + violations);
    }

    /** Events that a correct host never delivers must be detected as well. */
    @Test
    public void inconsistentHostEventsViolateInvariants() {
        Settings settings = RandomSettings.of(new SplittableRandom(1));
        RequestArrived arrived = new RequestArrived("r", 0, 0, 100, false);
        assertViolated(Invariant.CLOCK, settings, balancer -> {
            balancer.handle(10, new DiscoveryFailed(), action -> {});
            balancer.handle(9, new DiscoveryFailed(), action -> {});
        });
        assertViolated(Invariant.CLOCK, settings, balancer -> balancer.handle(Double.NaN, arrived, action -> {}));
        assertViolated(Invariant.HOST, settings, balancer -> {
            balancer.handle(
                    9,
                    new EndpointsUpdated(true, false, List.of(new Endpoint("s", 0, 0, EndpointState.READY, 0))),
                    action -> {});
            balancer.handle(10, arrived, action -> {});
            balancer.handle(11, arrived, action -> {});
        });
        assertViolated(
                Invariant.HOST,
                settings,
                balancer -> balancer.handle(10, new RequestArrived("r", 0, 0, Double.NaN, false), action -> {}));
    }

    private static void assertViolated(Invariant invariant, Settings settings, Consumer<LoadBalancer> host) {
        LoadBalancer checked = InvariantCheckingLoadBalancer.wrap(new AdaptiveLoadBalancer(settings, 1), settings);
        assertEquals(
                expectThrows(InvariantViolation.class, () -> host.accept(checked))
                        .invariant(),
                invariant);
    }

    /** Checks that no request is left in the load balancer, where it would leak memory. */
    private static void assertNothingLeft(
            RandomHost host, InvariantCheckingLoadBalancer checked, AdaptiveLoadBalancer balancer)
            throws ReflectiveOperationException {
        assertEquals(host.unanswered(), 0, "expected no unanswered requests");
        assertEquals(checked.openRequestCount(), 0, "expected no open requests in the model");
        assertEquals(map(balancer, "requests").size(), 0, "expected no requests in the load balancer");
        assertEquals(map(field(balancer, "pendingQueue"), "requests").size(), 0, "expected no pending requests");
    }

    private static Map<?, ?> map(Object owner, String name) throws ReflectiveOperationException {
        return (Map<?, ?>) field(owner, name);
    }

    private static Object field(Object owner, String name) throws ReflectiveOperationException {
        Field field = owner.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(owner);
    }
}
