package peppergauge.promises;

import org.testng.annotations.DataProvider;
import peppergauge.invariant.Loads;
import peppergauge.invariant.UnderRandomLoad;
import peppergauge.promises.evidence.WindowsLoad;

/** Promises under random load, with assertions on, and with faults planted in their sources. */
public class PromisesInvariantsTest extends UnderRandomLoad {

    private static final int SEEDS = 25;
    private static final String WINDOWS = "evidence.WindowsLoad";
    private static final String PROMISES = "PromisesLoad";

    public PromisesInvariantsTest() {
        super("promises/", "peppergauge.promises.", SEEDS);
    }

    @Override
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {"promises' windows", (Loads.Load) WindowsLoad::run, SEEDS},
            {"promises", (Loads.Load) PromisesLoad::run, SEEDS},
        };
    }

    @Override
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {
                WINDOWS,
                "evidence/Ring.java",
                "        if (number[at] > slot) {\n            return;\n        }\n",
                "",
                "a window counts"
            },
            {WINDOWS, "evidence/Ring.java", "            kept[at] = 0;\n", "", "a window counts"},
            {WINDOWS, "evidence/Ring.java", "number[i] > now - slots", "number[i] >= now - slots", "a window counts"},
            {WINDOWS, "evidence/Ring.java", "number[i] <= now", "number[i] < now", "a window lost"},
            {WINDOWS, "evidence/Ring.java", "tally.missed(), true)", "tally.missed(), false)", "joined with itself"},
            {WINDOWS, "evidence/Ring.java", "most ? Math.max(kept[at], keptNow)", "most ? keptNow", "a window lost"},
            {PROMISES, "evidence/Ledger.java", " && now.kept() >= before.kept()", "", "a tally under 0"},
            {PROMISES, "evidence/Ledger.java", "return is == null || ", "return ", "Cannot invoke"},
            {
                PROMISES,
                "plan/Holds.java",
                "before + NEWEST * (fresh - before)",
                "before - NEWEST * (fresh - before)",
                "is seen to hold"
            },
            {
                PROMISES,
                "plan/Solver.java",
                "        return fits;",
                "        return Math.min(1, 1 / each);",
                "over what is held"
            },
            {PROMISES, "plan/Solver.java", "share - part * leaves(share)", "share - leaves(share)", " got "},
            {PROMISES, "plan/Solver.java", "Math.max(0, share - Steering.FLOOR)", "share", " got "},
            {PROMISES, "plan/Solver.java", "wish.allowed().contains(zone) && !wish", "!wish", " got "},
            {PROMISES, "steer/Steerer.java", "tuning.step() / most", "1", " to "},
            {
                PROMISES,
                "steer/Steerer.java",
                "        factors.keySet().retainAll(contracts.keySet());\n",
                "",
                "has no promise"
            },
            {PROMISES, "steer/Steerer.java", "Math.min(1, went / stood)", "went / stood", " pulls "},
            {PROMISES, "steer/Steerer.java", "zones.replaceAll((zone, share) -> share / sum);", "", "not whole"},
            {PROMISES, "steer/State.java", "one.atMs >= other.atMs ? one : other", "one", "another order"},
            {PROMISES, "steer/State.java", "Math.max(a.kept(), b.kept())", "a.kept() + b.kept()", "with itself"},
            {PROMISES, "steer/State.java", "all.merge(zone, held, Math::min)", "all.put(zone, held)", "another order"},
        };
    }
}
