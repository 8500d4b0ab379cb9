package peppergauge.fleet.wire;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import peppergauge.fleet.member.Member;

/**
 * Gossip request: one instance polls another for the changes since its last poll. Instances push nothing, so nothing
 * accumulates for an instance that is down.
 *
 * @param site name of the deployment
 * @param from name of the polling instance
 * @param number its number, which versions contain; a request with the polled instance's own number is rejected
 * @param incarnation of the polling instance
 * @param members its view of the membership
 * @param sinceStart incarnation of the polled process that {@code since} belongs to
 * @param since position of the last response, 0 at first
 * @param includeRelayed whether to include reports that the polled instance received by gossip; {@code all} in JSON
 */
public record GossipRequest(
        String site,
        String from,
        int number,
        long incarnation,
        List<Member> members,
        long sinceStart,
        long since,
        @JsonProperty("all") boolean includeRelayed) {

    /**
     * Response to a gossip request.
     *
     * @param from name of the polled instance
     * @param incarnation of the polled instance
     * @param members its view of the membership
     * @param started identifies the process of the polled instance
     * @param through position to poll from next
     * @param more whether there are more changes than these
     * @param reports reports that changed
     * @param version highest version that the polled instance issued or observed
     * @param table newest table of the polled instance, null for none
     */
    public record Response(
            String from,
            long incarnation,
            List<Member> members,
            long started,
            long through,
            boolean more,
            List<DaemonReport> reports,
            long version,
            FleetTable table) {}
}
