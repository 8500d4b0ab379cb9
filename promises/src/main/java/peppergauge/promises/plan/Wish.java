package peppergauge.promises.plan;

import java.util.Map;
import java.util.Set;

/**
 * What one station asks of the plan.
 *
 * @param perS its sessions a second over all data centres, 0 or more
 * @param natural its shares of the data centres where nobody steers, of those that it may use; add up to 1
 * @param bad data centres that do not keep its promises while another may
 * @param allowed data centres that it may use; its natural share of others is 0
 * @param atRisk penalty at risk where it is not moved
 */
public record Wish(
        String station, double perS, Map<String, Double> natural, Set<String> bad, Set<String> allowed, double atRisk) {

    /** Penalty saved by each session a second that is moved: what room is dealt out by. */
    double density() {
        return atRisk / Math.max(perS, 1e-9);
    }
}
