package peppergauge.coldstart;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.IntFunction;

/**
 * Hundreds of callers' paces against one service of finite capacity, in virtual time: calls wait in turn, each takes
 * its time though its caller has given up, and an answer that comes too late is none. What a caller is told stays told.
 */
final class SharedDiscovery {

    /** What is wrong with the service, by the time in ms. */
    interface Fault {

        /** Whether a call that comes now hangs: it is taken, and never answered. */
        boolean hangs(double nowMs, SplittableRandom luck);

        Fault NONE = (nowMs, luck) -> false;
    }

    /**
     * What was seen until all but a hundredth had their list.
     *
     * @param calls made by then, and {@code peak} the most in any one second
     * @param mean calls a second until half had their list: those who are left then are few, and so are their calls
     * @param open most calls that waited for an answer at once
     * @param halfToldS when half had their list, s
     * @param toldS when all but a hundredth had their list, s; infinite if never
     */
    record Seen(int callers, long calls, double peak, double mean, int open, double halfToldS, double toldS) {

        double peakOverMean() {
            return peak / mean;
        }
    }

    /** A call that has no answer yet; no two are the same. */
    private static final class Call {

        private final double begunMs;

        Call(double begunMs) {
            this.begunMs = begunMs;
        }

        double begunMs() {
            return begunMs;
        }
    }

    private record Event(double atMs, long order, Runnable task) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) -> one.atMs() == other.atMs()
            ? Long.compare(one.order(), other.order())
            : Double.compare(one.atMs(), other.atMs()));
    private final IntFunction<PollPolicy> paces;
    private final PollPolicy[] pace;
    private final int[] life;
    private final boolean[] told;
    private final Map<Integer, List<Call>> openCalls = new HashMap<>();
    private final double eachMs;
    private final Fault fault;
    private final SplittableRandom luck = new SplittableRandom(1);
    private final double lengthMs;
    private final long[] bySecond;
    private double nowMs;
    private double freeMs;
    private long order;
    private int lives;
    private boolean looping;
    /** Of those that start once. */
    private int toldCount;

    private int open;
    private int mostOpen;

    private SharedDiscovery(
            int callers, double callsPerS, Fault fault, double lengthMs, IntFunction<PollPolicy> paces) {
        this.paces = paces;
        this.fault = fault;
        this.lengthMs = lengthMs;
        eachMs = 1_000 / callsPerS;
        pace = new PollPolicy[callers];
        life = new int[callers];
        told = new boolean[callers];
        bySecond = new long[(int) (lengthMs / 1_000) + 1];
    }

    /**
     * All callers start at once.
     *
     * @param callsPerS what the service answers
     * @param loopMs each third caller starts anew, knowing nothing, so often; 0: none does
     * @param paces by the number of the life, so that each has a seed of its own
     */
    static Seen run(
            int callers, double callsPerS, Fault fault, double loopMs, double lengthMs, IntFunction<PollPolicy> paces) {
        return new SharedDiscovery(callers, callsPerS, fault, lengthMs, paces).run(loopMs);
    }

    private Seen run(double loopMs) {
        looping = loopMs > 0;
        for (int caller = 0; caller < pace.length; caller++) {
            start(caller);
            if (loops(caller)) {
                loop(caller, loopMs);
            }
        }
        int usual = looping ? pace.length - (pace.length + 2) / 3 : pace.length;
        double toldMs = Double.POSITIVE_INFINITY;
        double halfMs = Double.POSITIVE_INFINITY;
        while (!events.isEmpty() && events.peek().atMs() < lengthMs && toldMs > lengthMs) {
            Event next = events.poll();
            nowMs = next.atMs();
            next.task().run();
            if (halfMs > lengthMs && toldCount >= 0.5 * usual) {
                halfMs = nowMs;
            }
            if (toldCount >= 0.99 * usual) {
                toldMs = nowMs;
            }
        }
        return new Seen(
                pace.length,
                Arrays.stream(bySecond).sum(),
                Arrays.stream(bySecond).max().orElse(0),
                Arrays.stream(bySecond, 0, (int) Math.ceil(Math.min(halfMs, lengthMs) / 1_000))
                        .average()
                        .orElse(0),
                mostOpen,
                halfMs / 1_000,
                toldMs / 1_000);
    }

    private void at(double ms, Runnable task) {
        events.add(new Event(ms, order++, task));
    }

    private void start(int caller) {
        pace[caller] = paces.apply(lives++);
        life[caller]++;
        List<Call> former = openCalls.getOrDefault(caller, List.of());
        List.copyOf(former).forEach(call -> close(former, call));
        int now = life[caller];
        at(nowMs + pace[caller].initialDelayMs(), () -> call(caller, now));
    }

    private void loop(int caller, double loopMs) {
        // They die together, and are back together.
        at(nowMs + loopMs, () -> {
            told[caller] = false;
            start(caller);
            loop(caller, loopMs);
        });
    }

    /** Calls without an answer stay open beside later ones as the watch of discovery keeps them. */
    private void call(int caller, int ofLife) {
        if (ofLife != life[caller] || told[caller]) {
            return;
        }
        bySecond[(int) (nowMs / 1_000)]++;
        PollPolicy asked = pace[caller];
        List<Call> calls = openCalls.computeIfAbsent(caller, any -> new ArrayList<>());
        if (calls.size() > asked.maxHedgedCalls()) {
            close(calls, calls.get(calls.size() > 1 ? 1 : 0));
        }
        double waitMs = asked.responseTimeoutMs();
        Call call = new Call(nowMs);
        calls.add(call);
        mostOpen = Math.max(mostOpen, ++open);
        if (!fault.hangs(nowMs, luck)) {
            freeMs = Math.max(freeMs, nowMs) + eachMs;
            if (freeMs <= nowMs + waitMs + asked.hedgedCallTimeoutMs()) {
                at(freeMs, () -> answered(caller, ofLife, call));
            }
        }
        at(nowMs + waitMs, () -> unanswered(caller, ofLife, call));
        at(nowMs + waitMs + asked.hedgedCallTimeoutMs(), () -> close(calls, call));
    }

    private void answered(int caller, int ofLife, Call call) {
        List<Call> calls = openCalls.get(caller);
        if (ofLife != life[caller] || !calls.contains(call)) {
            return;
        }
        told[caller] = true;
        toldCount += loops(caller) ? 0 : 1;
        pace[caller].onResponseStarted(nowMs - call.begunMs());
        pace[caller].onSuccess();
        List.copyOf(calls).forEach(each -> close(calls, each));
    }

    private void unanswered(int caller, int ofLife, Call call) {
        if (ofLife != life[caller] || told[caller]) {
            return;
        }
        if (pace[caller].maxHedgedCalls() == 0) {
            close(openCalls.get(caller), call);
        }
        at(nowMs + pace[caller].delayAfterTimeoutMs(), () -> call(caller, ofLife));
    }

    private void close(List<Call> calls, Call call) {
        if (calls.remove(call)) {
            open--;
        }
    }

    private boolean loops(int caller) {
        return looping && caller % 3 == 0;
    }
}
