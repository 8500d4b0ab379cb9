package peppergauge.frontend;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import peppergauge.http.HeadReader;
import peppergauge.http.StrictChunkDecoder;
import peppergauge.log.Log;
import peppergauge.request.Scheduler;
import peppergauge.sockets.ClientConnections;
import peppergauge.sockets.EvictableConnection;
import peppergauge.sockets.KernelBuffers;
import peppergauge.sockets.LingeringClose;

/**
 * A client's connection: which of its requests wait for answers, and how long it may take to send one. Everything here
 * runs on the loop's thread. While no session is open on it one timer runs: it is cut off when a request is not whole
 * in time or none comes.
 *
 * <p>HttpCore tells an exchange nothing of its client's leaving: at the end of the input the connection only stops
 * being open, which is looked for here.
 */
final class HttpClientConnection implements IOEventHandler, Http1StreamListener, EvictableConnection {

    /** A request must be whole so soon after connecting, or after its first byte on a connection in use. */
    private static final double LONGEST_SENDING_MS = 2_300;
    /** Clients that ask once and keep their connection for good would use up the descriptors. */
    private static final double LONGEST_IDLE_MS = 2_500;
    /** Times that the idle time may pass before a client that does not read its answer is cut off. */
    private static final int MOST_WAITS_FOR_READER = 4;
    /** Reads at once before a connection is closed; the largest request takes 17 of HttpCore's buffers. */
    private static final int MOST_READS = 24;

    private static final HttpProcessor NOTHING_ADDED =
            HttpProcessorBuilder.create().build();
    private static final Http1Config HTTP =
            Http1Config.custom().setBufferSize(4096).build();

    /** What this side still does with a connection; it only moves forward. */
    private enum Phase {
        /** Requests are read; each that is read is owed its answer. */
        READING,
        /** No further request is read; answers are owed, or the client is told to wait no longer. */
        ANSWERING,
        /** Nothing is owed and sending has ended: what comes in is thrown away until the client ends, or a bound. */
        LINGERING,
        /** Nothing comes or goes; whoever still waited has been given up. */
        CLOSED;

        boolean atLeast(Phase other) {
            return compareTo(other) >= 0;
        }
    }

    private final ProtocolIOSession connection;
    private final HttpFrontend owner;
    private final ClientConnections all;
    private final HeadReader<HttpRequest> reader = HeadReader.forRequests();
    private final ServerHttp1IOEventHandler http;
    private final Set<HttpRequestHandler> waiting = new LinkedHashSet<>();
    private final LingeringClose lingering;
    private Phase phase = Phase.READING;
    private Scheduler.ScheduledTask timer;
    /** Part of a body is still to come. */
    private boolean bodyOpen;

    private long bodyBytes;
    /** Part of a request has come in, and the time for the rest runs. */
    private boolean sending;

    private boolean first = true;
    /** None is to come after the request that was begun last. */
    private boolean lastRequest;
    /** The head of the answer after which none follows has gone out. */
    private boolean lastAnswer;
    /** Answers that are begun and not yet written to the last byte, and whether the first of them is a session's. */
    private int unwritten;

    private int owed;
    private int begun;
    private boolean sessions;
    /** The request whose long body comes in now, by limits of its own. */
    private HttpRequestHandler taking;

    private int waitsForReader;
    private int discarded;

    HttpClientConnection(ProtocolIOSession connection, HttpFrontend owner, ClientConnections all) {
        this.connection = connection;
        this.owner = owner;
        this.all = all;
        this.lingering = new LingeringClose(connection, owner.scheduler());
        this.http = new ServerHttp1IOEventHandler(
                new ServerHttp1StreamDuplexer(
                        connection,
                        NOTHING_ADDED,
                        (request, context) -> handler(request),
                        null,
                        HTTP,
                        CharCodingConfig.DEFAULT,
                        // Told of an answer that is to be the last, HttpCore would close at once: see answerWritten.
                        (request, response, context) -> true,
                        reader,
                        DefaultHttpResponseWriterFactory.INSTANCE.create(),
                        null,
                        null,
                        this,
                        HttpFrontend::logUnexpected) {
                    @Override
                    protected ContentDecoder createContentDecoder(
                            long length,
                            ReadableByteChannel channel,
                            SessionInputBuffer input,
                            BasicHttpTransportMetrics metrics)
                            throws HttpException {
                        return length == ContentLengthStrategy.CHUNKED
                                ? new StrictChunkDecoder(channel, input, HTTP, metrics)
                                : super.createContentDecoder(length, channel, input, metrics);
                    }
                });
    }

    private AsyncServerExchangeHandler handler(HttpRequest request) {
        return new HttpRequestHandler(owner, this);
    }

    // ---- What the reactor tells ----

    /** The time for the first request runs from here: a client that says nothing holds a descriptor too. */
    @Override
    public void connected(IOSession session) throws IOException {
        all.onOpened(this);
        startTimer(LONGEST_SENDING_MS);
        http.connected(session);
    }

    @Override
    public void inputReady(IOSession session, ByteBuffer source) throws IOException {
        if (phase == Phase.LINGERING) {
            lingering.inputReady();
            return;
        }
        boolean look = first || owner.isInputDelayed();
        http.inputReady(session, source);
        if (look && !waiting.isEmpty()) {
            // HttpCore reads once in a round: whoever has left meanwhile would still be served.
            http.inputReady(session, null);
        }
        for (int i = 0; i < MOST_READS && taking != null && taking.takesMore(); i++) {
            // HttpCore reads 4 KiB at a time, and a round for each would be most of the cost.
            long before = bodyBytes;
            http.inputReady(session, null);
            if (bodyBytes == before) {
                break;
            }
        }
        if (phase.atLeast(Phase.LINGERING)) {
            return;
        }
        if (!http.isOpen()) {
            gone();
        } else if (!sending && midRequest() && phase == Phase.READING && taking == null) {
            sending = true;
            all.onReading(this);
            if (!first) {
                startTimer(LONGEST_SENDING_MS);
            }
        }
    }

    @Override
    public void outputReady(IOSession session) throws IOException {
        if (phase == Phase.LINGERING) {
            session.clearEvent(EventMask.WRITE);
        } else {
            http.outputReady(session);
        }
    }

    @Override
    public void timeout(IOSession session, Timeout timeout) throws IOException {
        http.timeout(session, timeout);
    }

    /** A broken connection is an ordinary end; {@link #disconnected} follows. */
    @Override
    public void exception(IOSession session, Exception cause) {
        http.exception(session, cause);
    }

    @Override
    public void disconnected(IOSession session) {
        gone();
        http.disconnected(session);
        all.onClosed(this);
    }

    // ---- Requests ----

    private boolean midRequest() {
        return bodyOpen || reader.hasPartialHead();
    }

    /** The next request begins; false if it is not to be read any more. {@code last}: none is to come after it. */
    boolean begins(boolean last, boolean body) {
        bodyOpen = body;
        if (phase != Phase.READING) {
            return false;
        }
        owed++;
        begun++;
        lastRequest |= last;
        return true;
    }

    void read(int bytes) {
        bodyBytes += bytes;
    }

    /** A request that is not read any more takes nobody's time: it must not put off the end of its connection. */
    void requestWhole() {
        sending = false;
        bodyOpen = false;
        if (taking != null) {
            taking = null;
        } else if (phase == Phase.READING) {
            first = false;
            stopTimer();
            all.onRequestReceived(this);
        }
        if (lastRequest) {
            endInput();
        }
    }

    /** A long body comes in from here on: it takes its time, by limits of its own, and an answer is owed. */
    void takes(HttpRequestHandler handler) {
        KernelBuffers.limit(connection, owner.bodies().socketBufferBytes());
        taking = handler;
        waiting.add(handler);
        sending = false;
        first = false;
        stopTimer();
        all.onRequestReceived(this);
    }

    /** A long answer goes out from here on, by limits of its own. */
    void streams(HttpRequestHandler handler) {
        KernelBuffers.limit(connection, owner.bodies().socketBufferBytes());
        waiting.add(handler);
        stopTimer();
    }

    /** An answer cannot be finished: its client sees the connection end before it. */
    void cutOff() {
        close();
    }

    /** Nothing that comes in from now on is read as a request. */
    void endInput() {
        if (phase == Phase.READING) {
            phase = Phase.ANSWERING;
        }
    }

    /**
     * Ends the input after this request, unless another has begun since: the answer that says so has to be the last.
     *
     * @param number of the request, by {@link #begun}
     * @return whether it is the last
     */
    boolean endInputAfter(int number) {
        if (number == begun) {
            endInput();
        }
        return number == begun;
    }

    /** Requests that began here and are owed an answer, from the first on. */
    int begun() {
        return begun;
    }

    /** Requests that began, also the present one, and whose answers are not written yet. */
    int owed() {
        return owed;
    }

    void waits(HttpRequestHandler handler) {
        waiting.add(handler);
    }

    // ---- Answers ----

    void answered(HttpRequestHandler handler) {
        sessions = waiting.remove(handler);
        if (waiting.isEmpty() && !phase.atLeast(Phase.LINGERING)) {
            startTimer(LONGEST_IDLE_MS);
        }
    }

    @Override
    public void onRequestHead(HttpConnection same, HttpRequest request) {
        // The exchange's handler reads it.
    }

    /** The head of an answer goes out, in the order of the requests. */
    @Override
    public void onResponseHead(HttpConnection same, HttpResponse response) {
        if (response.getCode() >= 200) {
            unwritten++;
            var option = response.getFirstHeader("Connection");
            lastAnswer |= option != null && "close".equals(option.getValue());
        }
    }

    /**
     * An answer is written. HttpCore itself would close as soon as it is told of an answer that is to be the last,
     * and forget those before it that are still to be written.
     */
    @Override
    public void onExchangeComplete(HttpConnection same, boolean keepAlive) {
        unwritten--;
        owed--;
        waitsForReader = 0;
        all.onResponseSent(this, sessions);
        if (lastAnswer) {
            endSending();
        }
    }

    /** Input of a request that has its answer: a client that sees it stops, any other is cut off. */
    void discarded(int bytes) {
        discarded += bytes;
        if (discarded > LingeringClose.MAX_DISCARDED_BYTES) {
            close();
        }
    }

    // ---- Ends ----

    private void startTimer(double ms) {
        stopTimer();
        timer = owner.scheduler().schedule(ms, this::timeIsUp);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }

    private void timeIsUp() {
        timer = null;
        boolean slow = sending;
        readWhatIsThere();
        if (phase.atLeast(Phase.LINGERING) || !waiting.isEmpty()) {
            // A session is open now, or sessions before a slow request are still owed; the last of them starts a timer.
            return;
        }
        if (unwritten > 0 && !lastAnswer && ++waitsForReader < MOST_WAITS_FOR_READER) {
            startTimer(LONGEST_IDLE_MS);
        } else if (!midRequest() && unwritten == 0 && !all.mayCloseIdleNow()) {
            // There is more to do than time for it: idle connections wait.
            startTimer(LONGEST_SENDING_MS);
        } else if (midRequest() && !slow && phase == Phase.READING) {
            // It began in this very moment.
            startTimer(LONGEST_SENDING_MS);
        } else if (unwritten > 0) {
            close();
        } else if (midRequest()) {
            // Its last answer, if there was one, is long read: nothing is lost by a reset.
            Log.line("slow sender", "a request was not whole after " + LONGEST_SENDING_MS + " ms");
            close();
        } else {
            endSending();
        }
    }

    /**
     * Ends the connection unless it is wanted: the one place that decides so for every reason of this side's. What
     * came in while this thread had no CPU is read first. A request that comes after this is not taken: its client
     * sees the end instead of an answer, and sends it again.
     */
    @Override
    public boolean closeIfIdle() {
        boolean idle = !isWanted(false);
        if (idle && phase != Phase.LINGERING) {
            endSending();
        }
        return idle;
    }

    /** Does not linger: a place is needed at once, and whoever has its answer has had time to read it. */
    @Override
    public boolean evict() {
        boolean idle = !isWanted(first);
        if (idle) {
            close();
        }
        return idle;
    }

    private boolean isWanted(boolean evenMidRequest) {
        if (taking != null) {
            // More would be read than there is room for.
            return true;
        }
        if (phase == Phase.LINGERING) {
            return false;
        }
        readWhatIsThere();
        boolean reading = midRequest() && !(evenMidRequest && first);
        return phase == Phase.CLOSED || !waiting.isEmpty() || unwritten > 0 || reading;
    }

    /**
     * Reads what has come in: the client's end may stand behind it. Of a long body more comes than there is room for.
     */
    void lookForEnd() {
        if (taking == null) {
            readWhatIsThere();
        }
    }

    private void readWhatIsThere() {
        long before = -1;
        for (int i = 0; i < MOST_READS && isReadable() && reader.receivedBytes() + bodyBytes != before; i++) {
            before = reader.receivedBytes() + bodyBytes;
            try {
                inputReady(connection, null);
            } catch (IOException | RuntimeException broken) {
                exception(connection, broken);
                close();
            }
        }
    }

    private boolean isReadable() {
        return !phase.atLeast(Phase.LINGERING) && connection.isOpen();
    }

    /** Nothing is owed: the client is told by the end of this side's sending, and what it still sends is not taken. */
    private void endSending() {
        if (!phase.atLeast(Phase.LINGERING)) {
            phase = Phase.LINGERING;
            stopTimer();
            lingering.begin();
        }
    }

    private void close() {
        connection.close(CloseMode.GRACEFUL);
        gone();
    }

    /** The connection is over: nobody waits for what is still out, and its sessions' clients get no answer. */
    private void gone() {
        if (phase != Phase.CLOSED) {
            phase = Phase.CLOSED;
            stopTimer();
            lingering.onClosed();
            connection.close(CloseMode.GRACEFUL);
            List<HttpRequestHandler> left = List.copyOf(waiting);
            waiting.clear();
            left.forEach(HttpRequestHandler::clientGone);
        }
    }
}
