package peppergauge.decision;

import peppergauge.decision.LoadBalancer.Rules;

/**
 * Limits the requests to servers that warm up.
 *
 * <p>A server's capacity grows with its age, from the settings' initial share to 1. All instances together may send it
 * the overload multiple of that capacity. No instance knows the others' traffic: each request draws a number in [0,1),
 * and each server that warms up has a range of these numbers, so that its share of all requests is the same whatever the
 * number of instances. Where an instance works with a part of the servers, the ranges lie one behind the other.
 */
final class SlowStart {

    /** Share of the fleet-wide budget that is used. */
    private static final double BUDGET_SHARE = 0.9;

    /** The same where each instance works with a part of the servers: how many work with one is random. */
    private static final double SUBSET_BUDGET_SHARE = 0.75;

    private final Rules rules;
    /** Sum of the shares of all servers that warm up, in shares of the requests. */
    private double assignedShare;

    SlowStart(Rules rules) {
        this.rules = rules;
    }

    /** A server's share of its full capacity by its age, over 0 to 1. */
    double capacity(Server server, double nowMs) {
        double ageShare = (nowMs - server.startedMs) / Math.max(1, rules.warmUpMs());
        double initial = rules.warmUpInitialCapacity();
        return ageShare >= 1 ? 1 : initial + (1 - initial) * Math.max(0, ageShare);
    }

    /** Begins to assign shares anew. */
    void clearShares() {
        assignedShare = 0;
    }

    /** Assigns a server its share of the requests, behind those assigned before. */
    void assignShare(Server server, ServerSubset subset, int serverCount) {
        server.warmUpShareStart = assignedShare;
        server.warmUpShare = rules.overloadMultiple()
                * server.capacity
                * (subset.isPartial() ? SUBSET_BUDGET_SHARE / subset.size() : BUDGET_SHARE / serverCount);
        assignedShare += server.capacity < 1 ? server.warmUpShare : 0;
    }

    /** Whether a request may go to a server: if that warms up, by the request's draw and own attempts in flight. */
    boolean mayReceive(Request request, Server server) {
        if (server.capacity >= 1) {
            return true;
        }
        double draw = request.shareDraw - server.warmUpShareStart / assignedShare;
        return draw - Math.floor(draw) < server.warmUpShare
                && server.ownInFlight < Math.max(1, server.capacity * server.concurrencyLimit);
    }
}
