package peppergauge.lab.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.lab.result.RunResult;
import peppergauge.lab.scenario.ServerGroup;

/** Unit tests of each model, and their effects in small fleets. */
public class ModelsTest {

    private static final String FLEET = """
            kind = "scenario"
            [run]
            length = "8 s"
            [network]
            [[servers]]
            name = "a"
            count = 4
            speed-spread = 0
            %s
            [[class]]
            name = "pay"
            work = "20 ms"
            work-spread = 0.2
            aim = "200 ms"
            deadline = "1 s"
            effect = "unsafe"
            [clients]
            rate = 100
            impatient = 0
            %s
            [sidecars]
            """;

    private static ServerGroup kind(String more) {
        return BundledScenarios.read(FLEET.formatted(more, "")).servers().get(0);
    }

    private static long ticks(double s) {
        return VirtualTime.ticks(s * 1_000);
    }

    @Test
    public void runsEventsAtOneInstantInSchedulingOrder() {
        VirtualTime time = new VirtualTime();
        List<String> ran = new ArrayList<>();
        time.after(5, () -> ran.add("c"));
        time.after(3, () -> {
            ran.add("a");
            time.after(0, () -> ran.add("b2"));
        });
        time.after(3, () -> ran.add("b"));
        time.after(4, () -> ran.add("never")).cancel();
        VirtualTime.Event[] due = new VirtualTime.Event[1];
        time.after(6, () -> due[0].cancel());
        due[0] = time.after(6, () -> ran.add("cancelled in the instant in which it was due"));
        time.runUntil(ticks(1));
        assertEquals(ran, List.of("a", "b", "b2", "c"));
    }

    @Test
    public void throwsWhenEventsAtOneInstantDoNotEnd() {
        VirtualTime time = new VirtualTime();
        Runnable[] again = new Runnable[1];
        again[0] = () -> time.after(0, again[0]);
        again[0].run();
        assertThrows(IllegalStateException.class, () -> time.runUntil(1));
    }

    /** Guards against early timers: a load balancer that is woken too early does nothing and is never woken again. */
    @Property
    boolean timersNeverFireEarly(
            @ForAll @DoubleRange(min = 0, max = 1e7) double startMs,
            @ForAll @DoubleRange(min = 0, max = 1e4) double waitMs) {
        VirtualTime time = new VirtualTime();
        time.runUntil(VirtualTime.ticks(startMs));
        double due = time.nowMs() + waitMs;
        double[] at = new double[1];
        time.after(due - time.nowMs(), () -> at[0] = time.nowMs());
        time.runUntil(Long.MAX_VALUE);
        return at[0] >= due && at[0] < due + 0.002;
    }

    @DataProvider
    public Object[][] warmUp() {
        return new Object[][] {
            {"cold-from = 0.4\ncold-time = '6 s'", 0.0, 0.0, 0.4},
            {"cold-from = 0.4\ncold-time = '6 s'", 3.0, 0.0, 0.7},
            {"cold-from = 0.4\ncold-time = '6 s'", 6.0, 0.0, 1.0},
            {"cold-from = 0.4\ncold-time = '6 s'\nwarm-by = 'work'", 60.0, 0.0, 0.4},
            {"cold-from = 0.4\ncold-time = '6 s'\nwarm-by = 'work'", 1.0, 6_000.0, 0.7},
            {"cold-time = '0 s'", 0.0, 0.0, 1.0},
        };
    }

    @Test(dataProvider = "warmUp")
    public void coldServerWarmsUpByTimeOrWork(String settings, double afterS, double workedMs, double share) {
        WarmUp warmUp = new WarmUp(kind(settings), 2);
        assertEquals(warmUp.share(0), 1.0, "warm before the first start");
        warmUp.start(0);
        warmUp.addWork(workedMs);
        assertEquals(warmUp.share(ticks(afterS)), share, 1e-9);
    }

    @DataProvider
    public Object[][] slowdown() {
        // Seconds and requests per core from then on, and whether the server is slowed at the last.
        return new Object[][] {
            {new double[][] {{0, 20}, {1.9, 20}}, false},
            {new double[][] {{0, 20}, {2, 20}}, true},
            {new double[][] {{0, 20}, {1, 3}, {1.5, 20}, {3, 20}}, false},
            {new double[][] {{0, 20}, {2, 20}, {3, 5}, {9, 5}}, true},
            {new double[][] {{0, 20}, {2, 20}, {3, 0}, {5.9, 0}}, true},
            {new double[][] {{0, 20}, {2, 20}, {3, 0}, {6, 0}}, false},
            {new double[][] {{0, 20}, {2, 20}, {3, 5}, {27, 5}}, false},
        };
    }

    @Test(dataProvider = "slowdown")
    public void overloadedServerIsSlowedUntilIdle(double[][] held, boolean isSlowed) {
        OverloadSlowdown slowdown = new OverloadSlowdown(kind("choke-at = 12"));
        for (double[] step : held) {
            slowdown.update(ticks(step[0]), step[1]);
        }
        assertEquals(slowdown.isSlowed(), isSlowed);
        assertEquals(slowdown.slowdownFactor(), isSlowed ? 3.0 : 1.0);
    }

    @DataProvider
    public Object[][] budgets() {
        // Requests of 100 ms work sent at once every 100 ms to a core at half capacity; the budget is twice that over 1
        // s.
        return new Object[][] {{1, 10, false}, {1, 40, false}, {2, 40, true}, {11, 1, false}, {14, 1, true}};
    }

    @Test(dataProvider = "budgets")
    public void coldServerFailsWhenBudgetIsExceeded(int burstSize, int bursts, boolean fails) {
        ColdServerBudget budget = new ColdServerBudget(2, 1_000);
        boolean failed = false;
        for (int i = 0; i < bursts; i++) {
            for (int k = 0; k < burstSize; k++) {
                failed |= budget.sent(ticks(0.1 * i), 100, k % 2 == 0, 0.5);
            }
        }
        assertEquals(failed, fails);
    }

    @Test
    public void recentlyUsedKeyNeedsLessWork() {
        KeyCache memory = new KeyCache(kind("memory-keys = 2\nmemory-time = '6 s'\nmemory-saving = 0.4"));
        assertEquals(memory.access(1, 0), 1.0);
        assertEquals(memory.access(1, ticks(6)), 0.6);
        assertEquals(memory.access(1, ticks(13)), 1.0, "expired key");
        memory.access(2, ticks(13));
        memory.access(3, ticks(13));
        assertEquals(memory.access(1, ticks(14)), 1.0, "evicted key");
        assertEquals(memory.access(0, 0) + memory.access(0, 0), 2.0, "no key");
    }

    @Test
    public void streamDependsOnSeedAndNameOnly() {
        RandomStreams streams = new RandomStreams(7);
        long first = streams.of("a").nextLong();
        streams.of("b").nextLong();
        assertEquals(streams.of("a").nextLong(), first);
        assertTrue(streams.of("b").nextLong() != first
                && new RandomStreams(8).of("a").nextLong() != first);
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            // Changes of the fleet, then bounds of the shares of answered requests and of rejected client attempts.
            {"", "", "", 0.999, 1.0, 0.0, 0.0},
            {"", "", "[[at]]\ntime = '0 s'\nwhat = 'kill'", 0.0, 0.0, 0.9, 1.0},
            {"", "", "[[at]]\ntime = '4 s'\nwhat = 'kill'\nlength = '1 s'", 0.75, 0.95, 0.2, 0.6},
            {"", "", "[[at]]\ntime = '4 s'\nwhat = 'vanish'", 0.45, 0.6, 0.0, 0.9},
            {"", "", "[[at]]\ntime = '0 s'\nwhat = 'fast-errors'\npart = 1.0", 0.0, 0.0, 0.0, 0.1},
            {"", "", "[[at]]\ntime = '0 s'\nwhat = 'lose-answers'\npart = 1.0", 0.0, 0.01, 0.8, 1.0},
            {
                "",
                "",
                "[[at]]\ntime = '4 s'\nwhat = 'sidecar-crash'\ntarget = 'sidecars'\nlength = '2 s'",
                0.9,
                1.0,
                0.0,
                0.05
            },
            {
                "",
                "",
                "[[at]]\ntime = '4 s'\nwhat = 'sidecar-pause'\ntarget = 'sidecars'\nlength = '2 s'",
                0.6,
                0.9,
                0.0,
                0.5
            },
            {"", "", "[[at]]\ntime = '4 s'\nwhat = 'discovery-empty'\nlength = '2 s'", 0.6, 0.9, 0.05, 0.6},
            {"", "", "[[at]]\ntime = '0 s'\nwhat = 'slow'\nsize = 1000", 0.0, 0.05, 0.3, 1.0},
            {"", "", "[[at]]\ntime = '4 s'\nwhat = 'pause'\nlength = '500 ms'", 0.9, 1.0, 0.0, 0.2},
            {"errors = 0.2", "", "", 0.7, 0.9, 0.0, 0.05},
            {"room = 0\nslots = 1", "", "", 0.9, 1.0, 0.0, 0.2},
            {"connections = 1", "", "", 0.9, 1.0, 0.0, 0.2},
            {"", "rate = 0", "", 0.0, 0.0, 0.0, 0.0},
        };
    }

    @Test(dataProvider = "fleets")
    public void incidentsChangeSharesOfAnsweredAndRejectedRequests(
            String server,
            String client,
            String entry,
            double least,
            double most,
            double leastDenied,
            double mostDenied) {
        String text = FLEET.formatted(server, "");
        RunResult result = Emulator.run(
                "small", BundledScenarios.read((client.isEmpty() ? text : text.replace("rate = 100", client)) + entry));
        assertEquals(result.broken().toString(), "[]");
        RunResult.Totals totals = result.totals();
        double answered = (totals.inTime() + totals.late()) / Math.max(1.0, totals.asked());
        double denied = totals.denied() / Math.max(1.0, totals.tries());
        assertTrue(answered >= least && answered <= most, "answered " + answered);
        assertTrue(denied >= leastDenied && denied <= mostDenied, "denied " + denied);
    }

    /** A successor at the address of a removed server has its own name; a restarted server keeps its name. */
    @Test
    public void replacementsAreNewServersAndRestartedServersAreNot() {
        RunResult result = Emulator.run(
                "small",
                BundledScenarios.read(FLEET.formatted("", "")
                        + "[[at]]\ntime = '1 s'\nwhat = 'deploy'\ntarget = 'a-1'\nlength = '1 s'\nsize = 2\npart = 1.0\n"
                        + "[[at]]\ntime = '1 s'\nwhat = 'kill'\ntarget = 'a-2'\nlength = '2 s'\n"));
        assertEquals(
                result.servers().stream().map(RunResult.ServerResult::name).toList(),
                List.of("a-1", "a-2", "a-3", "a-4", "a-1.1"));
        assertEquals(result.servers().get(0).inFlight().subList(3, 8), List.of(-1, -1, -1, -1, -1));
        assertTrue(
                result.servers().get(4).capacity().get(7) > 0.5,
                result.servers().get(4).toString());
        assertTrue(
                result.servers().get(1).capacity().get(7) > 0.5,
                result.servers().get(1).toString());
    }
}
