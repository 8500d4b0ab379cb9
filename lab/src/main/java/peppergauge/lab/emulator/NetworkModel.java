package peppergauge.lab.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.lab.scenario.Network;
import peppergauge.lab.scenario.Scenario;

/**
 * Model of the network: one-way delays by pair of zones with jitter, connection losses, and partitioned zones. Messages
 * sent during a partition arrive after it, as with TCP retransmission. The one of package play only computes delays and
 * draws broken connections.
 */
final class NetworkModel {

    /** Maximum deviation of a zone pair's mean delay, as a share of the mean of all pairs. */
    private static final double MAX_PAIR_DEVIATION = 0.3;

    private final VirtualTime time;
    private final double[][] meanMs;
    private final double jitter;
    private final double loss;
    private final double[] addedMs;
    private final long[] partitionedUntilTick;

    NetworkModel(VirtualTime time, Network network, RandomStreams streams) {
        this.time = time;
        this.jitter = network.jitter();
        this.loss = network.loss();
        int zones = network.zones().size();
        meanMs = new double[zones][zones];
        for (int a = 0; a < zones; a++) {
            meanMs[a][a] = Scenario.toMillis(network.within());
            for (int b = 0; b < a; b++) {
                double off = streams.of("way/" + a + "/" + b).nextDouble() * 2 - 1;
                meanMs[a][b] = Scenario.toMillis(network.across()) * (1 + MAX_PAIR_DEVIATION * off);
                meanMs[b][a] = meanMs[a][b];
            }
        }
        addedMs = new double[zones];
        partitionedUntilTick = new long[zones];
    }

    /** Draws a one-way delay. */
    double oneWayDelayMs(int from, int to, UniformRandomProvider random) {
        double share = jitter <= 0 ? 1 : 1 - jitter + jitter * RandomStreams.exponential(random);
        return meanMs[from][to] * share + (from == to ? 0 : addedMs[from] + addedMs[to]);
    }

    /** Draws whether the connection is lost instead of delivering a message. */
    boolean drawConnectionLoss(UniformRandomProvider random) {
        return loss > 0 && random.nextDouble() < loss;
    }

    /** Delivers a message after the link delay, and not before a partition has ended. */
    void transmit(int from, int to, UniformRandomProvider random, Runnable arrival) {
        long left = Math.max(time.now(), partitionedUntil(from, to));
        time.at(left + VirtualTime.ticks(oneWayDelayMs(from, to, random)), arrival);
    }

    boolean isPartitioned(int from, int to) {
        return partitionedUntil(from, to) > time.now();
    }

    private long partitionedUntil(int from, int to) {
        return from == to ? 0 : Math.max(partitionedUntilTick[from], partitionedUntilTick[to]);
    }

    void partition(int zone, double ms) {
        partitionedUntilTick[zone] = Math.max(partitionedUntilTick[zone], time.now() + VirtualTime.ticks(ms));
    }

    void addDelay(int zone, double ms) {
        addedMs[zone] += ms;
    }
}
