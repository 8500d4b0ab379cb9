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
import peppergauge.request.Backend;
import peppergauge.sockets.ConnectionHandlerFactory;
import peppergauge.thrift.wire.Bounds;
import peppergauge.thrift.wire.Form;
import peppergauge.thrift.wire.Malformed;
import peppergauge.thrift.wire.MessageReader;
import peppergauge.thrift.wire.RawMessage;

/**
 * A connection to a Thrift server, with one attempt on it at most. What comes in while nothing is owed on it belongs to
 * no attempt, and would be taken for the next one's answer: it is closed.
 */
final class ServerConnection implements ConnectionHandlerFactory, IOEventHandler {

    private final Backend.Server server;
    private final Pool pool;
    private final Form form;
    private final MessageReader reader;
    private final ByteBuffer spare = ByteBuffer.allocate(1);
    private IOSession session;
    private ThriftExchange exchange;
    private int sequence;
    private boolean counted = true;
    private boolean ended;

    ServerConnection(Backend.Server server, Pool pool, Form form, Bounds bounds) {
        this.server = server;
        this.pool = pool;
        this.form = form;
        this.reader = new MessageReader(form, bounds);
    }

    @Override
    public IOEventHandler create(ProtocolIOSession up) {
        session = up;
        return this;
    }

    Backend.Server server() {
        return server;
    }

    Form form() {
        return form;
    }

    boolean isOpen() {
        return session != null && session.isOpen();
    }

    /** Of the next call; the last one's late answer has another. */
    int nextSequence() {
        sequence = sequence == Integer.MAX_VALUE ? 1 : sequence + 1;
        return sequence;
    }

    /** Has the exchange write at the end of the round; it has the connection until {@link #release}. */
    void execute(ThriftExchange next) {
        exchange = next;
        session.setEvent(EventMask.WRITE);
    }

    /** The exchange is over. */
    void release() {
        exchange = null;
    }

    /**
     * Whether nothing came in since the last answer: neither bytes that were taken in nor any that wait in the socket,
     * nor the other side's close. To be asked right before the first byte of a call.
     */
    boolean isSilent() throws IOException {
        spare.clear();
        return !reader.begun() && session.read(spare) == 0;
    }

    /** Whether more has come in than the answer. */
    boolean hasSurplus() {
        return reader.begun();
    }

    int write(ByteBuffer bytes) throws IOException {
        return session.write(bytes);
    }

    void setTimeout(Timeout timeout) {
        session.setSocketTimeout(timeout);
    }

    /** It counts as open no longer; whether it did until now. */
    boolean uncount() {
        boolean before = counted;
        counted = false;
        return before;
    }

    /** At once; nothing more is read, though a spoilt answer may go on for gigabytes. */
    void close() {
        pool.closing(this);
        if (session != null) {
            session.close(CloseMode.GRACEFUL);
        }
    }

    // ---- What the reactor tells ----

    @Override
    public void connected(IOSession up) {
        up.setEvent(EventMask.READ);
    }

    @Override
    public void inputReady(IOSession up, ByteBuffer source) throws IOException {
        ByteBuffer input = pool.input().clear();
        int bytes = up.read(input);
        if (exchange == null) {
            if (bytes != 0) {
                close();
            }
            return;
        }
        if (bytes < 0) {
            exchange.failed();
            return;
        }
        reader.feed(input.flip());
        if (bytes > 0 && !exchange.isWritten()) {
            // Nothing, or only a part, of the call is out: this answers something else.
            exchange.failed();
            return;
        }
        try {
            RawMessage message = reader.next();
            if (message != null) {
                exchange.answered(message);
            }
        } catch (Malformed malformed) {
            Log.line("broken", "server " + server.id() + " answered " + malformed.getMessage());
            exchange.failed();
        }
    }

    @Override
    public void outputReady(IOSession up) throws IOException {
        if (exchange == null || exchange.write()) {
            up.clearEvent(EventMask.WRITE);
        }
    }

    /** Idle for too long; while an attempt is out there is no time-out. */
    @Override
    public void timeout(IOSession up, Timeout timeout) {
        close();
    }

    @Override
    public void exception(IOSession up, Exception cause) {
        if (cause instanceof RuntimeException) {
            Log.bug("thrift", cause);
        }
    }

    @Override
    public void disconnected(IOSession up) {
        if (!ended) {
            ended = true;
            pool.ended(this);
            if (exchange != null) {
                exchange.failed();
            }
        }
    }
}
