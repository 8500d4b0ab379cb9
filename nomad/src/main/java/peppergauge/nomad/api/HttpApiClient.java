package peppergauge.nomad.api;

import java.net.InetSocketAddress;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import peppergauge.http.GetExchangeHandler;
import peppergauge.sockets.EventLoop;

/** Calls agents over HTTP/1.1 on the event loop, with a new connection for each call. */
public final class HttpApiClient implements ApiClient {

    private static final Timeout CONNECT_TIMEOUT = Timeout.ofMilliseconds(1_000);

    private final EventLoop loop;
    private final BackgroundExecutor background;
    private final TokenFile token;

    public HttpApiClient(EventLoop loop, BackgroundExecutor background, TokenFile token) {
        this.loop = loop;
        this.background = background;
        this.token = token;
    }

    @Override
    public ApiCall get(
            AgentAddress agent, String target, double idleTimeoutMs, double timeoutMs, ResponseHandler handler) {
        HttpApiCall call = new HttpApiCall(target, agent, token.token(), handler);
        if (timeoutMs < Double.POSITIVE_INFINITY) {
            call.setDeadline(
                    loop.schedule(timeoutMs, () -> call.abort("not complete after " + (long) timeoutMs + " ms")));
        }
        // Host name resolution blocks and may take seconds.
        background.submit(
                () -> new InetSocketAddress(agent.host(), agent.port()),
                address -> connect(call, address, idleTimeoutMs),
                call::abort);
        return call;
    }

    private void connect(HttpApiCall call, InetSocketAddress address, double idleTimeoutMs) {
        if (call.isEnded()) {
            return;
        }
        if (address.isUnresolved()) {
            call.abort("host name " + address.getHostString() + " could not be resolved");
            return;
        }
        loop.connect(
                new HttpHost("http", address.getHostString(), address.getPort()),
                address,
                CONNECT_TIMEOUT,
                GetExchangeHandler::createEventHandler,
                new FutureCallback<>() {
                    @Override
                    public void completed(IOSession session) {
                        session.setSocketTimeout(Timeout.ofMilliseconds((long) idleTimeoutMs));
                        if (call.onConnected(session)) {
                            session.enqueue(
                                    new RequestExecutionCommand(call, HttpCoreContext.create()),
                                    Command.Priority.NORMAL);
                        }
                    }

                    @Override
                    public void failed(Exception cause) {
                        call.abort(cause.toString());
                    }

                    @Override
                    public void cancelled() {
                        call.abort("connecting was cancelled");
                    }
                });
    }
}
