package peppergauge.lab.emulator;

import java.util.List;
import java.util.function.Consumer;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.request.Backend;
import peppergauge.request.Message;

/**
 * One attempt of a request at a backend server. It takes an idle connection or opens one, is written, and ends exactly
 * once. The server continues with a written request even if the attempt has ended.
 */
final class BackendAttempt implements Backend.Exchange {

    private static final Message ANSWER = new Message(null, null, List.of(), new byte[0]);

    private final SidecarBackend backend;
    private final Backend.Server target;
    private final ClientAttempt clientAttempt;
    private final double untilMs;
    private final Consumer<Backend.Result> ended;
    private BackendConnection connection;
    private VirtualTime.Event connectTimeout;
    private long written = -1;
    private boolean over;
    private boolean aborted;
    private final boolean retry;

    BackendAttempt(
            SidecarBackend backend,
            Backend.Server target,
            ClientAttempt clientAttempt,
            double untilMs,
            Consumer<Backend.Result> ended) {
        this.backend = backend;
        this.target = target;
        this.clientAttempt = clientAttempt;
        this.untilMs = untilMs;
        this.ended = ended;
        retry = clientAttempt.backendAttempts > 1;
    }

    void start() {
        connection = backend.connections().takeIdle(target);
        if (connection != null) {
            write();
        } else {
            connectTimeout = backend.time()
                    .after(backend.context().settings.connectTimeoutMs, () -> end(Outcome.UNREACHABLE, null));
            backend.connections().open(target, this::connected);
        }
    }

    /** {@code fresh} is null if the connection was refused. */
    private void connected(BackendConnection fresh) {
        if (fresh != null && (over || backend.closed())) {
            backend.connections().release(fresh);
        } else if (fresh == null) {
            end(Outcome.UNREACHABLE, null);
        } else if (!over) {
            connectTimeout.cancel();
            connection = fresh;
            // The event loop writes the request, so that earlier events take effect first.
            backend.execute(() -> {
                if (!over) {
                    write();
                } else {
                    backend.connections().release(fresh);
                }
            });
        }
    }

    private void write() {
        EmulationContext context = backend.context();
        written = context.time.now();
        BackendServer server = connection.server();
        context.note(Trace.Kind.WRITTEN, sidecar(), clientAttemptNumber(), server.index(), -1);
        backend.written(clientAttempt, target);
        if (context.network.drawConnectionLoss(backend.random())) {
            carry(server, () -> answered(Outcome.BROKEN, null));
        } else {
            ServerJob job =
                    new ServerJob(this, clientAttempt.request, VirtualTime.ticks(untilMs - VirtualTime.ORIGIN_MS));
            carry(server, () -> arrived(job));
        }
    }

    private void arrived(ServerJob job) {
        BackendServer server = connection.server();
        if (server.silent()) {
            server.holdUnanswered(this);
        } else if (!server.up() || server.incarnation() != connection.incarnation()) {
            answer(server, Outcome.BROKEN);
        } else {
            server.arrive(job, backend.knowsStartOf(server));
        }
    }

    private void carry(BackendServer server, Runnable arrival) {
        backend.context().network.transmit(backend.zone(), server.zone(), backend.random(), arrival);
    }

    /** Sends the server's response, or the connection reset of its machine, to the sidecar. */
    void answer(BackendServer from, Outcome outcome) {
        EmulationContext context = backend.context();
        boolean broken = context.network.drawConnectionLoss(backend.random());
        double[] load = outcome == Outcome.BROKEN || broken ? null : from.load();
        context.network.transmit(
                from.zone(), backend.zone(), backend.random(), () -> answered(broken ? Outcome.BROKEN : outcome, load));
    }

    private void answered(Outcome outcome, double[] load) {
        if (!over && !backend.closed()) {
            end(outcome, load);
        }
    }

    private void end(Outcome outcome, double[] load) {
        if (over) {
            return;
        }
        release(outcome != Outcome.BROKEN && outcome != Outcome.UNREACHABLE);
        clientAttempt.zone = outcome == Outcome.SUCCESS ? connection.server().zone() : clientAttempt.zone;
        double tookMs = written < 0 ? Double.NaN : VirtualTime.ms(backend.time().now() - written);
        backend.context().note(Trace.Kind.ENDED, sidecar(), clientAttemptNumber(), server(), outcome.ordinal());
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
            aborted = true;
        }
        return written < 0;
    }

    private void release(boolean kept) {
        over = true;
        clientAttempt.attemptsInFlight--;
        if (connectTimeout != null) {
            connectTimeout.cancel();
        }
        if (connection != null && kept) {
            backend.connections().release(connection);
        } else if (connection != null && written >= 0) {
            connection.close();
        }
    }

    boolean over() {
        return over;
    }

    /** Whether the sidecar aborted the attempt before it had ended. */
    boolean aborted() {
        return aborted;
    }

    /** Whether an earlier attempt of the same request was made at the sidecar. */
    boolean retry() {
        return retry;
    }

    int sidecar() {
        return backend.sidecar();
    }

    long clientAttemptNumber() {
        return clientAttempt.number;
    }

    private int server() {
        return connection == null ? -1 : connection.server().index();
    }
}
