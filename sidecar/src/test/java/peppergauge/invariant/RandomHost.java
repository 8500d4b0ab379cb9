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
 * A host that lets everything happen that may, in any order, by one seed: ends of every kind, lists of every kind,
 * clients that leave, answers that begin, timers that come early, late or although they were taken back, pauses of the
 * whole process, and reports of load that mean nothing.
 */
public final class RandomHost {

    private static final int SERVERS = 12;
    private static final double[] GARBAGE = {Double.NaN, -1, -1e300, 0, 9_999_999, 1e-300};

    private final LoadBalancer balancer;
    private final Settings settings;
    private final SplittableRandom random;
    private final PriorityQueue<ScheduleTimer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(ScheduleTimer::dueMs));
    private final Set<Long> cleared = new HashSet<>();
    private final Map<String, Integer> sends = new HashMap<>();
    private final Set<String> open = new HashSet<>();
    private final List<Out> out = new ArrayList<>();
    /** The longest that a timer comes late, ms: drawn for the whole run. */
    private final double lateMs;

    private final boolean takesBack;
    private double nowMs = 1_000;
    private boolean calm;
    private int asked;
    private long events;
    private long sent;

    /** An attempt that is out. */
    private static final class Out {

        private final SendAttempt send;
        private final int attempt;
        private final double atMs;
        private boolean begun;
        private boolean cancelled;

        Out(SendAttempt send, int attempt, double atMs) {
            this.send = send;
            this.attempt = attempt;
            this.atMs = atMs;
        }
    }

    public RandomHost(LoadBalancer balancer, Settings settings, long seed) {
        this.balancer = balancer;
        this.settings = settings;
        random = new SplittableRandom(seed);
        lateMs = random.nextInt(3) * 40.0;
        takesBack = random.nextBoolean();
        list(true, entries(1));
    }

    /** As many events at the least, then all that is under way to its end. */
    public void run(long most) {
        while (events < most) {
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

    // ---- What happens ----

    private void step() {
        switch (random.nextInt(16)) {
            case 0, 1, 2, 3, 4 -> arrive();
            case 5, 6, 7, 8, 9 -> endAny();
            case 10, 11, 12 -> pass(random.nextInt(random.nextInt(200) == 0 ? 60_000 : 30));
            case 13 -> begin();
            case 14 -> leave();
            default -> rarely();
        }
    }

    private void rarely() {
        switch (random.nextInt(12)) {
            case 0 -> list(true, entries(random.nextDouble()));
            case 1 -> list(true, List.of());
            case 2, 3, 4 -> list(false, entries(0.2));
            case 5 -> tell(new DiscoveryFailed());
            case 6 -> list(true, entries(1));
            case 7 -> {
                LearnedState learned = balancer.exportState(nowMs, 0, SERVERS);
                balancer.importState(nowMs, learned, random.nextInt(1_000));
            }
            case 8 -> tell(new TimerFired(random.nextInt(1_000)));
            case 9 -> tell(new AttemptEnded("never", 0, "s0", Outcome.SUCCESS, 1, true, null));
            case 10 -> tell(new ZoneWeightsUpdated(steering()));
            default -> {}
        }
    }

    /** By tenant and zone; none now and then, or fewer than there are. */
    private double[][] steering() {
        double[][] factors = new double[random.nextInt(4)][];
        for (int tenant = 0; tenant < factors.length; tenant++) {
            factors[tenant] = random.doubles(random.nextInt(4), 0.05, 1).toArray();
        }
        return factors;
    }

    private void arrive() {
        String id = "r" + asked++;
        double budgetMs = random.nextInt(40) == 0 ? -random.nextInt(3) : 1 + random.nextInt(1_500);
        open.add(id);
        tell(new RequestArrived(
                id,
                random.nextInt(settings.classes().size()),
                random.nextInt(-1, 4),
                budgetMs,
                random.nextInt(6) == 0));
    }

    /** The client of one that is out leaves, or of one that may be held. */
    private void leave() {
        if (random.nextInt(4) != 0) {
            return;
        }
        if (!out.isEmpty() && random.nextBoolean()) {
            left(out.get(random.nextInt(out.size())).send.id());
        } else if (!open.isEmpty()) {
            left(open.stream().skip(random.nextInt(open.size())).findFirst().orElseThrow());
        }
    }

    private void left(String id) {
        if (open.remove(id)) {
            tell(new ClientDisconnected(id));
        }
    }

    private void begin() {
        if (!out.isEmpty() && random.nextInt(4) == 0) {
            Out any = out.get(random.nextInt(out.size()));
            if (!any.begun && !any.cancelled && open.remove(any.send.id())) {
                any.begun = true;
                tell(new ResponseStarted(any.send.id(), any.attempt));
            }
        }
    }

    private void endAny() {
        if (!out.isEmpty()) {
            Out any = out.remove(random.nextInt(out.size()));
            Outcome outcome = any.cancelled && random.nextBoolean()
                    ? Outcome.CANCELLED
                    : random.nextInt(3) > 0 ? Outcome.SUCCESS : DrawnSettings.any(random, Outcome.values());
            end(any, outcome);
        }
    }

    private void end(Out any, Outcome outcome) {
        String id = any.send.id();
        if (outcome == Outcome.SUCCESS) {
            open.remove(id);
        }
        double wholeMs = nowMs - any.atMs;
        double lagMs = random.nextInt(8) == 0 ? wholeMs * random.nextDouble() : 0;
        tell(new AttemptEnded(
                id, any.attempt, any.send.server(), outcome, wholeMs - lagMs, !open.contains(id), load(), lagMs));
    }

    private double[] load() {
        if (calm) {
            return settings.loadFields().stream().mapToDouble(field -> 0.2).toArray();
        }
        if (random.nextInt(3) == 0) {
            return null;
        }
        boolean garbage = random.nextInt(5) == 0;
        return random.doubles(random.nextInt(7))
                .map(each -> garbage ? GARBAGE[random.nextInt(GARBAGE.length)] : each * 20)
                .toArray();
    }

    private List<Endpoint> entries(double share) {
        List<Endpoint> entries = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            if (random.nextDouble() < share) {
                // Mostly ready; a new start now and then, and one that lies ahead by a clock that is wrong.
                EndpointState state =
                        random.nextInt(3) > 0 ? EndpointState.READY : DrawnSettings.any(random, EndpointState.values());
                double startedMs = random.nextInt(4) > 0 ? 0 : nowMs + random.nextInt(-5_000, 500);
                entries.add(new Endpoint("s" + i, i % 3, i % 2, state, startedMs, i % 2));
            }
        }
        return entries;
    }

    private void list(boolean whole, List<Endpoint> entries) {
        tell(new EndpointsUpdated(whole, random.nextBoolean(), entries));
    }

    // ---- Time ----

    /** Lets time pass, and with it what is due: timers each with a lateness of its own, and attempts' time-outs. */
    private void pass(double ms) {
        double untilMs = nowMs + ms;
        while (!timers.isEmpty() && timers.peek().dueMs() + lateMs * random.nextDouble() <= untilMs) {
            due(timers.poll());
        }
        nowMs = Math.max(nowMs, untilMs);
        for (Out each : List.copyOf(out)) {
            boolean due = !each.begun && each.atMs + each.send.timeoutMs() <= nowMs || each.cancelled;
            if (due && out.remove(each)) {
                end(
                        each,
                        each.cancelled
                                ? Outcome.CANCELLED
                                : random.nextBoolean() ? Outcome.TIMED_OUT : Outcome.UNREACHABLE);
            }
        }
    }

    private void due(ScheduleTimer timer) {
        if (takesBack && cleared.remove(timer.token())) {
            return;
        }
        // Hosts round to their own clock: now and then one comes a little early.
        nowMs = Math.max(nowMs, timer.dueMs() - (random.nextInt(10) == 0 ? 0.001 : 0));
        tell(new TimerFired(timer.token()));
    }

    /** Nothing new; all that is out ends, and all timers fall due. */
    private void settle() {
        while (!out.isEmpty() || timers.stream().anyMatch(timer -> !cleared.contains(timer.token()))) {
            pass(5_000);
            for (Out each : List.copyOf(out)) {
                out.remove(each);
                end(each, each.begun ? Outcome.SUCCESS : Outcome.BROKEN);
            }
            if (settings.watchRequired()) {
                timers.removeIf(timer -> out.isEmpty() && open.isEmpty());
            }
        }
    }

    // ---- What is asked for ----

    private void tell(Event event) {
        events++;
        List<Action> actions = new ArrayList<>();
        balancer.handle(nowMs, event, actions::add);
        actions.forEach(this::carryOut);
    }

    private void carryOut(Action action) {
        if (action instanceof SendAttempt send) {
            sent++;
            out.add(new Out(send, sends.merge(send.id(), 1, Integer::sum) - 1, nowMs));
        } else if (action instanceof CancelAttempt cancel) {
            out.stream()
                    .filter(each -> each.send.id().equals(cancel.id()) && each.attempt == cancel.attempt())
                    .forEach(each -> each.cancelled = true);
        } else if (action instanceof ScheduleTimer timer) {
            timers.add(timer);
        } else if (action instanceof CancelTimer timer) {
            cleared.add(timer.token());
        } else if (action instanceof RejectRequest refuse) {
            over(refuse.id());
        } else if (action instanceof FailRequest fail) {
            over(fail.id());
        }
    }

    private void over(String id) {
        if (!open.remove(id)) {
            throw new AssertionError("a second answer to " + id);
        }
    }

    /** Sessions that nobody has answered. */
    int unanswered() {
        return open.size();
    }

    /** After everything: whether one who asks now, of servers that are all sound, is sent to one. */
    boolean servesAgain() {
        calm = true;
        nowMs += 600_000;
        List<Endpoint> all = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            all.add(new Endpoint("s" + i, i % 3, i % 2, EndpointState.READY, 1, i % 2));
        }
        list(true, all);
        long before = sent;
        for (int i = 0; i < 100; i++) {
            arrive();
            while (!out.isEmpty()) {
                Out each = out.remove(0);
                nowMs += 5;
                end(each, Outcome.SUCCESS);
            }
            pass(20);
        }
        settle();
        return sent - before > 60;
    }
}
