package peppergauge.invariant;

import static peppergauge.invariant.InvariantBroken.unless;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import peppergauge.decision.LearnedState;
import peppergauge.decision.LoadBalancer;

/**
 * Stands round a module and holds each event and each action against what must always hold, by an account of its own:
 * it sees what a host sees, and asks the module nothing. The first breach is thrown as {@link InvariantBroken}, before
 * the action is handed on. Decides nothing and changes nothing. For one thread, as the module.
 */
public final class CheckedBalancer implements LoadBalancer {

    /** Times are sums of others: so much may be lost between them, ms. */
    private static final double ROUNDING_MS = 1e-6;

    private final LoadBalancer module;
    private final Settings settings;
    private final CheckedServers servers;
    private final CheckedTimers timers = new CheckedTimers();
    private final CheckedBudget budget;
    private final Map<String, CheckedSession> sessions = new HashMap<>();
    private final PriorityQueue<CheckedSession> byDeadline =
            new PriorityQueue<>(Comparator.comparingDouble((CheckedSession session) -> session.deadlineMs));
    /** Whose client left, until the deadline that it had. */
    private final Map<String, CheckedSession> left = new HashMap<>();
    /** Of the present event. */
    private final List<CheckedSession> touched = new ArrayList<>();

    private double nowMs = Double.NEGATIVE_INFINITY;
    private boolean listing;

    private CheckedBalancer(LoadBalancer module, Settings settings) {
        this.module = module;
        this.settings = settings;
        servers = new CheckedServers(settings.rules().removalForbidsSends());
        budget = new CheckedBudget(settings.rules().retryBudget());
    }

    /** The module, checked; {@code settings} are those that it was given. */
    public static LoadBalancer around(LoadBalancer module, Settings settings) {
        return new CheckedBalancer(module, settings);
    }

    @Override
    public void handle(double now, Event event, Consumer<Action> actions) {
        unless(Double.isFinite(now) && now >= nowMs, Invariant.CLOCK, now + " after " + nowMs);
        nowMs = now;
        listing = settings.watchRequired() && (event instanceof EndpointsUpdated || event instanceof DiscoveryFailed);
        told(event);
        module.handle(now, event, action -> {
            asked(action);
            actions.accept(action);
        });
        settle(event);
    }

    @Override
    public LearnedState exportState(double now, int from, int most) {
        LearnedState learned = module.exportState(now, from, most);
        unless(CheckedFigures.sound(learned), Invariant.FIGURES, learned);
        return learned;
    }

    @Override
    public void importState(double now, LearnedState learned, double ageMs) {
        module.importState(now, learned, ageMs);
    }

    /** Sessions that are kept; 0 when nothing is open. */
    int open() {
        return sessions.size();
    }

    // ---- What the module is told ----

    private void told(Event event) {
        if (event instanceof RequestArrived arrived) {
            arrived(arrived);
        } else if (event instanceof AttemptEnded ended) {
            ended(ended);
        } else if (event instanceof TimerFired due) {
            timers.over(due.token());
        } else if (event instanceof EndpointsUpdated listed) {
            servers.on(listed);
        } else if (event instanceof ClientDisconnected gone && sessions.containsKey(gone.id())) {
            CheckedSession session = sessions.get(gone.id());
            session.over = true;
            left.put(gone.id(), session);
            touched.add(session);
        } else if (event instanceof ResponseStarted started && sessions.containsKey(started.id())) {
            CheckedSession session = sessions.get(started.id());
            session.begun |= session.out(started.attempt()) != null;
        }
    }

    private void arrived(RequestArrived arrived) {
        unless(Double.isFinite(arrived.timeoutMs()), Invariant.HOST, arrived);
        CheckedSession session = new CheckedSession(
                arrived.id(), settings.classes().get(arrived.requestClass()), nowMs + arrived.timeoutMs());
        unless(sessions.put(arrived.id(), session) == null, Invariant.HOST, arrived);
        left.remove(arrived.id());
        byDeadline.add(session);
        budget.taken(nowMs);
    }

    private void ended(AttemptEnded ended) {
        unless(
                ended.latencyMs() >= 0 && ended.latencyMs() < Double.POSITIVE_INFINITY && ended.localDelayMs() >= 0,
                Invariant.HOST,
                ended);
        CheckedSession session = sessions.get(ended.id());
        CheckedSession.Sent attempt = session == null ? null : session.out(ended.attempt());
        if (attempt == null) {
            return;
        }
        unless(attempt.server.equals(ended.server()), Invariant.HOST, ended);
        unless(!session.begun || session.over || ended.requestCompleted(), Invariant.HOST, ended);
        attempt.ended = ended.outcome();
        session.over |= ended.requestCompleted();
        touched.add(session);
        if (ended.outcome() == Outcome.NEVER_SENT && ended.attempt() > 0) {
            budget.neverSent(attempt.atMs);
        }
    }

    // ---- What it asks for ----

    private void asked(Action action) {
        if (action instanceof SendAttempt send) {
            send(send);
        } else if (action instanceof RejectRequest refuse) {
            refuse(refuse);
        } else if (action instanceof FailRequest fail) {
            answered(fail.id(), fail);
        } else if (action instanceof CancelAttempt cancel) {
            CheckedSession session = sessions.get(cancel.id());
            unless(
                    settings.limits().cancellation() && session != null && session.out(cancel.attempt()) != null,
                    Invariant.ALLOWED,
                    cancel);
        } else if (action instanceof ProbeServer probe) {
            unless(settings.limits().healthChecks() && servers.open(probe.server()) != null, Invariant.ALLOWED, probe);
        } else if (action instanceof OpenWatch) {
            unless(settings.watchRequired(), Invariant.ALLOWED, action);
        } else if (action instanceof ScheduleTimer timer) {
            unless(Double.isFinite(timer.dueMs()) && timer.dueMs() >= nowMs, Invariant.TIMER, timer + " at " + nowMs);
            unless(timers.set(timer, listing), Invariant.TIMER, timer);
        } else if (action instanceof CancelTimer timer) {
            unless(timers.over(timer.token()), Invariant.TIMER, timer);
        }
    }

    private void send(SendAttempt send) {
        CheckedSession session = sessions.get(send.id());
        unless(!left.containsKey(send.id()), Invariant.CLIENT_LEFT, send);
        unless(session != null && !session.over && !session.begun, Invariant.OPEN_SESSION, send);
        unless(session.sent.size() < settings.limits().maxAttempts(), Invariant.MOST_ATTEMPTS, send);
        unless(settings.limits().parallelAttempts() || !session.anyOut(), Invariant.ONE_OUT, send);
        CheckedServers.Place place = servers.open(send.server());
        unless(place != null, Invariant.SERVER, send);
        unless(!session.mayRunTwice(place, nowMs), Invariant.RAN_TWICE, send);
        unless(
                send.timeoutMs() > 0 && nowMs + send.timeoutMs() <= session.deadlineMs + ROUNDING_MS,
                Invariant.TIME_OUT,
                send);
        unless(session.sent.isEmpty() || budget.further(nowMs), Invariant.BUDGET, send);
        session.sent.add(new CheckedSession.Sent(send.server(), place.zone(), place.cell(), nowMs));
    }

    private void refuse(RejectRequest refuse) {
        CheckedSession session = answered(refuse.id(), refuse);
        unless(session.mayBeRefused(), Invariant.REFUSED_WHAT_RAN, refuse);
        double most = settings.limits().retryAfter() ? settings.limits().maxRetryAfterMs() : 0;
        unless(refuse.retryAfterMs() >= 0 && refuse.retryAfterMs() <= most, Invariant.RETRY_AFTER, refuse);
    }

    private CheckedSession answered(String id, Action answer) {
        CheckedSession session = sessions.get(id);
        unless(session != null && !session.over && !session.begun, Invariant.ONE_ANSWER, answer);
        session.over = true;
        touched.add(session);
        return session;
    }

    // ---- What stands after each event ----

    private void settle(Event event) {
        for (CheckedSession session : touched) {
            forgetIfOver(session);
        }
        touched.clear();
        boolean delivered = !timers.anyDue(nowMs);
        while (!byDeadline.isEmpty()
                && byDeadline.peek().deadlineMs < nowMs
                && (delivered || byDeadline.peek().over || byDeadline.peek().begun)) {
            CheckedSession due = byDeadline.poll();
            left.remove(due.id, due);
            unless(due.over || due.begun, Invariant.DEADLINE, "session " + due.id + " is open after it");
        }
        unless(!sessions.isEmpty() || !timers.anyOfSessions(), Invariant.NOTHING_LEFT, event);
    }

    private void forgetIfOver(CheckedSession session) {
        if (session.over && !session.anyOut()) {
            sessions.remove(session.id, session);
        }
    }
}
