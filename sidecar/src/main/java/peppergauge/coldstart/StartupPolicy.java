package peppergauge.coldstart;

import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Policies for the start of one sidecar instance: of its discovery calls and of its readiness.
 *
 * @param pollPolicies supplies a policy for each discovery address
 * @param readiness decides when the instance reports ready
 */
public record StartupPolicy(Supplier<PollPolicy> pollPolicies, ReadinessPolicy readiness) {

    /** Short, since a local agent responds immediately. */
    private static final double LOCAL_AGENT_READY_TIMEOUT_MS = 300;

    /** Returns the policy for a discovery agent on the same machine; {@code seed} is the seed of this instance. */
    public static StartupPolicy forLocalAgent(long seed) {
        return forLocalAgent(seed, OptionalDouble.empty());
    }

    /** Returns the same policy for a given drain grace: how long a draining server may still be sent requests. */
    public static StartupPolicy forLocalAgent(long seed, OptionalDouble drainGraceMs) {
        SplittableRandom seeds = new SplittableRandom(seed);
        double effectiveGraceMs = drainGraceMs.orElse(LocalAgentPollPolicy.DEFAULT_DRAIN_GRACE_MS);
        return new StartupPolicy(
                () -> new LocalAgentPollPolicy(seeds.nextLong(), effectiveGraceMs),
                new ReadinessPolicy(LOCAL_AGENT_READY_TIMEOUT_MS, LOCAL_AGENT_READY_TIMEOUT_MS));
    }

    /**
     * Returns the policy for one of many instances that share a discovery service.
     *
     * @param instances number of instances, 0 if not known
     * @param priorState the state of this instance when it starts
     * @param seed the seed of this instance
     */
    public static StartupPolicy forSharedDiscovery(
            SharedServicePollPolicy.Config pollConfig,
            ReadinessPolicy readiness,
            int instances,
            SharedServicePollPolicy.PriorState priorState,
            long seed) {
        SplittableRandom seeds = new SplittableRandom(seed);
        return new StartupPolicy(
                () -> new SharedServicePollPolicy(pollConfig, instances, priorState, seeds.nextLong()), readiness);
    }
}
