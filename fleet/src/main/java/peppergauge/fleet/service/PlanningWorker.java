package peppergauge.fleet.service;

import java.util.Map;
import peppergauge.fleet.planner.FleetView;
import peppergauge.fleet.planner.Planner;
import peppergauge.log.Log;
import peppergauge.promises.ZoneWeights;

/** Runs the planner on each new view. If the planner fails, there is no new plan, and tables expire. */
final class PlanningWorker {

    /**
     * Result of the planner.
     *
     * @param viewMs time of the view that the plan is based on, Unix ms
     */
    record Plan(long viewMs, ZoneWeights weights) {}

    private final Planner planner;
    private final MergeWorker merging;
    private final LatestValueQueue<Plan> plans = new LatestValueQueue<>();
    private volatile Object report = Map.of();

    PlanningWorker(Planner planner, MergeWorker merging) {
        this.planner = planner;
        this.merging = merging;
        if (merging.plannerState().length > 0) {
            try {
                planner.importState(merging.plannerState());
            } catch (RuntimeException unusable) {
                Log.event("fleet_planner_state_unusable", "reason", unusable);
            }
        }
    }

    boolean step() {
        plans.flush();
        FleetView view = merging.views().poll();
        if (view == null) {
            return false;
        }
        ZoneWeights weights = planner.plan(view.builtMs(), view);
        merging.plannerState(planner.exportState());
        report = planner.report();
        plans.put(new Plan(view.builtMs(), weights));
        return true;
    }

    /** Returns the planner's report as of its last plan. Any thread. */
    Object report() {
        return report;
    }

    LatestValueQueue<Plan> plans() {
        return plans;
    }
}
