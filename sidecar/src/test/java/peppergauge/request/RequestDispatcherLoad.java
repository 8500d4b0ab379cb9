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

/**
 * Checks the dispatcher and the real load balancer, with checked invariants, against random clients and servers, in
 * virtual time.
 */
public final class RequestDispatcherLoad {

    private static final int STEPS = Loads.steps(1_500);
    private static final int SERVERS = 6;
    /** The index of the request class that is not idempotent. */
    private static final int NON_IDEMPOTENT_CLASS = 2;
    /** Tolerance for rounding errors of sums of times, ms. */
    private static final double ROUNDING_MS = 1e-6;
    /** Attempt timeouts that a faulty load balancer sends, ms. */
    private static final double[] INVALID_TIMEOUTS_MS = {0, -1, Double.NaN, Double.POSITIVE_INFINITY, 10_000, 299};
    /** One of this many clients sends its next request when it receives a response. */
    private static final int PIPELINING_RATIO = 8;
    /** More requests than ids are remembered. */
    private static final int MORE_THAN_RECENT_IDS = 2_500;

    private final SplittableRandom random;
    private final ManualEventLoop loop = new ManualEventLoop(1_000);
    private final List<Client> clients = new ArrayList<>();
    private final Map<Message, Client> clientByMessage = new IdentityHashMap<>();
    /** Clients without a response that are not known to have disconnected. */
    private final Set<Client> waiting = new LinkedHashSet<>();

    private final List<SentExchange> inFlight = new ArrayList<>();
    private final List<ResponseBody> responseBodies = new ArrayList<>();
    private final OverloadController<Object, PendingRequest> overload;
    private final RequestDispatcher dispatcher;
    private long version;
    /** Whether the load balancer throws and sends invalid actions at random. */
    private boolean hasFaultyLoadBalancer;
    /** Whether the backend throws at random. */
    private boolean doesBackendThrow;

    private RequestDispatcherLoad(long seed) {
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
        LoadBalancer loadBalancer =
                InvariantCheckingLoadBalancer.wrap(new AdaptiveLoadBalancer(settings, seed), settings);
        dispatcher = new RequestDispatcher(
                (now, event, actions) -> {
                    loadBalancer.handle(now, event, action -> accept(action, actions));
                    if (hasFaultyLoadBalancer && event instanceof ClientDisconnected disconnected) {
                        actions.accept(new SendAttempt(disconnected.id(), "s" + random.nextInt(SERVERS), 50));
                    }
                    if (hasFaultyLoadBalancer && random.nextInt(event instanceof RequestArrived ? 8 : 30) == 0) {
                        throw new IllegalStateException("planted exception of the load balancer");
                    }
                },
                new Servers(),
                loop,
                loop,
                overload,
                classes,
                50);
    }

    /** @throws AssertionError if a property is violated */
    public static void run(long seed) {
        Log.Sink previous = Log.setSink((event, text, dropped) -> {});
        try {
            new RequestDispatcherLoad(seed).runAll();
        } finally {
            Log.setSink(previous);
        }
    }

    /** Passes on an action. A faulty load balancer omits some responses and sends invalid attempt timeouts. */
    private void accept(Action action, Consumer<Action> actions) {
        if (hasFaultyLoadBalancer && action instanceof SendAttempt send && random.nextInt(3) == 0) {
            actions.accept(new SendAttempt(
                    send.id(), send.server(), INVALID_TIMEOUTS_MS[random.nextInt(INVALID_TIMEOUTS_MS.length)]));
        } else if (!hasFaultyLoadBalancer
                || !(action instanceof RejectRequest || action instanceof FailRequest)
                || random.nextInt(5) > 0) {
            actions.accept(action);
        }
    }

    private void runAll() {
        hasFaultyLoadBalancer = random.nextInt(4) == 0;
        doesBackendThrow = random.nextInt(4) == 0;
        updateEndpoints(true);
        for (int i = 0; i < STEPS; i++) {
            step();
        }
        if (random.nextInt(8) == 0) {
            exceedRecentIds();
        }
        hasFaultyLoadBalancer = false;
        doesBackendThrow = false;
        shutDown();
        clients.forEach(client -> require(
                client.hasDisconnected || client.responses == 1,
                client.id + ": expected one response, was " + client.responses));
    }

    /** Shuts the dispatcher down while requests still arrive, as they do after SIGTERM. */
    private void shutDown() {
        submitSome();
        int[] idle = {0};
        dispatcher.whenIdle(() -> onIdle(idle));
        dispatcher.whenIdle(() -> onIdle(idle));
        submitSome();
        for (int i = 0; i < 100 && idle[0] < 2; i++) {
            advance(100);
            List.copyOf(inFlight).forEach(each -> each.end(Outcome.SUCCESS));
            List.copyOf(responseBodies).forEach(each -> each.end(BodyStream.End.COMPLETE));
        }
        require(idle[0] == 2, "completed requests are still open, or a callback did not run: " + idle[0]);
    }

    private void onIdle(int[] idle) {
        idle[0]++;
        require(waiting.isEmpty(), "idle while responses are owed: " + waiting);
    }

    private void submitSome() {
        for (int i = random.nextInt(4); i > 0; i--) {
            submit();
        }
    }

    private void step() {
        switch (random.nextInt(13)) {
            case 0, 1, 2 -> submit();
            case 3, 4, 5, 6 -> endAnyExchange();
            case 7, 8 -> advance(random.nextInt(random.nextInt(100) == 0 ? 3_000 : 25));
            case 9 ->
                responseBodies.stream()
                        .skip(random.nextInt(1 + responseBodies.size()))
                        .findFirst()
                        .ifPresent(body -> body.end(BodyStream.End.values()[random.nextInt(3)]));
            case 10 -> disconnect();
            case 11 ->
                inFlight.stream()
                        .skip(random.nextInt(1 + inFlight.size()))
                        .findFirst()
                        .ifPresent(SentExchange::writeFirstByte);
            default -> rareStep();
        }
        // Sometimes several steps happen within one round.
        if (random.nextInt(4) > 0) {
            runRound();
        }
    }

    private void exceedRecentIds() {
        for (int i = 0; i < MORE_THAN_RECENT_IDS; i++) {
            submit();
            advance(random.nextInt(2));
            List.copyOf(inFlight).forEach(each -> each.end(Outcome.SUCCESS));
        }
    }

    private void rareStep() {
        switch (random.nextInt(6)) {
            case 0 -> updateEndpoints(true);
            case 1, 2 -> updateEndpoints(false);
            case 3 -> dispatcher.onWatchLost();
            case 4 -> disconnectDuplicate();
            default -> {}
        }
    }

    private void updateEndpoints(boolean complete) {
        List<EndpointUpdate.EndpointAddress> endpoints = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            if (random.nextInt(3) > 0) {
                EndpointState state =
                        random.nextInt(3) > 0 ? EndpointState.READY : EndpointState.values()[random.nextInt(3)];
                endpoints.add(new EndpointUpdate.EndpointAddress(
                        new Endpoint("s" + i, i % 2, 0, state, 0), "host:" + (random.nextInt(5) == 0 ? 9 : i)));
            }
        }
        dispatcher.onEndpointUpdate(new EndpointUpdate(++version, complete, endpoints));
    }

    private void submit() {
        boolean isDuplicate = !clients.isEmpty() && random.nextInt(15) == 0;
        submit(isDuplicate ? clients.get(clients.size() - 1).id : "c" + clients.size());
    }

    private Client submit(String id) {
        Message message = new Message("GET", id, List.of(), new byte[0]);
        IncomingRequest request = new IncomingRequest(
                id, random.nextInt(3), -1, random.nextInt(-5, 300), random.nextInt(5) == 0, loop.nowMs(), message);
        Client client = new Client(id, request.requestClass(), request.deadlineMs());
        clients.add(client);
        clientByMessage.put(message, client);
        waiting.add(client);
        dispatcher.handle(request, client);
        return client;
    }

    private void disconnect() {
        if (!clients.isEmpty()) {
            disconnect(clients.get(clients.size() - 1 - random.nextInt(Math.min(10, clients.size()))));
        }
    }

    /** Disconnects a client. Responses are valid until the event loop has processed the disconnect. */
    private void disconnect(Client client) {
        if (client.responses == 0 && !client.isDisconnecting) {
            client.isDisconnecting = true;
            loop.execute(() -> {
                client.hasDisconnected = true;
                waiting.remove(client);
            });
            dispatcher.cancel(client.id, client);
        }
    }

    /** Sends a request, and a duplicate of it whose client disconnects within the same round. */
    private void disconnectDuplicate() {
        Client original = submit("c" + clients.size());
        disconnect(submit(original.id));
    }

    private void endAnyExchange() {
        if (!inFlight.isEmpty()) {
            inFlight.get(random.nextInt(inFlight.size()))
                    .end(
                            random.nextInt(3) > 0
                                    ? Outcome.SUCCESS
                                    : Outcome.values()[random.nextInt(Outcome.values().length)]);
        }
    }

    // ---- Time ----

    private void advance(double ms) {
        double untilMs = loop.nowMs() + ms;
        for (Runnable due = loop.advanceToNextTask(untilMs); due != null; due = loop.advanceToNextTask(untilMs)) {
            loop.execute(due);
            if (random.nextInt(4) > 0) {
                runRound();
            }
        }
        runRound();
    }

    private void runRound() {
        overload.onSelectReturned(loop.nowMs());
        loop.runTasks();
        overload.onRoundEnded(loop.nowMs(), true);
        waiting.forEach(client -> require(
                client.deadlineMs >= loop.nowMs() - ROUNDING_MS, client.id + " has no response by its deadline"));
        // An attempt that threw may have been executed: a request that is not idempotent must end with it.
        waiting.forEach(client -> require(
                hasFaultyLoadBalancer || !client.hasBackendThrown || client.requestClass != NON_IDEMPOTENT_CLASS,
                client.id + " waits for an attempt that cannot end"));
    }

    // ---- Clients and servers ----

    private final class Client implements ResponseListener {

        private final String id;
        private final int requestClass;
        private final double deadlineMs;
        private int responses;
        /** Whether the backend threw when it sent the request. */
        private boolean hasBackendThrown;
        /** Whether the client has closed its connection. */
        private boolean isDisconnecting;
        /** Whether the event loop has processed the disconnect. */
        private boolean hasDisconnected;

        Client(String id, int requestClass, double deadlineMs) {
            this.id = id;
            this.requestClass = requestClass;
            this.deadlineMs = deadlineMs;
        }

        private boolean isOver() {
            return hasDisconnected || responses > 0;
        }

        @Override
        public String toString() {
            return id;
        }

        @Override
        public void onResponse(Message response) {
            onAnyResponse();
        }

        @Override
        public void onRejected(double retryAfterMs) {
            onAnyResponse();
        }

        @Override
        public void onFailed(boolean timedOut) {
            onAnyResponse();
        }

        @Override
        public void onDuplicateId() {
            onAnyResponse();
        }

        private void onAnyResponse() {
            require(
                    !hasDisconnected && ++responses == 1,
                    "response " + responses + " to " + id + (hasDisconnected ? ", which has disconnected" : ""));
            waiting.remove(this);
            if (!isDisconnecting && random.nextInt(PIPELINING_RATIO) == 0) {
                submit("c" + clients.size());
            }
        }
    }

    private final class Servers implements Backend {

        @Override
        public Backend.Exchange send(Server server, Message message, double deadlineMs, AttemptListener listener) {
            Client client = clientByMessage.get(message);
            require(!client.isOver(), "an attempt for " + client + ", which is over");
            require(
                    deadlineMs <= client.deadlineMs,
                    "sent with a deadline of " + deadlineMs + ", after the deadline of " + client);
            require(deadlineMs > loop.nowMs(), "sent with no time left: " + client);
            if (doesBackendThrow && random.nextInt(30) == 0) {
                client.hasBackendThrown = true;
                if (random.nextBoolean()) {
                    disconnect(client);
                }
                throw new IllegalStateException("planted exception of the backend");
            }
            return send(new SentExchange(client, listener::onEnded));
        }

        private SentExchange send(SentExchange exchange) {
            inFlight.add(exchange);
            if (random.nextInt(4) > 0) {
                exchange.writeFirstByte();
            }
            return exchange;
        }

        @Override
        public Backend.Exchange probe(Server server, double deadlineMs, Consumer<Result> onEnded) {
            return send(new SentExchange(null, onEnded));
        }

        @Override
        public void onServerRemoved(Server server) {
            // There is nothing to release.
        }
    }

    private final class SentExchange implements Backend.Exchange {

        /** Null for a health check. */
        private final Client client;

        private final Consumer<Backend.Result> onEnded;
        private boolean isWritten;

        SentExchange(Client client, Consumer<Backend.Result> onEnded) {
            this.client = client;
            this.onEnded = onEnded;
        }

        /** The connection is established, and the first byte is written. */
        void writeFirstByte() {
            require(isWritten || client == null || !client.isOver(), "a first byte for " + client + ", which is over");
            isWritten = true;
        }

        void end(Outcome outcome) {
            if (inFlight.remove(this)) {
                if (outcome != Outcome.UNREACHABLE && outcome != Outcome.NEVER_SENT) {
                    writeFirstByte();
                }
                ResponseBody body = outcome == Outcome.SUCCESS && random.nextInt(5) == 0 ? new ResponseBody() : null;
                Message response = new Message("", "", List.of(), new byte[0], body);
                onEnded.accept(
                        outcome == Outcome.SUCCESS
                                ? new Backend.Result(
                                        outcome, response, new double[] {random.nextInt(9)}, random.nextInt(30))
                                : new Backend.Result(outcome));
            }
        }

        @Override
        public boolean cancelIfUnsent() {
            return !isWritten && inFlight.remove(this);
        }

        @Override
        public boolean abort() {
            inFlight.remove(this);
            return !isWritten;
        }
    }

    private final class ResponseBody implements BodyStream {

        private Listener listener;

        ResponseBody() {
            responseBodies.add(this);
        }

        void end(End end) {
            if (listener != null && responseBodies.remove(this)) {
                listener.onEnd(end);
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
        public Reader openReader(Runnable onAvailable) {
            throw new IllegalStateException("unexpected reader");
        }

        @Override
        public void addListener(Listener added) {
            listener = added;
        }

        @Override
        public void release() {}
    }
}
