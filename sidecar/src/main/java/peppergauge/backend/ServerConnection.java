package peppergauge.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.ContentEncoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.nio.SessionOutputBuffer;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.io.ModalCloseable;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import peppergauge.http.HeadReader;
import peppergauge.http.StrictChunkDecoder;
import peppergauge.sockets.ConnectionHandlerFactory;
import peppergauge.sockets.KernelBuffers;
import peppergauge.sockets.SocketLimit;

/**
 * A connection to a backend server. It carries its own reader of heads, which shows whether anything came in that
 * no request asked for: the next request would be answered with it.
 */
final class ServerConnection implements ModalCloseable, ConnectionHandlerFactory {

    /** The processor is empty: what a request carries is settled by the message alone. */
    private static final HttpProcessor NOTHING_ADDED =
            HttpProcessorBuilder.create().build();

    private static final Http1Config HTTP =
            Http1Config.custom().setBufferSize(4096).build();

    /** Reads of a long answer at once, before other connections get their turn. */
    private static final int MOST_READS = 16;

    private final HeadReader<HttpResponse> reader = HeadReader.forResponses();
    private final ByteBuffer spare = ByteBuffer.allocate(1);
    private final SocketLimit room;
    private IOSession session;
    private HttpExchange exchange;
    private boolean kept;

    /** {@code room}: where this connection's place is given back when it has ended. */
    ServerConnection(SocketLimit room) {
        this.room = room;
    }

    @Override
    public IOEventHandler create(ProtocolIOSession up) {
        session = up;
        return new ClientHttp1IOEventHandler(
                new ClientHttp1StreamDuplexer(
                        up,
                        NOTHING_ADDED,
                        HTTP,
                        CharCodingConfig.DEFAULT,
                        DefaultConnectionReuseStrategy.INSTANCE,
                        reader,
                        DefaultHttpRequestWriterFactory.INSTANCE.create(),
                        null,
                        null,
                        null) {
                    @Override
                    protected ContentDecoder createContentDecoder(
                            long length,
                            ReadableByteChannel channel,
                            SessionInputBuffer input,
                            BasicHttpTransportMetrics metrics)
                            throws HttpException {
                        return length == ContentLengthStrategy.CHUNKED
                                ? new StrictChunkDecoder(channel, input, HTTP, metrics)
                                : super.createContentDecoder(length, channel, input, metrics);
                    }

                    @Override
                    protected ContentEncoder createContentEncoder(
                            long length,
                            WritableByteChannel channel,
                            SessionOutputBuffer output,
                            BasicHttpTransportMetrics metrics)
                            throws HttpException {
                        return length == ContentLengthStrategy.CHUNKED
                                ? new ChunkedRequestEncoder(channel, output, metrics, exchange)
                                : super.createContentEncoder(length, channel, output, metrics);
                    }
                }) {
            @Override
            public void inputReady(IOSession ready, ByteBuffer source) throws IOException {
                super.inputReady(ready, source);
                for (int i = 0; i < MOST_READS && exchange != null && exchange.takesMore(); i++) {
                    // HttpCore reads 4 KiB at a time, and a round for each would be most of the cost.
                    long before = exchange.came();
                    super.inputReady(ready, null);
                    if (exchange.came() == before) {
                        break;
                    }
                }
            }

            @Override
            public void disconnected(IOSession ended) {
                super.disconnected(ended);
                room.onSocketClosed();
            }
        };
    }

    boolean isOpen() {
        return session != null && session.isOpen();
    }

    /** It is idle from now on, and its server may end it at any time. */
    void kept() {
        kept = true;
    }

    /** Whether it was idle before. */
    boolean wasKept() {
        return kept;
    }

    /**
     * Whether nothing came in since the last answer: neither bytes that HttpCore has taken in nor any that wait in
     * the socket, nor the other side's close. To be asked right before the first byte of a request.
     */
    boolean isSilent() throws IOException {
        spare.clear();
        return !reader.hasPartialHead() && session.read(spare) == 0;
    }

    void execute(RequestExecutionCommand command, HttpExchange from) {
        exchange = from;
        session.enqueue(command, Command.Priority.NORMAL);
        if (!session.isOpen()) {
            command.cancel();
        }
    }

    /** A long body goes through here. */
    void bound(int bytes) {
        KernelBuffers.limit(session, bytes);
    }

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
