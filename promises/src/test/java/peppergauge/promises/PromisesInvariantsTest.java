package peppergauge.promises;

import org.testng.annotations.DataProvider;
import peppergauge.invariant.Loads;
import peppergauge.invariant.UnderRandomLoad;
import peppergauge.promises.outcome.SlidingWindowLoad;

/** Runs the module under random load with assertions enabled, unchanged and with planted faults. */
public class PromisesInvariantsTest extends UnderRandomLoad {

    private static final int SEEDS = 25;
    private static final String WINDOW = "outcome.SlidingWindowLoad";
    private static final String CONTROLLER = "ControllerLoad";

    public PromisesInvariantsTest() {
        super("promises/", "peppergauge.promises.", SEEDS);
    }

    @Override
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {"sliding window", (Loads.Load) SlidingWindowLoad::run, SEEDS},
            {"zone weight controller", (Loads.Load) ControllerLoad::run, SEEDS},
        };
    }

    @Override
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {
                WINDOW,
                "outcome/SlidingWindow.java",
                "        if (slotNumbers[index] > slot) {\n" + "            return;\n" + "        }\n",
                "",
                "expected a sum of at most"
            },
            {WINDOW, "outcome/SlidingWindow.java", "            met[index] = 0;\n", "", "expected a sum of at most"},
            {
                WINDOW,
                "outcome/SlidingWindow.java",
                "slotNumbers[i] > now - slots",
                "slotNumbers[i] >= now - slots",
                "expected a sum of at most"
            },
            {
                WINDOW,
                "outcome/SlidingWindow.java",
                "slotNumbers[i] <= now",
                "slotNumbers[i] < now",
                "expected a sum of OutcomeCounts"
            },
            {
                WINDOW,
                "outcome/SlidingWindow.java",
                "counts.missed(), true)",
                "counts.missed(), false)",
                "a merge of a window with itself"
            },
            {
                WINDOW,
                "outcome/SlidingWindow.java",
                "maximum ? Math.max(met[index], metNow)",
                "maximum ? metNow",
                "expected a sum of OutcomeCounts"
            },
            {
                CONTROLLER,
                "outcome/OutcomeWindows.java",
                " && now.met() >= before.met()",
                "",
                "expected outcome counts of 0 or more"
            },
            {CONTROLLER, "outcome/OutcomeWindows.java", "return current == null || ", "return ", "Cannot invoke"},
            {
                CONTROLLER,
                "allocation/CapacityEstimator.java",
                "before + RATE_SMOOTHING * (fresh - before)",
                "before - RATE_SMOOTHING * (fresh - before)",
                "expected a capacity from 0 to"
            },
            {
                CONTROLLER,
                "allocation/CapacityAllocator.java",
                "        return feasible;",
                "        return Math.min(1, 1 / fillRatio);",
                "planned load exceeds the capacity"
            },
            {
                CONTROLLER,
                "allocation/CapacityAllocator.java",
                "share - fraction * movableShare(share)",
                "share - movableShare(share)",
                "invalid shares"
            },
            {
                CONTROLLER,
                "allocation/CapacityAllocator.java",
                "Math.max(0, share - ZoneWeights.MIN_WEIGHT)",
                "share",
                "invalid shares"
            },
            {
                CONTROLLER,
                "allocation/CapacityAllocator.java",
                "zone -> request.allowedZones().contains(zone) && !request",
                "zone -> !request",
                "invalid shares"
            },
            {CONTROLLER, "control/ShareStepLimit.java", "maxStep / distance", "1", "and change by at most"},
            {
                CONTROLLER,
                "control/ZoneWeightController.java",
                "        weights.keySet().retainAll(objectives.keySet());\n",
                "",
                "which has no objective"
            },
            {
                CONTROLLER,
                "control/TrafficModel.java",
                "Math.min(1, received / eligible)",
                "received / eligible",
                "expected an attraction"
            },
            {
                CONTROLLER,
                "control/ZoneWeightController.java",
                "zones.replaceAll((zone, share) -> share / sum);",
                "",
                "expected shares that sum to 1 but was"
            },
            {
                CONTROLLER,
                "control/ControllerState.java",
                "one.decidedAtMs >= other.decidedAtMs ? one : other",
                "one",
                "in either order of merging"
            },
            {
                CONTROLLER,
                "control/ControllerState.java",
                "Math.max(a.met(), b.met())",
                "a.met() + b.met()",
                "a merge of a state with itself"
            },
            {
                CONTROLLER,
                "control/ControllerState.java",
                "all.merge(zone, capacity, Math::min)",
                "all.put(zone, capacity)",
                "in either order of merging"
            },
        };
    }
}
