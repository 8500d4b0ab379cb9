package peppergauge.thrift.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Consumer;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.request.Backend;
import peppergauge.request.Message;
import peppergauge.thrift.method.Carried;
import peppergauge.thrift.method.Method;
import peppergauge.thrift.method.Reply;
import peppergauge.thrift.wire.Fields;
import peppergauge.thrift.wire.Form;
import peppergauge.thrift.wire.Head;
import peppergauge.thrift.wire.Malformed;
import peppergauge.thrift.wire.RawMessage;
import peppergauge.thrift.wire.Rewriting;
import peppergauge.thrift.wire.Value;

/**
 * One call to one Thrift server, from the lease of a connection to the answer. Only the loop's thread comes here.
 */
final class ThriftExchange implements Backend.Exchange {

    /** Connections that closed before a byte was written, after which the server counts as out of reach. */
    private static final int MOST_STALE_CONNECTIONS = 4;

    /** WAITING: nothing is written. WRITING: something is. ENDED: the result is out. */
    private enum State {
        WAITING,
        WRITING,
        ENDED
    }

    private final Pool pool;
    private final Backend.Server server;
    private final RawMessage call;
    private final Method method;
    private final Surroundings around;
    private final Consumer<Backend.Result> result;
    private State state = State.WAITING;
    private ServerConnection connection;
    private Head written;
    private ByteBuffer unsent;
    private double writtenMs = Double.NaN;
    private boolean answered;
    private int staleConnections;

    /** What an exchange must know of what is round it; times are ms. */
    interface Surroundings {

        double nowMs();

        /** How long the answer is waited for from now. */
        double remainingMs();

        /** When what is being read came in, as far as that is known. */
        double arrivedMs();

        /** The first byte is written: from here on the call may run. */
        void begun();

        /** Whether anybody still waits for the answer; to be asked right before the first byte. */
        boolean waits();

        Reply judge(Head asked, RawMessage reply);
    }

    ThriftExchange(
            Pool pool,
            Backend.Server server,
            RawMessage call,
            Method method,
            Surroundings around,
            Consumer<Backend.Result> result) {
        this.pool = pool;
        this.server = server;
        this.call = call;
        this.method = method;
        this.around = around;
        this.result = result;
    }

    void start() {
        pool.lease(server, new Pool.Leased() {
            @Override
            public void up(ServerConnection leased) {
                run(leased);
            }

            @Override
            public void failed(Exception cause) {
                conclude(Outcome.UNREACHABLE, null, null);
            }
        });
    }

    private void run(ServerConnection leased) {
        if (state != State.WAITING) {
            // Taken back while the connection came up: the connection is good and unused.
            pool.reuse(leased);
            return;
        }
        connection = leased;
        leased.execute(this);
    }

    // ---- What the owner of the sessions may ask ----

    @Override
    public boolean cancelIfUnsent() {
        boolean waiting = state == State.WAITING;
        if (waiting) {
            state = State.ENDED;
            giveBack(true);
        }
        return waiting;
    }

    @Override
    public boolean abort() {
        State before = state;
        state = State.ENDED;
        giveBack(before == State.WAITING);
        return before == State.WAITING;
    }

    // ---- Call ----

    /** Writes what the socket takes; whether there is nothing left to write. */
    boolean write() throws IOException {
        if (state == State.ENDED) {
            return true;
        }
        if (unsent == null) {
            if (!connection.isSilent()) {
                failed();
                return true;
            }
            if (!around.waits()) {
                giveBack(true);
                conclude(Outcome.CANCELLED, null, null);
                return true;
            }
            unsent = ByteBuffer.wrap(bytes(connection));
        }
        if (connection.write(unsent) > 0 && state == State.WAITING) {
            state = State.WRITING;
            writtenMs = around.nowMs();
            around.begun();
        }
        if (unsent.hasRemaining()) {
            return false;
        }
        if (Carried.isOneway(call)) {
            // The one answer there is: it is whole on the wire.
            giveBack(true);
            conclude(Outcome.SUCCESS, Carried.nothing(), null);
        }
        return true;
    }

    private byte[] bytes(ServerConnection to) {
        Form form = to.form();
        RawMessage message = Rewriting.sequence(Rewriting.into(withRemaining(), form.encoding()), to.nextSequence());
        written = message.head();
        return Rewriting.framed(message, form);
    }

    private RawMessage withRemaining() {
        try {
            Optional<Value> stands = method.remaining().isEmpty()
                    ? Optional.empty()
                    : Fields.find(call, method.remaining().get());
            return stands.isEmpty()
                    ? call
                    : Rewriting.number(call, stands.get(), (long) Math.max(1, around.remainingMs()));
        } catch (Malformed impossible) {
            throw new IllegalStateException("the frontend let it pass", impossible);
        }
    }

    boolean isWritten() {
        return unsent != null && !unsent.hasRemaining();
    }

    // ---- Answer ----

    void answered(RawMessage reply) {
        answered = true;
        Reply judged = around.judge(written, reply);
        giveBack(judged.outcome() != Outcome.BROKEN && !connection.hasSurplus());
        conclude(judged.outcome(), judged.outcome() == Outcome.SUCCESS ? Carried.reply(reply) : null, judged.load());
    }

    // ---- Ends ----

    /** The connection ended, or what came in on it is no answer; it is closed. */
    void failed() {
        giveBack(false);
        unsent = null;
        if (state == State.WAITING && ++staleConnections < MOST_STALE_CONNECTIONS) {
            // The idle connection turned out closed or spoilt before a byte was written: this is no second attempt.
            start();
            return;
        }
        conclude(state == State.WAITING ? Outcome.UNREACHABLE : Outcome.BROKEN, null, null);
    }

    /** The connection goes back to the pool, or is closed; the first call decides. */
    private void giveBack(boolean reusable) {
        ServerConnection held = connection;
        connection = null;
        if (held == null) {
            return;
        }
        held.release();
        if (reusable) {
            pool.reuse(held);
        } else {
            held.close();
        }
    }

    private void conclude(Outcome outcome, Message answer, double[] load) {
        if (state != State.ENDED) {
            state = State.ENDED;
            double tookMs = answered ? Math.max(0, around.arrivedMs() - writtenMs) : Double.NaN;
            result.accept(new Backend.Result(outcome, answer, load, tookMs));
        }
    }
}
