package peppergauge.plugin;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.log.Log;
import peppergauge.plugin.abi.AnswerView;
import peppergauge.plugin.rules.Chain;
import peppergauge.plugin.rules.Verdict;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;
import peppergauge.request.RequestHandler;
import peppergauge.request.ResponseListener;
import peppergauge.request.Scheduler;
import peppergauge.settings.SettingsNames;

/**
 * Asks the plug-ins about each session before the sessions get it. Everything here runs on the loop's thread, which
 * hands calls over and never waits: the outcome, the end of the budget, the deadline and the client's leaving all come
 * as events, and the first of them decides.
 *
 * <p>An exception here, outside any plug-in, ends its session with an answer: nothing else waits for it, the sessions'
 * own deadlines least of all, which begin when they get it.
 */
final class PluginIntake implements RequestHandler {

    private final RequestHandler next;
    private final Scheduler scheduler;
    private final BooleanSupplier here;
    private final DoubleSupplier nowMs;
    private final SettingsNames names;
    private final Limits limits;
    private final Attempts attempts;
    private final Ids ids = new Ids();
    private final Map<ResponseListener, Thinking> thinking = new IdentityHashMap<>();
    private final Map<ResponseListener, Watched> watched = new IdentityHashMap<>();
    private volatile Plan plan = Plan.EMPTY;
    private boolean ending;
    private Runnable whenIdle;

    /** What it stands in: where sessions go, the loop, whether the caller is on it, the clock, ms. */
    record Place(RequestHandler next, Scheduler scheduler, BooleanSupplier here, DoubleSupplier nowMs) {}

    PluginIntake(Place place, SettingsNames names, Limits limits, Attempts attempts) {
        next = place.next();
        scheduler = place.scheduler();
        here = place.here();
        nowMs = place.nowMs();
        this.names = names;
        this.limits = limits;
        this.attempts = attempts;
    }

    /** A session that a plug-in is asked about. */
    private static final class Thinking {

        private final IncomingRequest opening;
        private final ResponseListener frontend;
        private final Plan plan;
        private Plan.Line line;
        private Chain.Where where;
        private SessionCall call;
        private Scheduler.ScheduledTask wait;
        /** It has its answer, or is the sessions'. */
        private boolean settled;

        private Thinking(IncomingRequest opening, ResponseListener frontend, Plan plan) {
            this.opening = opening;
            this.frontend = frontend;
            this.plan = plan;
        }
    }

    // ---- What any thread may call ----

    @Override
    public void handle(IncomingRequest opening, ResponseListener frontend) {
        onLoop(() -> opened(opening, frontend));
    }

    @Override
    public void cancel(String id, ResponseListener frontend) {
        onLoop(() -> hasLeft(id, frontend));
    }

    /** The plan to begin with; before the loop runs. */
    void begin(Plan first) {
        plan = first;
    }

    /** Sessions go by this plan from now on; the threads of the one before end with its last session. */
    void install(Plan fresh) {
        scheduler.execute(() -> {
            Plan before = plan;
            plan = fresh;
            before.retire();
        });
    }

    /** No plug-in is asked any more, as if each failed; the task runs once none thinks about a session. */
    void end(Runnable task) {
        scheduler.execute(() -> {
            ending = true;
            whenIdle = task;
            checkIdle();
        });
    }

    /** The one that sessions go by. */
    Plan plan() {
        return plan;
    }

    private void onLoop(Runnable task) {
        if (here.getAsBoolean()) {
            task.run();
        } else {
            scheduler.execute(task);
        }
    }

    // ---- One session ----

    private void opened(IncomingRequest opening, ResponseListener frontend) {
        if (plan.isEmpty()) {
            next.handle(opening, frontend);
        } else if (!ids.add(opening.id())) {
            frontend.onDuplicateId();
        } else {
            Thinking session = new Thinking(opening, frontend, plan);
            session.plan.began();
            thinking.put(frontend, session);
            stepOrDeny(session, () -> {
                session.line = plan.line(opening.requestClass());
                go(session, session.line.chain().begin(opening.message().fields()));
            });
        }
    }

    /** Takes a session a step further; where that fails, nothing of it has run yet, and it is denied. */
    private void stepOrDeny(Thinking session, Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | StackOverflowError bug) {
            Log.bug("plug-ins", bug);
            giveUp(session);
        }
    }

    private void giveUp(Thinking session) {
        stopAsking(session);
        if (thinking.get(session.frontend) == session) {
            end(session);
        }
        if (!session.settled) {
            session.settled = true;
            session.frontend.onRejected(0);
        }
        checkIdle();
    }

    private void stopAsking(Thinking session) {
        if (session.call != null) {
            session.call.withdraw();
            session.call = null;
        }
        if (session.wait != null) {
            session.wait.cancel();
        }
    }

    private void go(Thinking session, Chain.Step first) {
        Chain.Step step = first;
        while (step.next() == Chain.Next.ASK) {
            session.where = step.where();
            Optional<String> refused = ask(session);
            if (refused.isEmpty()) {
                return;
            }
            step = session.line.chain().failed(session.where, refused.get());
        }
        session.where = step.where();
        end(session);
        if (step.next() == Chain.Next.DENY) {
            deny(session, step.denial().orElseThrow());
        } else {
            handOver(session);
        }
        checkIdle();
    }

    /** Hands the session to the plug-in that is next; if that cannot be, why. */
    private Optional<String> ask(Thinking session) {
        Installed plugin = session.line.plugins().get(session.where.index());
        if (ending) {
            return Optional.of("the sidecar ends");
        }
        IncomingRequest opening = session.opening;
        SessionCall call = new SessionCall(
                plugin,
                opening,
                session.where.fields(),
                new SessionCall.Names(names.classes().get(opening.requestClass()), tenant(opening), nowMs),
                (of, verdict, why, tookMs) ->
                        scheduler.execute(() -> stepOrDeny(session, () -> heard(session, of, verdict, why, tookMs))));
        double now = nowMs.getAsDouble();
        Optional<String> refused = plugin.offer(now, call);
        if (refused.isEmpty()) {
            boolean deadlineFirst = opening.deadlineMs() - now <= plugin.budget.callMs();
            session.call = call;
            session.wait = scheduler.schedule(
                    plugin.budget.waitMs(now, opening.deadlineMs()),
                    () -> stepOrDeny(session, () -> due(session, call, deadlineFirst)));
        }
        return refused;
    }

    private String tenant(IncomingRequest opening) {
        return opening.tenant() < names.tenants().size() ? names.tenants().get(opening.tenant()) : "";
    }

    /** A call has come back, perhaps long after its session went on without it. */
    private void heard(Thinking session, SessionCall call, Verdict verdict, String why, double tookMs) {
        double now = nowMs.getAsDouble();
        Installed plugin = call.plugin;
        plugin.spent(tookMs);
        boolean awaited = session.call == call;
        if (awaited) {
            session.call = null;
            session.wait.cancel();
        }
        if (verdict == null) {
            if (!call.counted) {
                plugin.failed(now, why);
            }
            if (awaited) {
                go(session, session.line.chain().failed(session.where, why));
            }
            return;
        }
        if (!awaited) {
            return;
        }
        Chain.Step step = session.line.chain().heard(session.where, verdict);
        step.fault().ifPresentOrElse(fault -> plugin.failed(now, fault), () -> plugin.succeeded(now));
        if (verdict instanceof Verdict.Deny) {
            plugin.tally.denied++;
        }
        go(session, step);
    }

    /** The budget is used up, or the deadline has come, and no verdict has. */
    private void due(Thinking session, SessionCall call, boolean deadlineFirst) {
        if (session.call != call) {
            return;
        }
        session.call = null;
        call.withdraw();
        if (deadlineFirst) {
            end(session);
            session.settled = true;
            session.frontend.onFailed(true);
            checkIdle();
        } else {
            call.counted = true;
            String why = "no verdict within " + call.plugin.budget.callMs() + " ms";
            call.plugin.failed(nowMs.getAsDouble(), why);
            go(session, session.line.chain().failed(session.where, why));
        }
    }

    private void hasLeft(String id, ResponseListener frontend) {
        Thinking session = thinking.get(frontend);
        if (session == null) {
            Watched instead = watched.remove(frontend);
            if (instead != null) {
                attempts.take(id);
            }
            next.cancel(id, instead == null ? frontend : instead);
            return;
        }
        session.settled = true;
        stopAsking(session);
        end(session);
        checkIdle();
    }

    private void end(Thinking session) {
        thinking.remove(session.frontend);
        session.plan.ended();
    }

    private void checkIdle() {
        if (whenIdle != null && thinking.isEmpty()) {
            Runnable task = whenIdle;
            whenIdle = null;
            task.run();
        }
    }

    // ---- What becomes of it ----

    private void deny(Thinking session, Verdict.Deny denial) {
        Log.line(
                "plug-in denied",
                session.where.index() + 1 + " of " + session.line.plugins().size() + ", "
                        + session.line.plugins().get(session.where.index()).spec.name() + ": " + denial.reason());
        // What the settings say of such advice binds plug-ins, too.
        session.settled = true;
        session.frontend.onRejected(
                limits.retryAfter() ? Math.min(denial.retryAfterMs(), limits.maxRetryAfterMs()) : 0);
        tellAnswer(session.opening, session.plan, 503, Attempts.Tried.NEVER);
    }

    private void handOver(Thinking session) {
        IncomingRequest asked = session.opening;
        List<Message.Field> fields = session.where.fields();
        Message before = asked.message();
        IncomingRequest opening = fields.equals(before.fields())
                ? asked
                : new IncomingRequest(
                        asked.id(),
                        asked.requestClass(),
                        asked.tenant(),
                        asked.timeoutMs(),
                        asked.clientRetry(),
                        asked.arrivedMs(),
                        before.with(fields));
        ResponseListener frontend = session.frontend;
        if (!session.plan.countsAnswers) {
            handOver(session, opening, frontend);
            return;
        }
        attempts.follow(asked.id());
        Watched counted = new Watched(frontend, status -> {
            watched.remove(frontend);
            // The module hears of the attempt's end after the client: zone and number are known in the next task.
            scheduler.execute(() -> tellAnswer(asked, session.plan, status, attempts.take(asked.id())));
        });
        watched.put(frontend, counted);
        handOver(session, opening, counted);
    }

    /** From here on it is the sessions'; if they fail to take it, it is not known how far they came. */
    private void handOver(Thinking session, IncomingRequest opening, ResponseListener answered) {
        session.settled = true;
        try {
            next.handle(opening, answered);
        } catch (RuntimeException | StackOverflowError bug) {
            Log.bug("plug-ins", bug);
            answered.onFailed(false);
        }
    }

    private void tellAnswer(IncomingRequest opening, Plan of, int status, Attempts.Tried tried) {
        double now = nowMs.getAsDouble();
        if (of.countsAnswers) {
            AnswerView answer = new AnswerView(
                    status,
                    now - opening.arrivedMs(),
                    tried.attempts(),
                    names.classes().get(opening.requestClass()),
                    tenant(opening),
                    tried.zone());
            of.all().forEach(plugin -> plugin.tell(now, answer, new AnswerCall(answer, outcome(plugin))));
        }
    }

    /** A second has passed. */
    void tick() {
        plan.all().stream()
                .filter(plugin -> plugin.ticks && !plugin.isOff(nowMs.getAsDouble()))
                .forEach(plugin -> plugin.crew.offer(new AnswerCall(null, outcome(plugin))));
    }

    private java.util.function.BiConsumer<String, Double> outcome(Installed plugin) {
        return (why, tookMs) -> scheduler.execute(() -> {
            plugin.spent(tookMs);
            if (why != null) {
                plugin.failed(nowMs.getAsDouble(), why);
            }
        });
    }
}
