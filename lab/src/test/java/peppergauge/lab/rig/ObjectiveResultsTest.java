package peppergauge.lab.rig;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.EventKind;
import peppergauge.lab.history.History;
import peppergauge.lab.scenario.Scenario;

public class ObjectiveResultsTest {

    private static final String RIG_FILE = """
            kind = "rig"
            [run]
            length = "27 s"
            [network]
            zones = ["a"]
            [[servers]]
            name = "server"
            count = 2
            [[class]]
            name = "list"
            work = "10 ms"
            aim = "200 ms"
            deadline = "1 s"
            worth = 2
            late-worth = 0.5
            [[tenant]]
            name = "radio"
            [clients]
            rate = 1
            [sidecars]
            count = 1
            [[promise]]
            station = "radio"
            class = "list"
            share = 0.75
            within = "100 ms"
            windows = ["6 s", "24 s"]
            penalty = 3
            """;

    private static void addRequest(List<Event> events, int id, double atS, double tookMs, String how) {
        long atNs = (long) (1e9 * atS);
        events.add(new Event(atNs, EventKind.ASKED, "clients", "sidecar-1", id + ".0", 1_000, "safe list radio"));
        events.add(new Event(atNs + (long) (1e6 * tookMs), EventKind.ENDED, "sidecar-1", "", id + ".0", 0, how));
    }

    /** Four requests in each 6 s: windows 2 and 4 miss one and two of them, the long window three of sixteen. */
    @Test
    public void countsCompleteWindowsWorthAndRise() {
        List<Event> events = new ArrayList<>(List.of(Event.of(0, EventKind.BEGIN, "rig")));
        for (int i = 0; i < 18; i++) {
            // Request 5 misses the objective, 12 misses its latency objective, 13 is rejected; from 16 on the windows
            // are incomplete.
            addRequest(events, i, 1.5 * i, i == 5 ? 150 : i == 12 ? 300 : i > 15 ? 900 : 50, i == 13 ? "503" : "200");
        }
        for (int i = 0; i < 9; i++) {
            events.add(new Event(
                    (long) (1e9 * (i < 3 ? 1 : 4)), EventKind.SENT, "sidecar-1", "server-1", i + ".0", i, ""));
        }
        Scenario scenario = RigTest.file(RIG_FILE).scenario();
        ObjectiveResults results = ObjectiveResults.of(new History(events), scenario);
        assertEquals(results.windows(), 5);
        assertEquals(results.kept(), 4);
        assertEquals(results.penalty(), 0.2, 1e-9);
        assertEquals(results.worth(), (14 + 3 * 0.5) / 18, 1e-9);
        assertEquals(results.largestRise(), 1, 1e-9);
        ObjectiveResults afterWarmUp = ObjectiveResults.of(new History(events), scenario, 6_000);
        assertEquals(afterWarmUp.windows() + " " + afterWarmUp.kept(), "5 2", "windows begin after the warm-up");
    }
}
