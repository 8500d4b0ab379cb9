package peppergauge.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Action;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.Event;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.log.Log;
import peppergauge.overload.AdmissionDecision;
import peppergauge.overload.AdmissionRequest;
import peppergauge.overload.BackgroundTask;
import peppergauge.overload.OverloadController;
import peppergauge.request.OpenRequest.Attempt;

/**
 * Owns the decision module and all open sessions, on the one thread of a {@link Scheduler}. Socket code calls the
 * public methods, from any thread; each of them only hands a task in, and timers are tasks that fall due later.
 */
public final class RequestDispatcher implements RequestHandler {

    /** Some seconds' worth of sessions; a copy of an id comes while its owner still waits, or hardly later. */
    private static final int IDS_KEPT = 2_048;

    private final Scheduler scheduler;
    private final Clock clock;
    private final LoadBalancer balancer;
    private final Backend backend;
    private final Map<String, OpenRequest> open = new HashMap<>();
    /** Ids that were open lately, the oldest first: one that comes again is another client's, not a new session. */
    private final Set<String> ended = new LinkedHashSet<>();

    private final Map<String, Backend.Server> servers = new HashMap<>();
    private final Set<Attempt> out = new LinkedHashSet<>();
    /** The module's timers that are not due yet. */
    private final Map<Long, Scheduler.ScheduledTask> timers = new HashMap<>();

    private final double probeWaitMs;
    private final OverloadController<?, PendingRequest> overload;
    private final List<RequestClass> classes;
    private boolean newcomersAwaited;
    /** Requests that were handed in and that the owner thread has not seen yet: none of them may be forgotten. */
    private final AtomicInteger arriving = new AtomicInteger();

    private final List<Runnable> whenIdle = new ArrayList<>();
    private volatile boolean closed;

    /** A session that has come in and has not met the module yet. */
    public record PendingRequest(IncomingRequest request, ResponseListener listener) {}

    /**
     * @param overload asked before the module about each session, and told of each service
     * @param classes of the sessions, in the settings' order
     * @param probeWaitMs how long a probe is waited for, ms
     */
    public RequestDispatcher(
            LoadBalancer balancer,
            Backend backend,
            Clock clock,
            Scheduler scheduler,
            OverloadController<?, PendingRequest> overload,
            List<RequestClass> classes,
            double probeWaitMs) {
        this.overload = overload;
        this.classes = classes;
        this.balancer = balancer;
        this.backend = backend;
        this.clock = clock;
        this.probeWaitMs = probeWaitMs;
        this.scheduler = scheduler;
    }

    // ---- What any thread may call ----

    @Override
    public void handle(IncomingRequest opening, ResponseListener frontend) {
        arriving.incrementAndGet();
        post(() -> stepOrDeny(new PendingRequest(opening, frontend), this::onArrival));
    }

    @Override
    public void cancel(String id, ResponseListener frontend) {
        post(() -> onLeft(id, frontend));
    }

    public void onEndpointUpdate(EndpointUpdate table) {
        post(() -> onTable(table));
    }

    /** The watch of the server table is lost; the last table stays in force. */
    public void onWatchLost() {
        post(() -> tell(new LoadBalancer.DiscoveryFailed()));
    }

    /** Runs a task on the owner thread once no request is open or on its way in; of each caller, one time. */
    public void whenIdle(Runnable task) {
        post(() -> {
            whenIdle.add(task);
            checkIdle();
        });
    }

    /** What comes from now on, ends of attempts and timers too, changes nothing any more. */
    public void close() {
        closed = true;
    }

    private void post(Runnable task) {
        scheduler.execute(() -> unlessClosed(task));
    }

    private Scheduler.ScheduledTask after(double ms, Runnable task) {
        return scheduler.schedule(ms, () -> unlessClosed(task));
    }

    private void unlessClosed(Runnable task) {
        if (!closed) {
            task.run();
        }
    }

    /** A bug in carrying out one action must not keep the others from being carried out. */
    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError bug) {
            Log.bug("bug", bug);
        }
    }

    // ---- Events ----

    /** New sessions wait until what is owed to the open ones is done; under a standing queue the newest go first. */
    private void onArrival(PendingRequest newcomer) {
        String id = newcomer.request().id();
        arriving.decrementAndGet();
        if (open.containsKey(id) || ended.contains(id) || !overload.queue().addNew(id, newcomer)) {
            guarded(newcomer.listener()::onDuplicateId);
            checkIdle();
        } else if (!newcomersAwaited) {
            newcomersAwaited = true;
            post(this::takeNewcomers);
        }
    }

    /** A bug before a session is open must not leave its client without an answer: nothing of it has run. */
    private void stepOrDeny(PendingRequest newcomer, Consumer<PendingRequest> step) {
        try {
            step.accept(newcomer);
        } catch (RuntimeException | StackOverflowError bug) {
            Log.bug("bug", bug);
            if (!open.containsKey(newcomer.request().id())) {
                overload.queue().remove(newcomer.request().id());
                guarded(() -> newcomer.listener().onRejected(0));
            }
        }
    }

    private void takeNewcomers() {
        newcomersAwaited = false;
        for (PendingRequest next = overload.poll(); next != null; next = overload.poll()) {
            stepOrDeny(next, this::take);
        }
        checkIdle();
    }

    private void take(PendingRequest newcomer) {
        IncomingRequest opening = newcomer.request();
        assert !open.containsKey(opening.id()) : "one id for two open sessions: " + opening.id();
        double now = clock.nowMs();
        AdmissionDecision verdict = overload.admit(
                now,
                new AdmissionRequest(
                        opening.id(),
                        opening.requestClass(),
                        opening.clientRetry(),
                        false,
                        opening.deadlineMs() - now));
        if (verdict == AdmissionDecision.ADMIT) {
            onOpening(opening, newcomer.listener());
        } else {
            remember(opening.id());
            double leftMs = classes.get(opening.requestClass()).deadlineMs() - (now - opening.arrivedMs());
            newcomer.listener().onRejected(overload.retryAfterMs(now, leftMs));
        }
    }

    private void onOpening(IncomingRequest opening, ResponseListener frontend) {
        OpenRequest session = new OpenRequest(opening, frontend);
        open.put(opening.id(), session);
        double now = clock.nowMs();
        session.deadline = after(opening.deadlineMs() - now, () -> onDeadline(session));
        if (opening.message().stream() != null) {
            opening.message().stream().addListener(passing(session));
        }
        if (!tell(new LoadBalancer.RequestArrived(
                        opening.id(),
                        opening.requestClass(),
                        opening.tenant(),
                        opening.deadlineMs() - now,
                        opening.clientRetry()))
                && session.out == 0
                && !session.answered) {
            fail(session, false);
            forgetIfOver(session);
        }
    }

    private void onLeft(String id, ResponseListener frontend) {
        OpenRequest session = open.get(id);
        if (session == null) {
            PendingRequest waiting = overload.queue().remove(id);
            if (waiting != null && waiting.listener() != frontend) {
                // Who left had sent a copy of the id, which was answered at once: its owner goes on waiting.
                overload.queue().addNew(id, waiting);
            }
        } else if (session.frontend == frontend && !session.answered) {
            end(session);
            tell(new LoadBalancer.ClientDisconnected(id));
            forgetIfOver(session);
        }
    }

    /** Guards against a module that never answers: no session outlives its client's wait. */
    private void onDeadline(OpenRequest session) {
        if (!session.answered) {
            Log.line("deadline", "session " + session.id() + " had no answer from the module by its deadline");
            fail(session, true);
            tell(new LoadBalancer.ClientDisconnected(session.id()));
            abandonAll(session);
            forgetIfOver(session);
        }
    }

    private void onTimer(long token) {
        timers.remove(token);
        tell(new LoadBalancer.TimerFired(token));
    }

    private void onTable(EndpointUpdate table) {
        List<Endpoint> entries = new ArrayList<>();
        Set<String> leaving = new LinkedHashSet<>();
        Map<String, Backend.Server> before = new HashMap<>(servers);
        if (table.complete()) {
            leaving.addAll(servers.keySet());
            servers.clear();
        }
        for (EndpointUpdate.EndpointAddress row : table.endpoints()) {
            Endpoint entry = row.endpoint();
            entries.add(entry);
            leaving.remove(entry.server());
            if (entry.state() == EndpointState.REMOVED) {
                servers.remove(entry.server());
            } else {
                Backend.Server server = new Backend.Server(entry.server(), row.address());
                servers.put(entry.server(), server);
                backend.onServerListed(server);
            }
            if (entry.state() != EndpointState.READY) {
                leaving.add(entry.server());
            }
        }
        // A send that still waits for its connection must not reach a server that now leaves.
        for (Attempt attempt : List.copyOf(out)) {
            if (leaving.contains(attempt.server) && attempt.exchange.cancelIfUnsent()) {
                ended(attempt, new Backend.Result(Outcome.NEVER_SENT));
            }
        }
        before.values().forEach(this::forgetIfGone);
        tell(new LoadBalancer.EndpointsUpdated(table.complete(), true, entries));
    }

    /** Nothing kept for a server may serve another that comes under its id or at its address. */
    private void forgetIfGone(Backend.Server server) {
        if (!server.equals(servers.get(server.id()))) {
            backend.onServerRemoved(server);
        }
    }

    private void ended(Attempt attempt, Backend.Result result) {
        if (attempt.ended || attempt.begun) {
            return;
        }
        if (result.response() != null && result.response().stream() != null) {
            begun(attempt, result);
            return;
        }
        over(attempt);
        OpenRequest session = attempt.session;
        double now = clock.nowMs();
        double wholeMs = now - attempt.sentMs;
        double tookMs = result.latencyMs() < wholeMs ? result.latencyMs() : wholeMs;
        if (result.outcome() == Outcome.SUCCESS) {
            overload.onResponse(now, tookMs);
            if (!session.answered) {
                end(session);
                answer(session, () -> session.frontend.onResponse(result.response()));
            }
        }
        BodyStream asked = session.opening.message().stream();
        attempt.neverRan = result.outcome().neverRan();
        Outcome outcome = asked == null ? result.outcome() : outcome(attempt, asked, result);
        // How long a long body was under way is its sender's time, not this program's.
        tell(new LoadBalancer.AttemptEnded(
                session.id(),
                attempt.number,
                attempt.server,
                outcome,
                tookMs,
                session.answered,
                result.loadReport(),
                asked == null ? wholeMs - tookMs : 0));
        forgetIfOver(session);
    }

    private void over(Attempt attempt) {
        attempt.ended = true;
        attempt.timeout.cancel();
        out.remove(attempt);
        attempt.session.out--;
        assert attempt.session.out >= 0 : "more ends than attempts of session " + attempt.session.id();
        if (attempt.to != null) {
            forgetIfGone(attempt.to);
        }
    }

    /**
     * What the module is told of an attempt at sending a long body. One that cannot be sent again ends its session
     * before the module hears of it: it would only try.
     */
    private Outcome outcome(Attempt attempt, BodyStream asked, Backend.Result result) {
        OpenRequest session = attempt.session;
        Outcome outcome = result.outcome();
        RequestClass kind = classes.get(session.opening.requestClass());
        if (outcome == Outcome.SUCCESS || session.answered) {
            return outcome;
        }
        if (!asked.isReadableFromStart()) {
            if (outcome.neverRan() && mayBeDenied(session, kind)) {
                end(session);
                answer(session, () -> session.frontend.onRejected(0));
            } else {
                fail(session, outcome == Outcome.TIMED_OUT);
            }
        } else if (outcome == Outcome.BROKEN
                && result.requestTruncated()
                && kind.idempotency() != LoadBalancer.Idempotency.NON_IDEMPOTENT) {
            // It is kept whole, and the server that ended in the middle of it has only a part: it never ran there.
            attempt.neverRan = true;
            return Outcome.UNREACHABLE;
        }
        return outcome;
    }

    /** A denial says that it is safe to try again, wherever that goes: what an earlier attempt may have run counts. */
    private static boolean mayBeDenied(OpenRequest session, RequestClass kind) {
        return kind.idempotency() == LoadBalancer.Idempotency.IDEMPOTENT
                || kind.idempotency() == LoadBalancer.Idempotency.IDEMPOTENCY_KEY
                        && kind.keyScope() == LoadBalancer.KeyScope.ALL
                || session.attempts.stream().allMatch(attempt -> attempt.neverRan);
    }

    /**
     * An answer begins whose body flows: the session is this attempt's from here on, it can only end or break, and
     * neither deadline nor time-out counts any more. The module hears of the attempt's end when the flow is over.
     */
    private void begun(Attempt attempt, Backend.Result result) {
        OpenRequest session = attempt.session;
        BodyStream flow = result.response().stream();
        double now = clock.nowMs();
        double tookMs = Math.min(
                Double.isNaN(result.latencyMs()) ? Double.MAX_VALUE : result.latencyMs(), now - attempt.sentMs);
        attempt.begun = true;
        attempt.timeout.cancel();
        overload.onResponse(now, tookMs);
        boolean wanted = !session.answered;
        if (wanted) {
            end(session);
            answer(session, () -> session.frontend.onResponse(result.response()));
            tell(new LoadBalancer.ResponseStarted(session.id(), attempt.number));
        }
        flow.addListener(new BodyStream.Listener() {
            @Override
            public void onEnd(BodyStream.End end) {
                post(() -> flowed(attempt, end, tookMs, result.loadReport()));
            }
        });
        if (!wanted) {
            flow.release();
        }
    }

    private void flowed(Attempt attempt, BodyStream.End end, double tookMs, double[] load) {
        if (!attempt.ended) {
            over(attempt);
            Outcome outcome = end == BodyStream.End.COMPLETE
                    ? Outcome.SUCCESS
                    : end == BodyStream.End.BROKEN ? Outcome.BROKEN : Outcome.CANCELLED;
            tell(new LoadBalancer.AttemptEnded(
                    attempt.session.id(), attempt.number, attempt.server, outcome, tookMs, true, load, 0));
            forgetIfOver(attempt.session);
        }
    }

    /**
     * A long body that is not kept is passed on as it comes: with its first byte the session is this attempt's, and
     * what bounds it is how fast the body moves. Once it is whole the server has the client's time to answer.
     */
    private BodyStream.Listener passing(OpenRequest session) {
        return new BodyStream.Listener() {
            @Override
            public void onCommitted() {
                post(() -> onBodyCommitted(session));
            }

            @Override
            public void onEnd(BodyStream.End end) {
                post(() -> onPassed(session, end));
            }
        };
    }

    private void onBodyCommitted(OpenRequest session) {
        if (!session.answered && !session.attempts.isEmpty()) {
            Attempt last = session.attempts.get(session.attempts.size() - 1);
            session.committed = true;
            session.deadline.cancel();
            if (!last.ended) {
                last.timeout.cancel();
                tell(new LoadBalancer.ResponseStarted(session.id(), last.number));
            }
        }
    }

    private void onPassed(OpenRequest session, BodyStream.End end) {
        if (session.committed && !session.answered && end == BodyStream.End.COMPLETE) {
            session.deadline = after(session.opening.timeoutMs(), () -> onAnswerDue(session));
        }
    }

    private void onAnswerDue(OpenRequest session) {
        if (!session.answered) {
            fail(session, true);
            List.copyOf(session.attempts).forEach(this::onTimeout);
            forgetIfOver(session);
        }
    }

    /** Gives the module an event and carries out what it answers; false if it threw. */
    private boolean tell(Event event) {
        List<Action> actions = new ArrayList<>();
        boolean sound = true;
        try {
            balancer.handle(clock.nowMs(), event, actions::add);
        } catch (RuntimeException | StackOverflowError bug) {
            Log.bug("module", bug);
            sound = false;
        }
        for (Action action : actions) {
            guarded(() -> carryOut(action));
        }
        return sound;
    }

    // ---- Actions ----

    private void carryOut(Action action) {
        if (action instanceof LoadBalancer.SendAttempt send) {
            send(send);
        } else if (action instanceof LoadBalancer.ScheduleTimer timer) {
            Scheduler.ScheduledTask other =
                    timers.put(timer.token(), after(timer.dueMs() - clock.nowMs(), () -> onTimer(timer.token())));
            assert other == null : "one token for two timers: " + timer.token();
        } else if (action instanceof LoadBalancer.CancelTimer timer) {
            Scheduler.ScheduledTask wait = timers.remove(timer.token());
            if (wait != null) {
                wait.cancel();
            }
        } else if (action instanceof LoadBalancer.RejectRequest refuse) {
            deny(refuse);
        } else if (action instanceof LoadBalancer.FailRequest failure) {
            OpenRequest session = open.get(failure.id());
            if (session != null && !session.answered) {
                fail(session, session.out > 0);
                forgetIfOver(session);
            }
        } else if (action instanceof LoadBalancer.CancelAttempt cancel) {
            cancel(cancel);
        } else if (action instanceof LoadBalancer.ProbeServer probe) {
            probe(probe.server());
        } else if (action instanceof LoadBalancer.LogMessage line) {
            Log.line("module", line.text());
        }
        // OpenWatch needs nothing: the server table is watched from the start.
    }

    private void send(LoadBalancer.SendAttempt send) {
        OpenRequest session = open.get(send.id());
        Backend.Server server = servers.get(send.server());
        if (session == null || session.answered) {
            return;
        }
        double now = clock.nowMs();
        assert !session.committed : "sent again while one server has its body: " + session.id();
        Attempt attempt = new Attempt(session, send.server(), server, now);
        attempt.exchange = NOTHING_OUT;
        session.attempts.add(attempt);
        session.out++;
        out.add(attempt);
        // No server is told more time than the client has, whatever the module names.
        double deadlineMs = session.opening.deadlineMs();
        double untilMs = send.timeoutMs() > 0 ? Math.min(now + send.timeoutMs(), deadlineMs) : deadlineMs;
        attempt.timeout = after(untilMs - now, () -> onTimeout(attempt));
        BodyStream asked = session.opening.message().stream();
        boolean lost = asked != null && !asked.isReadableFromStart();
        if (server == null || lost || untilMs <= now) {
            post(() -> ended(attempt, new Backend.Result(lost ? Outcome.CANCELLED : Outcome.NEVER_SENT)));
        } else {
            send(attempt, untilMs);
        }
    }

    private void send(Attempt attempt, double untilMs) {
        try {
            attempt.exchange = backend.send(attempt.to, attempt.session.opening.message(), untilMs, sender(attempt));
        } catch (RuntimeException bug) {
            Log.bug("attempt", bug);
            // Nothing proves that nothing was written.
            post(() -> ended(attempt, new Backend.Result(Outcome.BROKEN)));
        }
    }

    private Backend.AttemptListener sender(Attempt attempt) {
        return new Backend.AttemptListener() {
            @Override
            public void onEnded(Backend.Result result) {
                post(() -> RequestDispatcher.this.ended(attempt, result));
            }

            @Override
            public boolean isClientWaiting() {
                return !attempt.session.answered && attempt.session.frontend.isClientWaiting();
            }
        };
    }

    private static final Backend.Exchange NOTHING_OUT = new Backend.Exchange() {
        @Override
        public boolean cancelIfUnsent() {
            return true;
        }

        @Override
        public boolean abort() {
            return true;
        }
    };

    private void onTimeout(Attempt attempt) {
        if (!attempt.ended && !attempt.begun) {
            boolean neverWritten = attempt.exchange.abort();
            ended(attempt, new Backend.Result(neverWritten ? Outcome.UNREACHABLE : Outcome.TIMED_OUT));
        }
    }

    private void cancel(LoadBalancer.CancelAttempt cancel) {
        OpenRequest session = open.get(cancel.id());
        if (session != null && cancel.attempt() < session.attempts.size()) {
            abandon(session.attempts.get(cancel.attempt()));
        }
    }

    private void abandonAll(OpenRequest session) {
        List.copyOf(session.attempts).forEach(this::abandon);
    }

    private void abandon(Attempt attempt) {
        if (!attempt.ended && !attempt.begun) {
            attempt.exchange.abort();
            post(() -> ended(attempt, new Backend.Result(Outcome.CANCELLED)));
        }
    }

    private void deny(LoadBalancer.RejectRequest refuse) {
        OpenRequest session = open.get(refuse.id());
        if (session != null && !session.answered) {
            end(session);
            answer(session, () -> session.frontend.onRejected(refuse.retryAfterMs()));
            forgetIfOver(session);
        }
    }

    private void probe(String id) {
        Backend.Server server = servers.get(id);
        double sentMs = clock.nowMs();
        if (server == null || !overload.isAllowed(sentMs, BackgroundTask.HEALTH_CHECK)) {
            post(() -> tell(new LoadBalancer.ProbeEnded(id, Outcome.NEVER_SENT, 0, null)));
            return;
        }
        Probe probe = new Probe(id, sentMs);
        probe.exchange = backend.probe(server, sentMs + probeWaitMs, result -> post(() -> ended(probe, result)));
        probe.timeout = after(probeWaitMs, () -> {
            probe.exchange.abort();
            ended(probe, new Backend.Result(Outcome.TIMED_OUT));
        });
    }

    /** A probe that is out. */
    private static final class Probe {

        private final String server;
        private final double sentMs;
        private Backend.Exchange exchange;
        private Scheduler.ScheduledTask timeout;

        Probe(String server, double sentMs) {
            this.server = server;
            this.sentMs = sentMs;
        }
    }

    private void ended(Probe probe, Backend.Result result) {
        if (probe.timeout != null) {
            probe.timeout.cancel();
            probe.timeout = null;
            double wholeMs = clock.nowMs() - probe.sentMs;
            tell(new LoadBalancer.ProbeEnded(
                    probe.server,
                    result.outcome(),
                    result.latencyMs() < wholeMs ? result.latencyMs() : wholeMs,
                    result.loadReport()));
        }
    }

    // ---- The one answer ----

    private void fail(OpenRequest session, boolean late) {
        end(session);
        answer(session, () -> session.frontend.onFailed(late));
    }

    private void end(OpenRequest session) {
        assert !session.answered : "a second answer to session " + session.id();
        session.answered = true;
        session.deadline.cancel();
        session.attempts.forEach(this::takeBack);
    }

    /** Nothing is begun for a request that is over: an attempt that still waits for its connection never starts. */
    private void takeBack(Attempt attempt) {
        if (!attempt.ended && !attempt.begun && attempt.exchange.cancelIfUnsent()) {
            attempt.timeout.cancel();
            post(() -> ended(attempt, new Backend.Result(Outcome.CANCELLED)));
        }
    }

    private static void answer(OpenRequest session, Runnable answer) {
        try {
            answer.run();
        } catch (RuntimeException bug) {
            Log.bug("answer", bug);
        }
    }

    private void forgetIfOver(OpenRequest session) {
        if (session.answered && session.out == 0 && open.remove(session.id(), session)) {
            if (session.opening.message().stream() != null) {
                session.opening.message().stream().release();
            }
            remember(session.id());
            checkIdle();
        }
    }

    private void remember(String id) {
        assert !open.containsKey(id) : "over and open: " + id;
        ended.add(id);
        if (ended.size() > IDS_KEPT) {
            Iterator<String> oldest = ended.iterator();
            oldest.next();
            oldest.remove();
        }
        assert ended.size() <= IDS_KEPT : "ids are kept without bound: " + ended.size();
    }

    private void checkIdle() {
        assert !open.isEmpty() || out.isEmpty() : "attempts of sessions that are over: " + out.size();
        if (whenIdle.isEmpty()
                || arriving.get() > 0
                || !open.isEmpty()
                || overload.queue().size() > 0) {
            return;
        }
        List<Runnable> tasks = List.copyOf(whenIdle);
        whenIdle.clear();
        tasks.forEach(RequestDispatcher::guarded);
    }
}
