package peppergauge.fleet.wire;

import java.util.List;
import peppergauge.fleet.member.Member;

/**
 * One instance asks another what changed since it last asked; nothing is pushed, so nothing piles up for one that is
 * gone.
 *
 * @param number the asker's, for versions; another's is refused
 * @param since stamp of the asked one's last answer, 0 at first
 * @param all also what the asked one was told by others, since the asker does not reach them all
 * @param sinceStart whose stamp that is: a new process counts anew
 */
public record Gossip(
        String site,
        String from,
        int number,
        long incarnation,
        List<Member> members,
        long sinceStart,
        long since,
        boolean all) {

    /**
     * @param started tells this process of the asked one from others
     * @param through to be asked from next
     * @param more whether there is more than this
     * @param version highest that it has seen
     * @param table newest that it has; null for none
     */
    public record Answer(
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
