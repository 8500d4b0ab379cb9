package peppergauge.fleet.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.Message;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.impl.bootstrap.AsyncServerBootstrap;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.http.impl.routing.RequestRouter;
import org.apache.hc.core5.http.nio.AsyncRequestConsumer;
import org.apache.hc.core5.http.nio.AsyncServerRequestHandler;
import org.apache.hc.core5.http.nio.support.AsyncResponseBuilder;
import org.apache.hc.core5.http.nio.support.BasicRequestConsumer;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/** HTTP server that handles all connections on one thread and closes excess and idle connections. */
public final class HttpServer {

    /** Length of the accept queue: all daemons of a fleet may connect at once. */
    private static final int BACKLOG = 1_024;

    private static final int IDLE_TIMEOUT_S = 10;
    private static final int SHUTDOWN_TIMEOUT_S = 1;

    /** Handles requests, on the server's thread. */
    public interface Handler {

        /**
         * Handles a request and replies, at once or later from another thread.
         *
         * @param body the request body, empty if there is none, null if it was too long
         */
        void handle(String method, String path, byte[] body, Consumer<HttpReply> reply);
    }

    private final HttpAsyncServer server;
    private final InetSocketAddress address;

    /**
     * Starts the server.
     *
     * @throws IOException if the server cannot listen on the address
     */
    public HttpServer(InetSocketAddress listen, int maxBodyBytes, int maxConnections, Handler handler)
            throws IOException, InterruptedException {
        server = AsyncServerBootstrap.bootstrap()
                .setIOReactorConfig(IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setTcpNoDelay(true)
                        .setSoReuseAddress(true)
                        .setBacklogSize(BACKLOG)
                        .setSoTimeout(Timeout.ofSeconds(IDLE_TIMEOUT_S))
                        .build())
                .setAuthorityResolver(RequestRouter.LOCAL_AUTHORITY_RESOLVER)
                .setIOSessionListener(new ConnectionLimit(maxConnections))
                .register("*", new Adapter(handler, maxBodyBytes))
                .create();
        server.start();
        try {
            ListenerEndpoint endpoint = server.listen(listen, URIScheme.HTTP).get();
            address = (InetSocketAddress) endpoint.getAddress();
        } catch (ExecutionException failed) {
            server.close(CloseMode.IMMEDIATE);
            throw new IOException(
                    "cannot listen on " + listen + ": " + failed.getCause().getMessage(), failed);
        }
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return address;
    }

    /** Stops listening and closes all connections. */
    public void close() {
        server.initiateShutdown();
        try {
            server.awaitShutdown(TimeValue.ofSeconds(SHUTDOWN_TIMEOUT_S));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        server.close(CloseMode.IMMEDIATE);
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

    /** Closes connections beyond a limit. */
    private static final class ConnectionLimit implements IOSessionListener {

        private final int maxConnections;
        private final AtomicInteger open = new AtomicInteger();

        ConnectionLimit(int maxConnections) {
            this.maxConnections = maxConnections;
        }

        @Override
        public void connected(IOSession session) {
            if (open.incrementAndGet() > maxConnections) {
                session.close(CloseMode.IMMEDIATE);
            }
        }

        @Override
        public void disconnected(IOSession session) {
            open.decrementAndGet();
        }

        @Override
        public void startTls(IOSession session) {}

        @Override
        public void inputReady(IOSession session) {}

        @Override
        public void outputReady(IOSession session) {}

        @Override
        public void timeout(IOSession session) {}

        @Override
        public void exception(IOSession session, Exception failure) {}
    }
}
