package peppergauge.lab.play;

import java.util.SplittableRandom;
import peppergauge.lab.scenario.Network;
import peppergauge.lab.scenario.Scenario;
import peppergauge.lab.standin.Delay;

/** The network that loopback lacks: one-way delays by pair of zones with jitter, and connections that break. */
final class Ways {

    /** Pairs of zones differ by this share of the mean. */
    private static final double PAIR_SPREAD = 0.3;

    private final double[][] meanMs;
    private final double[] addedMs;
    private final double jitter;
    private final double loss;
    private final SplittableRandom luck;

    Ways(Network network, SplittableRandom luck) {
        this.luck = luck;
        jitter = network.jitter();
        loss = network.loss();
        int zones = network.zones().size();
        addedMs = new double[zones];
        meanMs = new double[zones][zones];
        for (int a = 0; a < zones; a++) {
            meanMs[a][a] = Scenario.ms(network.within());
            for (int b = 0; b < a; b++) {
                meanMs[a][b] = Scenario.ms(network.across()) * (1 + PAIR_SPREAD * (luck.nextDouble() * 2 - 1));
                meanMs[b][a] = meanMs[a][b];
            }
        }
    }

    /** One way, ms. */
    double oneWayMs(int from, int to) {
        double share = jitter <= 0 ? 1 : 1 - jitter + Delay.exponential(luck, jitter);
        return meanMs[from][to] * share + (from == to ? 0 : addedMs[from] + addedMs[to]);
    }

    /** Whether the connection breaks in place of this message. */
    boolean breaks() {
        return loss > 0 && luck.nextDouble() < loss;
    }

    void add(int zone, double ms) {
        addedMs[zone] += ms;
    }
}
