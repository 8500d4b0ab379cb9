package peppergauge.invariant;

/**
 * Runs tests under random load, by seed. {@code -Dinvariant.seeds=2000} is the long run by hand, beginning at
 * {@code -Dinvariant.first} with {@code -Dinvariant.events} steps for each.
 */
public final class Loads {

    private Loads() {}

    /** A test under random load. */
    public interface Load {

        /** @throws AssertionError if something does not hold */
        void run(long seed) throws Exception;
    }

    /** Steps for one seed; {@code usual} in the build. */
    public static int steps(int usual) {
        return Integer.getInteger("invariant.events", usual);
    }

    /** Runs each seed, {@code usual} of them in the build; a failure names its seed. */
    public static void each(String name, int usual, Load load) {
        int seeds = Integer.getInteger("invariant.seeds", usual);
        long first = Integer.getInteger("invariant.first", 1);
        long startedNs = System.nanoTime();
        for (long seed = first; seed < first + seeds; seed++) {
            try {
                load.run(seed);
            } catch (Exception | AssertionError broken) {
                throw new AssertionError(name + ", seed " + seed + ": " + broken, broken);
            }
        }
        System.out.printf("%s: %d seeds, %.1f s%n", name, seeds, (System.nanoTime() - startedNs) / 1e9);
    }

    /** @throws AssertionError with {@code about} unless it holds */
    public static void require(boolean holds, String about) {
        if (!holds) {
            throw new AssertionError(about);
        }
    }

    /** Whether two numbers are equal but for rounding. */
    public static boolean near(double one, double other) {
        return Math.abs(one - other) <= 1e-6 * Math.max(1, Math.abs(one));
    }
}
