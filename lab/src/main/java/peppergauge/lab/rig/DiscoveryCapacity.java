package peppergauge.lab.rig;

/**
 * What discovery bears.
 *
 * @param clerks calls in work at once
 * @param callMs what a call takes, ms; a watch is one call, whatever it is told later
 * @param patienceMs after which a call that still waits is given up
 * @param answered share of the calls that are answered once they have had their turn; over the others nothing is said
 * @param always whether it holds in discovery's first life too; else that answers all at once, so that what comes
 *         before a cold start is not a part of it
 */
public record DiscoveryCapacity(int concurrentCalls, double callMs, double callTimeoutMs, double answeredShare,
        boolean fromFirstStart) {

    /** Answers all at once. */
    static final DiscoveryCapacity UNLIMITED = constant(1, 0, 0);

    /** One that answers each call, in all its lives. */
    public static DiscoveryCapacity constant(int concurrentCalls, double callMs, double callTimeoutMs) {
        return new DiscoveryCapacity(concurrentCalls, callMs, callTimeoutMs, 1, true);
    }
}
