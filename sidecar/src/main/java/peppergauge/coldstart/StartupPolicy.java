package peppergauge.coldstart;

import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * How one sidecar starts.
 *
 * @param paces of its calls to discovery: one for each address that discovery has in its life
 * @param readiness when it says that it is ready
 */
public record StartupPolicy(Supplier<PollPolicy> pollPolicies, ReadinessPolicy readiness) {

    /** Discovery's agent is on this machine and answers at once; one that says nothing must not keep clients out. */
    private static final double LONGEST_FIRST_NEWS_MS = 300;

    /** Of a sidecar whose discovery is an agent on its own machine; {@code seed}: this sidecar's own. */
    public static StartupPolicy forLocalAgent(long seed) {
        return forLocalAgent(seed, OptionalDouble.empty());
    }

    /** The same, with how long a server that counts as leaving may be sent to, where the settings tell that. */
    public static StartupPolicy forLocalAgent(long seed, OptionalDouble drainGraceMs) {
        SplittableRandom seeds = new SplittableRandom(seed);
        double graceMs = drainGraceMs.orElse(LocalAgentPollPolicy.USUAL_GRACE_MS);
        return new StartupPolicy(
                () -> new LocalAgentPollPolicy(seeds.nextLong(), graceMs),
                new ReadinessPolicy(LONGEST_FIRST_NEWS_MS, LONGEST_FIRST_NEWS_MS));
    }

    /**
     * Of one of {@code sidecars} that share a discovery, 0 where their number is not known.
     *
     * @param known what it has from before; where discovery moves, it has at least that
     */
    public static StartupPolicy forSharedDiscovery(
            SharedServicePollPolicy.Settings pace,
            ReadinessPolicy readiness,
            int sidecars,
            SharedServicePollPolicy.PriorState known,
            long seed) {
        SplittableRandom seeds = new SplittableRandom(seed);
        return new StartupPolicy(() -> new SharedServicePollPolicy(pace, sidecars, known, seeds.nextLong()), readiness);
    }
}
