package peppergauge.lab.emulator;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.coldstart.PollPolicy;
import peppergauge.coldstart.SharedServicePollPolicy;
import peppergauge.coldstart.StartupPolicy;
import peppergauge.lab.scenario.Discovery;

/**
 * Queue of the calls by which sidecars open their watches at a discovery service of finite capacity. Calls are answered
 * in order, even if the sidecar has closed the call, and some are never answered. While discovery is down, no call is
 * answered and open watches receive nothing.
 */
final class DiscoveryCallQueue {

    /** Defaults of the section [start], except for the calls per second. */
    private static final double SPREAD_MS = 2_000;

    private static final double ANSWER_MS = 2_000;
    private static final double LONGEST_ANSWER_MS = 10_000;
    private static final double LONGEST_PAUSE_MS = 60_000;
    private static final double SILENCE_MS = 2_500;

    private final EmulationContext context;
    private final Discovery discoverySettings;
    private final Consumer<EmulatedSidecar> onWatchOpened;
    private final UniformRandomProvider random;
    private final BitSet watching = new BitSet();
    private final PollPolicy[] policies;
    private final int[] pollNumbers;
    /** Calls without a response by sidecar, oldest first. */
    private final List<List<Object>> openCalls = new ArrayList<>();

    private final List<Integer> callsBySecond = new ArrayList<>();
    private double nextFreeMs;
    private int open;
    private int maxOpenCalls;
    private boolean down;

    /** {@code onWatchOpened} is called for each sidecar whose watch has opened. */
    DiscoveryCallQueue(EmulationContext context, Consumer<EmulatedSidecar> onWatchOpened) {
        this.context = context;
        this.discoverySettings = context.scenario.discovery();
        this.onWatchOpened = onWatchOpened;
        random = context.streams.of("discovery/calls");
        int count = (int) context.scenario.sidecars().count();
        policies = new PollPolicy[count];
        pollNumbers = new int[count];
        for (int i = 0; i < count; i++) {
            openCalls.add(new ArrayList<>());
        }
        watching.set(0, count);
    }

    boolean isWatching(EmulatedSidecar sidecar) {
        return watching.get(sidecar.index());
    }

    /** Calls made in each second of the run. */
    List<Integer> callsBySecond() {
        return callsBySecond;
    }

    /** The largest number of calls that waited at once. */
    int maxOpenCalls() {
        return maxOpenCalls;
    }

    /** Starts polling for a process that has started or lost its watch, with a new poll policy. */
    void start(EmulatedSidecar sidecar) {
        int index = sidecar.index();
        policies[index] = pollPolicy(context.streams.number("pace/" + index + '/' + ++pollNumbers[index]));
        watching.clear(index);
        closeAll(index);
        scheduleCall(sidecar, policies[index].initialDelayMs());
    }

    private PollPolicy pollPolicy(long seed) {
        if (discoverySettings.pace() == Discovery.Pace.PROMPT) {
            return StartupPolicy.forLocalAgent(seed).pollPolicies().get();
        }
        SharedServicePollPolicy.Config settings = new SharedServicePollPolicy.Config(
                discoverySettings.calls() / 2, SPREAD_MS, ANSWER_MS, LONGEST_ANSWER_MS, LONGEST_PAUSE_MS, SILENCE_MS);
        return new SharedServicePollPolicy(
                settings, policies.length, SharedServicePollPolicy.PriorState.CACHED_ENDPOINTS, seed);
    }

    private void scheduleCall(EmulatedSidecar sidecar, double ms) {
        int now = pollNumbers[sidecar.index()];
        context.time.after(ms, () -> {
            if (sidecar.up() && now == pollNumbers[sidecar.index()] && !isWatching(sidecar)) {
                call(sidecar, now);
            }
        });
    }

    private void call(EmulatedSidecar sidecar, int now) {
        int second = (int) (context.time.elapsedMs() / 1_000);
        while (callsBySecond.size() <= second) {
            callsBySecond.add(0);
        }
        callsBySecond.set(second, callsBySecond.get(second) + 1);
        int index = sidecar.index();
        PollPolicy policy = policies[index];
        List<Object> calls = openCalls.get(index);
        if (calls.size() > policy.maxHedgedCalls()) {
            close(calls, calls.get(calls.size() > 1 ? 1 : 0));
        }
        Object call = new Object();
        calls.add(call);
        maxOpenCalls = Math.max(maxOpenCalls, ++open);
        double nowMs = context.time.elapsedMs();
        double waitMs = policy.responseTimeoutMs();
        if (!down && random.nextDouble() < discoverySettings.answered()) {
            nextFreeMs = Math.max(nextFreeMs, nowMs) + 1_000 / discoverySettings.calls();
            if (nextFreeMs - nowMs <= waitMs + policy.hedgedCallTimeoutMs()) {
                context.time.after(nextFreeMs - nowMs, () -> answered(sidecar, now, call, nowMs));
            }
        }
        context.time.after(waitMs, () -> unanswered(sidecar, now, call));
        context.time.after(waitMs + policy.hedgedCallTimeoutMs(), () -> close(calls, call));
    }

    private void answered(EmulatedSidecar sidecar, int now, Object call, double begunMs) {
        int index = sidecar.index();
        List<Object> calls = openCalls.get(index);
        if (!sidecar.up() || now != pollNumbers[index] || !calls.contains(call)) {
            return;
        }
        policies[index].onResponseStarted(context.time.elapsedMs() - begunMs);
        policies[index].onSuccess();
        watching.set(index);
        closeAll(index);
        onWatchOpened.accept(sidecar);
    }

    private void unanswered(EmulatedSidecar sidecar, int now, Object call) {
        int index = sidecar.index();
        if (!sidecar.up() || now != pollNumbers[index] || isWatching(sidecar)) {
            return;
        }
        if (policies[index].maxHedgedCalls() == 0) {
            close(openCalls.get(index), call);
        }
        scheduleCall(sidecar, policies[index].delayAfterTimeoutMs());
    }

    private void close(List<Object> calls, Object call) {
        if (calls.remove(call)) {
            open--;
        }
    }

    private void closeAll(int index) {
        List<Object> calls = openCalls.get(index);
        open -= calls.size();
        calls.clear();
    }

    void startOutage(double ms) {
        down = true;
        context.time.after(ms, () -> down = false);
        for (EmulatedSidecar sidecar : context.sidecars) {
            if (sidecar.up() && isWatching(sidecar)) {
                int index = sidecar.index();
                watching.clear(index);
                policies[index] = policies[index] == null
                        ? pollPolicy(context.streams.number("pace/" + index + "/0"))
                        : policies[index];
                scheduleCall(sidecar, policies[index].idleTimeoutMs() + policies[index].delayAfterTimeoutMs());
            }
        }
    }
}
