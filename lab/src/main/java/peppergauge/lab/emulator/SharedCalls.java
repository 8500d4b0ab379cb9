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
final class SharedCalls {

    /** Defaults of the section [start], except for the calls per second. */
    private static final double SPREAD_MS = 2_000;

    private static final double ANSWER_MS = 2_000;
    private static final double LONGEST_ANSWER_MS = 10_000;
    private static final double LONGEST_PAUSE_MS = 60_000;
    private static final double SILENCE_MS = 2_500;

    private final World world;
    private final Discovery figures;
    private final Consumer<EmulatedSidecar> tell;
    private final UniformRandomProvider luck;
    private final BitSet watching = new BitSet();
    private final PollPolicy[] paces;
    private final int[] number;
    /** Calls without a response by sidecar, oldest first. */
    private final List<List<Object>> openCalls = new ArrayList<>();

    private final List<Integer> callsBySecond = new ArrayList<>();
    private double freeMs;
    private int open;
    private int mostOpen;
    private boolean down;

    /** {@code tell} is called for each sidecar whose watch has opened. */
    SharedCalls(World world, Consumer<EmulatedSidecar> tell) {
        this.world = world;
        this.figures = world.scenario.discovery();
        this.tell = tell;
        luck = world.streams.of("discovery/calls");
        int count = (int) world.scenario.sidecars().count();
        paces = new PollPolicy[count];
        number = new int[count];
        for (int i = 0; i < count; i++) {
            openCalls.add(new ArrayList<>());
        }
        watching.set(0, count);
    }

    boolean watches(EmulatedSidecar sidecar) {
        return watching.get(sidecar.index());
    }

    /** Calls made in each second of the run. */
    List<Integer> callsBySecond() {
        return callsBySecond;
    }

    /** The largest number of calls that waited at once. */
    int mostOpen() {
        return mostOpen;
    }

    /** Starts polling for a process that has started or lost its watch, with a new poll policy. */
    void start(EmulatedSidecar sidecar) {
        int index = sidecar.index();
        paces[index] = pace(world.streams.number("pace/" + index + '/' + ++number[index]));
        watching.clear(index);
        closeAll(index);
        later(sidecar, paces[index].initialDelayMs());
    }

    private PollPolicy pace(long seed) {
        if (figures.pace() == Discovery.Pace.PROMPT) {
            return StartupPolicy.forLocalAgent(seed).pollPolicies().get();
        }
        SharedServicePollPolicy.Config settings = new SharedServicePollPolicy.Config(
                figures.calls() / 2, SPREAD_MS, ANSWER_MS, LONGEST_ANSWER_MS, LONGEST_PAUSE_MS, SILENCE_MS);
        return new SharedServicePollPolicy(
                settings, paces.length, SharedServicePollPolicy.PriorState.CACHED_ENDPOINTS, seed);
    }

    private void later(EmulatedSidecar sidecar, double ms) {
        int now = number[sidecar.index()];
        world.time.after(ms, () -> {
            if (sidecar.up() && now == number[sidecar.index()] && !watches(sidecar)) {
                call(sidecar, now);
            }
        });
    }

    private void call(EmulatedSidecar sidecar, int now) {
        int second = (int) (world.time.elapsedMs() / 1_000);
        while (callsBySecond.size() <= second) {
            callsBySecond.add(0);
        }
        callsBySecond.set(second, callsBySecond.get(second) + 1);
        int index = sidecar.index();
        PollPolicy pace = paces[index];
        List<Object> calls = openCalls.get(index);
        if (calls.size() > pace.maxHedgedCalls()) {
            close(calls, calls.get(calls.size() > 1 ? 1 : 0));
        }
        Object call = new Object();
        calls.add(call);
        mostOpen = Math.max(mostOpen, ++open);
        double nowMs = world.time.elapsedMs();
        double waitMs = pace.responseTimeoutMs();
        if (!down && luck.nextDouble() < figures.answered()) {
            freeMs = Math.max(freeMs, nowMs) + 1_000 / figures.calls();
            if (freeMs - nowMs <= waitMs + pace.hedgedCallTimeoutMs()) {
                world.time.after(freeMs - nowMs, () -> answered(sidecar, now, call, nowMs));
            }
        }
        world.time.after(waitMs, () -> unanswered(sidecar, now, call));
        world.time.after(waitMs + pace.hedgedCallTimeoutMs(), () -> close(calls, call));
    }

    private void answered(EmulatedSidecar sidecar, int now, Object call, double begunMs) {
        int index = sidecar.index();
        List<Object> calls = openCalls.get(index);
        if (!sidecar.up() || now != number[index] || !calls.contains(call)) {
            return;
        }
        paces[index].onResponseStarted(world.time.elapsedMs() - begunMs);
        paces[index].onSuccess();
        watching.set(index);
        closeAll(index);
        tell.accept(sidecar);
    }

    private void unanswered(EmulatedSidecar sidecar, int now, Object call) {
        int index = sidecar.index();
        if (!sidecar.up() || now != number[index] || watches(sidecar)) {
            return;
        }
        if (paces[index].maxHedgedCalls() == 0) {
            close(openCalls.get(index), call);
        }
        later(sidecar, paces[index].delayAfterTimeoutMs());
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

    void down(double ms) {
        down = true;
        world.time.after(ms, () -> down = false);
        for (EmulatedSidecar sidecar : world.sidecars) {
            if (sidecar.up() && watches(sidecar)) {
                int index = sidecar.index();
                watching.clear(index);
                paces[index] = paces[index] == null ? pace(world.streams.number("pace/" + index + "/0")) : paces[index];
                later(sidecar, paces[index].idleTimeoutMs() + paces[index].delayAfterTimeoutMs());
            }
        }
    }
}
