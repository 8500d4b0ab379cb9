package peppergauge.lab.emulator;

import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.request.Backend;
import peppergauge.request.Message;

/** Emulated connections of one sidecar process to the backend servers. */
final class SidecarBackend implements Backend {

    private final EmulationContext context;
    private final EmulatedSidecar sidecar;
    private final UniformRandomProvider random;
    private final ConnectionPool connections;
    private boolean closed;

    SidecarBackend(EmulationContext context, EmulatedSidecar sidecar, UniformRandomProvider random) {
        this.context = context;
        this.sidecar = sidecar;
        this.random = random;
        this.connections = new ConnectionPool(context, this);
    }

    @Override
    public Exchange send(Server server, Message message, double untilMs, AttemptListener sender) {
        ClientAttempt clientAttempt = sidecar.attempt(message.target());
        if (clientAttempt == null) {
            context.rulebook.report(
                    Rulebook.Rule.GIVEN_UP, sidecar.name() + " sent session " + message.target() + ", which was over");
            return new Probe(sender::onEnded);
        }
        context.note(
                Trace.Kind.SENT,
                sidecar.index(),
                clientAttempt.number,
                context.fleet.at(server.address()).index(),
                -1);
        if (clientAttempt.attemptsInFlight > 0) {
            context.rulebook.report(
                    Rulebook.Rule.ONE_ATTEMPT,
                    "session " + clientAttempt.number + " of " + sidecar.name() + " has a second attempt out, to "
                            + server.id());
        }
        clientAttempt.attemptsInFlight++;
        sidecar.spendWork(false);
        context.meters.attempt(context.fleet.at(server.address()), clientAttempt.backendAttempts++ > 0);
        BackendAttempt attempt = new BackendAttempt(this, server, clientAttempt, untilMs, sender::onEnded);
        attempt.start();
        return attempt;
    }

    /** Checks the rules on sending at the time at which a request is written. */
    void written(ClientAttempt clientAttempt, Server to) {
        long leaving = sidecar.leavingSince(to.id());
        if (leaving >= 0 && context.time.now() - leaving > VirtualTime.ticks(context.settings.drainGraceMs)) {
            context.rulebook.report(
                    Rulebook.Rule.DRAIN,
                    sidecar.name() + " sent session " + clientAttempt.number + " to "
                            + to.id() + ", " + VirtualTime.ms(context.time.now() - leaving)
                            + " ms after it was told that this leaves");
        }
        if (clientAttempt.endedTick >= 0 && context.time.now() > clientAttempt.endedTick) {
            context.rulebook.report(
                    Rulebook.Rule.GIVEN_UP,
                    sidecar.name() + " sent session " + clientAttempt.number + ", which was over");
        }
    }

    @Override
    public Exchange probe(Server server, double untilMs, Consumer<Result> ended) {
        Probe probe = new Probe(ended);
        context.meters.countProbe();
        BackendServer target = context.fleet.at(server.address());
        double sentMs = context.time.nowMs();
        context.network.transmit(sidecar.zone(), target.zone(), random, () -> {
            if (!target.silent()) {
                double[] load = target.probed();
                context.network.transmit(target.zone(), sidecar.zone(), random, () -> {
                    if (!closed) {
                        context.note(Trace.Kind.PROBED, sidecar.index(), -1, target.index(), -1);
                        probe.end(
                                load == null
                                        ? new Result(Outcome.UNREACHABLE)
                                        : new Result(Outcome.SUCCESS, null, load, context.time.nowMs() - sentMs));
                    }
                });
            }
        });
        return probe;
    }

    private static final class Probe implements Exchange {

        private Consumer<Result> ended;

        Probe(Consumer<Result> ended) {
            this.ended = ended;
        }

        void end(Result result) {
            if (ended != null) {
                ended.accept(result);
                ended = null;
            }
        }

        @Override
        public boolean cancelIfUnsent() {
            return false;
        }

        @Override
        public boolean abort() {
            ended = null;
            return false;
        }
    }

    @Override
    public void onServerRemoved(Server server) {
        connections.forget(server);
    }

    /** Closes all connections at the end of the process. */
    void close() {
        closed = true;
        connections.closeAll();
    }

    boolean closed() {
        return closed;
    }

    void execute(Runnable task) {
        sidecar.execute(task);
    }

    boolean knowsStartOf(BackendServer server) {
        return sidecar.knowsStartOf(server);
    }

    ConnectionPool connections() {
        return connections;
    }

    EmulationContext context() {
        return context;
    }

    VirtualTime time() {
        return context.time;
    }

    UniformRandomProvider random() {
        return random;
    }

    int zone() {
        return sidecar.zone();
    }

    int sidecar() {
        return sidecar.index();
    }
}
