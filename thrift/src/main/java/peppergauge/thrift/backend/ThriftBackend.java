package peppergauge.thrift.backend;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.log.Log;
import peppergauge.memory.MessageMemory;
import peppergauge.request.Backend;
import peppergauge.request.Clock;
import peppergauge.request.Message;
import peppergauge.sockets.EventLoop;
import peppergauge.thrift.method.MethodConfig;
import peppergauge.thrift.method.MethodRegistry;
import peppergauge.thrift.method.ReplyEvaluation;
import peppergauge.thrift.method.ThriftMessages;
import peppergauge.thrift.wire.FieldPath;
import peppergauge.thrift.wire.MessageFactory;
import peppergauge.thrift.wire.MessageHeader;
import peppergauge.thrift.wire.MessageLimits;
import peppergauge.thrift.wire.RawMessage;
import peppergauge.thrift.wire.WireFormat;

/** Sends attempts and health checks over Thrift, in the same wire format to all servers. Event-loop thread only. */
public final class ThriftBackend implements Backend {

    /** Field 0 of a reply's struct is the return value. */
    private static final FieldPath RETURN_VALUE_PATH = new FieldPath(List.of((short) 0));

    private static final Runnable NO_ACTION = () -> {};

    private final Dependencies dependencies;
    private final WireFormat format;
    private final MethodRegistry methods;
    private final Optional<String> probeMethod;
    private final ConnectionPool pool;
    /** Oneway calls of which at least one byte was written; weak, so that they are dropped with their requests. */
    private final Set<Message> startedOnewayCalls = Collections.newSetFromMap(new WeakHashMap<>());

    /**
     * What the backend depends on.
     *
     * @param arrivedMs tells when the bytes that the event loop reads now arrived, as far as known
     * @param loadFields the fields of a load report; if empty, load reports are ignored
     * @param connectTimeoutMs for opening a connection
     * @param idleTimeoutMs after which servers close an idle connection
     * @param maxSockets that all connections together may hold
     * @param messageMemory limits the memory of replies
     */
    public record Dependencies(
            Clock clock,
            EventLoop loop,
            DoubleSupplier arrivedMs,
            List<LoadField> loadFields,
            double connectTimeoutMs,
            double idleTimeoutMs,
            int maxSockets,
            MessageMemory messageMemory) {}

    /**
     * @param format of all servers
     * @param limits of the replies
     * @param probeMethod a method without arguments that returns a load report; empty to send no health checks
     */
    public ThriftBackend(
            Dependencies dependencies,
            WireFormat format,
            MessageLimits limits,
            MethodRegistry methods,
            Optional<String> probeMethod) {
        this.dependencies = dependencies;
        this.format = format;
        this.methods = methods;
        this.probeMethod = probeMethod;
        this.pool = new ConnectionPool(
                dependencies.loop(),
                format,
                limits,
                dependencies.maxSockets(),
                dependencies.connectTimeoutMs(),
                dependencies.idleTimeoutMs(),
                dependencies.messageMemory());
    }

    /**
     * Sends a call. A oneway call of which a byte was written is not sent again, even if its class permits retries: it
     * has no reply, so nobody would learn that it was executed twice.
     */
    @Override
    public Exchange send(Server server, Message message, double deadlineMs, AttemptListener listener) {
        RawMessage call = ThriftMessages.toThrift(message);
        String methodName = call.header().methodName();
        if (startedOnewayCalls.contains(message)) {
            Log.event("thrift_oneway_not_retried", "method", methodName, "reason", "may have been executed");
            listener.onEnded(new Result(Outcome.NEVER_SENT));
            return UnsentExchange.INSTANCE;
        }
        MethodConfig method = methods.find(methodName).orElseThrow();
        Runnable onFirstByteWritten = ThriftMessages.isOneway(call) ? () -> startedOnewayCalls.add(message) : NO_ACTION;
        ThriftExchange exchange = new ThriftExchange(
                pool,
                server,
                call,
                method,
                new ExchangeContext(deadlineMs, method, listener, onFirstByteWritten),
                listener::onEnded);
        exchange.start();
        return exchange;
    }

    @Override
    public Exchange probe(Server server, double deadlineMs, Consumer<Result> onEnded) {
        if (probeMethod.isEmpty()) {
            onEnded.accept(new Result(Outcome.NEVER_SENT));
            return UnsentExchange.INSTANCE;
        }
        MethodConfig method = new MethodConfig(
                probeMethod.get(),
                0,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                0,
                0,
                Set.of(),
                Optional.of(RETURN_VALUE_PATH));
        ThriftExchange exchange = new ThriftExchange(
                pool,
                server,
                MessageFactory.callWithoutArguments(format.encoding(), probeMethod.get()),
                method,
                new ExchangeContext(deadlineMs, method, onEnded::accept, NO_ACTION),
                onEnded);
        exchange.start();
        return exchange;
    }

    @Override
    public void onServerRemoved(Server server) {
        pool.closeIdle(server);
    }

    private final class ExchangeContext implements ThriftExchange.Context {

        private final double deadlineMs;
        private final MethodConfig method;
        private final AttemptListener listener;
        private final Runnable onFirstByteWritten;

        ExchangeContext(double deadlineMs, MethodConfig method, AttemptListener listener, Runnable onFirstByteWritten) {
            this.deadlineMs = deadlineMs;
            this.method = method;
            this.listener = listener;
            this.onFirstByteWritten = onFirstByteWritten;
        }

        @Override
        public double nowMs() {
            return dependencies.clock().nowMs();
        }

        @Override
        public double remainingMs() {
            return deadlineMs - dependencies.clock().nowMs();
        }

        @Override
        public double arrivedMs() {
            return dependencies.arrivedMs().getAsDouble();
        }

        @Override
        public void onFirstByteWritten() {
            onFirstByteWritten.run();
        }

        @Override
        public boolean isClientWaiting() {
            return listener.isClientWaiting();
        }

        @Override
        public ReplyEvaluation evaluate(MessageHeader call, RawMessage reply) {
            return ReplyEvaluation.evaluate(call, reply, method, dependencies.loadFields());
        }
    }
}
