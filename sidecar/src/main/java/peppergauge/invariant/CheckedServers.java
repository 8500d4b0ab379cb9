package peppergauge.invariant;

import java.util.HashMap;
import java.util.Map;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.EndpointsUpdated;

/** The server list as it was told. Keeps every server that was ever told to leave: it is for runs that end. */
final class CheckedServers {

    /** Where a server stands; {@code leaves}: it drains, and was not told to be ready since. */
    record Place(int zone, int cell, boolean listed, boolean leaves) {

        Place unlisted() {
            return new Place(zone, cell, false, leaves);
        }
    }

    private final boolean goneBinds;
    private final Map<String, Place> places = new HashMap<>();

    CheckedServers(boolean goneBinds) {
        this.goneBinds = goneBinds;
    }

    void on(EndpointsUpdated news) {
        if (news.complete()) {
            places.replaceAll((server, place) -> place.unlisted());
        }
        for (Endpoint entry : news.endpoints()) {
            Place before = places.get(entry.server());
            boolean leaves = entry.state() == EndpointState.DRAINING
                    || entry.state() == EndpointState.REMOVED && before != null && before.leaves();
            boolean inList = entry.state() != EndpointState.REMOVED;
            places.put(entry.server(), new Place(entry.zone(), entry.cell(), inList, leaves));
        }
    }

    /** Null for one that nothing new may be sent to. */
    Place open(String server) {
        Place place = places.get(server);
        return place == null || place.leaves() || goneBinds && !place.listed() ? null : place;
    }
}
