package peppergauge.frontend;

import java.nio.channels.ReadableByteChannel;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import peppergauge.http.HeadReader;
import peppergauge.http.StrictChunkDecoder;

/** Server side of an HttpCore connection with strict parsing: adds no headers and never closes by itself. */
final class HttpServerStream extends ServerHttp1StreamDuplexer {

    private static final HttpProcessor NO_INTERCEPTORS =
            HttpProcessorBuilder.create().build();
    private static final int BUFFER_BYTES = 4096;
    private static final Http1Config CONFIG =
            Http1Config.custom().setBufferSize(BUFFER_BYTES).build();

    HttpServerStream(
            ProtocolIOSession connection,
            HeadReader<HttpRequest> headReader,
            Supplier<AsyncServerExchangeHandler> handlers,
            Http1StreamListener listener) {
        super(
                connection,
                NO_INTERCEPTORS,
                (request, context) -> handlers.get(),
                null,
                CONFIG,
                CharCodingConfig.DEFAULT,
                // HttpCore would close before earlier responses are written; HttpClientConnection closes the
                // connection.
                (request, response, context) -> true,
                headReader,
                DefaultHttpResponseWriterFactory.INSTANCE.create(),
                null,
                null,
                listener,
                HttpFrontend::logUnexpected);
    }

    @Override
    protected ContentDecoder createContentDecoder(
            long length, ReadableByteChannel channel, SessionInputBuffer input, BasicHttpTransportMetrics metrics)
            throws HttpException {
        return length == ContentLengthStrategy.CHUNKED
                ? new StrictChunkDecoder(channel, input, CONFIG, metrics)
                : super.createContentDecoder(length, channel, input, metrics);
    }
}
