package peppergauge.lab.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.lab.scenario.Network;
import peppergauge.lab.scenario.Scenario;

/**
 * Model of the network: one-way delays by pair of zones with jitter, connection losses, and partitioned zones. Messages
 * sent during a partition arrive after it, as with TCP retransmission.
 */
final class Links {

    /** Maximum deviation of a zone pair's mean delay, as a share of the mean of all pairs. */
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

    /** Draws a one-way delay. */
    double wayMs(int from, int to, UniformRandomProvider random) {
        double share = jitter <= 0 ? 1 : 1 - jitter + jitter * Streams.exponential(random);
        return meanMs[from][to] * share + (from == to ? 0 : addedMs[from] + addedMs[to]);
    }

    /** Draws whether the connection is lost instead of delivering a message. */
    boolean breaks(UniformRandomProvider random) {
        return loss > 0 && random.nextDouble() < loss;
    }

    /** Delivers a message after the link delay, and not before a partition has ended. */
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
