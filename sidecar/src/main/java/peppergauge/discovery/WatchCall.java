package peppergauge.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import peppergauge.http.GetExchangeHandler;
import peppergauge.sockets.EventLoop;

/** One HTTP call of a watch, from connecting to its end. Confined to the event loop's thread. */
final class WatchCall extends GetExchangeHandler implements JsonObjectSplitter.Sink {

    /** Is notified of the events of a call, until {@link #close}. */
    interface Listener {

        /**
         * The response has started.
         *
         * @param latencyMs time since the connection was established
         * @return the idle timeout of the response, ms
         */
        double onResponseStarted(WatchCall call, double latencyMs);

        /** Discovery rejected the call because it is overloaded; {@link #onEnded} follows. */
        void onOverloaded();

        /**
         * A JSON object was received.
         *
         * @throws IOException if the call must end with this error
         */
        void onObject(WatchCall call, byte[] text) throws IOException;

        /** A heartbeat was received. */
        void onBlankLine(WatchCall call);

        /**
         * The call ended without having been closed.
         *
         * @param isTimeout whether a timeout ended the call
         */
        void onEnded(WatchCall call, String error, boolean isTimeout);
    }

    private enum State {
        CONNECTING,
        AWAITING_RESPONSE,
        STREAMING,
        CLOSED
    }

    private final HttpHost discovery;
    private final long fromVersion;
    private final Listener listener;
    private final JsonObjectSplitter splitter = new JsonObjectSplitter(this);
    private State state = State.CONNECTING;
    /** Null until connected. */
    private IOSession connection;

    private long connectedAtNanos;

    /** @param fromVersion changes after this version are requested */
    WatchCall(HttpHost discovery, long fromVersion, Listener listener) {
        this.discovery = discovery;
        this.fromVersion = fromVersion;
        this.listener = listener;
    }

    /** @param timeoutMs maximum time to the response's head, including the time to connect */
    void connect(EventLoop loop, double timeoutMs) {
        long startedAtNanos = System.nanoTime();
        loop.connect(
                discovery,
                new InetSocketAddress(discovery.getHostName(), discovery.getPort()),
                timeout(timeoutMs),
                GetExchangeHandler::createStrictChunksEventHandler,
                new FutureCallback<>() {
                    @Override
                    public void completed(IOSession session) {
                        onConnected(session, startedAtNanos, timeoutMs);
                    }

                    @Override
                    public void failed(Exception cause) {
                        end(cause.toString(), isTimeout(cause));
                    }

                    @Override
                    public void cancelled() {
                        end("connecting was cancelled", false);
                    }
                });
    }

    private void onConnected(IOSession session, long startedAtNanos, double timeoutMs) {
        connection = session;
        if (state == State.CLOSED) {
            session.close(CloseMode.IMMEDIATE);
            return;
        }
        state = State.AWAITING_RESPONSE;
        connectedAtNanos = System.nanoTime();
        // One timeout covers connecting and the response: the response gets the remaining time.
        session.setSocketTimeout(timeout(timeoutMs - (connectedAtNanos - startedAtNanos) / 1e6));
        session.enqueue(new RequestExecutionCommand(this, HttpCoreContext.create()), Command.Priority.NORMAL);
    }

    private static boolean isTimeout(Exception cause) {
        return cause instanceof SocketTimeoutException;
    }

    /** HttpCore interprets 0 as no timeout. */
    private static Timeout timeout(double ms) {
        return Timeout.ofMilliseconds(Math.max(1, (long) ms));
    }

    /** Returns whether a response has started and the call has not ended. */
    boolean isStreaming() {
        return state == State.STREAMING;
    }

    /** Closes the connection; the listener is not notified any more. */
    void close() {
        state = State.CLOSED;
        if (connection != null) {
            connection.close(CloseMode.IMMEDIATE);
        }
    }

    private void end(String error, boolean isTimeout) {
        if (state != State.CLOSED) {
            close();
            listener.onEnded(this, error, isTimeout);
        }
    }

    // ---- Request and response ----

    @Override
    protected HttpRequest createRequest() {
        BasicHttpRequest request = new BasicHttpRequest("GET", "/discovery/hosts?watch=1&from=" + fromVersion);
        request.addHeader("Host", discovery.toHostString());
        return request;
    }

    @Override
    public void consumeResponse(HttpResponse response, EntityDetails details, HttpContext context)
            throws HttpException {
        if (state == State.CLOSED) {
            return;
        }
        int status = response.getCode();
        if (status == HttpStatus.SC_SERVICE_UNAVAILABLE || status == HttpStatus.SC_TOO_MANY_REQUESTS) {
            listener.onOverloaded();
        }
        if (status != HttpStatus.SC_OK) {
            throw new HttpException("discovery responded with status " + status + ", expected 200");
        }
        if (details == null) {
            throw new HttpException("discovery responded with status 200 without a body");
        }
        state = State.STREAMING;
        double latencyMs = (System.nanoTime() - connectedAtNanos) / 1e6;
        connection.setSocketTimeout(timeout(listener.onResponseStarted(this, latencyMs)));
    }

    @Override
    public void consume(ByteBuffer part) throws IOException {
        splitter.write(part);
    }

    @Override
    public void onObject(byte[] text) throws IOException {
        if (state != State.CLOSED) {
            listener.onObject(this, text);
        }
    }

    @Override
    public void onBlankLine() {
        if (state != State.CLOSED) {
            listener.onBlankLine(this);
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        end("discovery ended the response", false);
    }

    @Override
    public void failed(Exception cause) {
        end(cause.toString(), isTimeout(cause));
    }

    @Override
    public void cancel() {
        end("the call was cancelled", false);
    }

    @Override
    public void releaseResources() {
        end("the connection ended", false);
    }
}
