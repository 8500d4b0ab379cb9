package peppergauge.nomad;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import peppergauge.nomad.api.AgentAddress;
import peppergauge.nomad.api.ResponseLimits;
import peppergauge.nomad.model.AttributeMapping;

/**
 * Settings of the section {@code [nomad]}; times in milliseconds.
 *
 * @param service name of the service
 * @param namespace Nomad's namespace; empty for the default one
 * @param filter Nomad's filter expression; empty for none
 * @param agents agents that are called in rotation; at least one
 * @param tokenFile file with the ACL token; empty for none
 * @param allowStale whether a server that is not the leader may respond
 * @param maxStalenessMs time since a server's last contact with the leader above which its list is not authoritative
 * @param blockingWaitMs longest wait of a blocking query
 * @param responseTimeoutMs timeout of a response, in addition to the wait of a blocking query
 * @param minIntervalMs least time between a response and the next query
 * @param listBytesPerSecond rate at which lists may be read while the stream is alive
 * @param streamIdleTimeoutMs time without data after which the stream counts as lost
 * @param useStream whether the event stream is used
 * @param detailIntervalMs mean time between detail polls; 0 for none
 * @param initialBackoffMs delay after the first failure
 * @param maxBackoffMs longest delay after a failure
 * @param startSpreadMs time within which the first query is sent, at random
 * @param drainIneligible whether the servers of a node that is not eligible for scheduling are draining
 * @param mapping sources of zone, cell, kind and weight
 * @param limits limits of responses
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
