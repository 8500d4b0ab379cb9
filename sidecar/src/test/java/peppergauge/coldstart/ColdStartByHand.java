package peppergauge.coldstart;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntFunction;

/**
 * Prints the table of docs/COLD-START.md. Started manually; takes some seconds.
 *
 * <p>The labels of the policies are: former, {@link #withoutJitter}; prompt, {@link LocalAgentPollPolicy}; number not
 * told and number told, {@link SharedServicePollPolicy} without and with the number of instances. The columns "told"
 * are the times until half and 99% of the instances have received an update.
 */
public final class ColdStartByHand {

    /** Calls per second that discovery answers. */
    static final double ANSWERED_CALLS_PER_S = 100;
    /** Maximum call rate that the operator configures. */
    static final double CONFIGURED_CALLS_PER_S = 50;

    private static final double DURATION_MS = 1_800_000;
    private static final double CRASH_INTERVAL_MS = 5_000;

    private ColdStartByHand() {}

    /** A policy of fixed timeouts and an exponential backoff without jitter. */
    static PollPolicy withoutJitter() {
        return new PollPolicy() {
            private double backoffMs = 50;

            @Override
            public double initialDelayMs() {
                return 0;
            }

            @Override
            public double responseTimeoutMs() {
                return 3_500;
            }

            @Override
            public double idleTimeoutMs() {
                return 3_500;
            }

            @Override
            public void onSuccess() {
                backoffMs = 50;
            }

            @Override
            public double delayAfterTimeoutMs() {
                return delayAfterFailureMs();
            }

            @Override
            public double delayAfterFailureMs() {
                double delayMs = backoffMs;
                backoffMs = Math.min(1_000, 2 * backoffMs);
                return delayMs;
            }
        };
    }

    /** @param instances number of instances, 0 if not known */
    static PollPolicy shared(int instances, int seed, double callsPerSecond) {
        return new SharedServicePollPolicy(
                new SharedServicePollPolicy.Config(callsPerSecond, 2_000, 2_000, 10_000, 60_000, 2_500),
                instances,
                SharedServicePollPolicy.PriorState.NONE,
                seed);
    }

    /** A fault of discovery, and the interval at which a third of the instances restart, in ms; 0 for no restarts. */
    record Case(SharedDiscoverySimulation.Fault fault, double restartIntervalMs) {}

    static Map<String, Case> cases() {
        Map<String, Case> cases = new LinkedHashMap<>();
        cases.put("all at once", new Case(SharedDiscoverySimulation.Fault.NONE, 0));
        cases.put("one call in twenty answered", new Case((nowMs, random) -> random.nextInt(20) > 0, 0));
        cases.put("hangs on accept for 20 s", new Case((nowMs, random) -> nowMs < 20_000, 0));
        cases.put("there for 1 s in 10", new Case((nowMs, random) -> nowMs % 10_000 < 9_000, 0));
        cases.put("a third in a crash loop of 5 s", new Case(SharedDiscoverySimulation.Fault.NONE, CRASH_INTERVAL_MS));
        return cases;
    }

    public static void main(String[] args) {
        for (Map.Entry<String, Case> each : cases().entrySet()) {
            System.out.println(each.getKey());
            for (int instances : new int[] {300, 1_000, 3_000}) {
                print("former", instances, each.getValue(), seed -> withoutJitter());
                print("prompt", instances, each.getValue(), LocalAgentPollPolicy::new);
                print("number not told", instances, each.getValue(), seed -> shared(0, seed, CONFIGURED_CALLS_PER_S));
                print(
                        "number told",
                        instances,
                        each.getValue(),
                        seed -> shared(instances, seed, CONFIGURED_CALLS_PER_S));
            }
        }
    }

    private static void print(String policy, int instances, Case at, IntFunction<PollPolicy> policies) {
        SharedDiscoverySimulation.Result result = SharedDiscoverySimulation.run(
                instances, ANSWERED_CALLS_PER_S, at.fault(), at.restartIntervalMs(), DURATION_MS, policies);
        System.out.println(String.format(
                Locale.ROOT,
                "  %5d %-16s peak %6.0f/s, mean %6.1f/s, %5.1f times; open %5d; "
                        + "told half %7.1f s, 99%% %7.1f s; %5.1f calls each",
                instances,
                policy,
                result.peak(),
                result.mean(),
                result.peakOverMean(),
                result.maxOpenCalls(),
                result.halfUpdatedS(),
                result.updatedS(),
                (double) result.calls() / instances));
    }
}
