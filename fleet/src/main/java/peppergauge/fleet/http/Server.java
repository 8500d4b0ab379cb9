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

/** All connections on one thread. Connections beyond the bound, and ones that say nothing, are closed. */
public final class Server {

    /** A whole fleet may start at once. */
    private static final int BACKLOG = 1_024;

    private static final int SILENCE_S = 10;
    private static final int ENDING_S = 1;

    /** Answers, at once or later from another thread; called on the server's thread. */
    public interface Handler {

        /** @param body empty without one, null where it was too long */
        void handle(String method, String path, byte[] body, Consumer<Reply> reply);
    }

    private final HttpAsyncServer server;
    private final InetSocketAddress address;

    /** @throws IOException if it cannot listen there */
    public Server(InetSocketAddress listen, int mostBytes, int mostConnections, Handler handler)
            throws IOException, InterruptedException {
        server = AsyncServerBootstrap.bootstrap()
                .setIOReactorConfig(IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setTcpNoDelay(true)
                        .setSoReuseAddress(true)
                        .setBacklogSize(BACKLOG)
                        .setSoTimeout(Timeout.ofSeconds(SILENCE_S))
                        .build())
                .setAuthorityResolver(RequestRouter.LOCAL_AUTHORITY_RESOLVER)
                .setIOSessionListener(new Bounded(mostConnections))
                .register("*", new Adapter(handler, mostBytes))
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

    public InetSocketAddress address() {
        return address;
    }

    public void close() {
        server.initiateShutdown();
        try {
            server.awaitShutdown(TimeValue.ofSeconds(ENDING_S));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        server.close(CloseMode.IMMEDIATE);
    }

    private record Adapter(Handler handler, int mostBytes)
            implements AsyncServerRequestHandler<Message<HttpRequest, BoundedBody.Content>> {

        @Override
        public AsyncRequestConsumer<Message<HttpRequest, BoundedBody.Content>> prepare(
                HttpRequest request, EntityDetails details, HttpContext context) {
            return new BasicRequestConsumer<>(details == null ? null : new BoundedBody(mostBytes));
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

        private static void submit(Reply reply, ResponseTrigger trigger, HttpContext context) {
            AsyncResponseBuilder response =
                    AsyncResponseBuilder.create(reply.status()).setEntity(reply.body(), ContentType.APPLICATION_JSON);
            if (reply.retryAfterS() > 0) {
                response.setHeader("Retry-After", Integer.toString(reply.retryAfterS()));
            }
            try {
                trigger.submitResponse(response.build(), context);
            } catch (HttpException | IOException gone) {
                // Who asked has left; it asks again.
            }
        }
    }

    /** Counts connections. */
    private static final class Bounded implements IOSessionListener {

        private final int most;
        private final AtomicInteger open = new AtomicInteger();

        Bounded(int most) {
            this.most = most;
        }

        @Override
        public void connected(IOSession session) {
            if (open.incrementAndGet() > most) {
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
