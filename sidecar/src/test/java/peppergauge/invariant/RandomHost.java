package peppergauge.invariant;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Action;
import peppergauge.decision.LoadBalancer.AttemptEnded;
import peppergauge.decision.LoadBalancer.CancelAttempt;
import peppergauge.decision.LoadBalancer.CancelTimer;
import peppergauge.decision.LoadBalancer.ClientDisconnected;
import peppergauge.decision.LoadBalancer.DiscoveryFailed;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.EndpointsUpdated;
import peppergauge.decision.LoadBalancer.Event;
import peppergauge.decision.LoadBalancer.FailRequest;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RejectRequest;
import peppergauge.decision.LoadBalancer.RequestArrived;
import peppergauge.decision.LoadBalancer.ResponseStarted;
import peppergauge.decision.LoadBalancer.ScheduleTimer;
import peppergauge.decision.LoadBalancer.SendAttempt;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.decision.LoadBalancer.TimerFired;
import peppergauge.decision.LoadBalancer.ZoneWeightsUpdated;

/**
 * A host that delivers all kinds of events in random order: ends of attempts, endpoint updates, disconnects, streamed
 * responses, timers that fire early, late or after cancellation, pauses of the process, and invalid load reports.
 */
public final class RandomHost {

    private static final int SERVERS = 12;
    private static final double[] INVALID_REPORT_VALUES = {Double.NaN, -1, -1e300, 0, 9_999_999, 1e-300};

    private final LoadBalancer balancer;
    private final Settings settings;
    private final SplittableRandom random;
    private final PriorityQueue<ScheduleTimer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(ScheduleTimer::dueMs));
    private final Set<Long> cancelledTimers = new HashSet<>();
    private final Map<String, Integer> sends = new HashMap<>();
    private final Set<String> openRequests = new HashSet<>();
    private final List<OpenAttempt> openAttempts = new ArrayList<>();
    /** Maximum delay of timers, ms; random, but the same for the whole run. */
    private final double timerDelayMs;

    private final boolean cancelsTimers;
    private double nowMs = 1_000;
    private boolean isHealthy;
    private int requestCount;
    private long events;
    private long sent;

    /** An attempt that has not ended. */
    private static final class OpenAttempt {

        private final SendAttempt send;
        private final int number;
        private final double sentMs;
        private boolean isStreaming;
        private boolean isCancelled;

        OpenAttempt(SendAttempt send, int number, double sentMs) {
            this.send = send;
            this.number = number;
            this.sentMs = sentMs;
        }
    }

    /** Creates a host and delivers a first endpoint list. */
    public RandomHost(LoadBalancer balancer, Settings settings, long seed) {
        this.balancer = balancer;
        this.settings = settings;
        random = new SplittableRandom(seed);
        timerDelayMs = random.nextInt(3) * 40.0;
        cancelsTimers = random.nextBoolean();
        list(true, endpoints(1));
    }

    /** Delivers at least the given number of events, then ends all attempts and fires all timers. */
    public void run(long minEvents) {
        while (events < minEvents) {
            step();
        }
        settle();
    }

    long events() {
        return events;
    }

    long sent() {
        return sent;
    }

    // ---- Events ----

    private void step() {
        switch (random.nextInt(16)) {
            case 0, 1, 2, 3, 4 -> arrive();
            case 5, 6, 7, 8, 9 -> endAny();
            case 10, 11, 12 -> pass(random.nextInt(random.nextInt(200) == 0 ? 60_000 : 30));
            case 13 -> startAnyResponse();
            case 14 -> disconnectAny();
            default -> rareEvent();
        }
    }

    private void rareEvent() {
        switch (random.nextInt(12)) {
            case 0 -> list(true, endpoints(random.nextDouble()));
            case 1 -> list(true, List.of());
            case 2, 3, 4 -> list(false, endpoints(0.2));
            case 5 -> deliver(new DiscoveryFailed());
            case 6 -> list(true, endpoints(1));
            case 7 -> {
                LearnedState learned = balancer.exportState(nowMs, 0, SERVERS);
                balancer.importState(nowMs, learned, random.nextInt(1_000));
            }
            case 8 -> deliver(new TimerFired(random.nextInt(1_000)));
            case 9 -> deliver(new AttemptEnded("never", 0, "s0", Outcome.SUCCESS, 1, true, null));
            case 10 -> deliver(new ZoneWeightsUpdated(zoneWeights()));
            default -> {}
        }
    }

    /** Random zone weights by tenant and zone; may be empty or shorter than in the settings. */
    private double[][] zoneWeights() {
        double[][] weights = new double[random.nextInt(4)][];
        for (int tenant = 0; tenant < weights.length; tenant++) {
            weights[tenant] = random.doubles(random.nextInt(4), 0.05, 1).toArray();
        }
        return weights;
    }

    private void arrive() {
        String id = "r" + requestCount++;
        double timeoutMs = random.nextInt(40) == 0 ? -random.nextInt(3) : 1 + random.nextInt(1_500);
        openRequests.add(id);
        deliver(new RequestArrived(
                id,
                random.nextInt(settings.classes().size()),
                random.nextInt(-1, 4),
                timeoutMs,
                random.nextInt(6) == 0));
    }

    /** Disconnects the client of a request with an open attempt, or of any open request. */
    private void disconnectAny() {
        if (random.nextInt(4) != 0) {
            return;
        }
        if (!openAttempts.isEmpty() && random.nextBoolean()) {
            disconnect(
                    openAttempts.get(random.nextInt(openAttempts.size())).send.id());
        } else if (!openRequests.isEmpty()) {
            disconnect(openRequests.stream()
                    .skip(random.nextInt(openRequests.size()))
                    .findFirst()
                    .orElseThrow());
        }
    }

    private void disconnect(String id) {
        if (openRequests.remove(id)) {
            deliver(new ClientDisconnected(id));
        }
    }

    private void startAnyResponse() {
        if (!openAttempts.isEmpty() && random.nextInt(4) == 0) {
            OpenAttempt attempt = openAttempts.get(random.nextInt(openAttempts.size()));
            if (!attempt.isStreaming && !attempt.isCancelled && openRequests.remove(attempt.send.id())) {
                attempt.isStreaming = true;
                deliver(new ResponseStarted(attempt.send.id(), attempt.number));
            }
        }
    }

    private void endAny() {
        if (!openAttempts.isEmpty()) {
            OpenAttempt attempt = openAttempts.remove(random.nextInt(openAttempts.size()));
            Outcome outcome = attempt.isCancelled && random.nextBoolean()
                    ? Outcome.CANCELLED
                    : random.nextInt(3) > 0 ? Outcome.SUCCESS : RandomSettings.pick(random, Outcome.values());
            end(attempt, outcome);
        }
    }

    private void end(OpenAttempt attempt, Outcome outcome) {
        String id = attempt.send.id();
        if (outcome == Outcome.SUCCESS) {
            openRequests.remove(id);
        }
        double totalMs = nowMs - attempt.sentMs;
        double localDelayMs = random.nextInt(8) == 0 ? totalMs * random.nextDouble() : 0;
        deliver(new AttemptEnded(
                id,
                attempt.number,
                attempt.send.server(),
                outcome,
                totalMs - localDelayMs,
                !openRequests.contains(id),
                loadReport(),
                localDelayMs));
    }

    private double[] loadReport() {
        if (isHealthy) {
            return settings.loadFields().stream().mapToDouble(field -> 0.2).toArray();
        }
        if (random.nextInt(3) == 0) {
            return null;
        }
        boolean isInvalid = random.nextInt(5) == 0;
        return random.doubles(random.nextInt(7))
                .map(value -> isInvalid ? invalidReportValue() : value * 20)
                .toArray();
    }

    private double invalidReportValue() {
        return INVALID_REPORT_VALUES[random.nextInt(INVALID_REPORT_VALUES.length)];
    }

    /** A random entry for each of the given share of the servers. */
    private List<Endpoint> endpoints(double share) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            if (random.nextDouble() < share) {
                // Most servers are ready. Some were restarted, sometimes in the future because of a wrong clock.
                EndpointState state = random.nextInt(3) > 0
                        ? EndpointState.READY
                        : RandomSettings.pick(random, EndpointState.values());
                double startedMs = random.nextInt(4) > 0 ? 0 : nowMs + random.nextInt(-5_000, 500);
                endpoints.add(new Endpoint("s" + i, i % 3, i % 2, state, startedMs, i % 2));
            }
        }
        return endpoints;
    }

    private void list(boolean complete, List<Endpoint> endpoints) {
        deliver(new EndpointsUpdated(complete, random.nextBoolean(), endpoints));
    }

    // ---- Time ----

    /** Advances the clock: fires timers, each with a random delay, and ends attempts that time out. */
    private void pass(double ms) {
        double untilMs = nowMs + ms;
        while (!timers.isEmpty() && timers.peek().dueMs() + timerDelayMs * random.nextDouble() <= untilMs) {
            fire(timers.poll());
        }
        nowMs = Math.max(nowMs, untilMs);
        for (OpenAttempt attempt : List.copyOf(openAttempts)) {
            boolean isTimedOut = !attempt.isStreaming && attempt.sentMs + attempt.send.timeoutMs() <= nowMs;
            if ((isTimedOut || attempt.isCancelled) && openAttempts.remove(attempt)) {
                end(
                        attempt,
                        attempt.isCancelled
                                ? Outcome.CANCELLED
                                : random.nextBoolean() ? Outcome.TIMED_OUT : Outcome.UNREACHABLE);
            }
        }
    }

    private void fire(ScheduleTimer timer) {
        if (cancelsTimers && cancelledTimers.remove(timer.token())) {
            return;
        }
        // Hosts round times to the resolution of their clock, so a timer may fire slightly early.
        nowMs = Math.max(nowMs, timer.dueMs() - (random.nextInt(10) == 0 ? 0.001 : 0));
        deliver(new TimerFired(timer.token()));
    }

    /** Ends all open attempts and fires all timers. */
    private void settle() {
        while (!openAttempts.isEmpty() || timers.stream().anyMatch(timer -> !cancelledTimers.contains(timer.token()))) {
            pass(5_000);
            for (OpenAttempt attempt : List.copyOf(openAttempts)) {
                openAttempts.remove(attempt);
                end(attempt, attempt.isStreaming ? Outcome.SUCCESS : Outcome.BROKEN);
            }
            if (settings.watchRequired()) {
                timers.removeIf(timer -> openAttempts.isEmpty() && openRequests.isEmpty());
            }
        }
    }

    // ---- Actions ----

    private void deliver(Event event) {
        events++;
        List<Action> actions = new ArrayList<>();
        balancer.handle(nowMs, event, actions::add);
        actions.forEach(this::carryOut);
    }

    private void carryOut(Action action) {
        if (action instanceof SendAttempt send) {
            sent++;
            openAttempts.add(new OpenAttempt(send, sends.merge(send.id(), 1, Integer::sum) - 1, nowMs));
        } else if (action instanceof CancelAttempt cancel) {
            openAttempts.stream()
                    .filter(attempt -> attempt.send.id().equals(cancel.id()) && attempt.number == cancel.attempt())
                    .forEach(attempt -> attempt.isCancelled = true);
        } else if (action instanceof ScheduleTimer timer) {
            timers.add(timer);
        } else if (action instanceof CancelTimer timer) {
            cancelledTimers.add(timer.token());
        } else if (action instanceof RejectRequest rejection) {
            close(rejection.id());
        } else if (action instanceof FailRequest failure) {
            close(failure.id());
        }
    }

    private void close(String id) {
        if (!openRequests.remove(id)) {
            throw new AssertionError("request " + id + " has a second answer");
        }
    }

    /** The number of requests without a final answer. */
    int unanswered() {
        return openRequests.size();
    }

    /** Whether most new requests are sent once all servers are healthy. */
    boolean recovers() {
        isHealthy = true;
        nowMs += 600_000;
        List<Endpoint> all = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            all.add(new Endpoint("s" + i, i % 3, i % 2, EndpointState.READY, 1, i % 2));
        }
        list(true, all);
        long before = sent;
        for (int i = 0; i < 100; i++) {
            arrive();
            while (!openAttempts.isEmpty()) {
                OpenAttempt attempt = openAttempts.remove(0);
                nowMs += 5;
                end(attempt, Outcome.SUCCESS);
            }
            pass(20);
        }
        settle();
        return sent - before > 60;
    }
}
