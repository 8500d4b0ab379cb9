package peppergauge.decision;

import peppergauge.decision.LoadBalancer.Rules;

/**
 * Limits the requests to servers that are warming up.
 *
 * <p>A server's capacity grows with its age, from the settings' initial share to 1. All instances together may send it
 * the overload multiple of that capacity. No instance knows the traffic of the others. Each request therefore draws a
 * random number in [0,1), and each server that is warming up gets a range of these numbers, as long as its warm-up
 * share. This makes its share of all requests independent of the number of instances. A range starts at the sum of the
 * shares assigned before, divided by the sum of all, and continues at 0 when it reaches 1. The starts are thus spread
 * over [0,1): there are gaps between the ranges if the shares add up to less than 1, and overlaps if to more.
 */
final class SlowStart {

    /** Share of the warm-up budget of all sidecar instances that is used. */
    private static final double BUDGET_SHARE = 0.9;

    /** Share of the warm-up budget that is used if instances use subsets: the number of them per server is random. */
    private static final double SUBSET_BUDGET_SHARE = 0.75;

    private final Rules rules;
    /** Sum of the warm-up shares of the servers that are warming up. */
    private double assignedShare;

    SlowStart(Rules rules) {
        this.rules = rules;
    }

    /** A server's capacity by its age, as a share of its full capacity, over 0 to 1. */
    double capacity(Server server, double nowMs) {
        double ageShare = (nowMs - server.startedMs) / Math.max(1, rules.warmUpMs());
        double initial = rules.warmUpInitialCapacity();
        return ageShare >= 1 ? 1 : initial + (1 - initial) * Math.max(0, ageShare);
    }

    /** Clears the assigned warm-up shares, before they are assigned again. */
    void clearShares() {
        assignedShare = 0;
    }

    /** Assigns a server its warm-up share; the start of its range is the sum of the shares assigned before. */
    void assignShare(Server server, ServerSubset subset, int serverCount) {
        server.warmUpShareStart = assignedShare;
        server.warmUpShare = rules.overloadMultiple()
                * server.capacity
                * (subset.isPartial() ? SUBSET_BUDGET_SHARE / subset.size() : BUDGET_SHARE / serverCount);
        assignedShare += server.capacity < 1 ? server.warmUpShare : 0;
    }

    /** Whether a server may get a request; limited by its warm-up share and its open attempts while it warms up. */
    boolean mayReceive(Request request, Server server) {
        if (server.capacity >= 1) {
            return true;
        }
        // The distance from the start of the server's range to the drawn number, from 0 to 1 as the range wraps around.
        double draw = request.randomDraw - server.warmUpShareStart / assignedShare;
        return draw - Math.floor(draw) < server.warmUpShare
                && server.ownInFlight < Math.max(1, server.capacity * server.concurrencyLimit);
    }
}
