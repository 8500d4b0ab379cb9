package peppergauge.coldstart;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntFunction;

/** Prints the table of docs/COLD-START.md: run by hand, some seconds. */
public final class ColdStartByHand {

    /** Calls a second that discovery answers, and that the operator says. */
    static final double ANSWERS = 100;

    static final double SAID = 50;

    private ColdStartByHand() {}

    /** The watch as it was before: no draw in any wait. */
    static PollPolicy former() {
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
                double pause = backoffMs;
                backoffMs = Math.min(1_000, 2 * backoffMs);
                return pause;
            }
        };
    }

    static PollPolicy spread(int callers, int life, double saidPerS) {
        return new SharedServicePollPolicy(
                new SharedServicePollPolicy.Config(saidPerS, 2_000, 2_000, 10_000, 60_000, 2_500),
                callers,
                SharedServicePollPolicy.PriorState.NONE,
                life);
    }

    /** What can be wrong, and how often a third of the callers start anew, ms. */
    record Case(SharedDiscovery.Fault fault, double loopMs) {}

    static Map<String, Case> cases() {
        Map<String, Case> cases = new LinkedHashMap<>();
        cases.put("all at once", new Case(SharedDiscovery.Fault.NONE, 0));
        cases.put("one call in twenty answered", new Case((now, luck) -> luck.nextInt(20) > 0, 0));
        cases.put("hangs on accept for 20 s", new Case((now, luck) -> now < 20_000, 0));
        cases.put("there for 1 s in 10", new Case((now, luck) -> now % 10_000 < 9_000, 0));
        cases.put("a third in a crash loop of 5 s", new Case(SharedDiscovery.Fault.NONE, 5_000));
        return cases;
    }

    public static void main(String[] args) {
        for (Map.Entry<String, Case> each : cases().entrySet()) {
            System.out.println(each.getKey());
            for (int callers : new int[] {300, 1_000, 3_000}) {
                print("former", callers, each.getValue(), life -> former());
                print("prompt", callers, each.getValue(), LocalAgentPollPolicy::new);
                print("number not told", callers, each.getValue(), life -> spread(0, life, SAID));
                print("number told", callers, each.getValue(), life -> spread(callers, life, SAID));
            }
        }
    }

    private static void print(String which, int callers, Case at, IntFunction<PollPolicy> paces) {
        SharedDiscovery.Seen seen = SharedDiscovery.run(callers, ANSWERS, at.fault(), at.loopMs(), 1_800_000, paces);
        System.out.println(String.format(
                Locale.ROOT,
                "  %5d %-16s peak %6.0f/s, mean %6.1f/s, %5.1f times; open %5d; "
                        + "told half %7.1f s, 99%% %7.1f s; %5.1f calls each",
                callers,
                which,
                seen.peak(),
                seen.mean(),
                seen.peakOverMean(),
                seen.open(),
                seen.halfToldS(),
                seen.toldS(),
                (double) seen.calls() / callers));
    }
}
