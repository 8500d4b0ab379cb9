package peppergauge.lab.history;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the rule for the steps of zone factors over histories that break it and histories that do not. */
public class FactorStepRuleTest {

    /** Returns an event of s1 that reports a zone factor 1 ms after the query. */
    private static String steered(double atMs, long version, long leftMs, double factor) {
        return atMs + " STEERED s1 - - " + version + ' '
                + new ZoneFactorReport(1, leftMs, factor == 1 ? Map.of() : Map.of("radio", Map.of("east", factor)))
                        .json()
                + ';';
    }

    @DataProvider
    public static Object[][] factorReports() {
        String down = "20000 DOWN s1 - - 0 -;20300 UP s1 - - 0 -;";
        String terminated = "20000 TERMINATED s1 - - 0 -;20300 UP s1 - - 0 -;";
        return new Object[][] {
            // One step per second is allowed in either direction; one may come right after the first report.
            {steered(100, 5, 9_000, 1) + steered(400, 5, 8_700, 0.9) + steered(1_500, 5, 7_600, 0.8), "", ""},
            {steered(100, 5, 9_000, 0.5) + steered(400, 5, 8_700, 0.6), "", ""},
            {steered(100, 5, 9_000, 0.5) + steered(3_300, 5, 5_800, 0.9), "", ""},
            {steered(100, 5, 9_000, 1) + steered(400, 5, 8_700, 0.89), "step", ""},
            {steered(100, 5, 9_000, 0.5) + steered(400, 5, 8_700, 0.61), "step", ""},
            {steered(100, 5, 9_000, 0.5) + steered(3_000, 5, 6_100, 0.9), "step", ""},
            // Changes between neighbouring reports are allowed, but their sum is too large.
            {steered(100, 5, 9_000, 1) + steered(400, 5, 8_700, 0.9) + steered(700, 5, 8_400, 0.8), "step", ""},
            {steered(100, 5, 9_000, 1) + steered(400, 6, 9_000, 0.95) + steered(700, 6, 8_700, 0.89), "step", ""},
            {
                steered(100, 5, 9_000, 1)
                        + steered(400, 5, 8_700, 0.9)
                        + steered(800, 5, 8_300, 0.8)
                        + "600 LATE rig - - 400 -",
                "",
                "step: scheduling delay of the machine"
            },
            // Factors must be within their range.
            {steered(100, 5, 9_000, 0.05) + steered(400, 5, 9_000, 0.05), "", ""},
            {steered(100, 5, 9_000, 0.04), "step", ""},
            {steered(100, 5, 9_000, 1.01), "step", ""},
            // Without a table, or after the end of its lease, all factors are 1, whatever they were before.
            {steered(100, 0, 0, 1) + steered(400, 0, 0, 1), "", ""},
            {steered(100, 0, 0, 0.95), "step", ""},
            {steered(100, 5, 200, 0.3) + steered(400, 5, -100, 1), "", ""},
            {steered(100, 5, 400, 0.3) + steered(400, 5, 100, 1), "step", ""},
            {steered(100, 5, 200, 0.3) + steered(330, 5, -30, 0.3), "", ""},
            {steered(100, 5, 200, 0.3) + steered(400, 5, -100, 0.3), "step", ""},
            {
                steered(100, 5, 200, 0.3) + steered(400, 5, -100, 0.3) + "420 LATE rig - - 200 -",
                "",
                "step: scheduling delay of the machine"
            },
            {
                steered(100, 5, 200, 0.3)
                        + "200 STOPPED s1 - - 0 -;390 CONTINUED s1 - - 0 -;"
                        + steered(400, 5, -100, 0.3),
                "",
                "step: sidecar was paused"
            },
            // The lease ended between two reports and another table came: steps count from 1.
            {steered(100, 5, 200, 0.3) + steered(400, 6, 9_000, 0.9), "", ""},
            {steered(100, 5, 200, 0.3) + steered(400, 6, 9_000, 0.8), "step", ""},
            {steered(100, 5, 200, 0.95) + steered(400, 6, 9_000, 0.85), "", ""},
            {steered(100, 5, 400, 0.3) + steered(400, 6, 9_000, 0.9), "step", ""},
            // A restarted process begins with factors of 1. While it starts either process may respond.
            {
                steered(19_900, 5, 9_000, 0.3)
                        + down
                        + steered(20_100, 5, 8_000, 0.3)
                        + steered(20_200, 0, 0, 1)
                        + steered(20_400, 6, 9_000, 0.9)
                        + steered(21_500, 6, 9_000, 0.8),
                "",
                ""
            },
            {
                steered(19_900, 5, 9_000, 0.3)
                        + terminated
                        + steered(20_100, 5, 8_000, 0.3)
                        + steered(20_200, 0, 0, 1)
                        + steered(20_400, 6, 9_000, 0.9)
                        + steered(21_500, 6, 9_000, 0.8),
                "",
                ""
            },
            {steered(19_900, 5, 9_000, 0.3) + down + steered(20_400, 6, 9_000, 0.3), "step", ""},
            {steered(19_900, 5, 9_000, 0.8) + terminated + steered(20_400, 6, 9_000, 0.8), "step", ""},
            {
                steered(19_900, 5, 9_000, 0.3) + down + steered(20_400, 6, 9_000, 0.9) + steered(20_700, 6, 9_000, 0.8),
                "step",
                ""
            },
            {steered(19_900, 5, 9_000, 0.3) + down + steered(20_200, 0, 0, 0.9), "step", ""},
            // Factors of different readers are not compared.
            {steered(100, 5, 9_000, 1) + steered(400, 5, 9_000, 0.3).replace("s1", "s2"), "", ""},
        };
    }

    @Test(dataProvider = "factorReports")
    public void reportsFactorThatChangesByMoreThanItsSteps(String lines, String broken, String excuse) {
        Verdict verdict =
                HistoryRules.check(HistoryRulesTest.history(lines), HistoryRulesTest.LIMITS.withSteps(0.1, 1_000));
        assertEquals(
                verdict.rules(),
                broken.isEmpty() ? Set.of() : Set.of(broken),
                verdict.broken().toString());
        assertEquals(verdict.excused().keySet(), excuse.isEmpty() ? Set.of() : Set.of(excuse));
        assertEquals(verdict.checked().get("step"), Integer.valueOf(lines.split("STEERED").length - 1));
    }
}
