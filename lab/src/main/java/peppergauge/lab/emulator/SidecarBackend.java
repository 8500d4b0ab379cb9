package peppergauge.lab.emulator;

import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.request.Backend;
import peppergauge.request.Message;

/** Emulated connections of one sidecar process to the backend servers. */
final class SidecarBackend implements Backend {

    private final World world;
    private final EmulatedSidecar sidecar;
    private final UniformRandomProvider luck;
    private final Connections connections;
    private boolean closed;

    SidecarBackend(World world, EmulatedSidecar sidecar, UniformRandomProvider luck) {
        this.world = world;
        this.sidecar = sidecar;
        this.luck = luck;
        this.connections = new Connections(world, this);
    }

    @Override
    public Exchange send(Server server, Message message, double untilMs, AttemptListener sender) {
        Try session = sidecar.session(message.target());
        if (session == null) {
            world.rulebook.broken(
                    Rulebook.Rule.GIVEN_UP, sidecar.name() + " sent session " + message.target() + ", which was over");
            return new Probe(sender::onEnded);
        }
        world.note(
                Trace.Kind.SENT,
                sidecar.index(),
                session.number,
                world.fleet.at(server.address()).index(),
                -1);
        if (session.out > 0) {
            world.rulebook.broken(
                    Rulebook.Rule.ONE_ATTEMPT,
                    "session " + session.number + " of " + sidecar.name() + " has a second attempt out, to "
                            + server.id());
        }
        session.out++;
        sidecar.works(false);
        world.meters.attempt(world.fleet.at(server.address()), session.attempts++ > 0);
        Attempt attempt = new Attempt(this, server, session, untilMs, sender::onEnded);
        attempt.start();
        return attempt;
    }

    /** Checks the rules on sending at the time at which a request is written. */
    void written(Try session, Server to) {
        long leaving = sidecar.leavingSince(to.id());
        if (leaving >= 0 && world.time.now() - leaving > VirtualTime.ticks(world.figures.drainGraceMs)) {
            world.rulebook.broken(
                    Rulebook.Rule.DRAIN,
                    sidecar.name() + " sent session " + session.number + " to "
                            + to.id() + ", " + VirtualTime.ms(world.time.now() - leaving)
                            + " ms after it was told that this leaves");
        }
        if (session.knownOver >= 0 && world.time.now() > session.knownOver) {
            world.rulebook.broken(
                    Rulebook.Rule.GIVEN_UP, sidecar.name() + " sent session " + session.number + ", which was over");
        }
    }

    @Override
    public Exchange probe(Server server, double untilMs, Consumer<Result> ended) {
        Probe probe = new Probe(ended);
        world.meters.probed();
        BackendServer at = world.fleet.at(server.address());
        double sentMs = world.time.nowMs();
        world.links.carry(sidecar.zone(), at.zone(), luck, () -> {
            if (!at.silent()) {
                double[] load = at.probed();
                world.links.carry(at.zone(), sidecar.zone(), luck, () -> {
                    if (!closed) {
                        world.note(Trace.Kind.PROBED, sidecar.index(), -1, at.index(), -1);
                        probe.end(
                                load == null
                                        ? new Result(Outcome.UNREACHABLE)
                                        : new Result(Outcome.SUCCESS, null, load, world.time.nowMs() - sentMs));
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

    Connections connections() {
        return connections;
    }

    World world() {
        return world;
    }

    VirtualTime time() {
        return world.time;
    }

    UniformRandomProvider luck() {
        return luck;
    }

    int zone() {
        return sidecar.zone();
    }

    int sidecar() {
        return sidecar.index();
    }
}
