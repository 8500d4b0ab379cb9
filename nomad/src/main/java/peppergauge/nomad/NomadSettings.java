package peppergauge.nomad;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import peppergauge.nomad.picture.Mapping;
import peppergauge.nomad.wire.Agent;
import peppergauge.nomad.wire.Bounds;

/**
 * What {@link NomadSection} says, for one service; times in ms.
 *
 * @param service name of the service
 * @param namespace Nomad's; empty for the default one
 * @param filter Nomad's filter expression; empty for none
 * @param agents tried in turn; at least one
 * @param token file with the ACL token
 * @param stale whether a follower may answer
 * @param stalestMs a follower that has not heard from the leader for longer is not believed on what is missing
 * @param waitMs how long a blocking query may be held
 * @param answerMs how long any other answer may take
 * @param leastGapMs least time between two answers and queries while only the query lives
 * @param checkBytes a second that lists may cost while the stream lives
 * @param silenceMs of the stream, after which it is lost
 * @param stream whether the event stream is used
 * @param lookMs time between looks at single allocations and nodes; 0 for none
 * @param firstBackoffMs first wait after a failure
 * @param longestBackoffMs longest wait after failures
 * @param spreadMs within which the first query is sent
 * @param ineligibleLeaves whether a node that is not eligible makes its servers leave
 */
public record NomadSettings(
        String service,
        String namespace,
        String filter,
        List<Agent> agents,
        Optional<Path> token,
        boolean stale,
        double stalestMs,
        double waitMs,
        double answerMs,
        double leastGapMs,
        double checkBytes,
        double silenceMs,
        boolean stream,
        double lookMs,
        double firstBackoffMs,
        double longestBackoffMs,
        double spreadMs,
        boolean ineligibleLeaves,
        Mapping mapping,
        Bounds bounds) {}
