package peppergauge.backend;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.RequestNotExecutedException;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.pool.PoolEntry;
import org.apache.hc.core5.util.Timeout;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.http.BodySender;
import peppergauge.http.Headers;
import peppergauge.http.ReceiveWindow;
import peppergauge.request.Backend;
import peppergauge.request.BodyStream;
import peppergauge.request.BodyWriter;
import peppergauge.request.LargeBodies;
import peppergauge.request.Message;
import peppergauge.settings.LoadReportParser;

/**
 * One request to one backend server, from the lease of a connection to the last byte of the answer. Only the loop's
 * thread comes here.
 */
final class HttpExchange implements AsyncClientExchangeHandler, Backend.Exchange {

    /** A body holds 64 KiB at most. */
    private static final int LARGEST_BODY = 64 * 1024;

    private static final byte[] NOTHING = new byte[0];

    private static final int MOST_INTERIM_ANSWERS = 8;

    /** New connections that ended before a byte was written, after which the server counts as out of reach. */
    private static final int MOST_ENDED_AT_ONCE = 4;
    /** Of an answer without a length, before its next byte or its end. */
    private static final long LONGEST_SILENCE_MS = 300;
    /** Less than this cannot be told in whole milliseconds, and nobody could answer in it. */
    private static final double LEAST_REMAINING_MS = 1;

    /** WAITING: nothing is written. WRITING: something may be. ENDED: the result is out. */
    private enum State {
        WAITING,
        WRITING,
        ENDED
    }

    private final ConnectionPool connections;
    private final Backend.Server server;
    private final Message message;
    private final Times times;
    private final List<LoadField> loadFields;
    private final LargeBodies bodies;
    private final Backend.AttemptListener sender;
    private State state = State.WAITING;
    private PoolEntry<Backend.Server, ServerConnection> connection;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(256);
    private final ByteBuffer unsent;
    private HttpResponse response;
    private double writtenMs = Double.NaN;
    private int interimAnswers;
    private int endedAtOnce;
    /** The request's body, where its message does not hold it. */
    private BodySender asking;
    /** The answer's, where it is too long to be held here. */
    private StreamedResponseBody longAnswer;
    /** Its answer has no length: the end of the connection is the answer's. */
    private boolean endsWithConnection;
    /** How much of an answer without a length HttpCore was allowed to read until it turned out long. */
    private CapacityChannel capacity;

    private int granted;

    /** The times that matter to an exchange, ms. */
    interface Times {

        double nowMs();

        /** How long the answer is waited for from now. */
        double remainingMs();

        /** When what is being read came in, as far as that is known. */
        double arrivedMs();
    }

    HttpExchange(
            ConnectionPool connections,
            Backend.Server server,
            Message message,
            Times times,
            List<LoadField> loadFields,
            LargeBodies bodies,
            Backend.AttemptListener sender) {
        this.bodies = bodies;
        this.connections = connections;
        this.server = server;
        this.message = message;
        this.times = times;
        this.loadFields = loadFields;
        this.sender = sender;
        this.unsent = ByteBuffer.wrap(message.body());
    }

    void start() {
        connections.lease(server, new FutureCallback<>() {
            @Override
            public void completed(PoolEntry<Backend.Server, ServerConnection> leased) {
                run(leased);
            }

            @Override
            public void failed(Exception cause) {
                conclude(Outcome.UNREACHABLE, null, null);
            }

            @Override
            public void cancelled() {
                conclude(Outcome.UNREACHABLE, null, null);
            }
        });
    }

    private void run(PoolEntry<Backend.Server, ServerConnection> leased) {
        connection = leased;
        if (state != State.WAITING) {
            // Taken back while the connection came up: the connection is good and unused.
            giveBack(true);
            return;
        }
        ServerConnection up = leased.getConnection();
        if (up == null) {
            failed(new RequestNotExecutedException());
            return;
        }
        up.execute(new RequestExecutionCommand(this, HttpCoreContext.create()), this);
    }

    // ---- What the owner of the sessions may ask ----

    @Override
    public boolean cancelIfUnsent() {
        boolean waiting = state == State.WAITING;
        state = waiting ? State.ENDED : state;
        return waiting;
    }

    @Override
    public boolean abort() {
        State before = state;
        state = State.ENDED;
        if (before == State.WRITING) {
            giveBack(false);
        }
        return before == State.WAITING;
    }

    // ---- Request ----

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        if (connection == null || !connection.getConnection().isSilent()) {
            throw new IOException("something came in that no request asked for");
        }
        if (state != State.WAITING) {
            throw new IOException("taken back before its first byte");
        }
        if (message.stream() != null && !message.stream().isReadableFromStart()) {
            giveBack(true);
            conclude(Outcome.CANCELLED, null, null);
            throw new IOException("the body went before its first byte was sent");
        }
        if (!sender.isClientWaiting()) {
            conclude(Outcome.CANCELLED, null, null);
            throw new IOException("its client left before its first byte");
        }
        double remainingMs = times.remainingMs();
        if (remainingMs < LEAST_REMAINING_MS) {
            conclude(Outcome.NEVER_SENT, null, null);
            throw new IOException("its time was over before its first byte");
        }
        state = State.WRITING;
        writtenMs = times.nowMs();
        BasicHttpRequest request = new BasicHttpRequest(message.method(), message.target());
        for (Message.Field field : message.fields()) {
            request.addHeader(field.name(), field.value());
        }
        request.setHeader(Headers.REMAINING_TIME_MS, Long.toString((long) remainingMs));
        if (message.stream() != null) {
            sendLong(request, channel, context);
            return;
        }
        int length = message.body().length;
        if (length > 0) {
            request.setHeader("Content-Length", Integer.toString(length));
        }
        channel.sendRequest(request, length > 0 ? new BasicEntityDetails(length, null) : null, context);
    }

    private void sendLong(BasicHttpRequest request, RequestChannel channel, HttpContext context)
            throws HttpException, IOException {
        connection.getConnection().bound(bodies.socketBufferBytes());
        long length = message.stream().length();
        if (length < 0) {
            request.setHeader("Transfer-Encoding", "chunked");
        } else {
            request.setHeader("Content-Length", Long.toString(length));
        }
        asking = new BodySender(message.stream(), this::cutShort);
        channel.sendRequest(request, new BasicEntityDetails(length, null), context);
    }

    /** The rest of the request never comes, which is not the server's doing, or the server has stopped reading. */
    private void cutShort() {
        if (connection != null) {
            giveBack(false);
            breakAnswer();
            conclude(asking.end() == BodyStream.End.CANCELLED ? Outcome.BROKEN : Outcome.CANCELLED, null, null);
        }
    }

    /** Whether every byte of the request is out: only then is the connection of further use. */
    boolean isWritten() {
        return asking == null ? !unsent.hasRemaining() : asking.isWritten();
    }

    @Override
    public int available() {
        return asking == null ? unsent.remaining() : asking.available();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        if (asking != null) {
            if (asking.produce(channel)) {
                writtenMs = times.nowMs();
            }
            return;
        }
        channel.write(unsent);
        if (!unsent.hasRemaining()) {
            channel.endStream();
        }
    }

    // ---- Answer ----

    @Override
    public void consumeInformation(HttpResponse information, HttpContext context) throws HttpException {
        if (information.getCode() == 101 || ++interimAnswers > MOST_INTERIM_ANSWERS) {
            throw new ProtocolException("an interim answer that nobody asked for");
        }
    }

    /** Spoilt answers are judged by their heads: their bodies may never end. */
    @Override
    public void consumeResponse(HttpResponse head, EntityDetails details, HttpContext context)
            throws HttpException, IOException {
        response = head;
        if (head.getCode() == 200 && asking == null && !isWritten()) {
            // No server begins before the last byte: it belongs to another request, whose answer came twice or late.
            throw new ProtocolException("an answer to a request that is not whole");
        }
        boolean framed = details == null || details.getContentLength() >= 0 || head.containsHeader("Transfer-Encoding");
        boolean tooLong = details != null && details.getContentLength() > LARGEST_BODY;
        if (tooLong && framed && head.getCode() == 200 && bodies.acceptsLargeBodies()) {
            begin(details.getContentLength());
        } else if (details == null) {
            answered();
        } else if (!framed && head.getCode() != 200) {
            // The status says it all.
            giveBack(false);
            conclude(outcome(), null, load());
        } else if (tooLong) {
            throw new ProtocolException("an answer over " + LARGEST_BODY + " bytes");
        } else if (!framed) {
            awaitEnd();
        }
    }

    /**
     * Without a length or chunks the body ends with its connection (RFC 9112, 6.3): a server that closes in order has
     * written all of it, a reset is no end. One that has no more to write closes at once; others may never.
     */
    private void awaitEnd() {
        endsWithConnection = true;
        connection.getConnection().setTimeout(Timeout.ofMilliseconds(LONGEST_SILENCE_MS));
    }

    /** The answer is passed on as it comes from here on; the attempt is its session's. */
    private void begin(long length) throws HttpException, IOException {
        connection.getConnection().bound(bodies.socketBufferBytes());
        longAnswer = new StreamedResponseBody(new ReceiveWindow(granted), () -> giveBack(false));
        if (capacity != null) {
            longAnswer.room(capacity);
        }
        BodyWriter feed = bodies.openResponseBody(length, longAnswer);
        if (feed == null) {
            longAnswer = null;
            throw new ProtocolException("an answer of " + length + " bytes");
        }
        longAnswer.begin(feed);
        conclude(Outcome.SUCCESS, new Message(null, null, Headers.endToEnd(response), NOTHING, feed.stream()), load());
    }

    /** Whether more of a long answer can be taken at once: one read of the connection brings 4 KiB. */
    boolean takesMore() {
        return longAnswer != null && connection != null && longAnswer.takesMore();
    }

    /** Bytes of a long answer until now. */
    long came() {
        return longAnswer == null ? 0 : longAnswer.came();
    }

    private void breakAnswer() {
        if (longAnswer != null) {
            longAnswer.broken();
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        if (longAnswer != null) {
            longAnswer.room(channel);
        } else if (!bodies.acceptsLargeBodies()) {
            channel.update(Integer.MAX_VALUE);
        } else {
            capacity = channel;
            granted += LARGEST_BODY;
            channel.update(LARGEST_BODY);
        }
    }

    @Override
    public void consume(ByteBuffer part) throws IOException {
        if (longAnswer != null) {
            longAnswer.takes(part);
            return;
        }
        if (body.size() + part.remaining() > LARGEST_BODY) {
            if (bodies.acceptsLargeBodies() && response.getCode() == 200) {
                growsLong(part);
                return;
            }
            throw new IOException("an answer over " + LARGEST_BODY + " bytes");
        }
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        body.write(bytes, 0, bytes.length);
    }

    /** An answer that told no length has turned out long. */
    private void growsLong(ByteBuffer part) throws IOException {
        try {
            begin(-1);
        } catch (HttpException failed) {
            throw new IOException(failed);
        }
        longAnswer.takes(ByteBuffer.wrap(body.toByteArray()));
        body.reset();
        longAnswer.takes(part);
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        if (longAnswer != null) {
            giveBack(isReusable());
            longAnswer.ended();
        } else {
            answered();
        }
    }

    private boolean isReusable() {
        return isWritten() && !endsWithConnection;
    }

    private void answered() {
        giveBack(isReusable());
        Outcome outcome = outcome();
        conclude(outcome, outcome == Outcome.SUCCESS ? answer() : null, load());
    }

    private Outcome outcome() {
        int status = response.getCode();
        return status == 200 ? Outcome.SUCCESS : turnedAway(status) ? Outcome.OVERLOADED : Outcome.ERROR;
    }

    private double[] load() {
        Header load = response.getFirstHeader(Headers.LOAD_REPORT);
        return LoadReportParser.parse(load == null ? null : load.getValue(), loadFields);
    }

    /** Only the mark proves that nothing ran; a bare 503 may come from anywhere behind the server. */
    private boolean turnedAway(int status) {
        Header mark = response.getFirstHeader(Headers.REJECTED);
        return (status == 503 || status == 504)
                && mark != null
                && mark.getValue().trim().equals("1");
    }

    private Message answer() {
        return new Message(null, null, Headers.endToEnd(response), body.toByteArray());
    }

    // ---- Ends ----

    @Override
    public void failed(Exception cause) {
        boolean stale = connection != null
                && connection.hasConnection()
                && connection.getConnection().wasKept();
        giveBack(false);
        breakAnswer();
        if (state == State.WAITING && (stale || ++endedAtOnce < MOST_ENDED_AT_ONCE)) {
            // The connection turned out closed or spoilt before a byte was written: this is no second attempt. A server
            // that ends its idle connections ends all of them, so these are not counted; each is tried once.
            start();
            return;
        }
        conclude(state == State.WAITING ? Outcome.UNREACHABLE : Outcome.BROKEN, null, null);
    }

    @Override
    public void cancel() {
        failed(new RequestNotExecutedException());
    }

    @Override
    public void releaseResources() {
        // Every end has given the connection back already; the one held now may be a fresh lease.
    }

    /** The connection goes back to the pool, or is closed; the first call decides. */
    private void giveBack(boolean reusable) {
        PoolEntry<Backend.Server, ServerConnection> leased = connection;
        connection = null;
        if (asking != null) {
            asking.cancel();
        }
        if (leased != null && reusable) {
            connections.release(leased);
        } else if (leased != null) {
            connections.discard(leased);
        }
    }

    private void conclude(Outcome outcome, Message answer, double[] load) {
        if (state != State.ENDED) {
            state = State.ENDED;
            double tookMs = response == null ? Double.NaN : Math.max(0, times.arrivedMs() - writtenMs);
            sender.onEnded(new Backend.Result(outcome, answer, load, tookMs, asking != null && !asking.isWritten()));
        }
    }
}
