package peppergauge.fleet.service;

import java.util.Map;
import peppergauge.fleet.decide.MergedView;
import peppergauge.fleet.decide.Planner;
import peppergauge.log.Log;
import peppergauge.promises.ZoneWeights;

/** The duty that asks the planner. A planner that fails gives no plan, and then tables run out. */
final class Deciding {

    /** @param viewMs when what it was made from was merged */
    record Plan(long viewMs, ZoneWeights steering) {}

    private final Planner planner;
    private final Merging merging;
    private final Latest<Plan> plans = new Latest<>();
    private volatile Object report = Map.of();

    Deciding(Planner planner, Merging merging) {
        this.planner = planner;
        this.merging = merging;
        if (merging.plannerState().length > 0) {
            try {
                planner.restore(merging.plannerState());
            } catch (RuntimeException unusable) {
                Log.line("fleet", "the planner starts anew: " + unusable);
            }
        }
    }

    boolean step() {
        plans.retry();
        MergedView view = merging.views().take();
        if (view == null) {
            return false;
        }
        ZoneWeights steering = planner.plan(view.builtMs(), view);
        merging.plannerState(planner.state());
        report = planner.report();
        plans.hand(new Plan(view.builtMs(), steering));
        return true;
    }

    /** The planner's own, as of its last plan; any thread. */
    Object report() {
        return report;
    }

    Latest<Plan> plans() {
        return plans;
    }
}
