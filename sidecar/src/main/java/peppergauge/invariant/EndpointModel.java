package peppergauge.invariant;

import java.util.HashMap;
import java.util.Map;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.EndpointsUpdated;

/** Model of the endpoint list, built from its updates. Keeps all servers ever listed, so its runs must be limited. */
final class EndpointModel {

    /**
     * Status of a server.
     *
     * @param isDraining whether the server was listed as draining and has not been listed as ready since
     */
    record EndpointStatus(int zone, int cell, boolean isListed, boolean isDraining) {

        EndpointStatus removed() {
            return new EndpointStatus(zone, cell, false, isDraining);
        }
    }

    private final boolean removalForbidsSends;
    private final Map<String, EndpointStatus> statuses = new HashMap<>();

    EndpointModel(boolean removalForbidsSends) {
        this.removalForbidsSends = removalForbidsSends;
    }

    void update(EndpointsUpdated update) {
        if (update.complete()) {
            statuses.replaceAll((server, status) -> status.removed());
        }
        for (Endpoint endpoint : update.endpoints()) {
            // A server that was removed while it was draining still counts as draining until it is listed as ready.
            EndpointStatus before = statuses.get(endpoint.server());
            boolean isDraining = endpoint.state() == EndpointState.DRAINING
                    || endpoint.state() == EndpointState.REMOVED && before != null && before.isDraining();
            boolean isListed = endpoint.state() != EndpointState.REMOVED;
            statuses.put(endpoint.server(), new EndpointStatus(endpoint.zone(), endpoint.cell(), isListed, isDraining));
        }
    }

    /** The status of a server if it may get attempts; otherwise null. */
    EndpointStatus usable(String server) {
        EndpointStatus status = statuses.get(server);
        return status == null || status.isDraining() || removalForbidsSends && !status.isListed() ? null : status;
    }
}
