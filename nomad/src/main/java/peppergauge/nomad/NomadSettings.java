package peppergauge.nomad;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import peppergauge.nomad.api.AgentAddress;
import peppergauge.nomad.api.ResponseLimits;
import peppergauge.nomad.model.AttributeMapping;

/**
 * Settings of {@link NomadSection} for one service; times in milliseconds.
 *
 * @param service name of the service
 * @param namespace Nomad's namespace; empty for the default one
 * @param filter Nomad's filter expression; empty for none
 * @param agents in rotation; at least one
 * @param tokenFile file with the ACL token
 * @param allowStale whether a follower may respond
 * @param maxStalenessMs time since a follower's last contact with the leader, above which its list is not authoritative
 * @param blockingWaitMs longest wait of a blocking query
 * @param responseTimeoutMs timeout of any other response
 * @param minIntervalMs least time between a response and the next query
 * @param listBytesPerSecond rate that lists may cost while the stream is alive
 * @param streamIdleTimeoutMs idle timeout of the stream
 * @param useStream whether the event stream is used
 * @param detailIntervalMs mean time between detail polls; 0 for none
 * @param initialBackoffMs delay after the first failure
 * @param maxBackoffMs longest delay after a failure
 * @param startSpreadMs the first query is sent at a random time within this
 * @param drainIneligible whether the servers of a node that is not eligible are draining
 * @param mapping where zone, cell, kind and weight are read from
 * @param limits of responses
 */
public record NomadSettings(
        String service,
        String namespace,
        String filter,
        List<AgentAddress> agents,
        Optional<Path> tokenFile,
        boolean allowStale,
        double maxStalenessMs,
        double blockingWaitMs,
        double responseTimeoutMs,
        double minIntervalMs,
        double listBytesPerSecond,
        double streamIdleTimeoutMs,
        boolean useStream,
        double detailIntervalMs,
        double initialBackoffMs,
        double maxBackoffMs,
        double startSpreadMs,
        boolean drainIneligible,
        AttributeMapping mapping,
        ResponseLimits limits) {}
