package peppergauge.request;

import static peppergauge.invariant.Loads.require;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import peppergauge.decision.AdaptiveLoadBalancer;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Action;
import peppergauge.decision.LoadBalancer.ClientDisconnected;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.FailRequest;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RejectRequest;
import peppergauge.decision.LoadBalancer.RequestArrived;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.decision.LoadBalancer.Rules;
import peppergauge.decision.LoadBalancer.SendAttempt;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.invariant.InvariantCheckingLoadBalancer;
import peppergauge.invariant.Loads;
import peppergauge.log.Log;
import peppergauge.overload.OverloadConfig;
import peppergauge.overload.OverloadController;

/** The real sessions over the real module, checked, between clients and servers that do anything, in virtual time. */
public final class SessionsLoad {

    private static final int STEPS = Loads.steps(1_500);
    private static final int SERVERS = 6;
    /** The index of the class that is unsafe to repeat. */
    private static final int UNSAFE = 2;
    /** Times are sums of others: so much may be lost between them, ms. */
    private static final double ROUNDING_MS = 1e-6;
    /** What a faulty module names as an attempt's time, ms. */
    private static final double[] SPOILT_TIMEOUTS_MS = {0, -1, Double.NaN, Double.POSITIVE_INFINITY, 10_000, 299};
    /** One in so many clients sends its next request the moment it has its answer. */
    private static final int ONE_IN_PIPELINES = 8;

    private final SplittableRandom random;
    private final HandLoop loop = new HandLoop(1_000);
    private final List<Client> clients = new ArrayList<>();
    private final Map<Message, Client> byMessage = new IdentityHashMap<>();
    /** Neither answered nor known to have left. */
    private final Set<Client> waiting = new LinkedHashSet<>();

    private final List<Sent> out = new ArrayList<>();
    private final List<Answer> flows = new ArrayList<>();
    private final OverloadController<Object, RequestDispatcher.PendingRequest> overload;
    private final RequestDispatcher sessions;
    private long version;
    /** The module has bugs. */
    private boolean bugs;
    /** The backend throws now and then. */
    private boolean throwing;

    private SessionsLoad(long seed) {
        random = new SplittableRandom(seed);
        List<RequestClass> classes = List.of(
                new RequestClass(100, 300, 3, 0.5, Idempotency.IDEMPOTENT, KeyScope.ALL, 0),
                new RequestClass(150, 300, 2, 0, Idempotency.IDEMPOTENCY_KEY, KeyScope.ZONE, 500),
                new RequestClass(300, 300, 9, 0, Idempotency.NON_IDEMPOTENT, KeyScope.ALL, 0));
        Settings settings = new Settings(
                0,
                3,
                0,
                1,
                random.nextBoolean(),
                0.1,
                classes,
                List.of(),
                new Limits(
                        1 + random.nextInt(4),
                        random.nextBoolean(),
                        random.nextBoolean(),
                        false,
                        true,
                        1_500,
                        random.nextBoolean(),
                        15_000),
                new Rules(0.12, 5_000, 2.5, 3_000, true, new LoadBalancer.RetryBudgetConfig(5, 0.2, 1_000)),
                List.of(LoadBalancer.LoadField.IN_FLIGHT));
        overload = new OverloadController<>(OverloadConfig.of(List.of(3.0, 2.0, 9.0), 0.1, true, 1_500, 20, seed));
        LoadBalancer module = InvariantCheckingLoadBalancer.wrap(new AdaptiveLoadBalancer(settings, seed), settings);
        sessions = new RequestDispatcher(
                (now, event, actions) -> {
                    module.handle(now, event, action -> accept(action, actions));
                    if (bugs && event instanceof ClientDisconnected left) {
                        actions.accept(new SendAttempt(left.id(), "s" + random.nextInt(SERVERS), 50));
                    }
                    if (bugs && random.nextInt(event instanceof RequestArrived ? 8 : 30) == 0) {
                        throw new IllegalStateException("a bug of the module's");
                    }
                },
                new Servers(),
                loop,
                loop,
                overload,
                classes,
                50);
    }

    /** @throws AssertionError if something does not hold */
    public static void run(long seed) {
        Log.Sink former = Log.to((kind, text, passedOver) -> {});
        try {
            new SessionsLoad(seed).whole();
        } finally {
            Log.to(former);
        }
    }

    /** A faulty module's actions: some answers are forgotten, and the time of an attempt is anything. */
    private void accept(Action action, Consumer<Action> actions) {
        if (bugs && action instanceof SendAttempt send && random.nextInt(3) == 0) {
            actions.accept(new SendAttempt(
                    send.id(), send.server(), SPOILT_TIMEOUTS_MS[random.nextInt(SPOILT_TIMEOUTS_MS.length)]));
        } else if (!bugs
                || !(action instanceof RejectRequest || action instanceof FailRequest)
                || random.nextInt(5) > 0) {
            actions.accept(action);
        }
    }

    private void whole() {
        bugs = random.nextInt(4) == 0;
        throwing = random.nextInt(4) == 0;
        table(true);
        for (int i = 0; i < STEPS; i++) {
            step();
        }
        if (random.nextInt(8) == 0) {
            crowd();
        }
        bugs = false;
        throwing = false;
        windDown();
        clients.forEach(client -> require(client.left || client.answers == 1, client.id + " has " + client.answers));
    }

    /** Requests go on coming around the moment at which the end is asked for, as they do round SIGTERM. */
    private void windDown() {
        openSome();
        int[] idle = {0};
        sessions.whenIdle(() -> onIdle(idle));
        sessions.whenIdle(() -> onIdle(idle));
        openSome();
        for (int i = 0; i < 100 && idle[0] < 2; i++) {
            pass(100);
            List.copyOf(out).forEach(each -> each.end(Outcome.SUCCESS));
            List.copyOf(flows).forEach(each -> each.end(BodyStream.End.COMPLETE));
        }
        require(idle[0] == 2, "sessions are held that are over, or a caller is not told: " + idle[0]);
    }

    private void onIdle(int[] idle) {
        idle[0]++;
        require(waiting.isEmpty(), "idle while answers are owed: " + waiting);
    }

    private void openSome() {
        for (int i = random.nextInt(4); i > 0; i--) {
            open();
        }
    }

    private void step() {
        switch (random.nextInt(13)) {
            case 0, 1, 2 -> open();
            case 3, 4, 5, 6 -> endAny();
            case 7, 8 -> pass(random.nextInt(random.nextInt(100) == 0 ? 3_000 : 25));
            case 9 ->
                flows.stream()
                        .skip(random.nextInt(1 + flows.size()))
                        .findFirst()
                        .ifPresent(flow -> flow.end(BodyStream.End.values()[random.nextInt(3)]));
            case 10 -> leave();
            case 11 ->
                out.stream().skip(random.nextInt(1 + out.size())).findFirst().ifPresent(Sent::begin);
            default -> rarely();
        }
        // Now and then several things happen within one round.
        if (random.nextInt(4) > 0) {
            rounds();
        }
    }

    /** More sessions in a row than ids are remembered of. */
    private void crowd() {
        for (int i = 0; i < 2_500; i++) {
            open();
            pass(random.nextInt(2));
            List.copyOf(out).forEach(each -> each.end(Outcome.SUCCESS));
        }
    }

    private void rarely() {
        switch (random.nextInt(6)) {
            case 0 -> table(true);
            case 1, 2 -> table(false);
            case 3 -> sessions.onWatchLost();
            case 4 -> copyLeaves();
            default -> {}
        }
    }

    private void table(boolean whole) {
        List<EndpointUpdate.EndpointAddress> rows = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            if (random.nextInt(3) > 0) {
                EndpointState state =
                        random.nextInt(3) > 0 ? EndpointState.READY : EndpointState.values()[random.nextInt(3)];
                rows.add(new EndpointUpdate.EndpointAddress(
                        new Endpoint("s" + i, i % 2, 0, state, 0), "host:" + (random.nextInt(5) == 0 ? 9 : i)));
            }
        }
        sessions.onEndpointUpdate(new EndpointUpdate(++version, whole, rows));
    }

    private void open() {
        boolean copy = !clients.isEmpty() && random.nextInt(15) == 0;
        open(copy ? clients.get(clients.size() - 1).id : "c" + clients.size());
    }

    private Client open(String id) {
        Message message = new Message("GET", id, List.of(), new byte[0]);
        IncomingRequest opening = new IncomingRequest(
                id, random.nextInt(3), -1, random.nextInt(-5, 300), random.nextInt(5) == 0, loop.nowMs(), message);
        Client client = new Client(id, opening.requestClass(), opening.deadlineMs());
        clients.add(client);
        byMessage.put(message, client);
        waiting.add(client);
        sessions.handle(opening, client);
        return client;
    }

    private void leave() {
        if (!clients.isEmpty()) {
            leave(clients.get(clients.size() - 1 - random.nextInt(Math.min(10, clients.size()))));
        }
    }

    /** What is under way to the owner thread by now is no fault; what follows its knowing would be. */
    private void leave(Client client) {
        if (client.answers == 0 && !client.leaving) {
            client.leaving = true;
            loop.execute(() -> {
                client.left = true;
                waiting.remove(client);
            });
            sessions.cancel(client.id, client);
        }
    }

    /** Another client's copy of an id comes and goes in the round in which its owner comes. */
    private void copyLeaves() {
        Client owner = open("c" + clients.size());
        leave(open(owner.id));
    }

    private void endAny() {
        if (!out.isEmpty()) {
            out.get(random.nextInt(out.size()))
                    .end(
                            random.nextInt(3) > 0
                                    ? Outcome.SUCCESS
                                    : Outcome.values()[random.nextInt(Outcome.values().length)]);
        }
    }

    // ---- Time ----

    private void pass(double ms) {
        double untilMs = loop.nowMs() + ms;
        for (Runnable due = loop.due(untilMs); due != null; due = loop.due(untilMs)) {
            loop.execute(due);
            if (random.nextInt(4) > 0) {
                rounds();
            }
        }
        rounds();
    }

    private void rounds() {
        overload.onSelectReturned(loop.nowMs());
        loop.runTasks();
        overload.onRoundEnded(loop.nowMs(), true);
        waiting.forEach(client ->
                require(client.deadlineMs >= loop.nowMs() - ROUNDING_MS, client.id + " has no answer by its deadline"));
        // Whether it ran is not known, so that it ends there: nothing else is to be waited for.
        waiting.forEach(client -> require(
                bugs || !client.threw || client.requestClass != UNSAFE,
                client.id + " waits for an attempt that cannot end"));
    }

    // ---- The ends ----

    private final class Client implements ResponseListener {

        private final String id;
        private final int requestClass;
        private final double deadlineMs;
        private int answers;
        /** The backend threw when it was to send it. */
        private boolean threw;
        /** It closed its connection. */
        private boolean leaving;
        /** The owner thread knows. */
        private boolean left;

        Client(String id, int requestClass, double deadlineMs) {
            this.id = id;
            this.requestClass = requestClass;
            this.deadlineMs = deadlineMs;
        }

        private boolean isOver() {
            return left || answers > 0;
        }

        @Override
        public String toString() {
            return id;
        }

        @Override
        public void onResponse(Message answer) {
            answered();
        }

        @Override
        public void onRejected(double retryAfterMs) {
            answered();
        }

        @Override
        public void onFailed(boolean late) {
            answered();
        }

        @Override
        public void onDuplicateId() {
            answered();
        }

        private void answered() {
            require(!left && ++answers == 1, "answer " + answers + " to " + id + (left ? ", who left" : ""));
            waiting.remove(this);
            if (!leaving && random.nextInt(ONE_IN_PIPELINES) == 0) {
                open("c" + clients.size());
            }
        }
    }

    private final class Servers implements Backend {

        @Override
        public Backend.Exchange send(Server server, Message message, double untilMs, AttemptListener sender) {
            Client client = byMessage.get(message);
            require(!client.isOver(), "an attempt for " + client + ", which is over");
            require(untilMs <= client.deadlineMs, "told until " + untilMs + ", after the deadline of " + client);
            require(untilMs > loop.nowMs(), "told no time at all: " + client);
            if (throwing && random.nextInt(30) == 0) {
                client.threw = true;
                if (random.nextBoolean()) {
                    leave(client);
                }
                throw new IllegalStateException("a bug of the backend's");
            }
            return out(new Sent(client, sender::onEnded));
        }

        private Sent out(Sent exchange) {
            out.add(exchange);
            if (random.nextInt(4) > 0) {
                exchange.begin();
            }
            return exchange;
        }

        @Override
        public Backend.Exchange probe(Server server, double untilMs, Consumer<Result> ended) {
            return out(new Sent(null, ended));
        }

        @Override
        public void onServerRemoved(Server server) {
            // Nothing is kept here.
        }
    }

    private final class Sent implements Backend.Exchange {

        /** Null for a probe. */
        private final Client client;

        private final Consumer<Backend.Result> ended;
        private boolean written;

        Sent(Client client, Consumer<Backend.Result> ended) {
            this.client = client;
            this.ended = ended;
        }

        /** Its connection is up: the first byte is written. */
        void begin() {
            require(written || client == null || !client.isOver(), "a first byte for " + client + ", which is over");
            written = true;
        }

        void end(Outcome outcome) {
            if (out.remove(this)) {
                if (outcome != Outcome.UNREACHABLE && outcome != Outcome.NEVER_SENT) {
                    begin();
                }
                Answer flow = outcome == Outcome.SUCCESS && random.nextInt(5) == 0 ? new Answer() : null;
                Message answer = new Message("", "", List.of(), new byte[0], flow);
                ended.accept(
                        outcome == Outcome.SUCCESS
                                ? new Backend.Result(
                                        outcome, answer, new double[] {random.nextInt(9)}, random.nextInt(30))
                                : new Backend.Result(outcome));
            }
        }

        @Override
        public boolean cancelIfUnsent() {
            return !written && out.remove(this);
        }

        @Override
        public boolean abort() {
            out.remove(this);
            return !written;
        }
    }

    private final class Answer implements BodyStream {

        private Listener watcher;

        Answer() {
            flows.add(this);
        }

        void end(End end) {
            if (watcher != null && flows.remove(this)) {
                watcher.onEnd(end);
            }
        }

        @Override
        public long length() {
            return -1;
        }

        @Override
        public boolean isReadableFromStart() {
            return true;
        }

        @Override
        public Reader openReader(Runnable more) {
            throw new IllegalStateException("nobody reads here");
        }

        @Override
        public void addListener(Listener told) {
            watcher = told;
        }

        @Override
        public void release() {}
    }
}
