package peppergauge.frontend;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedSelectorException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import peppergauge.log.Log;
import peppergauge.overload.Overload;
import peppergauge.session.Clock;
import peppergauge.session.Scheduler;
import peppergauge.session.Sessions;
import peppergauge.sockets.Claimant;
import peppergauge.sockets.Loop;
import peppergauge.sockets.SocketRoom;

/** Where clients connect: turns their requests into sessions and sessions' answers into responses. */
public final class HttpFrontend {

    /** Marks the program's own requests before it is ready. */
    public static final String REHEARSAL = "X-Rehearsal";

    /** Clients wait for much longer, and each look at what follows costs a system call. */
    private static final double LONG_UNREAD_MS = 10;

    private final Site site;
    private final Sessions sessions;
    private final Clock clock;
    private final Loop loop;
    private final Overload<Claimant, ?> overload;
    private final ClientConnections connections;
    private volatile ListenerEndpoint listener;
    private volatile Rehearsal rehearsal;
    private volatile boolean ready;
    private volatile boolean closing;
    private volatile boolean asked;

    /** {@code mostConnections}: descriptors that clients' connections may hold together. */
    public HttpFrontend(Site site, Sessions sessions, Clock clock, Loop loop, Overload<Claimant, ?> overload,
            int mostConnections) {
        this.overload = overload;
        this.site = site;
        this.sessions = sessions;
        this.clock = clock;
        this.loop = loop;
        this.connections = new ClientConnections(loop, new SocketRoom(mostConnections, loop), clock, overload);
    }

    /** Listens on this address only, and no other. */
    public void start(InetSocketAddress address) throws IOException, InterruptedException {
        listener = loop.listen(address, up -> new ClientConnection(up, this, connections), connections);
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getAddress();
    }

    /**
     * Requests with this mark are the program's own: until {@link #setReady} they go to {@code own}, and what comes
     * a second time, as an attempt that the program sent to itself, is answered as a backend server would.
     */
    public void rehearse(Sessions own, String mark) {
        rehearsal = new Rehearsal(own, mark);
    }

    private record Rehearsal(Sessions sessions, String mark) { }

    /** Whether a client has asked for a session yet. */
    public boolean asked() {
        return asked;
    }

    /** From now on {@code /up} says so. */
    public void setReady() {
        ready = true;
    }

    /** The sessions that the request is for: a rehearsal's, clients', or none for what comes after a rehearsal. */
    Sessions sessions(HttpRequest request) {
        Header mark = rehearsal == null ? null : request.getFirstHeader(REHEARSAL);
        if (mark == null || !rehearsal.mark().equals(mark.getValue())) {
            asked = true;
            return sessions;
        }
        // A late one must not get to clients' sessions: it would be sent to backend servers.
        return ready ? null : rehearsal.sessions();
    }

    boolean rehearses(Sessions some) {
        return rehearsal != null && rehearsal.sessions() == some;
    }

    /** From now on each answer closes its connection; new connections are still taken. */
    public void closeAfterAnswers() {
        closing = true;
    }

    public void stopListening() throws IOException {
        listener.close();
    }

    /** Closes what is idle at once, and each other connection after its answer. */
    public void closeIdle() {
        loop.execute(connections::closeIdle);
    }

    /** Runs a task on the loop's thread as soon as every answer that was given is written, in whole. */
    public void whenWritten(Runnable task) {
        loop.execute(() -> connections.whenWritten(task));
    }

    Site site() {
        return site;
    }

    /** When what is being read came in at the earliest, ms: what stood unread for lack of CPU came long ago. */
    double arrivedMs() {
        return Math.min(clock.nowMs(), overload.earliestArrivalMs());
    }

    /**
     * Whether what is being read may have stood unread for so long that its client has left. Of the time that a new
     * connection stood unaccepted nothing is known.
     */
    boolean readsLate() {
        return clock.nowMs() - overload.earliestArrivalMs() > LONG_UNREAD_MS;
    }

    Scheduler scheduler() {
        return loop;
    }

    boolean ready() {
        return ready;
    }

    boolean closing() {
        return closing;
    }

    /** What bad clients send ends as an exception of its own class; these two are of this side's making. */
    static void report(Exception thrown) {
        boolean ours = thrown instanceof RuntimeException && !(thrown instanceof ClosedSelectorException);
        if (ours || thrown.getClass() == IOException.class) {
            Log.bug("frontend", thrown);
        }
    }
}
