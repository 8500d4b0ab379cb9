package peppergauge.lab.history;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the measurements of constructed histories. */
public class ColdStartTest {

    private static final double NEVER = Double.POSITIVE_INFINITY;

    /** Events before the start after the fault count only for the usual service. */
    private static final String BEFORE = "100 STARTED s1 - - 0 -;200 CALLED s1 discovery - 1 -;210 CALLED s1 discovery"
            + " - 2 -;220 CALL_ENDED s1 discovery - 1 answered;220 CALL_ENDED s1 discovery - 2 answered;"
            + "300 TOLD s1 b - 0 active;400 UP s1 - - 0 -;500 CONNECTED s1 b - 1 -;";

    private static final String KILL = "2000 FAULT s1 - 1 0 kill;2000 DOWN s1 - - 0 -;";
    /** Three calls within a second, two of them open at once, and a fourth call after the response. */
    private static final String RESTART = "3000 STARTED s1 - - 0 -;3600 CALLED s1 discovery - 3 -;"
            + "3700 CALL_ENDED s1 discovery - 3 closed;3900 CALLED s1 discovery - 4 -;4500 CALLED s1 discovery - 5 -;"
            + "4900 CALL_ENDED s1 discovery - 5 answered;4600 UP s1 - - 0 -;5000 TOLD s1 b - 0 active;"
            + "5100 CONNECTED s1 b - 2 -;5200 CONNECTED s1 b - 3 -;6100 CONNECTED s1 b - 4 -;"
            + "7000 CALLED s1 discovery - 6 -;7000 HEALED s1 - 1 0 kill;";

    @DataProvider
    public static Object[][] histories() {
        return new Object[][] {
            {
                BEFORE + KILL + RESTART + HistoryRulesTest.load(2_000, 5_500, 1),
                new ColdStart(
                        4, 3, 1.5, 2, 2, 2, Map.of("asked", 350L, "denied", 125L, "served", 225L), 3, List.of(1.6), 1.6)
            },
            {
                KILL + HistoryRulesTest.load(2_000, 90_000, 1),
                new ColdStart(0, 0, 0, 0, NEVER, 0, Map.of("asked", 400L, "denied", 400L), 8, List.of(), NEVER)
            },
            // Without a fault, measurements begin at the very first start.
            {
                BEFORE + HistoryRulesTest.load(0, 0, 1),
                new ColdStart(2, 2, 10, 2, 0.2, 1, Map.of("asked", 495L, "served", 495L), NEVER, List.of(0.3), 0.3)
            },
        };
    }

    @Test(dataProvider = "histories")
    public void measuresCallsConnectionsOutcomesAndTimes(String lines, ColdStart expected) {
        assertEquals(ColdStart.of(HistoryRulesTest.history(lines)), expected);
    }

    @Test
    public void usualServiceIsNeverReachedIfNotBackByTheEnd() {
        History whole = HistoryRulesTest.history(KILL + HistoryRulesTest.load(2_000, 90_000, 1));
        History cut = new History(whole.events().stream()
                .filter(event -> event.atNs() < 10_000_000_000L)
                .toList());
        assertEquals(ColdStart.of(cut).usualS(), NEVER);
    }

    @Test
    public void measuresResponsesAndTimesOfTheFleetService() {
        String lines = "100 TABLE s1 - - 7 -;150 VIEW f1 - - 1 f1;150 VIEW f2 - - 1 f1;" + KILL
                + "3000 STARTED s1 - - 0 -;3100 TABLE s1 - - 7 -;4000 TABLE s1 - - 9 -;3500 VIEW f1 - - 1 f1;"
                + "3600 VIEW f2 - - 0 f1;3700 VIEW f2 - - 1 f2;4200 VIEW f2 - - 1 f1;"
                + "50000 HEARD s1 - - 3 reports taken;"
                + "50000 HEARD s2 - - 2 reports taken;50000 HEARD s2 - - 1 reports busy;"
                + HistoryRulesTest.load(0, 0, 1);
        assertEquals(
                ColdStart.fleet(HistoryRulesTest.history(lines)),
                new ColdStart.Fleet(Map.of("reports taken", 5L, "reports busy", 1L), 1.2, 1));
    }
}
