package peppergauge.lab.emulator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peppergauge.lab.scenario.Scenario;

/** Tests a discovery service of finite capacity when all sidecars start at once. */
public class DiscoveryCallQueueTest {

    private static final String SCENARIO = """
            kind = "scenario"
            [run]
            length = "20 s"
            [network]
            zones = ["a"]
            [[servers]]
            name = "gen"
            count = 4
            [[class]]
            name = "list"
            work = "20 ms"
            aim = "400 ms"
            deadline = "1 s"
            [[tenant]]
            name = "city"
            share = 1.0
            quota = 100
            [clients]
            rate = 20
            [sidecars]
            count = 60
            [discovery]
            calls = 20
            pace = "PACE"
            [[at]]
            time = "2 s"
            what = "sidecar-crash"
            target = "sidecars:1.0"
            length = "1 s"
            """;

    @DataProvider
    public Object[][] paces() {
        // 60 calls queue for 3 s: prompt polling adds hedged calls, at most three calls per sidecar, and spread polling
        // distributes the calls over 9 s.
        return new Object[][] {{"prompt", 60, 200, 180}, {"spread", 0, 25, 15}};
    }

    @Test(dataProvider = "paces")
    public void callsQueueAndAreHedgedOrSpread(String pace, int leastPeak, int mostPeak, int maxOpenCalls) {
        Scenario scenario = BundledScenarios.read(SCENARIO.replace("PACE", pace));
        EmulationContext[] contexts = new EmulationContext[1];
        Emulator.run("calls", scenario, context -> contexts[0] = context);
        DiscoveryCallQueue calls = ((PlatformDiscovery) contexts[0].discovery).calls();
        List<Integer> made = calls.callsBySecond();
        int peak = made.stream().mapToInt(Integer::intValue).max().orElse(0);
        assertTrue(peak >= leastPeak && peak <= mostPeak, pace + ": peak " + peak);
        assertTrue(calls.maxOpenCalls() <= maxOpenCalls, pace + ": open " + calls.maxOpenCalls());
        assertEquals(
                made.stream().mapToInt(Integer::intValue).sum() == 60,
                pace.equals("spread"),
                "exactly one call per sidecar with spread polling only");
        // A call without a response keeps its place in the queue. The overload never ended when such calls were closed.
        assertTrue(contexts[0].sidecars.stream().allMatch(calls::isWatching), "all sidecars have opened their watches");
    }
}
