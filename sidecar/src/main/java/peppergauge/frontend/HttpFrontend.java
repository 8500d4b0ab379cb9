package peppergauge.frontend;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedSelectorException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import peppergauge.log.Log;
import peppergauge.memory.MessageMemory;
import peppergauge.overload.OverloadController;
import peppergauge.request.Clock;
import peppergauge.request.LargeBodies;
import peppergauge.request.RequestHandler;
import peppergauge.request.Scheduler;
import peppergauge.sockets.ClientConnections;
import peppergauge.sockets.EventLoop;
import peppergauge.sockets.EvictableConnection;

/**
 * The HTTP/1.1 server: listens for clients and dispatches their requests to a {@link RequestHandler}. The public
 * methods may be called from any thread; all others run on the event loop's thread.
 */
public final class HttpFrontend {

    /** Header that marks the requests that the program sends to itself while it warms up. */
    public static final String WARM_UP_HEADER = "X-Rehearsal";

    /** Delay of input above which a disconnect is checked for; the check costs a system call. */
    private static final double INPUT_DELAY_THRESHOLD_MS = 10;

    private final RequestClassifier classifier;
    private final RequestHandler requestHandler;
    private final Clock clock;
    private final EventLoop loop;
    private final OverloadController<EvictableConnection, ?> overload;
    private final ClientConnections connections;
    private final LargeBodies bodies;
    private final MessageMemory messageMemory;
    private volatile ListenerEndpoint listener;
    private volatile WarmUp warmUp;
    private volatile boolean ready;
    private volatile boolean closing;
    /** Time after which no response is written, ms; a request with a later deadline is rejected. */
    private volatile double stopMs = Double.POSITIVE_INFINITY;

    private volatile boolean requestReceived;

    /**
     * Creates a frontend that does not listen yet.
     *
     * @param requestHandler gets the clients' requests
     * @param clients admits and evicts connections
     * @param bodies streams large request bodies
     * @param messageMemory limits the memory of requests and responses
     */
    public HttpFrontend(
            RequestClassifier classifier,
            RequestHandler requestHandler,
            Clock clock,
            EventLoop loop,
            OverloadController<EvictableConnection, ?> overload,
            ClientConnections clients,
            LargeBodies bodies,
            MessageMemory messageMemory) {
        this.classifier = classifier;
        this.requestHandler = requestHandler;
        this.clock = clock;
        this.loop = loop;
        this.overload = overload;
        this.connections = clients;
        this.bodies = bodies;
        this.messageMemory = messageMemory;
    }

    /**
     * Listens on this address only.
     *
     * @throws IOException if the address cannot be bound
     */
    public void start(InetSocketAddress address) throws IOException, InterruptedException {
        listener = loop.listen(address, connection -> new HttpClientConnection(connection, this, connections));
    }

    /** The address that it listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getAddress();
    }

    // ---- Warm-up ----

    private record WarmUp(RequestHandler handler, String mark) {}

    /**
     * Dispatches marked requests, which the program sends to itself, to {@code handler} until {@link #setReady}. A
     * marked request whose id is in use is an attempt that the program sends to itself as a backend server, and gets a
     * backend server's response.
     *
     * @param mark value of {@link #WARM_UP_HEADER}
     */
    public void enableWarmUp(RequestHandler handler, String mark) {
        warmUp = new WarmUp(handler, mark);
    }

    /** Whether a client has sent a request yet. */
    public boolean hasReceivedRequest() {
        return requestReceived;
    }

    /** Makes {@code /up} report that the program is ready. */
    public void setReady() {
        ready = true;
    }

    /** Whether {@code /up} reports that the program is ready. */
    boolean isReady() {
        return ready;
    }

    /** The handler for a request; null for a marked request that arrives after the warm-up. */
    RequestHandler handlerFor(HttpRequest request) {
        Header mark = warmUp == null ? null : request.getFirstHeader(WARM_UP_HEADER);
        if (mark == null || !warmUp.mark().equals(mark.getValue())) {
            requestReceived = true;
            return requestHandler;
        }
        return ready ? null : warmUp.handler();
    }

    /** Whether this is the handler of marked requests. */
    boolean isWarmUpHandler(RequestHandler handler) {
        return warmUp != null && warmUp.handler() == handler;
    }

    // ---- Shutdown ----

    /** Closes each connection after its next response from now on; new connections are still accepted. */
    public void closeAfterResponses() {
        closing = true;
    }

    /** Whether connections close after their responses. */
    boolean isClosing() {
        return closing;
    }

    /** Stops listening; does nothing before {@link #start}. */
    public void stopListening() throws IOException {
        ListenerEndpoint open = listener;
        if (open != null) {
            open.close();
        }
    }

    /**
     * Closes idle connections at once, and the others after their responses.
     *
     * @param untilMs when the program may be killed; requests with a later deadline are rejected from now on
     */
    public void closeIdle(double untilMs) {
        stopMs = untilMs;
        loop.execute(connections::closeIdle);
    }

    /** Whether the program may have been stopped before this deadline. */
    boolean isStoppedBefore(double deadlineMs) {
        return deadlineMs > stopMs;
    }

    /** Runs a task on the event loop's thread as soon as no client's connection is open. */
    public void whenAllClosed(Runnable task) {
        loop.execute(() -> connections.whenAllClosed(task));
    }

    // ---- For connections ----

    RequestClassifier classifier() {
        return classifier;
    }

    LargeBodies bodies() {
        return bodies;
    }

    MessageMemory messageMemory() {
        return messageMemory;
    }

    Scheduler scheduler() {
        return loop;
    }

    /** The earliest time at which the input that is being read can have arrived, ms. */
    double arrivedMs() {
        return Math.min(clock.nowMs(), overload.earliestArrivalMs());
    }

    /**
     * Whether the input that is being read may have waited so long that its client has disconnected meanwhile. Does not
     * include the time that a new connection waited to be accepted, which is unknown.
     */
    boolean isInputDelayed() {
        return clock.nowMs() - overload.earliestArrivalMs() > INPUT_DELAY_THRESHOLD_MS;
    }

    /**
     * Logs an unexpected exception that HttpCore reports. Those that clients cause have other classes and are not
     * logged.
     */
    static void logUnexpected(Exception thrown) {
        boolean unexpected = thrown instanceof RuntimeException && !(thrown instanceof ClosedSelectorException);
        if (unexpected || thrown.getClass() == IOException.class) {
            Log.error("http_frontend_failed", thrown);
        }
    }
}
