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

public class MemoryTest {

    private static final int SERVERS = 6;
    private static final String ODD = "s2";
    private static final double USUAL_MS = 30;

    /** What becomes of a request at the odd server. */
    private record Oddity(Outcome outcome, double tookMs) {}

    private static final Oddity SLOW = new Oddity(Outcome.SUCCESS, 4 * USUAL_MS);
    private static final Oddity FAILING = new Oddity(Outcome.TIMED_OUT, 60);
    private static final Oddity ERRING = new Oddity(Outcome.ERROR, 5);
    private static final Oddity SOUND = new Oddity(Outcome.SUCCESS, USUAL_MS);

    private static Scripted fresh() {
        return new Scripted(Scripted.settings(true, true, List.of()), 7);
    }

    /** A request each 10 ms, each answered after its time; returns how many went to the odd server first. */
    private static int serve(Scripted scripted, int requests, Oddity oddity, String prefix) {
        record Due(double atMs, String id, int attempt, String server, double tookMs) {}
        List<Due> due = new ArrayList<>();
        int odd = 0;
        for (int i = 0; i < requests; i++) {
            List<Action> answer = new ArrayList<>(scripted.request(prefix + i, 0));
            for (int send = 0; send < answer.size(); send++) {
                if (answer.get(send) instanceof LoadBalancer.SendAttempt sent) {
                    double tookMs = sent.server().equals(ODD) ? oddity.tookMs() : USUAL_MS;
                    long before = due.stream()
                            .filter(each -> each.id().equals(sent.id()))
                            .count();
                    due.add(new Due(scripted.nowMs + tookMs, sent.id(), (int) before, sent.server(), tookMs));
                    odd += sent.server().equals(ODD) ? 1 : 0;
                }
            }
            scripted.pass(10);
            for (Due end : List.copyOf(due)) {
                if (end.atMs() <= scripted.nowMs) {
                    due.remove(end);
                    scripted.end(
                            end.id(),
                            end.attempt(),
                            end.server(),
                            end.server().equals(ODD) ? oddity.outcome() : Outcome.SUCCESS,
                            end.tookMs());
                }
            }
        }
        return odd;
    }

    private static LearnedState learned(Oddity oddity) {
        Scripted scripted = fresh();
        scripted.list(true, Scripted.servers(SERVERS));
        serve(scripted, 1_000, oddity, "a");
        return scripted.balancer.exportState(scripted.nowMs, 0, 100);
    }

    private static Scripted recalled(LearnedState learned, double ageMs) {
        Scripted scripted = fresh();
        scripted.nowMs = 5_000_000;
        scripted.balancer.importState(scripted.nowMs, learned, ageMs);
        scripted.list(true, Scripted.servers(SERVERS));
        scripted.balancer.importState(scripted.nowMs, new LearnedState(0, null, List.of(), learned.servers()), ageMs);
        return scripted;
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1}, {2}, {3}};
    }

    /** What is only read must leave no trace in any later decision. */
    @Test(dataProvider = "seeds")
    public void readingChangesNoDecision(int seed) {
        assertEquals(randomRun(seed, true), randomRun(seed, false));
    }

    private static List<Action> randomRun(long seed, boolean reading) {
        Random random = new Random(seed);
        Scripted scripted = new Scripted(Scripted.settings(true, true, List.of()), seed);
        scripted.list(true, Scripted.servers(SERVERS));
        List<LoadBalancer.SendAttempt> sent = new ArrayList<>();
        scripted.watcher = answer -> sent.addAll(Scripted.only(LoadBalancer.SendAttempt.class, answer));
        for (int i = 0; i < 2_000; i++) {
            scripted.request("r" + i, random.nextInt(3));
            scripted.pass(random.nextInt(30));
            if (!sent.isEmpty()) {
                LoadBalancer.SendAttempt end = sent.remove(random.nextInt(sent.size()));
                scripted.end(end.id(), 0, end.server(), Outcome.values()[random.nextInt(8)], random.nextInt(200));
            }
            if (reading) {
                scripted.balancer.exportState(scripted.nowMs, i % 7, 3);
            }
        }
        return scripted.actions;
    }

    @DataProvider
    public Object[][] oddities() {
        return new Object[][] {{SLOW}, {FAILING}, {ERRING}};
    }

    /** Of 100 requests after a start; a cold one sends the odd server what it sends any. */
    @Test(dataProvider = "oddities")
    public void whatWasLearnedBendsTheDrawLessWithAgeAndNeverClosesTheDoor(Oddity oddity) {
        LearnedState learned = learned(oddity);
        int cold = serve(recalled(LearnedState.EMPTY, 0), 100, SOUND, "b");
        int second = serve(recalled(learned, 1_000), 100, SOUND, "b");
        int minute = serve(recalled(learned, 60_000), 100, SOUND, "b");
        assertTrue(second < cold, second + " of " + cold);
        assertTrue(minute >= second, minute + " after a minute, " + second + " after a second");
        // Wrong by now: within 10 s it is a server like any other.
        Scripted scripted = recalled(learned, 1_000);
        serve(scripted, 1_000, SOUND, "b");
        int later = serve(scripted, 300, SOUND, "c");
        assertTrue(later > 300 / SERVERS / 2, later + " of 300");
    }

    @DataProvider
    public Object[][] ages() {
        return new Object[][] {{-1.0}, {Double.NaN}, {LearnedState.MAX_AGE_MS}, {1e15}};
    }

    @Test(dataProvider = "ages")
    public void whatIsTooOldOrFromTheFutureIsNothing(double ageMs) {
        Scripted cold = fresh();
        cold.nowMs = 5_000_000;
        cold.list(true, Scripted.servers(SERVERS));
        Scripted old = recalled(learned(FAILING), ageMs);
        serve(cold, 300, SOUND, "b");
        serve(old, 300, SOUND, "b");
        assertEquals(old.actions, cold.actions);
    }

    @Test
    public void aServerThatWasStartedAnewIsANewOne() {
        LearnedState learned = learned(FAILING);
        Scripted scripted = fresh();
        scripted.list(true, List.of(new Endpoint(ODD, 2, 2, EndpointState.READY, 12_345)));
        scripted.balancer.importState(scripted.nowMs, learned, 0);
        assertEquals(scripted.balancer.exportState(scripted.nowMs, 0, 10).servers(), List.of());
    }

    /** Weights halve with age, means stay; of a server little is believed. */
    @Test
    public void figuresAgeByTheirHalfLives() {
        LearnedState learned = learned(SLOW);
        for (double ageMs : new double[] {0, 5_000, 20_000}) {
            Scripted scripted = recalled(learned, ageMs);
            LearnedState back = scripted.balancer.exportState(scripted.nowMs, 0, 100);
            double kept = back.cluster().idleLatency().weight()
                    / learned.cluster().idleLatency().weight();
            assertEquals(
                    kept,
                    Math.min(
                            0.5 * Math.pow(2, -ageMs / 5_000),
                            2 / learned.cluster().idleLatency().weight()),
                    1e-9);
            assertEquals(
                    back.cluster().idleLatency().sum()
                            / back.cluster().idleLatency().weight(),
                    learned.cluster().idleLatency().sum()
                            / learned.cluster().idleLatency().weight(),
                    1e-9);
            assertTrue(back.servers().stream()
                            .mapToDouble(each -> each.latency().weight())
                            .max()
                            .orElse(9)
                    <= 0.5);
            assertTrue(back.servers().stream()
                            .mapToDouble(each -> each.failures().weight())
                            .max()
                            .orElse(9)
                    <= 0.5);
        }
    }

    @Test
    public void whatItLearnedByItselfGoesBeforeWhatIsRecalled() {
        LearnedState learned = learned(FAILING);
        Scripted scripted = fresh();
        scripted.list(true, Scripted.servers(SERVERS));
        serve(scripted, 300, SOUND, "b");
        List<ServerStatistics> before =
                scripted.balancer.exportState(scripted.nowMs, 0, 100).servers();
        scripted.balancer.importState(scripted.nowMs, learned, 0);
        assertEquals(scripted.balancer.exportState(scripted.nowMs, 0, 100).servers(), before);
    }

    @DataProvider
    public Object[][] paces() {
        return new Object[][] {{0.5}, {1.2}, {3.0}};
    }

    /** However fast the fleet is by now, its pace when idle is that of today's answers. */
    @Test(dataProvider = "paces")
    public void howManyFlightsAServerMayHaveIsNotRecalled(double slower) {
        Scripted scripted = recalled(learned(SOUND), 1_000);
        for (int i = 0; i < 20; i++) {
            scripted.serve("b" + i, slower * USUAL_MS);
        }
        double unloadedMs =
                scripted.balancer.exportState(scripted.nowMs, 0, 100).cluster().unloadedMs();
        assertEquals(unloadedMs, slower * USUAL_MS, 0.3 * slower * USUAL_MS);
    }
}
