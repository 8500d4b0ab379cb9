package peppergauge.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.nio.ContentEncoder;
import org.apache.hc.core5.http.nio.SessionOutputBuffer;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.io.ModalCloseable;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import peppergauge.http.HeadReader;
import peppergauge.http.HttpClientStream;
import peppergauge.request.Backend;
import peppergauge.request.Clock;
import peppergauge.sockets.ConnectionHandlerFactory;
import peppergauge.sockets.KernelBuffers;
import peppergauge.sockets.SocketLimit;

/** A connection to a backend server, and the attempt that uses it. Only the event loop's thread uses it. */
final class ServerConnection implements ModalCloseable, ConnectionHandlerFactory {

    /** Size of the read buffer. */
    static final int BUFFER_BYTES = 4096;

    private static final Http1Config CONFIG =
            Http1Config.custom().setBufferSize(BUFFER_BYTES).build();

    /** Maximum number of reads of a large body in one round, before other connections are served. */
    private static final int MAX_READS = 16;

    private final HeadReader<HttpResponse> headReader = HeadReader.forResponses();
    private final ByteBuffer probeBuffer = ByteBuffer.allocate(1);
    private final Backend.Server server;
    private final Clock clock;
    private final SocketLimit sockets;
    private final Runnable onUnexpectedInput;
    private IOSession session;
    private HttpExchange exchange;
    private boolean idle;
    private boolean idleBefore;
    /** When the connection last became idle; NaN before the first time. */
    private double idleSinceMs = Double.NaN;
    /** What the head reader had received when the connection became idle. */
    private long bytesWhenIdle;

    private double recentLatencyMs = Double.POSITIVE_INFINITY;

    /**
     * Creates a connection to a server.
     *
     * @param sockets gets the socket back when the connection has closed
     * @param onUnexpectedInput called for input that responds to no request
     */
    ServerConnection(Backend.Server server, Clock clock, SocketLimit sockets, Runnable onUnexpectedInput) {
        this.server = server;
        this.clock = clock;
        this.sockets = sockets;
        this.onUnexpectedInput = onUnexpectedInput;
    }

    // ---- Protocol ----

    @Override
    public IOEventHandler create(ProtocolIOSession connected) {
        session = connected;
        return new ReadingHandler(new RequestStream(connected));
    }

    /** Writes chunked bodies of the current attempt. */
    private final class RequestStream extends HttpClientStream {

        RequestStream(ProtocolIOSession connected) {
            super(connected, CONFIG, headReader);
        }

        @Override
        protected ContentEncoder createContentEncoder(
                long length, WritableByteChannel channel, SessionOutputBuffer output, BasicHttpTransportMetrics metrics)
                throws HttpException {
            return length == ContentLengthStrategy.CHUNKED
                    ? new ChunkedRequestEncoder(channel, output, metrics, exchange)
                    : super.createContentEncoder(length, channel, output, metrics);
        }
    }

    /** Reads more of a large body in the same round, since HttpCore reads only one buffer of 4 KiB per round. */
    private final class ReadingHandler extends ClientHttp1IOEventHandler {

        ReadingHandler(HttpClientStream stream) {
            super(stream);
        }

        @Override
        public void inputReady(IOSession ready, ByteBuffer source) throws IOException {
            super.inputReady(ready, source);
            if (idle && headReader.receivedBytes() > bytesWhenIdle) {
                reportUnexpectedInput(UnexpectedInput.IDLE);
                // HttpCore closes only after a complete head; no request may be written behind a part of one.
                close(CloseMode.IMMEDIATE);
                return;
            }
            for (int i = 0; i < MAX_READS && exchange != null && exchange.hasBodyCapacity(); i++) {
                long before = exchange.streamedBytes();
                super.inputReady(ready, null);
                if (exchange.streamedBytes() == before) {
                    return;
                }
            }
        }

        @Override
        public void disconnected(IOSession ended) {
            super.disconnected(ended);
            sockets.onSocketClosed();
        }
    }

    // ---- Use ----

    /** Whether the connection is established and not closed. */
    boolean isOpen() {
        return session != null && session.isOpen();
    }

    /** Called when the connection becomes idle; from then on its server may close it at any time. */
    void onIdle() {
        idle = true;
        idleBefore = true;
        idleSinceMs = clock.nowMs();
        bytesWhenIdle = headReader.receivedBytes();
    }

    /** Whether the connection has been idle before. */
    boolean hasBeenIdle() {
        return idleBefore;
    }

    /**
     * Whether nothing has been received since the last response, neither bytes nor a close. Must be called immediately
     * before the first byte of a request, since bytes received earlier would be read as its response.
     */
    boolean hasNoInput() throws IOException {
        probeBuffer.clear();
        int read = headReader.hasPartialHead() ? 1 : session.read(probeBuffer);
        if (read > 0) {
            reportUnexpectedInput(UnexpectedInput.BEFORE_REQUEST);
        }
        return read == 0;
    }

    /** Logs input that is no response to the current request, after which the connection is not used again. */
    void reportUnexpectedInput(UnexpectedInput kind) {
        kind.log(server, clock.nowMs() - idleSinceMs);
        onUnexpectedInput.run();
    }

    /** Records the latency of a successful response. */
    void onSuccess(double latencyMs) {
        boolean isFirst = recentLatencyMs == Double.POSITIVE_INFINITY;
        recentLatencyMs = isFirst ? latencyMs : Math.max(latencyMs, (recentLatencyMs + latencyMs) / 2);
    }

    /**
     * Latency of the last successful responses, infinite before the first one. It rises at once and falls by halves,
     * since health checks are faster than requests.
     */
    double recentLatencyMs() {
        return recentLatencyMs;
    }

    /** Starts {@code attempt} on this connection. */
    void execute(RequestExecutionCommand command, HttpExchange attempt) {
        idle = false;
        exchange = attempt;
        session.enqueue(command, Command.Priority.NORMAL);
        if (!session.isOpen()) {
            command.cancel();
        }
    }

    /** Reads nothing until {@link #resumeReading}, so that the server has to stop sending. */
    void pauseReading() {
        session.clearEvent(EventMask.READ);
    }

    /** Reads again. */
    void resumeReading() {
        session.setEvent(EventMask.READ);
    }

    /** Limits the kernel's buffers for a large body; 0 leaves them unchanged. */
    void limitBuffers(int bytes) {
        KernelBuffers.limit(session, bytes);
    }

    /** Sets the read timeout. */
    void setTimeout(Timeout timeout) {
        session.setSocketTimeout(timeout);
    }

    @Override
    public void close(CloseMode mode) {
        if (session != null) {
            session.close(mode);
        }
    }

    @Override
    public void close() {
        close(CloseMode.IMMEDIATE);
    }
}
