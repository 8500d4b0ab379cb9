package peppergauge.thrift.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Consumer;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.request.Backend;
import peppergauge.request.Message;
import peppergauge.sockets.LocalConnectException;
import peppergauge.thrift.method.MethodConfig;
import peppergauge.thrift.method.ReplyEvaluation;
import peppergauge.thrift.method.ThriftMessages;
import peppergauge.thrift.wire.FieldReader;
import peppergauge.thrift.wire.FieldValue;
import peppergauge.thrift.wire.MalformedMessageException;
import peppergauge.thrift.wire.MessageHeader;
import peppergauge.thrift.wire.MessageRewriter;
import peppergauge.thrift.wire.RawMessage;
import peppergauge.thrift.wire.WireFormat;

/** An attempt on a Thrift server, from the lease of a connection to the reply. Event-loop thread only. */
final class ThriftExchange implements Backend.Exchange {

    /** The server counts as unreachable after so many connections that closed before a byte was written. */
    private static final int MAX_STALE_CONNECTIONS = 4;

    private enum State {
        /** Nothing of the call was written. */
        UNSENT,
        /** At least one byte was written; the server may execute the call. */
        STARTED,
        /** The result was delivered, or the exchange was cancelled. */
        ENDED
    }

    private final ConnectionPool pool;
    private final Backend.Server server;
    private final RawMessage call;
    private final MethodConfig method;
    private final Context context;
    private final Consumer<Backend.Result> resultListener;
    private State state = State.UNSENT;
    private ServerConnection connection;
    private MessageHeader writtenHeader;
    private ByteBuffer unwrittenBytes;
    private double writtenMs = Double.NaN;
    private boolean isReplyReceived;
    private int staleConnections;

    /** The environment of an exchange; times are in ms. */
    interface Context {

        double nowMs();

        /** The time from now to the deadline of the attempt. */
        double remainingMs();

        /** When the bytes that are read now arrived, as far as known. */
        double arrivedMs();

        /** The first byte was written; from now on the server may execute the call. */
        void onFirstByteWritten();

        /** Whether the client still waits for the reply; to be called right before the first byte is written. */
        boolean isClientWaiting();

        ReplyEvaluation evaluate(MessageHeader call, RawMessage reply);
    }

    ThriftExchange(
            ConnectionPool pool,
            Backend.Server server,
            RawMessage call,
            MethodConfig method,
            Context context,
            Consumer<Backend.Result> resultListener) {
        this.pool = pool;
        this.server = server;
        this.call = call;
        this.method = method;
        this.context = context;
        this.resultListener = resultListener;
    }

    void start() {
        pool.lease(server, new ConnectionPool.LeaseListener() {
            @Override
            public void onLeased(ServerConnection leased) {
                execute(leased);
            }

            @Override
            public void onFailed(Exception cause) {
                // A failure on this machine says nothing of the server.
                end(cause instanceof LocalConnectException ? Outcome.NEVER_SENT : Outcome.UNREACHABLE, null, null);
            }
        });
    }

    private void execute(ServerConnection leased) {
        if (state != State.UNSENT) {
            // Cancelled while the connection was opened; the connection is unused.
            pool.release(leased);
            return;
        }
        connection = leased;
        leased.startExchange(this);
    }

    // ---- Cancellation ----

    @Override
    public boolean cancelIfUnsent() {
        boolean isUnsent = state == State.UNSENT;
        if (isUnsent) {
            state = State.ENDED;
            releaseConnection(true);
        }
        return isUnsent;
    }

    @Override
    public boolean abort() {
        State before = state;
        state = State.ENDED;
        releaseConnection(before == State.UNSENT);
        return before == State.UNSENT;
    }

    // ---- Writing the call ----

    /** Writes as much as the socket accepts; returns whether nothing is left to write. */
    boolean write() throws IOException {
        if (state == State.ENDED) {
            return true;
        }
        if (unwrittenBytes == null) {
            if (connection.hasUnexpectedInput()) {
                onConnectionFailed();
                return true;
            }
            if (!context.isClientWaiting()) {
                releaseConnection(true);
                end(Outcome.CANCELLED, null, null);
                return true;
            }
            unwrittenBytes = ByteBuffer.wrap(encodeCall(connection));
        }
        if (connection.write(unwrittenBytes) > 0 && state == State.UNSENT) {
            state = State.STARTED;
            writtenMs = context.nowMs();
            context.onFirstByteWritten();
        }
        if (unwrittenBytes.hasRemaining()) {
            return false;
        }
        if (ThriftMessages.isOneway(call)) {
            // A oneway call has no reply; it succeeds once it is completely written.
            releaseConnection(true);
            end(Outcome.SUCCESS, ThriftMessages.emptyResponse(), null);
        }
        return true;
    }

    private byte[] encodeCall(ServerConnection target) {
        WireFormat format = target.format();
        RawMessage transcoded = MessageRewriter.transcode(withRemainingTime(), format.encoding());
        RawMessage message = MessageRewriter.withSequenceId(transcoded, target.nextSequenceId());
        writtenHeader = message.header();
        return MessageRewriter.frame(message, format);
    }

    private RawMessage withRemainingTime() {
        try {
            Optional<FieldValue> field = method.remainingTimePath().isEmpty()
                    ? Optional.empty()
                    : FieldReader.find(call, method.remainingTimePath().get());
            return field.isEmpty()
                    ? call
                    : MessageRewriter.withNumber(call, field.get(), (long) Math.max(1, context.remainingMs()));
        } catch (MalformedMessageException unexpected) {
            throw new IllegalStateException("cannot read a call that the frontend has accepted", unexpected);
        }
    }

    /** Whether the call is completely written. */
    boolean isWritten() {
        return unwrittenBytes != null && !unwrittenBytes.hasRemaining();
    }

    // ---- Reply ----

    void onReply(RawMessage reply) {
        isReplyReceived = true;
        ReplyEvaluation evaluation = context.evaluate(writtenHeader, reply);
        releaseConnection(evaluation.outcome() != Outcome.BROKEN && !connection.hasBufferedInput());
        Message response = evaluation.outcome() == Outcome.SUCCESS ? ThriftMessages.ofReply(reply) : null;
        end(evaluation.outcome(), response, evaluation.loadReport());
    }

    // ---- End ----

    /** The connection has closed, or its input is not a reply to this call. Closes the connection. */
    void onConnectionFailed() {
        releaseConnection(false);
        unwrittenBytes = null;
        if (state == State.UNSENT && ++staleConnections < MAX_STALE_CONNECTIONS) {
            // The idle connection was unusable before a byte was written, so the attempt continues on another one.
            start();
            return;
        }
        end(state == State.UNSENT ? Outcome.UNREACHABLE : Outcome.BROKEN, null, null);
    }

    /** Returns the connection to the pool, or closes it. Later calls have no effect. */
    private void releaseConnection(boolean isReusable) {
        ServerConnection released = connection;
        connection = null;
        if (released == null) {
            return;
        }
        released.endExchange();
        if (isReusable) {
            pool.release(released);
        } else {
            released.close();
        }
    }

    private void end(Outcome outcome, Message response, double[] loadReport) {
        if (state != State.ENDED) {
            state = State.ENDED;
            double latencyMs = isReplyReceived ? Math.max(0, context.arrivedMs() - writtenMs) : Double.NaN;
            resultListener.accept(new Backend.Result(outcome, response, loadReport, latencyMs));
        }
    }
}
