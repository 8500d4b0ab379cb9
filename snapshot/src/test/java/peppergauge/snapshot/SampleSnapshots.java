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

/** Snapshots for tests. All numbers can be represented as a float, the precision of a snapshot file. */
public final class SampleSnapshots {

    public static final String SETTINGS = "ab".repeat(32);

    private SampleSnapshots() {}

    public static ClusterStatistics cluster() {
        WeightedSum sum = new WeightedSum(320, 16);
        return new ClusterStatistics(
                60_000,
                sum,
                sum,
                new WeightedSum(1, 16),
                sum,
                sum,
                sum,
                sum,
                sum,
                new WeightedSum(-3.5, 2),
                sum,
                new WeightedSum(0, 64),
                0.5,
                20);
    }

    public static ServerStatistics server(String server, double startedMs, double failureShare) {
        return new ServerStatistics(
                server,
                startedMs,
                new WeightedSum(160, 8),
                new WeightedSum(8 * failureShare, 8),
                WeightedSum.NONE,
                new WeightedSum(0, 1),
                Double.POSITIVE_INFINITY,
                0);
    }

    public static Snapshot snapshot(String name, long wallMs, int servers) {
        List<ServerStatistics> statistics = new ArrayList<>();
        Map<String, String> addresses = new HashMap<>();
        for (int i = 0; i < servers; i++) {
            statistics.add(server("s" + i, 1_700_000_000_123.25, 0.5));
            addresses.put("s" + i, "10.0.0.1:" + i);
        }
        WeightedSum sum = new WeightedSum(100, 4);
        return new Snapshot(
                "1.2",
                name,
                SETTINGS,
                wallMs,
                new LearnedState(servers, cluster(), List.of(new ClassStatistics(sum, sum, 1.25)), statistics),
                addresses);
    }
}
