package peppergauge.frontend;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedSelectorException;
import java.util.concurrent.ExecutionException;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandlerFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexerFactory;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.support.BasicAsyncServerExpectationDecorator;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.TimeValue;
import peppergauge.http.HeadReader;
import peppergauge.log.Log;
import peppergauge.session.Clock;
import peppergauge.session.Sessions;
import peppergauge.sockets.SocketRoom;

/** Where clients connect: turns their requests into sessions and sessions' answers into responses. */
public final class HttpFrontend {

    private static final TimeValue SELECT_INTERVAL = TimeValue.ofMilliseconds(50);
    private static final int BACKLOG = 511;
    /** Marks the program's own requests before it is ready. */
    public static final String REHEARSAL = "X-Rehearsal";

    private final Site site;
    private final Sessions sessions;
    private final Clock clock;
    private final ClientConnections connections;
    private final HttpAsyncServer server;
    private volatile ListenerEndpoint listener;
    private volatile Rehearsal rehearsal;
    private volatile boolean ready;
    private volatile boolean closing;

    /** {@code mostConnections}: descriptors that clients' connections may hold together. */
    public HttpFrontend(Site site, Sessions sessions, Clock clock, int mostConnections) {
        this.site = site;
        this.sessions = sessions;
        this.clock = clock;
        SocketRoom room = new SocketRoom(mostConnections);
        this.connections = new ClientConnections(sessions, room);
        // Put together by hand: the bootstrap offers no say in how connections are accepted.
        Http1Config http = Http1Config.custom().setBufferSize(4096).build();
        this.server = new HttpAsyncServer(
                new ServerHttp1IOEventHandlerFactory(new ServerHttp1StreamDuplexerFactory(
                        HttpProcessorBuilder.create().build(), (request, context) -> handler(request), http,
                        CharCodingConfig.DEFAULT, (request, response, context) -> true, HeadReader.requests(), null,
                        connections, HttpFrontend::report),
                        null, null),
                IOReactorConfig.custom().setIoThreadCount(1).setSelectInterval(SELECT_INTERVAL)
                        .setSoReuseAddress(true).setTcpNoDelay(true).setBacklogSize(BACKLOG).build(),
                null, HttpFrontend::report, connections, room, connections, "localhost");
    }

    private AsyncServerExchangeHandler handler(HttpRequest request) {
        SessionHandler handler = new SessionHandler(this, connections.current());
        return request.containsHeader("Expect") ? new BasicAsyncServerExpectationDecorator(handler) : handler;
    }

    /** Listens on this address only, and no other. */
    public void start(InetSocketAddress address) throws IOException, InterruptedException {
        server.start();
        try {
            listener = server.listen(address, URIScheme.HTTP).get();
        } catch (ExecutionException failed) {
            throw new IOException("cannot listen on " + address + ": " + failed.getCause().getMessage(), failed);
        }
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

    /** From now on {@code /up} says so. */
    public void setReady() {
        ready = true;
    }

    /** The sessions that the request is for: a rehearsal's, clients', or none for what comes after a rehearsal. */
    Sessions sessions(HttpRequest request) {
        Header mark = rehearsal == null ? null : request.getFirstHeader(REHEARSAL);
        if (mark == null || !rehearsal.mark().equals(mark.getValue())) {
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
        connections.windDown();
        server.initiateShutdown();
    }

    public void close() {
        server.close(CloseMode.GRACEFUL);
    }

    public void closeNow() {
        server.close(CloseMode.IMMEDIATE);
    }

    Site site() {
        return site;
    }

    Clock clock() {
        return clock;
    }

    boolean ready() {
        return ready;
    }

    boolean closing() {
        return closing;
    }

    /** What bad clients send ends as an exception of its own class; these two are of this side's making. */
    private static void report(Exception thrown) {
        boolean ours = thrown instanceof RuntimeException && !(thrown instanceof ClosedSelectorException);
        if (ours || thrown.getClass() == IOException.class) {
            Log.bug("frontend", thrown);
        }
    }
}
