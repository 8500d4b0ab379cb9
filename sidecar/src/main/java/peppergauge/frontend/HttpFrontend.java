package peppergauge.frontend;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedSelectorException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import peppergauge.log.Log;
import peppergauge.overload.OverloadController;
import peppergauge.request.Clock;
import peppergauge.request.LargeBodies;
import peppergauge.request.RequestHandler;
import peppergauge.request.Scheduler;
import peppergauge.sockets.ClientConnections;
import peppergauge.sockets.EventLoop;
import peppergauge.sockets.EvictableConnection;

/** Where clients connect: turns their requests into sessions and sessions' answers into responses. */
public final class HttpFrontend {

    /** Marks the program's own requests before it is ready. */
    public static final String REHEARSAL_HEADER = "X-Rehearsal";

    /** Clients wait for much longer, and each look at what follows costs a system call. */
    private static final double INPUT_DELAY_THRESHOLD_MS = 10;

    private final RequestClassifier classifier;
    private final RequestHandler requestHandler;
    private final Clock clock;
    private final EventLoop loop;
    private final OverloadController<EvictableConnection, ?> overload;
    private final ClientConnections connections;
    private final LargeBodies bodies;
    private volatile ListenerEndpoint listener;
    private volatile Rehearsal rehearsal;
    private volatile boolean ready;
    private volatile boolean closing;
    /** No answer is given after it, ms: a request that could have to wait for longer is refused. */
    private volatile double stopMs = Double.POSITIVE_INFINITY;

    private volatile boolean requestReceived;

    /**
     * {@code intake} takes what clients ask, {@code bodies} their long bodies, and {@code clients} keeps the places for
     * their connections.
     */
    public HttpFrontend(
            RequestClassifier site,
            RequestHandler intake,
            Clock clock,
            EventLoop loop,
            OverloadController<EvictableConnection, ?> overload,
            ClientConnections clients,
            LargeBodies bodies) {
        this.bodies = bodies;
        this.overload = overload;
        this.classifier = site;
        this.requestHandler = intake;
        this.clock = clock;
        this.loop = loop;
        this.connections = clients;
    }

    /** Listens on this address only, and no other. */
    public void start(InetSocketAddress address) throws IOException, InterruptedException {
        listener = loop.listen(address, up -> new HttpClientConnection(up, this, connections));
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getAddress();
    }

    /**
     * Requests with this mark are the program's own: until {@link #setReady} they go to {@code own}, and what comes
     * a second time, as an attempt that the program sent to itself, is answered as a backend server would.
     */
    public void enableRehearsal(RequestHandler own, String mark) {
        rehearsal = new Rehearsal(own, mark);
    }

    private record Rehearsal(RequestHandler handler, String mark) {}

    /** Whether a client has asked for a session yet. */
    public boolean hasReceivedRequest() {
        return requestReceived;
    }

    /** From now on {@code /up} says so. */
    public void setReady() {
        ready = true;
    }

    /** The sessions that the request is for: a rehearsal's, clients', or none for what comes after a rehearsal. */
    RequestHandler handlerFor(HttpRequest request) {
        Header mark = rehearsal == null ? null : request.getFirstHeader(REHEARSAL_HEADER);
        if (mark == null || !rehearsal.mark().equals(mark.getValue())) {
            requestReceived = true;
            return requestHandler;
        }
        // A late one must not get to clients' sessions: it would be sent to backend servers.
        return ready ? null : rehearsal.handler();
    }

    boolean isRehearsalHandler(RequestHandler some) {
        return rehearsal != null && rehearsal.handler() == some;
    }

    /** From now on each answer closes its connection; new connections are still taken. */
    public void closeAfterResponses() {
        closing = true;
    }

    /** Where it was told to end before it listened there is nothing to stop. */
    public void stopListening() throws IOException {
        ListenerEndpoint open = listener;
        if (open != null) {
            open.close();
        }
    }

    /**
     * Closes what is idle at once, and each other connection after its answer.
     *
     * @param untilMs the program may be killed then: what would have to wait for longer is refused from now on
     */
    public void closeIdle(double untilMs) {
        stopMs = untilMs;
        loop.execute(connections::closeIdle);
    }

    /** Runs a task on the loop's thread as soon as no client's connection is open. */
    public void whenAllClosed(Runnable task) {
        loop.execute(() -> connections.whenAllClosed(task));
    }

    RequestClassifier classifier() {
        return classifier;
    }

    LargeBodies bodies() {
        return bodies;
    }

    /** When what is being read came in at the earliest, ms: what stood unread for lack of CPU came long ago. */
    double arrivedMs() {
        return Math.min(clock.nowMs(), overload.earliestArrivalMs());
    }

    /**
     * Whether what is being read may have stood unread for so long that its client has left. Of the time that a new
     * connection stood unaccepted nothing is known.
     */
    boolean isInputDelayed() {
        return clock.nowMs() - overload.earliestArrivalMs() > INPUT_DELAY_THRESHOLD_MS;
    }

    Scheduler scheduler() {
        return loop;
    }

    boolean isReady() {
        return ready;
    }

    boolean isClosing() {
        return closing;
    }

    /** Whether the program may have ended before a request with this deadline has its answer. */
    boolean isStoppedBefore(double deadlineMs) {
        return deadlineMs > stopMs;
    }

    /** What bad clients send ends as an exception of its own class; these two are of this side's making. */
    static void logUnexpected(Exception thrown) {
        boolean ours = thrown instanceof RuntimeException && !(thrown instanceof ClosedSelectorException);
        if (ours || thrown.getClass() == IOException.class) {
            Log.bug("frontend", thrown);
        }
    }
}
