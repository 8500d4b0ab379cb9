package peppergauge.snapshot;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LearnedState.ClassStatistics;
import peppergauge.decision.LearnedState.ClusterStatistics;
import peppergauge.decision.LearnedState.ServerStatistics;
import peppergauge.decision.LearnedState.WeightedSum;
import peppergauge.snapshot.format.Snapshot;

/** Snapshots for tests; their figures are those that a float holds. */
public final class Samples {

    public static final String SETTINGS = "ab".repeat(32);

    private Samples() {}

    public static ClusterStatistics fleet() {
        WeightedSum figure = new WeightedSum(320, 16);
        return new ClusterStatistics(
                60_000,
                figure,
                figure,
                new WeightedSum(1, 16),
                figure,
                figure,
                figure,
                figure,
                figure,
                new WeightedSum(-3.5, 2),
                figure,
                new WeightedSum(0, 64),
                0.5,
                20);
    }

    public static ServerStatistics known(String server, double startedMs, double failed) {
        return new ServerStatistics(
                server,
                startedMs,
                new WeightedSum(160, 8),
                new WeightedSum(8 * failed, 8),
                WeightedSum.NONE,
                new WeightedSum(0, 1),
                Double.POSITIVE_INFINITY,
                0);
    }

    public static Snapshot snapshot(String name, long wallMs, int servers) {
        List<ServerStatistics> known = new ArrayList<>();
        Map<String, String> addresses = new HashMap<>();
        for (int i = 0; i < servers; i++) {
            known.add(known("s" + i, 1_700_000_000_123.25, 0.5));
            addresses.put("s" + i, "10.0.0.1:" + i);
        }
        WeightedSum figure = new WeightedSum(100, 4);
        return new Snapshot(
                "1.2",
                name,
                SETTINGS,
                wallMs,
                new LearnedState(servers, fleet(), List.of(new ClassStatistics(figure, figure, 1.25)), known),
                addresses);
    }
}
