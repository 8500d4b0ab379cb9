package peppergauge.lab.emulator;

import java.util.function.Consumer;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.request.Backend;
import peppergauge.request.Message;

/**
 * One attempt of a request at a backend server. It takes an idle connection or opens one, is written, and ends exactly
 * once. The server continues with a written request even if the attempt has ended.
 */
final class Attempt implements Backend.Exchange {

    private static final Message ANSWER = new Message(null, null, java.util.List.of(), new byte[0]);

    private final SidecarBackend home;
    private final Backend.Server to;
    private final Try session;
    private final double untilMs;
    private final Consumer<Backend.Result> ended;
    private Connection connection;
    private VirtualTime.Event connectTimeout;
    private long written = -1;
    private boolean over;
    private boolean givenUp;
    private final boolean further;

    Attempt(SidecarBackend home, Backend.Server to, Try session, double untilMs, Consumer<Backend.Result> ended) {
        this.home = home;
        this.to = to;
        this.session = session;
        this.untilMs = untilMs;
        this.ended = ended;
        further = session.attempts > 1;
    }

    void start() {
        connection = home.connections().takeIdle(to);
        if (connection != null) {
            write();
        } else {
            connectTimeout =
                    home.time().after(home.world().figures.connectTimeoutMs, () -> end(Outcome.UNREACHABLE, null));
            home.connections().open(to, this::connected);
        }
    }

    /** {@code fresh} is null if the connection was refused. */
    private void connected(Connection fresh) {
        if (fresh != null && (over || home.closed())) {
            home.connections().idle(fresh);
        } else if (fresh == null) {
            end(Outcome.UNREACHABLE, null);
        } else if (!over) {
            connectTimeout.cancel();
            connection = fresh;
            // The event loop writes the request, so that earlier events take effect first.
            home.execute(() -> {
                if (!over) {
                    write();
                } else {
                    home.connections().idle(fresh);
                }
            });
        }
    }

    private void write() {
        World world = home.world();
        written = world.time.now();
        BackendServer server = connection.server();
        world.note(Trace.Kind.WRITTEN, sidecar(), session(), server.index(), -1);
        home.written(session, to);
        if (world.links.breaks(home.luck())) {
            carry(server, () -> answered(Outcome.BROKEN, null));
        } else {
            Job job = new Job(this, session.request, VirtualTime.ticks(untilMs - VirtualTime.ORIGIN_MS));
            carry(server, () -> arrived(job));
        }
    }

    private void arrived(Job job) {
        BackendServer server = connection.server();
        if (server.silent()) {
            server.silenced(this);
        } else if (!server.up() || server.incarnation() != connection.incarnation()) {
            answer(server, Outcome.BROKEN);
        } else {
            server.arrive(job, home.knowsStartOf(server));
        }
    }

    private void carry(BackendServer server, Runnable arrival) {
        home.world().links.carry(home.zone(), server.zone(), home.luck(), arrival);
    }

    /** Sends the server's response, or the connection reset of its machine, to the sidecar. */
    void answer(BackendServer from, Outcome outcome) {
        World world = home.world();
        boolean broken = world.links.breaks(home.luck());
        double[] load = outcome == Outcome.BROKEN || broken ? null : from.load();
        world.links.carry(
                from.zone(), home.zone(), home.luck(), () -> answered(broken ? Outcome.BROKEN : outcome, load));
    }

    private void answered(Outcome outcome, double[] load) {
        if (!over && !home.closed()) {
            end(outcome, load);
        }
    }

    private void end(Outcome outcome, double[] load) {
        if (over) {
            return;
        }
        release(outcome != Outcome.BROKEN && outcome != Outcome.UNREACHABLE);
        session.zone = outcome == Outcome.SUCCESS ? connection.server().zone() : session.zone;
        double tookMs = written < 0 ? Double.NaN : VirtualTime.ms(home.time().now() - written);
        home.world().note(Trace.Kind.ENDED, sidecar(), session(), server(), outcome.ordinal());
        ended.accept(new Backend.Result(outcome, outcome == Outcome.SUCCESS ? ANSWER : null, load, tookMs));
    }

    @Override
    public boolean cancelIfUnsent() {
        if (over || written >= 0) {
            return false;
        }
        release(false);
        return true;
    }

    @Override
    public boolean abort() {
        if (!over) {
            release(false);
            givenUp = true;
        }
        return written < 0;
    }

    private void release(boolean kept) {
        over = true;
        session.out--;
        if (connectTimeout != null) {
            connectTimeout.cancel();
        }
        if (connection != null && kept) {
            home.connections().idle(connection);
        } else if (connection != null && written >= 0) {
            connection.close();
        }
    }

    boolean over() {
        return over;
    }

    /** Whether the sidecar aborted the attempt before it had ended. */
    boolean givenUp() {
        return givenUp;
    }

    /** Whether an earlier attempt of the same request was made at the sidecar. */
    boolean further() {
        return further;
    }

    int sidecar() {
        return home.sidecar();
    }

    long session() {
        return session.number;
    }

    private int server() {
        return connection == null ? -1 : connection.server().index();
    }
}
