package peppergauge.nomad.wire;

import java.net.InetSocketAddress;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import peppergauge.http.HeadReader;
import peppergauge.sockets.EventLoop;

/** Asks agents over HTTP/1.1 on the loop, each call on a connection of its own. */
public final class LoopHttp implements Http {

    private static final HttpProcessor NOTHING_ADDED =
            HttpProcessorBuilder.create().build();
    private static final Timeout CONNECTING = Timeout.ofMilliseconds(1_000);

    private final EventLoop loop;
    private final Work work;
    private final TokenFile token;

    public LoopHttp(EventLoop loop, Work work, TokenFile token) {
        this.loop = loop;
        this.work = work;
        this.token = token;
    }

    @Override
    public Call get(Agent agent, String target, double silenceMs, double wholeMs, Sink sink) {
        HttpCall call = new HttpCall(target, agent, token.token(), sink);
        if (wholeMs < Double.POSITIVE_INFINITY) {
            call.until(loop.schedule(wholeMs, () -> call.close("not whole after " + (long) wholeMs + " ms")));
        }
        // A name may take the resolver seconds.
        work.run(
                () -> new InetSocketAddress(agent.host(), agent.port()),
                address -> connect(call, address, silenceMs),
                call::close);
        return call;
    }

    private void connect(HttpCall call, InetSocketAddress address, double silenceMs) {
        if (call.over()) {
            return;
        }
        if (address.isUnresolved()) {
            call.close("no such host");
            return;
        }
        loop.connect(
                new HttpHost("http", address.getHostString(), address.getPort()),
                address,
                CONNECTING,
                LoopHttp::comeUp,
                new FutureCallback<>() {
                    @Override
                    public void completed(IOSession up) {
                        up.setSocketTimeout(Timeout.ofMilliseconds((long) silenceMs));
                        if (call.up(up)) {
                            up.enqueue(
                                    new RequestExecutionCommand(call, HttpCoreContext.create()),
                                    Command.Priority.NORMAL);
                        }
                    }

                    @Override
                    public void failed(Exception cause) {
                        call.close(cause.toString());
                    }

                    @Override
                    public void cancelled() {
                        call.close("connecting was cancelled");
                    }
                });
    }

    private static IOEventHandler comeUp(ProtocolIOSession up) {
        return new ClientHttp1IOEventHandler(new ClientHttp1StreamDuplexer(
                up,
                NOTHING_ADDED,
                Http1Config.DEFAULT,
                CharCodingConfig.DEFAULT,
                DefaultConnectionReuseStrategy.INSTANCE,
                HeadReader.forResponses(),
                DefaultHttpRequestWriterFactory.INSTANCE.create(),
                null,
                null,
                null));
    }
}
