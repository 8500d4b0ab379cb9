package peppergauge.lab.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.lab.scenario.Network;
import peppergauge.lab.scenario.Scenario;

/**
 * The network: one-way delays by pair of zones, with jitter; connections that break; zones that are cut off. What is
 * under way when a zone is cut off, or sent meanwhile, arrives after the cut, as TCP sends it again.
 */
final class Links {

    /** Pairs of zones differ by this share of the mean. */
    private static final double PAIR_SPREAD = 0.3;

    private final VirtualTime time;
    private final double[][] meanMs;
    private final double jitter;
    private final double loss;
    private final double[] addedMs;
    private final long[] cutUntil;

    Links(VirtualTime time, Network network, Streams streams) {
        this.time = time;
        this.jitter = network.jitter();
        this.loss = network.loss();
        int zones = network.zones().size();
        meanMs = new double[zones][zones];
        for (int a = 0; a < zones; a++) {
            meanMs[a][a] = Scenario.ms(network.within());
            for (int b = 0; b < a; b++) {
                double off = streams.of("way/" + a + "/" + b).nextDouble() * 2 - 1;
                meanMs[a][b] = Scenario.ms(network.across()) * (1 + PAIR_SPREAD * off);
                meanMs[b][a] = meanMs[a][b];
            }
        }
        addedMs = new double[zones];
        cutUntil = new long[zones];
    }

    /** One way, ms; its mean is the pair's. */
    double wayMs(int from, int to, UniformRandomProvider random) {
        double share = jitter <= 0 ? 1 : 1 - jitter + jitter * Streams.exponential(random);
        return meanMs[from][to] * share + (from == to ? 0 : addedMs[from] + addedMs[to]);
    }

    /** Whether the connection breaks in place of this message. */
    boolean breaks(UniformRandomProvider random) {
        return loss > 0 && random.nextDouble() < loss;
    }

    /** Hands a message over on the far side; never if it is cut off to the end of the run. */
    void carry(int from, int to, UniformRandomProvider random, Runnable arrival) {
        long left = Math.max(time.now(), silentUntil(from, to));
        time.at(left + VirtualTime.ticks(wayMs(from, to, random)), arrival);
    }

    boolean silent(int from, int to) {
        return silentUntil(from, to) > time.now();
    }

    private long silentUntil(int from, int to) {
        return from == to ? 0 : Math.max(cutUntil[from], cutUntil[to]);
    }

    void cut(int zone, double ms) {
        cutUntil[zone] = Math.max(cutUntil[zone], time.now() + VirtualTime.ticks(ms));
    }

    void add(int zone, double ms) {
        addedMs[zone] += ms;
    }
}
