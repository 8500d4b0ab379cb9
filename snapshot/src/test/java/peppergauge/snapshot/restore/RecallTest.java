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
import peppergauge.snapshot.Samples;

public class RecallTest {

    private static final long WRITTEN = 1_700_000_000_000L;
    private static final double HOUR = 3_600_000;
    private static final String OTHER = "cd".repeat(32);

    @DataProvider
    public Object[][] starts() {
        return new Object[][] {
            {"a", Samples.SETTINGS, 0, true, "learned 0 ms ago"},
            {"a", Samples.SETTINGS, 1_000, true, "learned 1000 ms ago"},
            {"a", Samples.SETTINGS, HOUR, true, "learned 60 min ago"},
            {"a", Samples.SETTINGS, 2 * HOUR, false, "it is 2 h old, more than 2 h"},
            {"a", Samples.SETTINGS, 7 * 24 * HOUR, false, "it is 7 days old, more than 2 h"},
            {"a", Samples.SETTINGS, -20, true, "learned -20 ms ago"},
            {"a", Samples.SETTINGS, -24 * HOUR, false, "it is 24 h from the future: a clock was set back"},
            {"b", Samples.SETTINGS, 1_000, false, "it is of sidecar a"},
            {"a", OTHER, 1_000, false, "it was learned under other settings"},
        };
    }

    @Test(dataProvider = "starts")
    public void aFileIsTakenOrItIsSaidWhyNot(String name, String settings, double ageMs, boolean taken, String why) {
        SnapshotEligibility recall =
                SnapshotEligibility.of(Samples.snapshot("a", WRITTEN, 1), name, settings, WRITTEN + ageMs, 2 * HOUR);
        assertEquals(recall.usable(), taken);
        assertEquals(recall.reason(), why);
        assertTrue(!taken || recall.ageMs() >= 0);
    }

    /** What the module is given back, in the order given. */
    private static final class Noting implements LoadBalancer {

        final List<String> given = new ArrayList<>();

        @Override
        public void handle(double nowMs, Event event, Consumer<Action> actions) {}

        @Override
        public void importState(double nowMs, LearnedState learned, double ageMs) {
            given.add((learned.cluster() == null ? "" : "fleet ")
                    + learned.servers().stream()
                            .map(LearnedState.ServerStatistics::server)
                            .toList() + " " + ageMs);
        }
    }

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
    public void theServerTableSaysWhoIsThereAndANewStartOrAddressMakesANewServer() {
        Noting module = new Noting();
        List<String> lines = new ArrayList<>();
        Map<String, String> now = Map.of("s0", "10.0.0.1:0", "s1", "10.0.0.1:1", "s2", "moved", "s4", "10.0.0.1:4");
        StateRestoringLoadBalancer balancer =
                new StateRestoringLoadBalancer(module, Samples.snapshot("a", WRITTEN, 5), 1_000, now::get, lines::add);
        balancer.handle(10, listed("s0", "s1!", "s2", "new"), action -> {});
        balancer.handle(60, listed("s0", "s4"), action -> {});
        assertEquals(lines, List.of());
        balancer.handle(10 + StateRestoringLoadBalancer.LISTING_TIMEOUT_MS, listed("s0", "s3"), action -> {});
        balancer.handle(90_000, listed("s0", "s1", "s2", "s3", "s4"), action -> {});
        assertEquals(module.given.subList(0, 3), List.of("fleet [] 1000.0", "[s0] 1000.0", "[s4] 1050.0"));
        assertEquals(module.given.size(), 3, "s3 is at an address that nobody told");
        assertEquals(
                lines,
                List.of("taken: the fleet, 1 classes, 2 of 5 servers; dropped: 1 started anew, "
                        + "2 at another address, 0 not listed"));
    }
}
