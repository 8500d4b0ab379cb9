package peppergauge.decision;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.decision.LearnedState.ServerStatistics;
import peppergauge.decision.LoadBalancer.Action;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.Outcome;

public class LearnedStateTest {

    private static final int SERVERS = 6;
    private static final String OUTLIER = "s2";
    private static final double USUAL_MS = 30;

    /** How the outlier server handles requests. */
    private record Behaviour(Outcome outcome, double tookMs) {}

    private static final Behaviour SLOW = new Behaviour(Outcome.SUCCESS, 4 * USUAL_MS);
    private static final Behaviour FAILING = new Behaviour(Outcome.TIMED_OUT, 60);
    private static final Behaviour RETURNING_ERRORS = new Behaviour(Outcome.ERROR, 5);
    private static final Behaviour HEALTHY = new Behaviour(Outcome.SUCCESS, USUAL_MS);

    private static ScriptedLoadBalancer newInstance() {
        return new ScriptedLoadBalancer(ScriptedLoadBalancer.settings(true, true, List.of()), 7);
    }

    /** Sends a request every 10 ms and ends each attempt after its time; returns the attempts at the outlier server. */
    private static int serve(ScriptedLoadBalancer scripted, int requests, Behaviour behaviour, String prefix) {
        record Due(double atMs, String id, int attempt, String server, double tookMs) {}
        List<Due> due = new ArrayList<>();
        int toOutlier = 0;
        for (int i = 0; i < requests; i++) {
            List<Action> answer = new ArrayList<>(scripted.request(prefix + i, 0));
            for (int send = 0; send < answer.size(); send++) {
                if (answer.get(send) instanceof LoadBalancer.SendAttempt sent) {
                    double tookMs = sent.server().equals(OUTLIER) ? behaviour.tookMs() : USUAL_MS;
                    long before = due.stream()
                            .filter(each -> each.id().equals(sent.id()))
                            .count();
                    due.add(new Due(scripted.nowMs + tookMs, sent.id(), (int) before, sent.server(), tookMs));
                    toOutlier += sent.server().equals(OUTLIER) ? 1 : 0;
                }
            }
            scripted.advance(10);
            for (Due end : List.copyOf(due)) {
                if (end.atMs() <= scripted.nowMs) {
                    due.remove(end);
                    scripted.end(
                            end.id(),
                            end.attempt(),
                            end.server(),
                            end.server().equals(OUTLIER) ? behaviour.outcome() : Outcome.SUCCESS,
                            end.tookMs());
                }
            }
        }
        return toOutlier;
    }

    private static LearnedState learned(Behaviour behaviour) {
        ScriptedLoadBalancer scripted = newInstance();
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(SERVERS));
        serve(scripted, 1_000, behaviour, "a");
        return scripted.balancer.exportState(scripted.nowMs, 0, 100);
    }

    private static ScriptedLoadBalancer imported(LearnedState learned, double ageMs) {
        ScriptedLoadBalancer scripted = newInstance();
        scripted.nowMs = 5_000_000;
        scripted.balancer.importState(scripted.nowMs, learned, ageMs);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(SERVERS));
        scripted.balancer.importState(scripted.nowMs, new LearnedState(0, null, List.of(), learned.servers()), ageMs);
        return scripted;
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}};
    }

    /** An export must not influence later decisions, although it reads decaying averages. */
    @Test(dataProvider = "seeds")
    public void exportDoesNotChangeDecisions(int seed) {
        assertEquals(randomRun(seed, true), randomRun(seed, false));
    }

    private static List<Action> randomRun(long seed, boolean exports) {
        Random random = new Random(seed);
        ScriptedLoadBalancer scripted =
                new ScriptedLoadBalancer(ScriptedLoadBalancer.settings(true, true, List.of()), seed);
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(SERVERS));
        List<LoadBalancer.SendAttempt> sent = new ArrayList<>();
        scripted.watcher = answer -> sent.addAll(ScriptedLoadBalancer.only(LoadBalancer.SendAttempt.class, answer));
        for (int i = 0; i < 2_000; i++) {
            scripted.request("r" + i, random.nextInt(3));
            scripted.advance(random.nextInt(30));
            if (!sent.isEmpty()) {
                LoadBalancer.SendAttempt end = sent.remove(random.nextInt(sent.size()));
                scripted.end(end.id(), 0, end.server(), Outcome.values()[random.nextInt(8)], random.nextInt(200));
            }
            if (exports) {
                scripted.balancer.exportState(scripted.nowMs, i % 7, 3);
            }
        }
        return scripted.actions;
    }

    @DataProvider
    public Object[][] behaviours() {
        return new Object[][] {{SLOW}, {FAILING}, {RETURNING_ERRORS}};
    }

    /** Compares the first 100 requests after a start with those of an instance without imported state. */
    @Test(dataProvider = "behaviours")
    public void importedStateCountsLessWithAgeAndExcludesNoServer(Behaviour behaviour) {
        LearnedState learned = learned(behaviour);
        int withoutState = serve(imported(LearnedState.EMPTY, 0), 100, HEALTHY, "b");
        int second = serve(imported(learned, 1_000), 100, HEALTHY, "b");
        int minute = serve(imported(learned, 60_000), 100, HEALTHY, "b");
        assertTrue(
                second < withoutState,
                "expected fewer than " + withoutState + " attempts at the outlier server but was " + second);
        assertTrue(minute >= second, "expected at least " + second + " attempts after a minute but was " + minute);
        // The outlier server is healthy by now, so within 10 s it gets its usual share.
        ScriptedLoadBalancer scripted = imported(learned, 1_000);
        serve(scripted, 1_000, HEALTHY, "b");
        int later = serve(scripted, 300, HEALTHY, "c");
        assertTrue(
                later > 300 / SERVERS / 2,
                "expected at least half of the usual share of 300 requests but was " + later);
    }

    @DataProvider
    public Object[][] ages() {
        return new Object[][] {{-1.0}, {Double.NaN}, {LearnedState.MAX_AGE_MS}, {1e15}};
    }

    @Test(dataProvider = "ages")
    public void ignoresStateThatIsTooOldOrFromTheFuture(double ageMs) {
        ScriptedLoadBalancer withoutState = newInstance();
        withoutState.nowMs = 5_000_000;
        withoutState.updateEndpoints(true, ScriptedLoadBalancer.servers(SERVERS));
        ScriptedLoadBalancer old = imported(learned(FAILING), ageMs);
        serve(withoutState, 300, HEALTHY, "b");
        serve(old, 300, HEALTHY, "b");
        assertEquals(old.actions, withoutState.actions);
    }

    @Test
    public void restartedServerGetsNoImportedState() {
        LearnedState learned = learned(FAILING);
        ScriptedLoadBalancer scripted = newInstance();
        scripted.updateEndpoints(true, List.of(new Endpoint(OUTLIER, 2, 2, EndpointState.READY, 12_345)));
        scripted.balancer.importState(scripted.nowMs, learned, 0);
        assertEquals(scripted.balancer.exportState(scripted.nowMs, 0, 10).servers(), List.of());
    }

    /** Imported weights decay with age while means stay the same; the weights of servers are bounded. */
    @Test
    public void importedWeightsDecayByTheirHalfLives() {
        LearnedState learned = learned(SLOW);
        for (double ageMs : new double[] {0, 5_000, 20_000}) {
            ScriptedLoadBalancer scripted = imported(learned, ageMs);
            LearnedState imported = scripted.balancer.exportState(scripted.nowMs, 0, 100);
            double keptShare = imported.cluster().idleLatency().weight()
                    / learned.cluster().idleLatency().weight();
            assertEquals(
                    keptShare,
                    Math.min(
                            0.5 * Math.pow(2, -ageMs / 5_000),
                            2 / learned.cluster().idleLatency().weight()),
                    1e-9);
            assertEquals(
                    imported.cluster().idleLatency().sum()
                            / imported.cluster().idleLatency().weight(),
                    learned.cluster().idleLatency().sum()
                            / learned.cluster().idleLatency().weight(),
                    1e-9);
            assertTrue(imported.servers().stream()
                            .mapToDouble(each -> each.latency().weight())
                            .max()
                            .orElse(9)
                    <= 0.5);
            assertTrue(imported.servers().stream()
                            .mapToDouble(each -> each.failures().weight())
                            .max()
                            .orElse(9)
                    <= 0.5);
        }
    }

    @Test
    public void importDoesNotReplaceOwnStatistics() {
        LearnedState learned = learned(FAILING);
        ScriptedLoadBalancer scripted = newInstance();
        scripted.updateEndpoints(true, ScriptedLoadBalancer.servers(SERVERS));
        serve(scripted, 300, HEALTHY, "b");
        List<ServerStatistics> before =
                scripted.balancer.exportState(scripted.nowMs, 0, 100).servers();
        scripted.balancer.importState(scripted.nowMs, learned, 0);
        assertEquals(scripted.balancer.exportState(scripted.nowMs, 0, 100).servers(), before);
    }

    @DataProvider
    public Object[][] slowdowns() {
        return new Object[][] {{0.5}, {1.2}, {3.0}};
    }

    /** The unloaded latency, which sets concurrency limits, is learned only from responses since the import. */
    @Test(dataProvider = "slowdowns")
    public void concurrencyLimitsAreNotImported(double slowdown) {
        ScriptedLoadBalancer scripted = imported(learned(HEALTHY), 1_000);
        for (int i = 0; i < 20; i++) {
            scripted.serve("b" + i, slowdown * USUAL_MS);
        }
        double unloadedMs =
                scripted.balancer.exportState(scripted.nowMs, 0, 100).cluster().unloadedMs();
        assertEquals(unloadedMs, slowdown * USUAL_MS, 0.3 * slowdown * USUAL_MS);
    }
}
