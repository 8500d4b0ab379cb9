package peppergauge.invariant;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.lang.reflect.Field;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.Test;
import peppergauge.decision.Balancer.Settings;
import peppergauge.decision.Decide;

/**
 * The module under random load, with all invariants on. {@code -Dinvariant.seeds=2000} is the long run by hand, beginning
 * at {@code -Dinvariant.first} with {@code -Dinvariant.events} for each.
 */
public class RandomLoadTest {

    private static final int SEEDS = Integer.getInteger("invariant.seeds", 60);
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
        System.out.printf("module: %d events, %d attempts, %d seeds, %.1f s%n", events, sent, SEEDS,
                (System.nanoTime() - startedNs) / 1e9);
    }

    private static RandomHost run(long seed) throws ReflectiveOperationException {
        Settings settings = DrawnSettings.of(new SplittableRandom(seed));
        Decide module = new Decide(settings, seed);
        CheckedBalancer checked = (CheckedBalancer) CheckedBalancer.around(module, settings);
        RandomHost host = new RandomHost(checked, settings, seed);
        host.run(EVENTS);
        assertOver(host, checked, module);
        assertTrue(host.servesAgain(), "not served again");
        assertOver(host, checked, module);
        return host;
    }

    /** The module's own maps: what stays in them is never let go. */
    private static void assertOver(RandomHost host, CheckedBalancer checked, Decide module)
            throws ReflectiveOperationException {
        assertEquals(host.unanswered(), 0, "unanswered");
        assertEquals(checked.open(), 0, "kept by the account");
        for (String name : new String[] {"requests", "held"}) {
            Field field = Decide.class.getDeclaredField(name);
            field.setAccessible(true);
            assertEquals(((Map<?, ?>) field.get(module)).size(), 0, name);
        }
    }
}
