package peppergauge.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.List;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import peppergauge.http.HeadReader;
import peppergauge.http.StrictChunkDecoder;
import peppergauge.sockets.EventLoop;

/** One call for a watch, from its connection to its end. All of it runs on the loop's thread. */
final class DiscoveryCall implements AsyncClientExchangeHandler, NewsText.Sink {

    private static final HttpProcessor NOTHING_ADDED =
            HttpProcessorBuilder.create().build();

    /** What becomes of a call; nothing more is told of one that was closed. */
    interface Listener {

        /**
         * The answer has begun.
         *
         * @param afterMs since the connection came up
         * @return how long it may be silent from now on, ms
         */
        double begun(DiscoveryCall call, double afterMs);

        /** Discovery has more calls than it can answer; the call's end is told next. */
        void crowded();

        /** @throws IOException if the call is to end, for this reason */
        void object(DiscoveryCall call, byte[] whole) throws IOException;

        void blankLine(DiscoveryCall call);

        /** It is over, by itself; {@code silent}: nothing came for too long. */
        void ended(DiscoveryCall call, String why, boolean silent);
    }

    private final HttpHost discovery;
    private final long fromVersion;
    private final Listener listener;
    private final NewsText text = new NewsText(this);
    /** Once it has come up. */
    private IOSession connection;

    private long upNs;
    private boolean begun;
    private boolean over;

    /** {@code fromVersion}: changes after it are asked for. */
    DiscoveryCall(HttpHost discovery, long fromVersion, Listener listener) {
        this.discovery = discovery;
        this.fromVersion = fromVersion;
        this.listener = listener;
    }

    /** {@code longestMs}: from now to the head of the answer. */
    void connect(EventLoop loop, double longestMs) {
        long connectedAtNs = System.nanoTime();
        loop.connect(
                discovery,
                new InetSocketAddress(discovery.getHostName(), discovery.getPort()),
                timeout(longestMs),
                DiscoveryCall::comeUp,
                new FutureCallback<>() {
                    @Override
                    public void completed(IOSession up) {
                        connection = up;
                        if (over) {
                            up.close(CloseMode.IMMEDIATE);
                            return;
                        }
                        upNs = System.nanoTime();
                        // One wait for both: a connection that came up late leaves its answer the rest of it.
                        up.setSocketTimeout(timeout(longestMs - (upNs - connectedAtNs) / 1e6));
                        up.enqueue(
                                new RequestExecutionCommand(DiscoveryCall.this, HttpCoreContext.create()),
                                Command.Priority.NORMAL);
                    }

                    @Override
                    public void failed(Exception cause) {
                        end(cause.toString(), isSilence(cause));
                    }

                    @Override
                    public void cancelled() {
                        end("connecting was cancelled", false);
                    }
                });
    }

    private static IOEventHandler comeUp(ProtocolIOSession up) {
        return new ClientHttp1IOEventHandler(
                new ClientHttp1StreamDuplexer(
                        up,
                        NOTHING_ADDED,
                        Http1Config.DEFAULT,
                        CharCodingConfig.DEFAULT,
                        DefaultConnectionReuseStrategy.INSTANCE,
                        HeadReader.forResponses(),
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
                        // A change that is read together with the end of its watch has been told all the same.
                        return length == ContentLengthStrategy.CHUNKED
                                ? new StrictChunkDecoder(channel, input, Http1Config.DEFAULT, metrics)
                                : super.createContentDecoder(length, channel, input, metrics);
                    }
                });
    }

    private static boolean isSilence(Exception cause) {
        return cause instanceof SocketTimeoutException;
    }

    /** HttpCore takes 0 for no time-out at all. */
    private static Timeout timeout(double ms) {
        return Timeout.ofMilliseconds(Math.max(1, (long) ms));
    }

    /** Whether an answer has begun. */
    boolean hasBegun() {
        return begun;
    }

    /** Its caller needs it no more. */
    void close() {
        over = true;
        if (connection != null) {
            connection.close(CloseMode.IMMEDIATE);
        }
    }

    private void end(String why, boolean silent) {
        if (!over) {
            close();
            listener.ended(this, why, silent);
        }
    }

    // ---- The request, which has no body ----

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        BasicHttpRequest request = new BasicHttpRequest("GET", "/discovery/hosts?watch=1&from=" + fromVersion);
        request.addHeader("Host", discovery.toHostString());
        channel.sendRequest(request, null, context);
    }

    @Override
    public int available() {
        return 0;
    }

    @Override
    public void produce(DataStreamChannel channel) {
        // The request has no body.
    }

    // ---- The answer ----

    @Override
    public void consumeInformation(HttpResponse response, HttpContext context) {
        // Nothing to learn from an interim answer.
    }

    @Override
    public void consumeResponse(HttpResponse response, EntityDetails details, HttpContext context)
            throws HttpException {
        if (over) {
            return;
        }
        int status = response.getCode();
        if (status == HttpStatus.SC_SERVICE_UNAVAILABLE || status == HttpStatus.SC_TOO_MANY_REQUESTS) {
            listener.crowded();
        }
        if (status != HttpStatus.SC_OK || details == null) {
            throw new HttpException("discovery answered " + status);
        }
        begun = true;
        connection.setSocketTimeout(timeout(listener.begun(this, (System.nanoTime() - upNs) / 1e6)));
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        channel.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer part) throws IOException {
        text.take(part);
    }

    @Override
    public void object(byte[] whole) throws IOException {
        if (!over) {
            listener.object(this, whole);
        }
    }

    @Override
    public void blankLine() {
        if (!over) {
            listener.blankLine(this);
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        end("discovery ended it", false);
    }

    @Override
    public void failed(Exception cause) {
        end(cause.toString(), isSilence(cause));
    }

    @Override
    public void cancel() {
        end("it was cancelled", false);
    }

    @Override
    public void releaseResources() {
        end("its connection ended", false);
    }
}
