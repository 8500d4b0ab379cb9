package peppergauge.invariant;

/**
 * Runs tests under random load, once per seed. For a longer run than in the build, {@code -Dinvariant.seeds} sets the
 * number of seeds (such as 2000), {@code -Dinvariant.first} the first seed, and {@code -Dinvariant.events} the steps of
 * each run.
 */
public final class Loads {

    private Loads() {}

    /** A test under random load. */
    public interface Load {

        /**
         * Runs the test with one seed.
         *
         * @throws AssertionError if a check fails
         */
        void run(long seed) throws Exception;
    }

    /** The number of steps of a run; {@code defaultSteps} in the build. */
    public static int steps(int defaultSteps) {
        return Integer.getInteger("invariant.events", defaultSteps);
    }

    /** Runs the test with each seed, {@code defaultSeeds} of them in the build. A failure names its seed. */
    public static void each(String name, int defaultSeeds, Load load) {
        int seeds = Integer.getInteger("invariant.seeds", defaultSeeds);
        long first = Integer.getInteger("invariant.first", 1);
        long startedNs = System.nanoTime();
        for (long seed = first; seed < first + seeds; seed++) {
            try {
                load.run(seed);
            } catch (Exception | AssertionError failure) {
                throw new AssertionError(name + ", seed " + seed + ": " + failure, failure);
            }
        }
        System.out.printf("%s: %d seeds, %.1f s%n", name, seeds, (System.nanoTime() - startedNs) / 1e9);
    }

    /** Throws an {@link AssertionError} with the given message unless the condition holds. */
    public static void require(boolean holds, String message) {
        if (!holds) {
            throw new AssertionError(message);
        }
    }

    /** Whether two numbers are equal up to rounding errors. */
    public static boolean near(double one, double other) {
        return Math.abs(one - other) <= 1e-6 * Math.max(1, Math.abs(one));
    }
}
