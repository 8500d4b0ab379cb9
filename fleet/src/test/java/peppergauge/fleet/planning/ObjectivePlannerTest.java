package peppergauge.fleet.planning;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.fleet.planner.FleetView;
import peppergauge.fleet.state.LatencyHistograms;
import peppergauge.fleet.state.TrafficTotals.Total;
import peppergauge.fleet.table.ZoneWeightMath;
import peppergauge.promises.ServiceLevelObjective;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.ZoneWeights;
import peppergauge.promises.control.ControllerConfig;

public class ObjectivePlannerTest {

    private static final long PERIOD_MS = 5_000;
    private static final ServiceLevelObjective OBJECTIVE =
            new ServiceLevelObjective("s", "c", 0.9, 300, List.of(600_000L), 1, List.of());
    private static final long START_MS = 1_700_000_000_000L;

    private final Map<TrafficKey, Total> totals = new HashMap<>();
    private long nowMs = START_MS;

    private static ObjectivePlanner planner(ServiceLevelObjective... objectives) {
        return new ObjectivePlanner(
                List.of(objectives), ControllerConfig.withPeriod(PERIOD_MS), new HitRateForecasts());
    }

    /** Runs periods with 100 requests in each of three zones that take 100 ms, in zone "slow" {@code slowMs}. */
    private ZoneWeights runPeriods(ObjectivePlanner planner, int count, long slowMs) {
        ZoneWeights weights = ZoneWeights.NEUTRAL;
        for (int i = 0; i < count; i++) {
            nowMs += PERIOD_MS;
            for (String zone : List.of("a", "b", "slow")) {
                Total before = totals.get(new TrafficKey("s", "c", zone));
                Histogram latency = before == null
                        ? LatencyHistograms.empty()
                        : before.latency().copy();
                latency.recordValueWithCount(zone.equals("slow") ? slowMs : 100, 100);
                totals.put(new TrafficKey("s", "c", zone), new Total(latency.getTotalCount(), 0, 0, latency));
            }
            weights = planner.plan(nowMs, new FleetView(nowMs, totals, Map.of(), 3));
        }
        return weights;
    }

    private void begin() {
        totals.clear();
        nowMs = START_MS;
    }

    @DataProvider
    Object[][] plans() {
        return new Object[][] {
            {new ServiceLevelObjective[] {OBJECTIVE}, 500, true},
            {new ServiceLevelObjective[] {OBJECTIVE}, 250, false},
            {new ServiceLevelObjective[] {}, 500, false},
            {
                new ServiceLevelObjective[] {
                    new ServiceLevelObjective("other", "c", 0.9, 300, List.of(600_000L), 1, List.of())
                },
                500,
                false
            },
        };
    }

    /** Weights change only for tenants with an objective, and only in zones that miss it. */
    @Test(dataProvider = "plans")
    public void reducesWeightOnlyOfZonesThatMissObjective(
            ServiceLevelObjective[] objectives, long slowMs, boolean reduced) {
        begin();
        ZoneWeights weights = runPeriods(planner(objectives), 30, slowMs);
        Assert.assertEquals(ZoneWeightMath.weight(weights, "s", "slow") < 0.6, reduced, weights.toString());
        Assert.assertEquals(ZoneWeightMath.weight(weights, "s", "a"), 1.0, 0);
    }

    /** Restored state is effective at once, unless it is too old. */
    @Test
    public void restoresPlanUnlessStateIsOld() {
        begin();
        ObjectivePlanner planner = planner(OBJECTIVE);
        ZoneWeights weights = runPeriods(planner, 30, 500);
        byte[] state = planner.exportState();
        for (long downMs : new long[] {1_000, 600_000}) {
            ObjectivePlanner next = planner(OBJECTIVE);
            next.importState(state);
            ZoneWeights first = next.plan(nowMs + downMs, new FleetView(nowMs + downMs, totals, Map.of(), 3));
            Assert.assertEquals(
                    first,
                    downMs < 20_000 ? weights : ZoneWeights.NEUTRAL,
                    "expected weights after a downtime of " + downMs + " ms");
        }
    }

    @DataProvider
    Object[][] malformedStates() {
        return new Object[][] {{"{}"}, {"[]"}, {"{\"atMs\":1}"}, {"null"}, {"nothing of the kind"}};
    }

    @Test(dataProvider = "malformedStates", expectedExceptions = IllegalArgumentException.class)
    public void rejectsMalformedState(String state) {
        planner(OBJECTIVE).importState(state.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    public void reportContainsPlan() {
        begin();
        ObjectivePlanner planner = planner(OBJECTIVE);
        runPeriods(planner, 30, 500);
        Map<?, ?> report = (Map<?, ?>) planner.report();
        Assert.assertEquals(report.get("contracts"), 1);
        Assert.assertEquals(((Map<?, ?>) report.get("burn_rates")).keySet(), java.util.Set.of("s / c"));
        Assert.assertTrue(((Map<?, ?>) report.get("factors")).containsKey("s"), report.toString());
    }
}
