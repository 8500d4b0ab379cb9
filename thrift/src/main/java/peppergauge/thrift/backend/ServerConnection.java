package peppergauge.thrift.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import peppergauge.log.Log;
import peppergauge.memory.MessageMemory;
import peppergauge.request.Backend;
import peppergauge.sockets.ConnectionHandlerFactory;
import peppergauge.thrift.wire.MalformedMessageException;
import peppergauge.thrift.wire.MessageLimits;
import peppergauge.thrift.wire.MessageReader;
import peppergauge.thrift.wire.RawMessage;
import peppergauge.thrift.wire.WireFormat;

/**
 * A connection to a Thrift server, with at most one attempt at a time. Input that arrives without an attempt closes the
 * connection, as it would be taken for the reply to the next call. Event-loop thread only.
 */
final class ServerConnection implements ConnectionHandlerFactory, IOEventHandler {

    private final Backend.Server server;
    private final ConnectionPool pool;
    private final WireFormat format;
    private final MessageReader reader;
    /** The memory of a long reply. */
    private final MessageMemory.Reservation memory;

    private final ByteBuffer probeByte = ByteBuffer.allocate(1);
    private IOSession session;
    private ThriftExchange exchange;
    private int sequenceId;
    /** Whether memory for the present reply is reserved or awaited. */
    private boolean isMemoryRequested;

    private boolean countsAsOpen = true;
    private boolean isDisconnected;

    ServerConnection(
            Backend.Server server,
            ConnectionPool pool,
            WireFormat format,
            MessageLimits limits,
            MessageMemory.Reservation memory) {
        this.server = server;
        this.pool = pool;
        this.format = format;
        this.reader = new MessageReader(format, limits);
        this.memory = memory;
    }

    @Override
    public IOEventHandler create(ProtocolIOSession created) {
        session = created;
        return this;
    }

    Backend.Server server() {
        return server;
    }

    WireFormat format() {
        return format;
    }

    boolean isOpen() {
        return session != null && session.isOpen();
    }

    /** The sequence id of the next call, which a late reply to an earlier call does not have. */
    int nextSequenceId() {
        sequenceId = sequenceId == Integer.MAX_VALUE ? 1 : sequenceId + 1;
        return sequenceId;
    }

    /** Assigns the connection to an exchange until {@link #endExchange}; it writes at the end of the round. */
    void startExchange(ThriftExchange next) {
        exchange = next;
        session.setEvent(EventMask.WRITE);
    }

    void endExchange() {
        exchange = null;
        if (isMemoryRequested) {
            isMemoryRequested = false;
            memory.release();
            session.setEvent(EventMask.READ);
        }
    }

    /**
     * Whether the server has sent anything since the last reply: buffered bytes, bytes in the socket, or the end of the
     * stream. To be called right before the first byte of a call.
     */
    boolean hasUnexpectedInput() throws IOException {
        probeByte.clear();
        return reader.hasBufferedInput() || session.read(probeByte) != 0;
    }

    /** Whether bytes have arrived that are not part of a reply. */
    boolean hasBufferedInput() {
        return reader.hasBufferedInput();
    }

    int write(ByteBuffer bytes) throws IOException {
        return session.write(bytes);
    }

    void setTimeout(Timeout timeout) {
        session.setSocketTimeout(timeout);
    }

    /** Stops counting the connection as open; returns whether it counted until now. */
    boolean stopCountingAsOpen() {
        boolean before = countsAsOpen;
        countsAsOpen = false;
        return before;
    }

    /** Closes the connection without reading further, since a malformed reply may go on for gigabytes. */
    void close() {
        pool.onClosing(this);
        if (session != null) {
            session.close(CloseMode.GRACEFUL);
        }
    }

    // ---- Reactor events ----

    @Override
    public void connected(IOSession active) {
        active.setEvent(EventMask.READ);
    }

    @Override
    public void inputReady(IOSession active, ByteBuffer source) throws IOException {
        ByteBuffer buffer = pool.readBuffer().clear();
        int bytes = active.read(buffer);
        if (exchange == null) {
            if (bytes != 0) {
                close();
            }
            return;
        }
        if (bytes < 0) {
            exchange.onConnectionFailed();
            return;
        }
        reader.feed(buffer.flip());
        if (bytes > 0 && !exchange.isWritten()) {
            // The call is not completely written, so this input cannot be its reply.
            exchange.onConnectionFailed();
            return;
        }
        try {
            RawMessage message = reader.next();
            if (message != null) {
                exchange.onReply(message);
            } else if (!isMemoryRequested && reader.bufferBytes() >= ConnectionPool.READ_BUFFER_BYTES) {
                reserveMemory();
            }
        } catch (MalformedMessageException malformed) {
            Log.event("thrift_reply_malformed", "server", server.id(), "error", malformed.getMessage());
            exchange.onConnectionFailed();
        }
    }

    /** Reserves memory for the whole of a long reply; without it, nothing is read until there is some. */
    private void reserveMemory() {
        isMemoryRequested = true;
        if (!memory.growOrAwait(reader.expectedBytes(), () -> session.setEvent(EventMask.READ))) {
            Log.event("thrift_reply_paused", "server", server.id(), "needed_bytes", reader.expectedBytes());
            session.clearEvent(EventMask.READ);
        }
    }

    @Override
    public void outputReady(IOSession active) throws IOException {
        if (exchange == null || exchange.write()) {
            active.clearEvent(EventMask.WRITE);
        }
    }

    /** The idle timeout has passed; there is no timeout during an attempt. */
    @Override
    public void timeout(IOSession active, Timeout timeout) {
        close();
    }

    @Override
    public void exception(IOSession active, Exception cause) {
        if (cause instanceof RuntimeException) {
            Log.error("thrift_server_connection_failed", cause);
        }
    }

    @Override
    public void disconnected(IOSession active) {
        if (!isDisconnected) {
            isDisconnected = true;
            pool.onClosed(this);
            if (exchange != null) {
                exchange.onConnectionFailed();
            }
        }
    }
}
