package peppergauge.snapshot.restore;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.snapshot.SampleSnapshots;

public class SnapshotRestoreTest {

    private static final long WRITTEN_MS = 1_700_000_000_000L;
    private static final double HOUR_MS = 3_600_000;
    private static final String OTHER_SETTINGS = "cd".repeat(32);

    @DataProvider
    public Object[][] starts() {
        return new Object[][] {
            {"a", SampleSnapshots.SETTINGS, 0, true, "learned 0 ms ago"},
            {"a", SampleSnapshots.SETTINGS, 1_000, true, "learned 1000 ms ago"},
            {"a", SampleSnapshots.SETTINGS, HOUR_MS, true, "learned 60 min ago"},
            {"a", SampleSnapshots.SETTINGS, 2 * HOUR_MS, false, "it is 2 h old, the maximum age is 2 h"},
            {"a", SampleSnapshots.SETTINGS, 7 * 24 * HOUR_MS, false, "it is 7 days old, the maximum age is 2 h"},
            {"a", SampleSnapshots.SETTINGS, -20, true, "learned -20 ms ago"},
            {"a", SampleSnapshots.SETTINGS, -24 * HOUR_MS, false, "it is dated 24 h in the future: a clock was set back"
            },
            {"b", SampleSnapshots.SETTINGS, 1_000, false, "it belongs to sidecar a"},
            {"a", OTHER_SETTINGS, 1_000, false, "it was learned with different settings"},
        };
    }

    @Test(dataProvider = "starts")
    public void acceptsSnapshotOrGivesReason(
            String name, String settings, double ageMs, boolean usable, String reason) {
        SnapshotEligibility eligibility = SnapshotEligibility.of(
                SampleSnapshots.snapshot("a", WRITTEN_MS, 1), name, settings, WRITTEN_MS + ageMs, 2 * HOUR_MS);
        assertEquals(eligibility.usable(), usable);
        assertEquals(eligibility.reason(), reason);
        assertTrue(!usable || eligibility.ageMs() >= 0, "the age must not be negative: " + eligibility);
    }

    /** Records the imported states in order. */
    private static final class RecordingLoadBalancer implements LoadBalancer {

        final List<String> imports = new ArrayList<>();

        @Override
        public void handle(double nowMs, Event event, Consumer<Action> actions) {}

        @Override
        public void importState(double nowMs, LearnedState state, double ageMs) {
            imports.add((state.cluster() == null ? "" : "cluster ")
                    + state.servers().stream()
                            .map(LearnedState.ServerStatistics::server)
                            .toList() + " " + ageMs);
        }
    }

    /** Returns a complete list of the servers; a name with an exclamation mark has another start time. */
    private static LoadBalancer.EndpointsUpdated listed(String... servers) {
        return new LoadBalancer.EndpointsUpdated(
                true,
                true,
                List.of(servers).stream()
                        .map(server -> new Endpoint(
                                server.replace("!", ""),
                                0,
                                0,
                                EndpointState.READY,
                                server.endsWith("!") ? 5 : 1_700_000_000_123.25))
                        .toList());
    }

    @Test
    public void restoresListedServersWithSameAddressAndStartTimeOnly() {
        RecordingLoadBalancer inner = new RecordingLoadBalancer();
        List<RestoreResult> results = new ArrayList<>();
        Map<String, String> addresses =
                Map.of("s0", "10.0.0.1:0", "s1", "10.0.0.1:1", "s2", "moved", "s4", "10.0.0.1:4");
        StateRestoringLoadBalancer balancer = new StateRestoringLoadBalancer(
                inner, SampleSnapshots.snapshot("a", WRITTEN_MS, 5), 1_000, addresses::get, results::add);
        balancer.handle(10, listed("s0", "s1!", "s2", "new"), action -> {});
        balancer.handle(60, listed("s0", "s4"), action -> {});
        assertEquals(results, List.of());
        balancer.handle(10 + StateRestoringLoadBalancer.LISTING_TIMEOUT_MS, listed("s0", "s3"), action -> {});
        balancer.handle(90_000, listed("s0", "s1", "s2", "s3", "s4"), action -> {});
        assertEquals(inner.imports.subList(0, 3), List.of("cluster [] 1000.0", "[s0] 1000.0", "[s4] 1050.0"));
        assertEquals(inner.imports.size(), 3, "s3 must not be restored, since its address is unknown");
        assertEquals(results, List.of(new RestoreResult(1, 5, 2, 1, 2, 0)));
    }
}
