package peppergauge.decision;

/**
 * The zone weights in force: for a tenant and a zone, the share of requests that may go to the zone. By a draw that is
 * fixed for a request and a zone, the zone is either preferred for the request or not.
 */
final class ZoneWeights {

    private double[][] weights = {};

    /** Replaces all weights, by index of tenant and of zone; a missing entry means 1. */
    void update(double[][] newWeights) {
        weights = newWeights;
    }

    boolean isPreferred(Request request, Server server) {
        return request.tenant < 0
                || request.tenant >= weights.length
                || server.zone < 0
                || server.zone >= weights[request.tenant].length
                || request.zoneDraw(server.zone) < weights[request.tenant][server.zone];
    }
}
