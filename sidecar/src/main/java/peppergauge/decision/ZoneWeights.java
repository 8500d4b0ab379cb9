package peppergauge.decision;

/**
 * The current zone weights: for each tenant and zone, the share of the tenant's requests that prefer the zone. Whether
 * a request prefers a zone is decided by a random number that is fixed for the request and the zone.
 */
final class ZoneWeights {

    private double[][] weights = {};

    /** Replaces all weights, by index of tenant and of zone; a missing weight is 1. */
    void update(double[][] newWeights) {
        weights = newWeights;
    }

    /** Whether the request prefers the zone of the server. */
    boolean isPreferred(Request request, Server server) {
        return request.tenant < 0
                || request.tenant >= weights.length
                || server.zone < 0
                || server.zone >= weights[request.tenant].length
                || request.zoneDraw(server.zone) < weights[request.tenant][server.zone];
    }
}
