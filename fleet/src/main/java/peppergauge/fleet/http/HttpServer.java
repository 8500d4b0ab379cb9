package peppergauge.fleet.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.Message;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexerFactory;
import org.apache.hc.core5.http.nio.AsyncRequestConsumer;
import org.apache.hc.core5.http.nio.AsyncServerRequestHandler;
import org.apache.hc.core5.http.nio.support.AsyncResponseBuilder;
import org.apache.hc.core5.http.nio.support.BasicAsyncServerExpectationDecorator;
import org.apache.hc.core5.http.nio.support.BasicRequestConsumer;
import org.apache.hc.core5.http.nio.support.BasicServerExchangeHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import peppergauge.log.Log;
import peppergauge.sockets.EventLoop;

/** HTTP server that handles all connections on an event loop and closes excess and idle connections. */
public final class HttpServer {

    private static final Timeout IDLE_TIMEOUT = Timeout.ofSeconds(10);

    /** Handles requests, on the server's thread. */
    public interface Handler {

        /**
         * Handles a request and replies, at once or later from another thread.
         *
         * @param body the request body, empty if there is none, null if it was too long
         */
        void handle(String method, String path, byte[] body, Consumer<HttpReply> reply);
    }

    private final EventLoop loop = new EventLoop();
    private final ServerHttp1StreamDuplexerFactory duplexers;
    private final int maxConnections;
    private final InetSocketAddress address;
    /** Number of open connections; only the loop's thread uses it. */
    private int open;

    /**
     * Starts the server.
     *
     * @throws IOException if the server cannot listen on the address
     */
    public HttpServer(InetSocketAddress listen, int maxBodyBytes, int maxConnections, Handler handler)
            throws IOException {
        this.maxConnections = maxConnections;
        Adapter adapter = new Adapter(handler, maxBodyBytes);
        duplexers = new ServerHttp1StreamDuplexerFactory(
                HttpProcessors.server(),
                (request, context) ->
                        new BasicAsyncServerExpectationDecorator(new BasicServerExchangeHandler<>(adapter)),
                Http1Config.DEFAULT,
                CharCodingConfig.DEFAULT,
                null,
                null);
        loop.start(new EventLoop.RoundListener() {}, () -> {});
        try {
            address = (InetSocketAddress) loop.listen(listen, Connection::new).getAddress();
        } catch (IOException failed) {
            loop.close();
            throw failed;
        }
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return address;
    }

    /** Stops listening and closes all connections. */
    public void close() {
        loop.close();
    }

    /** A connection, which is closed at once if there are too many. */
    private final class Connection implements IOEventHandler {

        private final ServerHttp1IOEventHandler http;

        Connection(ProtocolIOSession session) {
            session.setSocketTimeout(IDLE_TIMEOUT);
            http = new ServerHttp1IOEventHandler(duplexers.create(URIScheme.HTTP.id, session));
        }

        @Override
        public void connected(IOSession session) throws IOException {
            if (++open > maxConnections) {
                Log.event("fleet_connection_refused", "open", open - 1, "limit", maxConnections);
                session.close(CloseMode.IMMEDIATE);
            } else {
                http.connected(session);
            }
        }

        @Override
        public void inputReady(IOSession session, ByteBuffer source) throws IOException {
            http.inputReady(session, source);
        }

        @Override
        public void outputReady(IOSession session) throws IOException {
            http.outputReady(session);
        }

        @Override
        public void timeout(IOSession session, Timeout timeout) throws IOException {
            http.timeout(session, timeout);
        }

        @Override
        public void exception(IOSession session, Exception cause) {
            http.exception(session, cause);
        }

        @Override
        public void disconnected(IOSession session) {
            open--;
            http.disconnected(session);
        }
    }

    private record Adapter(Handler handler, int maxBodyBytes)
            implements AsyncServerRequestHandler<Message<HttpRequest, BoundedBody.Content>> {

        @Override
        public AsyncRequestConsumer<Message<HttpRequest, BoundedBody.Content>> prepare(
                HttpRequest request, EntityDetails details, HttpContext context) {
            return new BasicRequestConsumer<>(details == null ? null : new BoundedBody(maxBodyBytes));
        }

        @Override
        public void handle(
                Message<HttpRequest, BoundedBody.Content> message, ResponseTrigger trigger, HttpContext context) {
            BoundedBody.Content content = message.getBody();
            handler.handle(
                    message.getHead().getMethod(),
                    message.getHead().getPath(),
                    content == null ? new byte[0] : content.bytes(),
                    reply -> submit(reply, trigger, context));
        }

        private static void submit(HttpReply reply, ResponseTrigger trigger, HttpContext context) {
            AsyncResponseBuilder response =
                    AsyncResponseBuilder.create(reply.status()).setEntity(reply.body(), ContentType.APPLICATION_JSON);
            if (reply.retryAfterS() > 0) {
                response.setHeader("Retry-After", Integer.toString(reply.retryAfterS()));
            }
            try {
                trigger.submitResponse(response.build(), context);
            } catch (HttpException | IOException unsendable) {
                // Usually the client has disconnected, so there is nobody to send the response to.
            }
        }
    }
}
