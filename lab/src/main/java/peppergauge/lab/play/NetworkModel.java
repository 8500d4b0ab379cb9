package peppergauge.lab.play;

import java.util.SplittableRandom;
import peppergauge.lab.scenario.Network;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.standin.Delay;

/**
 * Models the network between zones: one-way delays with jitter for each pair of zones, and broken connections. The one
 * of package emulator also transmits messages in virtual time.
 */
final class NetworkModel {

    /** The mean delay of a pair of zones varies by up to this share in both directions. */
    private static final double PAIR_SPREAD = 0.3;

    private final double[][] meanMs;
    private final double[] addedMs;
    private final double jitter;
    private final double loss;
    private final SplittableRandom random;

    NetworkModel(Network network, SplittableRandom random) {
        this.random = random;
        jitter = network.jitter();
        loss = network.loss();
        int zones = network.zones().size();
        addedMs = new double[zones];
        meanMs = new double[zones][zones];
        for (int a = 0; a < zones; a++) {
            meanMs[a][a] = Scenario.toMillis(network.within());
            for (int b = 0; b < a; b++) {
                meanMs[a][b] = Scenario.toMillis(network.across()) * (1 + PAIR_SPREAD * (random.nextDouble() * 2 - 1));
                meanMs[b][a] = meanMs[a][b];
            }
        }
    }

    /** Draws the one-way delay of a message, in ms. */
    double oneWayMs(int from, int to) {
        double share = jitter <= 0 ? 1 : 1 - jitter + Delay.exponential(random, jitter);
        return meanMs[from][to] * share + (from == to ? 0 : addedMs[from] + addedMs[to]);
    }

    /** Draws whether the connection breaks instead of carrying the next message. */
    boolean breaksConnection() {
        return loss > 0 && random.nextDouble() < loss;
    }

    void addDelay(int zone, double ms) {
        addedMs[zone] += ms;
    }
}
