package peppergauge.daemon.startup;

import java.util.List;
import peppergauge.SidecarExtension;
import peppergauge.coldstart.ReadinessPolicy;
import peppergauge.coldstart.SharedServicePollPolicy;
import peppergauge.coldstart.StartupPolicy;

/**
 * Replaces the startup policy of the sidecar by that of {@code [start]}: how discovery is polled, and when the sidecar
 * reports that it is ready.
 *
 * @param pollSettings rates and timeouts of calls to discovery
 * @param readiness when the sidecar is ready
 */
public record StartupExtension(SharedServicePollPolicy.Config pollSettings, ReadinessPolicy readiness)
        implements SidecarExtension {

    @Override
    public StartupPolicy startupPolicy(StartupPolicy policy, Context context) {
        boolean hasKnownServers =
                context.config().knownEndpoints().get("servers") instanceof List<?> servers && !servers.isEmpty();
        return StartupPolicy.forSharedDiscovery(
                pollSettings,
                readiness,
                context.settings().instances(),
                hasKnownServers
                        ? SharedServicePollPolicy.PriorState.CACHED_ENDPOINTS
                        : SharedServicePollPolicy.PriorState.NONE,
                context.config().instanceSeed());
    }
}
