package peppergauge.daemon.start;

import java.util.List;
import peppergauge.SidecarExtension;
import peppergauge.coldstart.ReadinessPolicy;
import peppergauge.coldstart.SharedServicePollPolicy;
import peppergauge.coldstart.StartupPolicy;

/**
 * What {@code [start]} adds: the pace of calls to discovery, and when this sidecar is ready. Which servers it greets,
 * whether to try again and what is denied stay the module's.
 */
public record StartupExtension(SharedServicePollPolicy.Config pace, ReadinessPolicy readiness)
        implements SidecarExtension {

    @Override
    public StartupPolicy startupPolicy(StartupPolicy prompt, Context parts) {
        boolean knows = parts.config().known().get("servers") instanceof List<?> servers && !servers.isEmpty();
        return StartupPolicy.forSharedDiscovery(
                pace,
                readiness,
                parts.settings().instances(),
                knows ? SharedServicePollPolicy.PriorState.CACHED_ENDPOINTS : SharedServicePollPolicy.PriorState.NONE,
                parts.config().ownSeed());
    }
}
