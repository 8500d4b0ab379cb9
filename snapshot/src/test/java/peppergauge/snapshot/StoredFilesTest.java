package peppergauge.snapshot;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LearnedState.ClassStatistics;
import peppergauge.decision.LearnedState.ClusterStatistics;
import peppergauge.decision.LearnedState.ServerStatistics;
import peppergauge.decision.LearnedState.WeightedSum;
import peppergauge.snapshot.format.Snapshot;
import peppergauge.snapshot.format.SnapshotFormat;

/** A snapshot that revision e30269d wrote is decoded to the same values, which are encoded as the same bytes. */
public class StoredFilesTest {

    private static final Path SNAPSHOT = Path.of("src/test/resources/stored/gateway.snapshot");

    /** Sums of the stored snapshot are 1, 2, 3 ... in the order in which they were written; weights are 0.5 larger. */
    private static WeightedSum sum(int number) {
        return new WeightedSum(number, number + 0.5);
    }

    private static Snapshot expected() {
        ClusterStatistics cluster = new ClusterStatistics(
                60_000, sum(1), sum(2), sum(3), sum(4), sum(5), sum(6), sum(7), sum(8), sum(9), sum(10), sum(11), 0.625,
                20.5);
        List<ClassStatistics> classes =
                List.of(new ClassStatistics(sum(12), sum(13), 1.25), new ClassStatistics(sum(14), sum(15), 0.75));
        List<ServerStatistics> servers = List.of(
                new ServerStatistics("s1", 1_700_000_000_123.25, sum(16), sum(17), sum(18), sum(19), 17.5, 250),
                new ServerStatistics("s2", 0, sum(20), sum(21), sum(22), sum(23), Double.POSITIVE_INFINITY, 0));
        return new Snapshot(
                "0.1.0",
                "gateway",
                "ab".repeat(32),
                1_780_000_000_456L,
                new LearnedState(2, cluster, classes, servers),
                Map.of("s1", "10.0.0.1:80", "s2", "10.0.0.2:81"));
    }

    @Test
    public void decodesStoredSnapshot() throws Exception {
        assertEquals(SnapshotFormat.decode(Files.readAllBytes(SNAPSHOT)), expected());
    }

    @Test
    public void encodesSameValuesAsStoredBytes() throws IOException {
        assertEquals(SnapshotFormat.encode(expected()), Files.readAllBytes(SNAPSHOT));
    }
}
