package peppergauge.membership;

import java.util.List;
import java.util.Optional;
import peppergauge.request.EndpointUpdate;

/**
 * Result of a source's update or of a tick.
 *
 * @param update endpoints that changed; empty if none did
 * @param accepted whether the source's update is its present state; false for an older list
 * @param reasons of each decision, in order
 */
public record MembershipChange(Optional<EndpointUpdate> update, boolean accepted, List<DecisionReason> reasons) {

    public MembershipChange {
        reasons = List.copyOf(reasons);
    }
}
