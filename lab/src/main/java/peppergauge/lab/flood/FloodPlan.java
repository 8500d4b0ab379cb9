package peppergauge.lab.flood;

import java.util.SplittableRandom;

/**
 * What one run does.
 *
 * @param kind what the connections of the flood send
 * @param connections how many there are at a time; one that ends is replaced
 * @param requestsPerSecond of each connection, in bursts with pauses between them; 0 for as many as it takes
 * @param reads whether responses are read
 * @param holdMs how long a connection that has stopped in a message stays open; one that repeats messages stays
 * @param floodMs how long the flood lasts
 * @param seed draws the pauses of the usual clients
 */
public record FloodPlan(
        FloodKind kind, int connections, int requestsPerSecond, boolean reads, long holdMs, long floodMs, long seed) {

    private static final int[] CONNECTIONS = {1, 1, 2, 6, 20, 100, 450};
    private static final int[] RATES = {0, 0, 0, 500, 5_000, 20_000};
    private static final long[] HOLD_MS = {200, 5_000};
    private static final long FLOOD_MS = 4_000;

    /** Draws a plan from a seed; successive seeds have successive kinds. */
    public static FloodPlan draw(long seed) {
        return draw(seed, FloodKind.values()[(int) (seed % FloodKind.values().length)]);
    }

    /** Draws a plan of this kind from a seed. */
    public static FloodPlan draw(long seed, FloodKind kind) {
        SplittableRandom random = new SplittableRandom(seed);
        int connections = CONNECTIONS[random.nextInt(CONNECTIONS.length)];
        int rate = RATES[random.nextInt(RATES.length)];
        return new FloodPlan(
                kind,
                kind.repeats() ? connections : CONNECTIONS[CONNECTIONS.length - 1],
                rate,
                random.nextBoolean(),
                HOLD_MS[random.nextInt(HOLD_MS.length)],
                FLOOD_MS,
                seed);
    }

    @Override
    public String toString() {
        return "seed=" + seed + " kind=" + kind + " connections=" + connections + " requests_per_s="
                + (requestsPerSecond == 0 ? "max" : requestsPerSecond) + " reads=" + reads + " hold_ms=" + holdMs;
    }
}
