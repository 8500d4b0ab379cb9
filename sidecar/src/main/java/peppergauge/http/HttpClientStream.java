package peppergauge.http;

import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * The client side of an HTTP/1.1 connection that the sidecar opened to a backend server: an HttpCore stream with strict
 * parsing that adds no headers to requests.
 */
public class HttpClientStream extends ClientHttp1StreamDuplexer {

    private static final HttpProcessor NO_INTERCEPTORS =
            HttpProcessorBuilder.create().build();

    private final Http1Config config;

    /** Creates the client side of an established connection. */
    public HttpClientStream(ProtocolIOSession connection, Http1Config config, HeadReader<HttpResponse> headReader) {
        super(
                connection,
                NO_INTERCEPTORS,
                config,
                CharCodingConfig.DEFAULT,
                DefaultConnectionReuseStrategy.INSTANCE,
                headReader,
                DefaultHttpRequestWriterFactory.INSTANCE.create(),
                null,
                null,
                null);
        this.config = config;
    }

    @Override
    protected ContentDecoder createContentDecoder(
            long length, ReadableByteChannel channel, SessionInputBuffer input, BasicHttpTransportMetrics metrics)
            throws HttpException {
        return length == ContentLengthStrategy.CHUNKED
                ? new StrictChunkDecoder(channel, input, config, metrics)
                : super.createContentDecoder(length, channel, input, metrics);
    }
}
