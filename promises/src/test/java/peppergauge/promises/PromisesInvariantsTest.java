package peppergauge.promises;

import org.testng.annotations.DataProvider;
import peppergauge.invariant.Loads;
import peppergauge.invariant.UnderRandomLoad;
import peppergauge.promises.outcome.SlidingWindowLoad;

/** Promises under random load, with assertions on, and with faults planted in their sources. */
public class PromisesInvariantsTest extends UnderRandomLoad {

    private static final int SEEDS = 25;
    private static final String WINDOWS = "outcome.SlidingWindowLoad";
    private static final String PROMISES = "ControllerLoad";

    public PromisesInvariantsTest() {
        super("promises/", "peppergauge.promises.", SEEDS);
    }

    @Override
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {"promises' windows", (Loads.Load) SlidingWindowLoad::run, SEEDS},
            {"promises", (Loads.Load) ControllerLoad::run, SEEDS},
        };
    }

    @Override
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {
                WINDOWS,
                "outcome/SlidingWindow.java",
                "        if (slotNumbers[at] > slot) {\n" + "            return;\n" + "        }\n",
                "",
                "a window counts"
            },
            {WINDOWS, "outcome/SlidingWindow.java", "            met[at] = 0;\n", "", "a window counts"},
            {
                WINDOWS,
                "outcome/SlidingWindow.java",
                "slotNumbers[i] > now - slots",
                "slotNumbers[i] >= now - slots",
                "a window counts"
            },
            {WINDOWS, "outcome/SlidingWindow.java", "slotNumbers[i] <= now", "slotNumbers[i] < now", "a window lost"},
            {
                WINDOWS,
                "outcome/SlidingWindow.java",
                "counts.missed(), true)",
                "counts.missed(), false)",
                "joined with itself"
            },
            {
                WINDOWS,
                "outcome/SlidingWindow.java",
                "maximum ? Math.max(met[at], metNow)",
                "maximum ? metNow",
                "a window lost"
            },
            {PROMISES, "outcome/OutcomeWindows.java", " && now.met() >= before.met()", "", "a tally under 0"},
            {PROMISES, "outcome/OutcomeWindows.java", "return is == null || ", "return ", "Cannot invoke"},
            {
                PROMISES,
                "allocation/CapacityEstimator.java",
                "before + RATE_SMOOTHING * (fresh - before)",
                "before - RATE_SMOOTHING * (fresh - before)",
                "is seen to hold"
            },
            {
                PROMISES,
                "allocation/CapacityAllocator.java",
                "        return fits;",
                "        return Math.min(1, 1 / each);",
                "over what is held"
            },
            {
                PROMISES,
                "allocation/CapacityAllocator.java",
                "share - part * movableShare(share)",
                "share - movableShare(share)",
                " got "
            },
            {
                PROMISES,
                "allocation/CapacityAllocator.java",
                "Math.max(0, share - ZoneWeights.MIN_WEIGHT)",
                "share",
                " got "
            },
            {
                PROMISES,
                "allocation/CapacityAllocator.java",
                "zone -> request.allowedZones().contains(zone) && !request",
                "zone -> !request",
                " got "
            },
            {PROMISES, "control/ShareStepLimit.java", "maxStep / distance", "1", " to "},
            {
                PROMISES,
                "control/ZoneWeightController.java",
                "        weights.keySet().retainAll(objectives.keySet());\n",
                "",
                "has no promise"
            },
            {PROMISES, "control/TrafficModel.java", "Math.min(1, received / eligible)", "received / eligible", " pulls "
            },
            {
                PROMISES,
                "control/ZoneWeightController.java",
                "zones.replaceAll((zone, share) -> share / sum);",
                "",
                "not whole"
            },
            {
                PROMISES,
                "control/ControllerState.java",
                "one.decidedAtMs >= other.decidedAtMs ? one : other",
                "one",
                "another order"
            },
            {PROMISES, "control/ControllerState.java", "Math.max(a.met(), b.met())", "a.met() + b.met()", "with itself"
            },
            {
                PROMISES,
                "control/ControllerState.java",
                "all.merge(zone, capacity, Math::min)",
                "all.put(zone, capacity)",
                "another order"
            },
        };
    }
}
