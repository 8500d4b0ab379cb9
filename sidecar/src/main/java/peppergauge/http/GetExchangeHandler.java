package peppergauge.http;

import java.io.IOException;
import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * Base class of an HTTP exchange whose request has no body, on a separate connection. Only the event loop's thread uses
 * it.
 */
public abstract class GetExchangeHandler implements AsyncClientExchangeHandler {

    private static final HttpProcessor NO_INTERCEPTORS =
            HttpProcessorBuilder.create().build();

    /** Returns the handler of a new connection. */
    public static IOEventHandler createEventHandler(ProtocolIOSession session) {
        return new ClientHttp1IOEventHandler(new Duplexer(session));
    }

    /**
     * Returns the handler of a new connection that also delivers data read together with the end of a chunked response.
     */
    public static IOEventHandler createStrictChunksEventHandler(ProtocolIOSession session) {
        return new ClientHttp1IOEventHandler(new Duplexer(session) {
            @Override
            protected ContentDecoder createContentDecoder(
                    long length,
                    ReadableByteChannel channel,
                    SessionInputBuffer input,
                    BasicHttpTransportMetrics metrics)
                    throws HttpException {
                return length == ContentLengthStrategy.CHUNKED
                        ? new StrictChunkDecoder(channel, input, Http1Config.DEFAULT, metrics)
                        : super.createContentDecoder(length, channel, input, metrics);
            }
        });
    }

    private static class Duplexer extends ClientHttp1StreamDuplexer {

        Duplexer(ProtocolIOSession session) {
            super(
                    session,
                    NO_INTERCEPTORS,
                    Http1Config.DEFAULT,
                    CharCodingConfig.DEFAULT,
                    DefaultConnectionReuseStrategy.INSTANCE,
                    HeadReader.forResponses(),
                    DefaultHttpRequestWriterFactory.INSTANCE.create(),
                    null,
                    null,
                    null);
        }
    }

    /** Returns the request to send. */
    protected abstract HttpRequest createRequest();

    @Override
    public final void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        channel.sendRequest(createRequest(), null, context);
    }

    @Override
    public final int available() {
        return 0;
    }

    @Override
    public final void produce(DataStreamChannel channel) {
        // The request has no body.
    }

    @Override
    public final void consumeInformation(HttpResponse response, HttpContext context) {
        // Interim responses are ignored.
    }

    @Override
    public final void updateCapacity(CapacityChannel channel) throws IOException {
        channel.update(Integer.MAX_VALUE);
    }
}
