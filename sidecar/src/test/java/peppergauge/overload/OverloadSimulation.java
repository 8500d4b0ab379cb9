package peppergauge.overload;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Simulates clients and a program under overload, in virtual time. A client thinks, sends a request, waits until its
 * timeout, and retries up to twice. The program has one thread, which reads and serves requests in rounds. A request
 * takes 3 ms of CPU time, half of it when it is admitted and half after a response of a service outside the program;
 * rejecting a request takes a quarter. The program does not detect that a client has stopped waiting. The clients
 * offer 0.7 of the capacity, and three times the capacity from 2 to 7 s.
 */
final class OverloadSimulation {

    private static final double COST_MS = 3, SERVICE_MS = 20, SELECT_MS = 20, QUOTA_PERIOD_MS = 100;
    private static final double ROUND_COST_MS = 0.02, REMAINING_MS = 5_000;
    private static final int OVERLOAD_START_S = 2, OVERLOAD_END_S = 7;
    private static final int MAX_RETRIES = 2;

    /**
     * Parameters of a simulation.
     *
     * @param timeoutMs how long clients wait for a response
     * @param thinkMs mean time between the requests of a client
     * @param maxRetryAfterMs the longest delay that rejected clients are advised
     * @param quota the share of a core that the program gets in each {@link #QUOTA_PERIOD_MS}
     */
    record Setting(double timeoutMs, double thinkMs, double maxRetryAfterMs, double quota) {

        /** Requests per second that the program can serve. */
        double capacityPerS() {
            return 1_000 * quota / COST_MS;
        }
    }

    private record Event(double timeMs, Runnable task) {}

    /** A request of a client, or one of its retries. */
    private final class Request {

        private final int client, retries;
        private final String id = "t" + requestCount++;
        private boolean isOver;

        Request(int client, int retries) {
            this.client = client;
            this.retries = retries;
            if (client < baseClients || nowMs < OVERLOAD_END_S * 1_000) {
                unread.add(this);
                schedule(nowMs + setting.timeoutMs, () -> end(randomRetryDelayMs()));
            }
        }

        /**
         * The request was served, was rejected or has timed out.
         *
         * @param retryDelayMs delay of the client's retry, 0 if the request was served
         */
        void end(double retryDelayMs) {
            if (!isOver) {
                isOver = true;
                boolean isRetried = retryDelayMs > 0 && retries < MAX_RETRIES;
                schedule(
                        nowMs + (isRetried ? retryDelayMs : randomThinkMs()),
                        () -> new Request(client, isRetried ? retries + 1 : 0));
            }
        }
    }

    /** By second: requests served in time, and requests rejected. */
    final int[] served = new int[60], shed = new int[60];
    /** Requests served in time during the overload, by class. */
    final int[] servedByClass = new int[3];

    final OverloadController<Integer, Runnable> overload;
    private final Setting setting;
    private final boolean isControlled;
    private final int baseClients;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> Double.compare(a.timeMs, b.timeMs));
    private final List<Request> unread = new ArrayList<>();
    private final List<Runnable> endedAttempts = new ArrayList<>();
    private double nowMs, usedQuotaMs;
    private long quotaPeriod, requestCount;

    /** @param isControlled whether the program uses {@link OverloadController}, or admits all requests in order */
    OverloadSimulation(Setting setting, boolean isControlled, long seed) {
        this.setting = setting;
        this.isControlled = isControlled;
        random = new SplittableRandom(seed);
        overload = new OverloadController<>(
                OverloadConfig.of(List.of(5.0, 1.0, 10.0), 0.05, true, setting.maxRetryAfterMs, SELECT_MS, seed));
        baseClients = (int) (0.7 * setting.capacityPerS() * (setting.thinkMs + SERVICE_MS) / 1_000);
        for (int i = 0; i < 3 * setting.capacityPerS() * setting.thinkMs / 1_000; i++) {
            int client = i;
            schedule(
                    (client < baseClients ? 0 : OVERLOAD_START_S * 1_000) + randomThinkMs(),
                    () -> new Request(client, 0));
        }
    }

    private double randomThinkMs() {
        return -Math.log(1 - random.nextDouble()) * setting.thinkMs;
    }

    private double randomRetryDelayMs() {
        return random.nextDouble(20, 60);
    }

    private void schedule(double timeMs, Runnable task) {
        events.add(new Event(timeMs, task));
    }

    /** Advances the time and runs the tasks that become due. */
    private void advanceTo(double timeMs) {
        while (!events.isEmpty() && events.peek().timeMs <= timeMs) {
            Event event = events.poll();
            nowMs = Math.max(nowMs, event.timeMs);
            event.task.run();
        }
        nowMs = timeMs;
    }

    /** Uses CPU time. A program that has used up its quota is throttled until the next period. */
    private void compute(double cpuMs) {
        for (double leftMs = cpuMs; leftMs > 1e-9; ) {
            long period = (long) Math.floor(nowMs / QUOTA_PERIOD_MS + 1e-9);
            usedQuotaMs = period == quotaPeriod ? usedQuotaMs : 0;
            quotaPeriod = period;
            double quotaMs = QUOTA_PERIOD_MS * setting.quota;
            double periodEndMs = QUOTA_PERIOD_MS * (quotaPeriod + 1);
            double stepMs = Math.min(leftMs, Math.min(quotaMs - usedQuotaMs, periodEndMs - nowMs));
            usedQuotaMs += stepMs;
            leftMs -= stepMs;
            advanceTo(usedQuotaMs > quotaMs - 1e-9 ? periodEndMs : nowMs + stepMs);
        }
    }

    OverloadSimulation run(int untilS) {
        while (nowMs < untilS * 1_000) {
            double selectUntilMs = nowMs + SELECT_MS;
            while (unread.isEmpty() && endedAttempts.isEmpty() && nowMs < selectUntilMs) {
                advanceTo(events.isEmpty() ? selectUntilMs : Math.min(selectUntilMs, events.peek().timeMs));
            }
            overload.onSelectReturned(nowMs);
            endedAttempts.forEach(overload.queue()::addInProgress);
            endedAttempts.clear();
            unread.forEach(request -> overload.queue().addNew(request.id, () -> handle(request)));
            unread.clear();
            compute(ROUND_COST_MS);
            while (overload.queue().size() > 0) {
                (isControlled ? overload.poll() : overload.queue().poll(false)).run();
            }
            overload.onRoundEnded(nowMs, true);
        }
        return this;
    }

    private void handle(Request request) {
        AdmissionRequest admissionRequest = new AdmissionRequest(
                request.id,
                request.client % 3,
                request.retries > 0,
                false,
                setting.timeoutMs - (nowMs - overload.earliestArrivalMs()));
        if (!isControlled || overload.admit(nowMs, admissionRequest) == AdmissionDecision.ADMIT) {
            compute(COST_MS / 2);
            double admittedMs = nowMs;
            schedule(nowMs + SERVICE_MS, () -> endedAttempts.add(() -> serve(request, admittedMs)));
        } else {
            compute(COST_MS / 4);
            shed[(int) (nowMs / 1_000)]++;
            double retryAfterMs = overload.retryAfterMs(nowMs, REMAINING_MS);
            request.end(retryAfterMs > 0 ? retryAfterMs : randomRetryDelayMs());
        }
    }

    private void serve(Request request, double admittedMs) {
        overload.onResponse(nowMs, nowMs - admittedMs);
        compute(COST_MS / 2);
        if (!request.isOver) {
            int second = (int) (nowMs / 1_000);
            served[second]++;
            servedByClass[request.client % 3] += second >= OVERLOAD_START_S && second < OVERLOAD_END_S ? 1 : 0;
            request.end(0);
        }
    }

    /** Requests served in time, as a share of the capacity. */
    double goodput(int fromS, int untilS) {
        return sum(served, fromS, untilS) / setting.capacityPerS() / (untilS - fromS);
    }

    static int sum(int[] bySecond, int fromS, int untilS) {
        return Arrays.stream(bySecond, fromS, untilS).sum();
    }
}
