package peppergauge.membership;

import java.util.List;
import java.util.Optional;
import peppergauge.request.EndpointUpdate;

/**
 * Result of processing a source's update or a tick.
 *
 * @param update endpoints that changed; empty if none changed
 * @param accepted whether the update was accepted as the source's present state; false for an older list
 * @param reasons reason of each decision, in order
 */
public record MembershipChange(Optional<EndpointUpdate> update, boolean accepted, List<DecisionReason> reasons) {

    public MembershipChange {
        reasons = List.copyOf(reasons);
    }
}
