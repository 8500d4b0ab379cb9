package peppergauge.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import peppergauge.decision.Balancer;
import peppergauge.decision.Balancer.Action;
import peppergauge.decision.Balancer.Event;
import peppergauge.decision.Balancer.Outcome;
import peppergauge.decision.Balancer.RequestClass;
import peppergauge.decision.Balancer.ServerEntry;
import peppergauge.decision.Balancer.ServerState;
import peppergauge.log.Log;
import peppergauge.overload.Arrival;
import peppergauge.overload.Extra;
import peppergauge.overload.Overload;
import peppergauge.overload.Verdict;
import peppergauge.session.Session.Attempt;

/**
 * Owns the decision module and all open sessions, on the one thread of a {@link Scheduler}. Socket code calls the
 * public methods, from any thread; each of them only hands a task in, and timers are tasks that fall due later.
 */
public final class Sessions implements Intake {

    /** Some seconds' worth of sessions; a copy of an id comes while its owner still waits, or hardly later. */
    private static final int IDS_KEPT = 2_048;

    private final Scheduler scheduler;
    private final Clock clock;
    private final Balancer balancer;
    private final Backend backend;
    private final Map<String, Session> open = new HashMap<>();
    /** Ids that were open lately, the oldest first: one that comes again is another client's, not a new session. */
    private final Set<String> ended = new LinkedHashSet<>();

    private final Map<String, Backend.Server> servers = new HashMap<>();
    private final Set<Attempt> out = new LinkedHashSet<>();
    /** The module's timers that are not due yet. */
    private final Map<Long, Scheduler.Wait> timers = new HashMap<>();

    private final double probeWaitMs;
    private final Overload<?, Newcomer> overload;
    private final List<RequestClass> classes;
    private boolean newcomersAwaited;
    /** Requests that were handed in and that the owner thread has not seen yet: none of them may be forgotten. */
    private final AtomicInteger arriving = new AtomicInteger();

    private final List<Runnable> whenIdle = new ArrayList<>();
    private volatile boolean closed;

    /** A session that has come in and has not met the module yet. */
    public record Newcomer(Opening opening, Frontend frontend) {}

    /**
     * @param overload asked before the module about each session, and told of each service
     * @param classes of the sessions, in the settings' order
     * @param probeWaitMs how long a probe is waited for, ms
     */
    public Sessions(
            Balancer balancer,
            Backend backend,
            Clock clock,
            Scheduler scheduler,
            Overload<?, Newcomer> overload,
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
    public void open(Opening opening, Frontend frontend) {
        arriving.incrementAndGet();
        post(() -> stepOrDeny(new Newcomer(opening, frontend), this::onArrival));
    }

    @Override
    public void left(String id, Frontend frontend) {
        post(() -> onLeft(id, frontend));
    }

    public void listed(ServerTable table) {
        post(() -> onTable(table));
    }

    /** The watch of the server table is lost; the last table stays in force. */
    public void tableLost() {
        post(() -> tell(new Balancer.DiscoveryFailed()));
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

    private Scheduler.Wait after(double ms, Runnable task) {
        return scheduler.after(ms, () -> unlessClosed(task));
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
    private void onArrival(Newcomer newcomer) {
        String id = newcomer.opening().id();
        arriving.decrementAndGet();
        if (open.containsKey(id) || ended.contains(id) || !overload.order().arrived(id, newcomer)) {
            guarded(newcomer.frontend()::duplicate);
            checkIdle();
        } else if (!newcomersAwaited) {
            newcomersAwaited = true;
            post(this::takeNewcomers);
        }
    }

    /** A bug before a session is open must not leave its client without an answer: nothing of it has run. */
    private void stepOrDeny(Newcomer newcomer, Consumer<Newcomer> step) {
        try {
            step.accept(newcomer);
        } catch (RuntimeException | StackOverflowError bug) {
            Log.bug("bug", bug);
            if (!open.containsKey(newcomer.opening().id())) {
                overload.order().withdraw(newcomer.opening().id());
                guarded(() -> newcomer.frontend().denied(0));
            }
        }
    }

    private void takeNewcomers() {
        newcomersAwaited = false;
        for (Newcomer next = overload.next(); next != null; next = overload.next()) {
            stepOrDeny(next, this::take);
        }
        checkIdle();
    }

    private void take(Newcomer newcomer) {
        Opening opening = newcomer.opening();
        assert !open.containsKey(opening.id()) : "one id for two open sessions: " + opening.id();
        double now = clock.nowMs();
        Verdict verdict = overload.judge(
                now,
                new Arrival(
                        opening.id(),
                        opening.requestClass(),
                        opening.clientRetry(),
                        false,
                        opening.deadlineMs() - now));
        if (verdict == Verdict.ADMIT) {
            onOpening(opening, newcomer.frontend());
        } else {
            remember(opening.id());
            double leftMs = classes.get(opening.requestClass()).deadlineMs() - (now - opening.arrivedMs());
            newcomer.frontend().denied(overload.retryAfterMs(now, leftMs));
        }
    }

    private void onOpening(Opening opening, Frontend frontend) {
        Session session = new Session(opening, frontend);
        open.put(opening.id(), session);
        double now = clock.nowMs();
        session.deadline = after(opening.deadlineMs() - now, () -> onDeadline(session));
        if (opening.message().flow() != null) {
            opening.message().flow().watch(passing(session));
        }
        if (!tell(new Balancer.RequestArrived(
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

    private void onLeft(String id, Frontend frontend) {
        Session session = open.get(id);
        if (session == null) {
            Newcomer waiting = overload.order().withdraw(id);
            if (waiting != null && waiting.frontend() != frontend) {
                // Who left had sent a copy of the id, which was answered at once: its owner goes on waiting.
                overload.order().arrived(id, waiting);
            }
        } else if (session.frontend == frontend && !session.answered) {
            end(session);
            tell(new Balancer.ClientLeft(id));
            forgetIfOver(session);
        }
    }

    /** Guards against a module that never answers: no session outlives its client's wait. */
    private void onDeadline(Session session) {
        if (!session.answered) {
            Log.line("deadline", "session " + session.id() + " had no answer from the module by its deadline");
            fail(session, true);
            tell(new Balancer.ClientLeft(session.id()));
            abandonAll(session);
            forgetIfOver(session);
        }
    }

    private void onTimer(long token) {
        timers.remove(token);
        tell(new Balancer.TimerDue(token));
    }

    private void onTable(ServerTable table) {
        List<ServerEntry> entries = new ArrayList<>();
        Set<String> leaving = new LinkedHashSet<>();
        Map<String, Backend.Server> before = new HashMap<>(servers);
        if (table.whole()) {
            leaving.addAll(servers.keySet());
            servers.clear();
        }
        for (ServerTable.Row row : table.rows()) {
            ServerEntry entry = row.entry();
            entries.add(entry);
            leaving.remove(entry.server());
            if (entry.state() == ServerState.GONE) {
                servers.remove(entry.server());
            } else {
                Backend.Server server = new Backend.Server(entry.server(), row.address());
                servers.put(entry.server(), server);
                backend.listed(server);
            }
            if (entry.state() != ServerState.READY) {
                leaving.add(entry.server());
            }
        }
        // A send that still waits for its connection must not reach a server that now leaves.
        for (Attempt attempt : List.copyOf(out)) {
            if (leaving.contains(attempt.server) && attempt.exchange.withdraw()) {
                ended(attempt, new Backend.Result(Outcome.NEVER_SENT));
            }
        }
        before.values().forEach(this::forgetIfGone);
        tell(new Balancer.ServersListed(table.whole(), true, entries));
    }

    /** Nothing kept for a server may serve another that comes under its id or at its address. */
    private void forgetIfGone(Backend.Server server) {
        if (!server.equals(servers.get(server.id()))) {
            backend.forget(server);
        }
    }

    private void ended(Attempt attempt, Backend.Result result) {
        if (attempt.ended || attempt.begun) {
            return;
        }
        if (result.answer() != null && result.answer().flow() != null) {
            begun(attempt, result);
            return;
        }
        over(attempt);
        Session session = attempt.session;
        double now = clock.nowMs();
        double wholeMs = now - attempt.sentMs;
        double tookMs = result.tookMs() < wholeMs ? result.tookMs() : wholeMs;
        if (result.outcome() == Outcome.SUCCESS) {
            overload.served(now, tookMs);
            if (!session.answered) {
                end(session);
                answer(session, () -> session.frontend.served(result.answer()));
            }
        }
        Flow asked = session.opening.message().flow();
        attempt.neverRan = result.outcome().neverRan();
        Outcome outcome = asked == null ? result.outcome() : outcome(attempt, asked, result);
        // How long a long body was under way is its sender's time, not this program's.
        tell(new Balancer.AttemptEnded(
                session.id(),
                attempt.number,
                attempt.server,
                outcome,
                tookMs,
                session.answered,
                result.load(),
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
    private Outcome outcome(Attempt attempt, Flow asked, Backend.Result result) {
        Session session = attempt.session;
        Outcome outcome = result.outcome();
        RequestClass kind = classes.get(session.opening.requestClass());
        if (outcome == Outcome.SUCCESS || session.answered) {
            return outcome;
        }
        if (!asked.fromStart()) {
            if (outcome.neverRan() && mayBeDenied(session, kind)) {
                end(session);
                answer(session, () -> session.frontend.denied(0));
            } else {
                fail(session, outcome == Outcome.TIMED_OUT);
            }
        } else if (outcome == Outcome.BROKEN && result.cutShort() && kind.effect() != Balancer.Effect.UNSAFE) {
            // It is kept whole, and the server that ended in the middle of it has only a part: it never ran there.
            attempt.neverRan = true;
            return Outcome.UNREACHABLE;
        }
        return outcome;
    }

    /** A denial says that it is safe to try again, wherever that goes: what an earlier attempt may have run counts. */
    private static boolean mayBeDenied(Session session, RequestClass kind) {
        return kind.effect() == Balancer.Effect.SAFE
                || kind.effect() == Balancer.Effect.KEYED && kind.group() == Balancer.Group.ALL
                || session.attempts.stream().allMatch(attempt -> attempt.neverRan);
    }

    /**
     * An answer begins whose body flows: the session is this attempt's from here on, it can only end or break, and
     * neither deadline nor time-out counts any more. The module hears of the attempt's end when the flow is over.
     */
    private void begun(Attempt attempt, Backend.Result result) {
        Session session = attempt.session;
        Flow flow = result.answer().flow();
        double now = clock.nowMs();
        double tookMs =
                Math.min(Double.isNaN(result.tookMs()) ? Double.MAX_VALUE : result.tookMs(), now - attempt.sentMs);
        attempt.begun = true;
        attempt.timeout.cancel();
        overload.served(now, tookMs);
        boolean wanted = !session.answered;
        if (wanted) {
            end(session);
            answer(session, () -> session.frontend.served(result.answer()));
            tell(new Balancer.AnswerStarted(session.id(), attempt.number));
        }
        flow.watch(new Flow.Watcher() {
            @Override
            public void over(Flow.End end) {
                post(() -> flowed(attempt, end, tookMs, result.load()));
            }
        });
        if (!wanted) {
            flow.drop();
        }
    }

    private void flowed(Attempt attempt, Flow.End end, double tookMs, double[] load) {
        if (!attempt.ended) {
            over(attempt);
            Outcome outcome = end == Flow.End.WHOLE
                    ? Outcome.SUCCESS
                    : end == Flow.End.BROKEN ? Outcome.BROKEN : Outcome.CANCELLED;
            tell(new Balancer.AttemptEnded(
                    attempt.session.id(), attempt.number, attempt.server, outcome, tookMs, true, load, 0));
            forgetIfOver(attempt.session);
        }
    }

    /**
     * A long body that is not kept is passed on as it comes: with its first byte the session is this attempt's, and
     * what bounds it is how fast the body moves. Once it is whole the server has the client's time to answer.
     */
    private Flow.Watcher passing(Session session) {
        return new Flow.Watcher() {
            @Override
            public void committed() {
                post(() -> onCommitted(session));
            }

            @Override
            public void over(Flow.End end) {
                post(() -> onPassed(session, end));
            }
        };
    }

    private void onCommitted(Session session) {
        if (!session.answered && !session.attempts.isEmpty()) {
            Attempt last = session.attempts.get(session.attempts.size() - 1);
            session.committed = true;
            session.deadline.cancel();
            if (!last.ended) {
                last.timeout.cancel();
                tell(new Balancer.AnswerStarted(session.id(), last.number));
            }
        }
    }

    private void onPassed(Session session, Flow.End end) {
        if (session.committed && !session.answered && end == Flow.End.WHOLE) {
            session.deadline = after(session.opening.remainingMs(), () -> onAnswerDue(session));
        }
    }

    private void onAnswerDue(Session session) {
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
            balancer.on(clock.nowMs(), event, actions::add);
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
        if (action instanceof Balancer.Send send) {
            send(send);
        } else if (action instanceof Balancer.SetTimer timer) {
            Scheduler.Wait other =
                    timers.put(timer.token(), after(timer.atMs() - clock.nowMs(), () -> onTimer(timer.token())));
            assert other == null : "one token for two timers: " + timer.token();
        } else if (action instanceof Balancer.ClearTimer timer) {
            Scheduler.Wait wait = timers.remove(timer.token());
            if (wait != null) {
                wait.cancel();
            }
        } else if (action instanceof Balancer.Refuse refuse) {
            deny(refuse);
        } else if (action instanceof Balancer.Fail failure) {
            Session session = open.get(failure.id());
            if (session != null && !session.answered) {
                fail(session, session.out > 0);
                forgetIfOver(session);
            }
        } else if (action instanceof Balancer.Cancel cancel) {
            cancel(cancel);
        } else if (action instanceof Balancer.Probe probe) {
            probe(probe.server());
        } else if (action instanceof Balancer.Log line) {
            Log.line("module", line.text());
        }
        // WatchServers needs nothing: the server table is watched from the start.
    }

    private void send(Balancer.Send send) {
        Session session = open.get(send.id());
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
        Flow asked = session.opening.message().flow();
        boolean lost = asked != null && !asked.fromStart();
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

    private Backend.Sender sender(Attempt attempt) {
        return new Backend.Sender() {
            @Override
            public void ended(Backend.Result result) {
                post(() -> Sessions.this.ended(attempt, result));
            }

            @Override
            public boolean waits() {
                return !attempt.session.answered && attempt.session.frontend.waits();
            }
        };
    }

    private static final Backend.Exchange NOTHING_OUT = new Backend.Exchange() {
        @Override
        public boolean withdraw() {
            return true;
        }

        @Override
        public boolean abandon() {
            return true;
        }
    };

    private void onTimeout(Attempt attempt) {
        if (!attempt.ended && !attempt.begun) {
            boolean neverWritten = attempt.exchange.abandon();
            ended(attempt, new Backend.Result(neverWritten ? Outcome.UNREACHABLE : Outcome.TIMED_OUT));
        }
    }

    private void cancel(Balancer.Cancel cancel) {
        Session session = open.get(cancel.id());
        if (session != null && cancel.attempt() < session.attempts.size()) {
            abandon(session.attempts.get(cancel.attempt()));
        }
    }

    private void abandonAll(Session session) {
        List.copyOf(session.attempts).forEach(this::abandon);
    }

    private void abandon(Attempt attempt) {
        if (!attempt.ended && !attempt.begun) {
            attempt.exchange.abandon();
            post(() -> ended(attempt, new Backend.Result(Outcome.CANCELLED)));
        }
    }

    private void deny(Balancer.Refuse refuse) {
        Session session = open.get(refuse.id());
        if (session != null && !session.answered) {
            end(session);
            answer(session, () -> session.frontend.denied(refuse.retryAfterMs()));
            forgetIfOver(session);
        }
    }

    private void probe(String id) {
        Backend.Server server = servers.get(id);
        double sentMs = clock.nowMs();
        if (server == null || !overload.runs(sentMs, Extra.SURVEY)) {
            post(() -> tell(new Balancer.ProbeEnded(id, Outcome.NEVER_SENT, 0, null)));
            return;
        }
        Probe probe = new Probe(id, sentMs);
        probe.exchange = backend.probe(server, sentMs + probeWaitMs, result -> post(() -> ended(probe, result)));
        probe.timeout = after(probeWaitMs, () -> {
            probe.exchange.abandon();
            ended(probe, new Backend.Result(Outcome.TIMED_OUT));
        });
    }

    /** A probe that is out. */
    private static final class Probe {

        private final String server;
        private final double sentMs;
        private Backend.Exchange exchange;
        private Scheduler.Wait timeout;

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
            tell(new Balancer.ProbeEnded(
                    probe.server,
                    result.outcome(),
                    result.tookMs() < wholeMs ? result.tookMs() : wholeMs,
                    result.load()));
        }
    }

    // ---- The one answer ----

    private void fail(Session session, boolean late) {
        end(session);
        answer(session, () -> session.frontend.failed(late));
    }

    private void end(Session session) {
        assert !session.answered : "a second answer to session " + session.id();
        session.answered = true;
        session.deadline.cancel();
        session.attempts.forEach(this::takeBack);
    }

    /** Nothing is begun for a request that is over: an attempt that still waits for its connection never starts. */
    private void takeBack(Attempt attempt) {
        if (!attempt.ended && !attempt.begun && attempt.exchange.withdraw()) {
            attempt.timeout.cancel();
            post(() -> ended(attempt, new Backend.Result(Outcome.CANCELLED)));
        }
    }

    private static void answer(Session session, Runnable answer) {
        try {
            answer.run();
        } catch (RuntimeException bug) {
            Log.bug("answer", bug);
        }
    }

    private void forgetIfOver(Session session) {
        if (session.answered && session.out == 0 && open.remove(session.id(), session)) {
            if (session.opening.message().flow() != null) {
                session.opening.message().flow().drop();
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
                || overload.order().size() > 0) {
            return;
        }
        List<Runnable> tasks = List.copyOf(whenIdle);
        whenIdle.clear();
        tasks.forEach(Sessions::guarded);
    }
}
