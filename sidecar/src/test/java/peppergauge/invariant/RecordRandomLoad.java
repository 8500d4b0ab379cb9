package peppergauge.invariant;

import java.io.IOException;
import java.nio.file.Path;
import java.util.SplittableRandom;
import peppergauge.decision.AdaptiveLoadBalancer;
import peppergauge.decision.DecisionRecording;
import peppergauge.decision.LoadBalancer.Settings;

/**
 * Records the events of random loads and the actions of the load balancer.
 *
 * <p>Usage: {@code RecordRandomLoad FOLDER}. Each run is written to the file {@code random-SEED.gz} in the folder.
 */
public final class RecordRandomLoad {

    private static final int SEEDS = 12;
    private static final int EVENTS = 1_500;

    private RecordRandomLoad() {}

    public static void main(String[] args) throws IOException {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Settings settings = RandomSettings.of(new SplittableRandom(seed));
            try (var recorder = new DecisionRecording.Recorder(
                    new AdaptiveLoadBalancer(settings, seed),
                    settings,
                    seed,
                    Path.of(args[0], "random-" + seed + ".gz"))) {
                new RandomHost(recorder, settings, seed).run(EVENTS);
                System.out.println("random-" + seed + ": " + recorder.events() + " events");
            }
        }
    }
}
