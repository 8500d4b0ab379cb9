package peppergauge.fleet.plan;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.fleet.decide.MergedView;
import peppergauge.fleet.state.Latencies;
import peppergauge.fleet.state.Tally.Total;
import peppergauge.fleet.table.Factors;
import peppergauge.promises.ServiceLevelObjective;
import peppergauge.promises.TrafficKey;
import peppergauge.promises.ZoneWeights;
import peppergauge.promises.control.ControllerConfig;

public class PromisePlannerTest {

    private static final long PERIOD_MS = 5_000;
    private static final ServiceLevelObjective PROMISE =
            new ServiceLevelObjective("s", "c", 0.9, 300, List.of(600_000L), 1, List.of());
    private static final long BEGAN_MS = 1_700_000_000_000L;

    private final Map<TrafficKey, Total> totals = new HashMap<>();
    private long nowMs = BEGAN_MS;

    private static PromisePlanner planner(ServiceLevelObjective... contracts) {
        return new PromisePlanner(List.of(contracts), ControllerConfig.withPeriod(PERIOD_MS), new KeyForecasts());
    }

    /** In each period 100 sessions in each of three zones, answered in 100 ms, in "slow" in so many. */
    private ZoneWeights periods(PromisePlanner planner, int count, long slowMs) {
        ZoneWeights told = ZoneWeights.NEUTRAL;
        for (int i = 0; i < count; i++) {
            nowMs += PERIOD_MS;
            for (String zone : List.of("a", "b", "slow")) {
                Total before = totals.get(new TrafficKey("s", "c", zone));
                Histogram latency =
                        before == null ? Latencies.empty() : before.latency().copy();
                latency.recordValueWithCount(zone.equals("slow") ? slowMs : 100, 100);
                totals.put(new TrafficKey("s", "c", zone), new Total(latency.getTotalCount(), 0, 0, latency));
            }
            told = planner.plan(nowMs, new MergedView(nowMs, totals, Map.of(), 3));
        }
        return told;
    }

    private void begin() {
        totals.clear();
        nowMs = BEGAN_MS;
    }

    @DataProvider
    Object[][] plans() {
        return new Object[][] {
            {new ServiceLevelObjective[] {PROMISE}, 500, true},
            {new ServiceLevelObjective[] {PROMISE}, 250, false},
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

    /** Only who is promised something leans, and only away from where it is not kept. */
    @Test(dataProvider = "plans")
    public void aStationLeansAwayFromWhereItsPromiseIsNotKept(
            ServiceLevelObjective[] contracts, long slowMs, boolean leans) {
        begin();
        ZoneWeights told = periods(planner(contracts), 30, slowMs);
        Assert.assertEquals(Factors.of(told, "s", "slow") < 0.6, leans, told.toString());
        Assert.assertEquals(Factors.of(told, "s", "a"), 1.0, 0);
    }

    /** What an instance kept steers on at once, unless it is older than evidence that is stale. */
    @Test
    public void whatWasKeptGoesOnUnlessItIsOld() {
        begin();
        PromisePlanner planner = planner(PROMISE);
        ZoneWeights told = periods(planner, 30, 500);
        byte[] state = planner.state();
        for (long downMs : new long[] {1_000, 600_000}) {
            PromisePlanner next = planner(PROMISE);
            next.restore(state);
            ZoneWeights first = next.plan(nowMs + downMs, new MergedView(nowMs + downMs, totals, Map.of(), 3));
            Assert.assertEquals(first, downMs < 20_000 ? told : ZoneWeights.NEUTRAL, "after " + downMs);
        }
    }

    @DataProvider
    Object[][] garbage() {
        return new Object[][] {{"{}"}, {"[]"}, {"{\"atMs\":1}"}, {"null"}, {"nothing of the kind"}};
    }

    @Test(dataProvider = "garbage", expectedExceptions = IllegalArgumentException.class)
    public void whatIsNoStateIsNotTaken(String state) {
        planner(PROMISE).restore(state.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    public void theReportNamesWhatIsPlanned() {
        begin();
        PromisePlanner planner = planner(PROMISE);
        periods(planner, 30, 500);
        Map<?, ?> report = (Map<?, ?>) planner.report();
        Assert.assertEquals(report.get("contracts"), 1);
        Assert.assertEquals(((Map<?, ?>) report.get("burn_rates")).keySet(), java.util.Set.of("s / c"));
        Assert.assertTrue(((Map<?, ?>) report.get("factors")).containsKey("s"), report.toString());
    }
}
