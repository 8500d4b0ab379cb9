package peppergauge.backend;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.Consumer;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
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
import peppergauge.decision.Balancer.LoadField;
import peppergauge.decision.Balancer.Outcome;
import peppergauge.http.Headers;
import peppergauge.session.Backend;
import peppergauge.session.Message;

/**
 * One request to one backend server, from the lease of a connection to the last byte of the answer. Only the loop's
 * thread comes here.
 */
final class HttpExchange implements AsyncClientExchangeHandler, Backend.Exchange {

    /** A body holds 64 KiB at most. */
    private static final int LARGEST_BODY = 64 * 1024;

    private static final int MOST_INTERIM_ANSWERS = 8;

    /** Connections that closed before a byte was written, after which the server counts as out of reach. */
    private static final int MOST_STALE_CONNECTIONS = 4;

    /** WAITING: nothing is written. WRITING: something may be. ENDED: the result is out. */
    private enum State { WAITING, WRITING, ENDED }

    private final Connections connections;
    private final Backend.Server server;
    private final Message message;
    private final Times times;
    private final List<LoadField> loadFields;
    private final Consumer<Backend.Result> ended;
    private State state = State.WAITING;
    private PoolEntry<Backend.Server, ServerConnection> connection;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(256);
    private final ByteBuffer unsent;
    private HttpResponse response;
    private double writtenMs = Double.NaN;
    private int interimAnswers;
    private int staleConnections;

    /** The times that matter to an exchange, ms. */
    interface Times {

        double nowMs();

        /** How long the answer is waited for from now. */
        double remainingMs();

        /** When what is being read came in, as far as that is known. */
        double arrivedMs();
    }

    HttpExchange(Connections connections, Backend.Server server, Message message, Times times,
            List<LoadField> loadFields, Consumer<Backend.Result> ended) {
        this.connections = connections;
        this.server = server;
        this.message = message;
        this.times = times;
        this.loadFields = loadFields;
        this.ended = ended;
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
        up.execute(new RequestExecutionCommand(this, HttpCoreContext.create()));
    }

    // ---- What the owner of the sessions may ask ----

    @Override
    public boolean withdraw() {
        boolean waiting = state == State.WAITING;
        state = waiting ? State.ENDED : state;
        return waiting;
    }

    @Override
    public boolean abandon() {
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
        state = State.WRITING;
        writtenMs = times.nowMs();
        BasicHttpRequest request = new BasicHttpRequest(message.verb(), message.target());
        for (Message.Field field : message.fields()) {
            request.addHeader(field.name(), field.value());
        }
        request.setHeader(Headers.REMAINING_MS, Long.toString((long) Math.max(1, times.remainingMs())));
        int length = message.body().length;
        if (length > 0) {
            request.setHeader("Content-Length", Integer.toString(length));
        }
        channel.sendRequest(request, length > 0 ? new BasicEntityDetails(length, null) : null, context);
    }

    @Override
    public int available() {
        return unsent.remaining();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
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
    public void consumeResponse(HttpResponse head, EntityDetails details, HttpContext context) throws HttpException {
        response = head;
        boolean framed = details == null || details.getContentLength() >= 0 || head.containsHeader("Transfer-Encoding");
        boolean tooLong = details != null && details.getContentLength() > LARGEST_BODY;
        if (details == null) {
            answered();
        } else if (!framed && head.getCode() != 200) {
            // The status says it all.
            giveBack(false);
            conclude(outcome(), null, load());
        } else if (!framed || tooLong) {
            // Without a length or chunks the end of the connection may cut the body short.
            throw new ProtocolException(tooLong ? "an answer over " + LARGEST_BODY + " bytes" : "an unframed answer");
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        channel.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer part) throws IOException {
        if (body.size() + part.remaining() > LARGEST_BODY) {
            throw new IOException("an answer over " + LARGEST_BODY + " bytes");
        }
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        body.write(bytes, 0, bytes.length);
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        answered();
    }

    private void answered() {
        giveBack(!unsent.hasRemaining());
        Outcome outcome = outcome();
        conclude(outcome, outcome == Outcome.SUCCESS ? answer() : null, load());
    }

    private Outcome outcome() {
        int status = response.getCode();
        return status == 200 ? Outcome.SUCCESS : turnedAway(status) ? Outcome.OVERLOADED : Outcome.ERROR;
    }

    private double[] load() {
        Header load = response.getFirstHeader(Headers.LOAD);
        return LoadReport.parse(load == null ? null : load.getValue(), loadFields);
    }

    /** Only the mark proves that nothing ran; a bare 503 may come from anywhere behind the server. */
    private boolean turnedAway(int status) {
        Header mark = response.getFirstHeader(Headers.TURNED_AWAY);
        return (status == 503 || status == 504) && mark != null && mark.getValue().trim().equals("1");
    }

    private Message answer() {
        return new Message(null, null, Headers.endToEnd(response), body.toByteArray());
    }

    // ---- Ends ----

    @Override
    public void failed(Exception cause) {
        giveBack(false);
        if (state == State.WAITING && ++staleConnections < MOST_STALE_CONNECTIONS) {
            // The idle connection turned out closed or spoilt before a byte was written: this is no second attempt.
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
        if (leased != null && reusable) {
            connections.reuse(leased);
        } else if (leased != null) {
            connections.discard(leased);
        }
    }

    private void conclude(Outcome outcome, Message answer, double[] load) {
        if (state != State.ENDED) {
            state = State.ENDED;
            double tookMs = response == null ? Double.NaN : Math.max(0, times.arrivedMs() - writtenMs);
            ended.accept(new Backend.Result(outcome, answer, load, tookMs));
        }
    }
}
