package peppergauge.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RetryBudgetConfig;
import peppergauge.decision.LoadBalancer.Settings;

/** Tests of the weights of five servers, and of the selection by these weights. */
public class ServerWeightsTest {

    private static final double NOW_MS = Fixtures.NOW_MS;

    private OutlierDetection outliers;
    private ServerSubset subset;
    private ServerWeights weights;
    private ServerSelector selector;

    @BeforeMethod
    public void create() {
        Settings settings = Fixtures.settings(1);
        ServerRegistry registry = Fixtures.registry(5);
        ArrivalRate arrivals = new ArrivalRate();
        LatencyEstimator latency = Fixtures.latency();
        SlowStart slowStart = new SlowStart(Fixtures.RULES);
        outliers = new OutlierDetection(latency);
        subset = new ServerSubset(settings, registry, arrivals, latency, slowStart);
        ConcurrencyLimiter limiter = new ConcurrencyLimiter(settings, registry, subset, arrivals, latency);
        LoadEstimator load = new LoadEstimator(settings.loadFields(), latency, slowStart);
        weights = new ServerWeights(registry, subset, outliers, latency, load, slowStart, limiter);
        RetryPolicy retries = new RetryPolicy(
                Fixtures.LIMITS, new RetryBudget(RetryBudgetConfig.UNLIMITED), new IdempotencyRules(1), outliers);
        selector = new ServerSelector(
                subset,
                weights,
                retries,
                slowStart,
                limiter,
                latency,
                new ZoneWeights(),
                new WeightedRandomPicker(new SplittableRandom(3)));
        weights.refresh(NOW_MS);
    }

    private List<Server> compute() {
        subset.members().forEach(server -> server.isEligible = true);
        assertTrue(weights.compute());
        return subset.members();
    }

    @Test
    public void equalServersHaveWeightOne() {
        compute();
        for (int i = 0; i < 5; i++) {
            assertEquals(weights.weights()[i], 1.0);
        }
    }

    @Test
    public void weightIsFifteenthPowerOfFactor() {
        subset.members().get(1).loadFactor = 0.9;
        compute();
        assertEquals(weights.weights()[1], Math.pow(0.9, 15), 1e-9);
    }

    @Test
    public void failingServerGetsTrialWeightEvenIfIdle() {
        Server failing = subset.members().get(2);
        Fixtures.repeat(5, i -> outliers.record(failing, Outcome.UNREACHABLE, NOW_MS));
        weights.refresh(NOW_MS);
        subset.members().forEach(server -> server.loadFactor = server == failing ? 1 : 0.01);
        compute();
        assertEquals(weights.weights()[2], 0.004);
    }

    @Test
    public void ignoresFailuresInPanicMode() {
        subset.members()
                .subList(0, 3)
                .forEach(server -> Fixtures.repeat(30, i -> outliers.record(server, Outcome.UNREACHABLE, NOW_MS)));
        weights.refresh(NOW_MS);
        compute();
        assertEquals(weights.weights()[0], weights.weights()[4]);
    }

    @Test
    public void computesNoWeightsWithoutEligibleServers() {
        assertFalse(weights.compute());
    }

    @Test
    public void selectsUntriedServersFirstAndNoEjectedOnes() {
        Request request = Fixtures.request();
        List<Server> all = List.copyOf(subset.members());
        outliers.record(all.get(0), Outcome.OVERLOADED, NOW_MS);
        all.subList(1, 4).forEach(server -> Fixtures.attempt(request, server, Outcome.UNREACHABLE));
        request.attempts.remove(0);
        assertEquals(selector.select(request, false, NOW_MS).id.length(), 2);
        for (int i = 0; i < 50; i++) {
            Server selected = selector.select(request, false, NOW_MS);
            assertTrue(selected == all.get(1) || selected == all.get(4), selected.id);
        }
    }

    @Test
    public void selectsNoBusyServerIfOnlyIdleOnesAreAccepted() {
        Request request = Fixtures.request();
        subset.members().forEach(server -> server.reportedOthersInFlight = 9);
        subset.members().forEach(server -> server.reportedMs = NOW_MS);
        assertEquals(selector.select(request, true, NOW_MS), null);
    }
}
