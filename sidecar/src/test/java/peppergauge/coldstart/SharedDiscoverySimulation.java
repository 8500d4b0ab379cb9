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
 * Simulates the poll policies of hundreds of instances that call one service of limited capacity, in virtual time. The
 * service processes calls in order of arrival, also those that their callers have abandoned, and a response after the
 * caller's timeout is lost. An instance that has received an update makes no further call.
 */
final class SharedDiscoverySimulation {

    /** A fault of the service. */
    interface Fault {

        /** Whether a call that arrives now is accepted and gets no response. */
        boolean hangs(double nowMs, SplittableRandom random);

        Fault NONE = (nowMs, random) -> false;
    }

    /**
     * Results up to the time at which 99% of the instances have received an update.
     *
     * @param calls number of calls
     * @param peak highest number of calls in a second
     * @param mean calls per second until half of the instances have an update; few call after that
     * @param maxOpenCalls highest number of calls that waited for a response at the same time
     * @param halfUpdatedS when half of the instances had an update, s
     * @param updatedS when 99% of the instances had an update, s; infinite if never
     */
    record Result(
            int instances,
            long calls,
            double peak,
            double mean,
            int maxOpenCalls,
            double halfUpdatedS,
            double updatedS) {

        double peakOverMean() {
            return peak / mean;
        }
    }

    /** A call without a response yet; compared by identity. */
    private static final class Call {

        private final double startMs;

        Call(double startMs) {
            this.startMs = startMs;
        }
    }

    private record Event(double timeMs, long order, Runnable task) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) -> one.timeMs() == other.timeMs()
            ? Long.compare(one.order(), other.order())
            : Double.compare(one.timeMs(), other.timeMs()));
    private final IntFunction<PollPolicy> policyFactory;
    private final PollPolicy[] policies;
    /** How often each instance was started. */
    private final int[] starts;

    private final boolean[] hasUpdate;
    private final Map<Integer, List<Call>> openCalls = new HashMap<>();
    private final double serviceTimeMs;
    private final Fault fault;
    private final SplittableRandom random = new SplittableRandom(1);
    private final double durationMs;
    private final long[] callsBySecond;
    private double nowMs;
    /** When the service has processed all calls that have arrived. */
    private double serviceIdleMs;

    private long eventCount;
    private int totalStarts;
    private boolean hasRestarts;
    /** Number of instances with an update, without those that restart. */
    private int updatedCount;

    private int openCallCount;
    private int maxOpenCalls;

    private SharedDiscoverySimulation(
            int instances,
            double answeredCallsPerS,
            Fault fault,
            double durationMs,
            IntFunction<PollPolicy> policyFactory) {
        this.policyFactory = policyFactory;
        this.fault = fault;
        this.durationMs = durationMs;
        serviceTimeMs = 1_000 / answeredCallsPerS;
        policies = new PollPolicy[instances];
        starts = new int[instances];
        hasUpdate = new boolean[instances];
        callsBySecond = new long[(int) (durationMs / 1_000) + 1];
    }

    /**
     * Runs a simulation in which all instances start at the same time.
     *
     * @param answeredCallsPerS the capacity of the service
     * @param restartIntervalMs interval at which each third instance restarts without any state; 0 for no restarts
     * @param policyFactory creates the policy of an instance from a seed, a different one for each start
     */
    static Result run(
            int instances,
            double answeredCallsPerS,
            Fault fault,
            double restartIntervalMs,
            double durationMs,
            IntFunction<PollPolicy> policyFactory) {
        return new SharedDiscoverySimulation(instances, answeredCallsPerS, fault, durationMs, policyFactory)
                .run(restartIntervalMs);
    }

    private Result run(double restartIntervalMs) {
        hasRestarts = restartIntervalMs > 0;
        for (int instance = 0; instance < policies.length; instance++) {
            start(instance);
            if (isRestarting(instance)) {
                scheduleRestart(instance, restartIntervalMs);
            }
        }
        int stableInstances = hasRestarts ? policies.length - (policies.length + 2) / 3 : policies.length;
        double updatedMs = Double.POSITIVE_INFINITY;
        double halfUpdatedMs = Double.POSITIVE_INFINITY;
        while (!events.isEmpty() && events.peek().timeMs() < durationMs && updatedMs > durationMs) {
            Event next = events.poll();
            nowMs = next.timeMs();
            next.task().run();
            if (halfUpdatedMs > durationMs && updatedCount >= 0.5 * stableInstances) {
                halfUpdatedMs = nowMs;
            }
            if (updatedCount >= 0.99 * stableInstances) {
                updatedMs = nowMs;
            }
        }
        return new Result(
                policies.length,
                Arrays.stream(callsBySecond).sum(),
                Arrays.stream(callsBySecond).max().orElse(0),
                Arrays.stream(callsBySecond, 0, (int) Math.ceil(Math.min(halfUpdatedMs, durationMs) / 1_000))
                        .average()
                        .orElse(0),
                maxOpenCalls,
                halfUpdatedMs / 1_000,
                updatedMs / 1_000);
    }

    private void schedule(double timeMs, Runnable task) {
        events.add(new Event(timeMs, eventCount++, task));
    }

    private void start(int instance) {
        policies[instance] = policyFactory.apply(totalStarts++);
        starts[instance]++;
        List<Call> previousCalls = openCalls.getOrDefault(instance, List.of());
        List.copyOf(previousCalls).forEach(call -> close(previousCalls, call));
        int startNumber = starts[instance];
        schedule(nowMs + policies[instance].initialDelayMs(), () -> call(instance, startNumber));
    }

    /** All restarting instances stop and start again at the same time. */
    private void scheduleRestart(int instance, double intervalMs) {
        schedule(nowMs + intervalMs, () -> {
            hasUpdate[instance] = false;
            start(instance);
            scheduleRestart(instance, intervalMs);
        });
    }

    /** Starts a call. Calls without a response stay open as hedged calls, as in an endpoint watch. */
    private void call(int instance, int startNumber) {
        if (startNumber != starts[instance] || hasUpdate[instance]) {
            return;
        }
        callsBySecond[(int) (nowMs / 1_000)]++;
        PollPolicy policy = policies[instance];
        List<Call> calls = openCalls.computeIfAbsent(instance, key -> new ArrayList<>());
        if (calls.size() > policy.maxHedgedCalls()) {
            close(calls, calls.get(calls.size() > 1 ? 1 : 0));
        }
        double timeoutMs = policy.responseTimeoutMs();
        Call call = new Call(nowMs);
        calls.add(call);
        maxOpenCalls = Math.max(maxOpenCalls, ++openCallCount);
        if (!fault.hangs(nowMs, random)) {
            serviceIdleMs = Math.max(serviceIdleMs, nowMs) + serviceTimeMs;
            if (serviceIdleMs <= nowMs + timeoutMs + policy.hedgedCallTimeoutMs()) {
                schedule(serviceIdleMs, () -> onResponse(instance, startNumber, call));
            }
        }
        schedule(nowMs + timeoutMs, () -> onResponseTimeout(instance, startNumber, call));
        schedule(nowMs + timeoutMs + policy.hedgedCallTimeoutMs(), () -> close(calls, call));
    }

    private void onResponse(int instance, int startNumber, Call call) {
        List<Call> calls = openCalls.get(instance);
        if (startNumber != starts[instance] || !calls.contains(call)) {
            return;
        }
        hasUpdate[instance] = true;
        updatedCount += isRestarting(instance) ? 0 : 1;
        policies[instance].onResponseStarted(nowMs - call.startMs);
        policies[instance].onSuccess();
        List.copyOf(calls).forEach(each -> close(calls, each));
    }

    private void onResponseTimeout(int instance, int startNumber, Call call) {
        if (startNumber != starts[instance] || hasUpdate[instance]) {
            return;
        }
        if (policies[instance].maxHedgedCalls() == 0) {
            close(openCalls.get(instance), call);
        }
        schedule(nowMs + policies[instance].delayAfterTimeoutMs(), () -> call(instance, startNumber));
    }

    private void close(List<Call> calls, Call call) {
        if (calls.remove(call)) {
            openCallCount--;
        }
    }

    private boolean isRestarting(int instance) {
        return hasRestarts && instance % 3 == 0;
    }
}
