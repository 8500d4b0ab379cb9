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
import peppergauge.request.Backend;
import peppergauge.request.Clock;
import peppergauge.request.Message;
import peppergauge.sockets.EventLoop;
import peppergauge.thrift.method.Carried;
import peppergauge.thrift.method.Method;
import peppergauge.thrift.method.Methods;
import peppergauge.thrift.method.Reply;
import peppergauge.thrift.wire.Bounds;
import peppergauge.thrift.wire.Exceptions;
import peppergauge.thrift.wire.FieldPath;
import peppergauge.thrift.wire.Form;
import peppergauge.thrift.wire.Head;
import peppergauge.thrift.wire.RawMessage;

/** Attempts and probes over Thrift, in one form for all servers. */
public final class ThriftBackend implements Backend {

    /** Of a probe's reply: what the method returns. */
    private static final FieldPath RETURNED = new FieldPath(List.of((short) 0));

    private final Links links;
    private final Form form;
    private final Methods methods;
    private final Optional<String> probe;
    private final Pool pool;
    /** Oneway calls of which a byte was written once; kept as long as their sessions are. */
    private final Set<Message> begunOneways = Collections.newSetFromMap(new WeakHashMap<>());

    /**
     * What a backend stands on; all times in ms.
     *
     * @param arrivedMs tells when what the loop is reading came in, as far as that is known
     * @param loadFields what a report holds; none means that reports are passed over
     * @param connectTimeoutMs after which a connection that has not come up is given up
     * @param idleMs after which servers close a connection
     * @param places descriptors that these connections may hold together
     */
    public record Links(
            Clock clock,
            EventLoop loop,
            DoubleSupplier arrivedMs,
            List<LoadField> loadFields,
            double connectTimeoutMs,
            double idleMs,
            int places) {}

    /**
     * @param form in which all servers are spoken to
     * @param bounds of what servers answer
     * @param probe the method without arguments that returns a load report; empty if no server is ever probed
     */
    public ThriftBackend(Links links, Form form, Bounds bounds, Methods methods, Optional<String> probe) {
        this.links = links;
        this.form = form;
        this.methods = methods;
        this.probe = probe;
        this.pool = new Pool(links.loop(), form, bounds, links.places(), links.connectTimeoutMs(), links.idleMs());
    }

    /**
     * A oneway call of which a byte was once written is not sent again, whatever its class lets the module ask for:
     * nobody waits for its answer, and so nobody would learn that it ran twice.
     */
    @Override
    public Exchange send(Server server, Message message, double untilMs, AttemptListener sender) {
        RawMessage call = Carried.raw(message);
        if (begunOneways.contains(message)) {
            Log.line("oneway", "a call of " + call.head().name() + " may have run and is not sent again");
            sender.onEnded(new Result(Outcome.NEVER_SENT));
            return Nothing.OUT;
        }
        Method method = methods.find(call.head().name()).orElseThrow();
        ThriftExchange exchange = new ThriftExchange(
                pool,
                server,
                call,
                method,
                new Around(
                        untilMs, method, sender, Carried.isOneway(call) ? () -> begunOneways.add(message) : () -> {}),
                sender::onEnded);
        exchange.start();
        return exchange;
    }

    @Override
    public Exchange probe(Server server, double untilMs, Consumer<Result> ended) {
        if (probe.isEmpty()) {
            ended.accept(new Result(Outcome.NEVER_SENT));
            return Nothing.OUT;
        }
        Method method = new Method(
                probe.get(),
                0,
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                0,
                0,
                Set.of(),
                Optional.of(RETURNED));
        ThriftExchange exchange = new ThriftExchange(
                pool,
                server,
                Exceptions.call(form.encoding(), probe.get()),
                method,
                new Around(untilMs, method, ended::accept, () -> {}),
                ended);
        exchange.start();
        return exchange;
    }

    @Override
    public void onServerRemoved(Server server) {
        pool.forget(server);
    }

    private final class Around implements ThriftExchange.Surroundings {

        private final double untilMs;
        private final Method method;
        private final AttemptListener sender;
        private final Runnable begun;

        Around(double untilMs, Method method, AttemptListener sender, Runnable begun) {
            this.untilMs = untilMs;
            this.method = method;
            this.sender = sender;
            this.begun = begun;
        }

        @Override
        public double nowMs() {
            return links.clock().nowMs();
        }

        @Override
        public double remainingMs() {
            return untilMs - links.clock().nowMs();
        }

        @Override
        public double arrivedMs() {
            return links.arrivedMs().getAsDouble();
        }

        @Override
        public void begun() {
            begun.run();
        }

        @Override
        public boolean waits() {
            return sender.isClientWaiting();
        }

        @Override
        public Reply judge(Head asked, RawMessage reply) {
            return Reply.judge(asked, reply, method, links.loadFields());
        }
    }
}
