package peppergauge.lab.emulator;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import peppergauge.decision.DecisionRecording;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Settings;

/**
 * Records the decisions of some emulated sidecars, and the digests of all bundled scenarios.
 *
 * <p>Usage: {@code RecordDecisions FOLDER}, from the lab's folder. Each recorded sidecar is written to
 * {@code SCENARIO-NUMBER.gz} there; the digests are printed as properties.
 */
public final class RecordDecisions {

    private static final List<String> SCENARIOS = List.of(
            "cold-crush",
            "flaky-network",
            "gray-failure",
            "hundreds-herd-return",
            "poison",
            "promises",
            "retry-storm",
            "rolling-deploy",
            "sidecar-crash",
            "zone-loss");
    private static final long LENGTH_MS = 12_000;
    /** Maximum number of sidecar processes recorded per scenario. */
    private static final int SIDECARS = 3;

    private RecordDecisions() {}

    public static void main(String[] args) throws IOException {
        for (String name : SCENARIOS) {
            record(name, Path.of(args[0]));
        }
        for (Object[] row : new BundledScenariosTest().scenarios()) {
            String name = (String) row[0];
            System.out.println(name + " = "
                    + Emulator.run(name, BundledScenariosTest.shortened(name, LENGTH_MS))
                            .digest());
        }
    }

    private static void record(String name, Path folder) throws IOException {
        Recording recording = new Recording(name, folder);
        Emulator.run(name, BundledScenariosTest.shortened(name, LENGTH_MS), recording);
        for (DecisionRecording.Recorder recorder : recording.recorders) {
            System.err.println(name + ": " + recorder.events() + " events");
            recorder.close();
        }
    }

    /** Wraps the first load balancers of a run in recorders. */
    private static final class Recording implements PlantedFault {

        private final String name;
        private final Path folder;
        private final List<DecisionRecording.Recorder> recorders = new ArrayList<>();

        Recording(String name, Path folder) {
            this.name = name;
            this.folder = folder;
        }

        @Override
        public LoadBalancer wrap(LoadBalancer loadBalancer, Settings settings, long seed) {
            if (recorders.size() == SIDECARS) {
                return loadBalancer;
            }
            try {
                recorders.add(new DecisionRecording.Recorder(
                        loadBalancer, settings, seed, folder.resolve(name + "-" + (recorders.size() + 1) + ".gz")));
            } catch (IOException failed) {
                throw new UncheckedIOException(failed);
            }
            return recorders.get(recorders.size() - 1);
        }
    }
}
