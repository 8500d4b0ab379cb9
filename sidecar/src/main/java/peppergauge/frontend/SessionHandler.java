package peppergauge.frontend;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import peppergauge.http.Headers;
import peppergauge.log.Log;
import peppergauge.session.Frontend;
import peppergauge.session.Intake;
import peppergauge.session.Message;

/** One request of a client, from its head to the last byte of its answer. */
final class SessionHandler implements AsyncServerExchangeHandler, Frontend {

    private static final int LARGEST_BODY = 64 * 1024;
    /** Requests whose answers may be owed on one connection: bounds memory where a client asks but does not read. */
    private static final int MOST_PIPELINED = 16;
    private static final byte[] REHEARSED = new byte[200];
    private static final String READY_PATH = "/up";

    private final HttpFrontend owner;
    private final ClientConnection connection;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private Head head;
    private Intake intake;
    private boolean rehearsing;
    private ResponseChannel channel;
    private HttpContext context;
    private boolean closeAsked;
    private boolean answeredHere;
    private ByteBuffer unsent = ByteBuffer.allocate(0);
    private boolean opened;
    private boolean done;

    SessionHandler(HttpFrontend owner, ClientConnection connection) {
        this.owner = owner;
        this.connection = connection;
    }

    // ---- Request ----

    @Override
    public void handleRequest(HttpRequest request, EntityDetails details, ResponseChannel responses,
            HttpContext exchange) throws HttpException, IOException {
        channel = responses;
        context = exchange;
        Header option = request.getFirstHeader("Connection");
        closeAsked = option != null && "close".equalsIgnoreCase(option.getValue());
        boolean ignored = !connection.begins(closeAsked, details != null);
        if (details == null) {
            connection.requestWhole();
        }
        if (ignored) {
            // After a request that could not be used, what follows may be a part of it: nothing of it is passed on.
            answeredHere = true;
            return;
        }
        if (READY_PATH.equals(request.getRequestUri())) {
            answerHere(owner.ready() ? 200 : 503, owner.ready() ? "ready" : "not ready", null);
            return;
        }
        intake = owner.intake(request);
        if (intake == null) {
            answerHere(503, "the rehearsal is over", null);
            return;
        }
        rehearsing = owner.rehearses(intake);
        try {
            head = Head.read(request, owner.site());
        } catch (Head.Unusable unusable) {
            answerHere(unusable.status, unusable.getMessage(), unusable.allow);
            return;
        }
        if (details != null && details.getContentLength() > LARGEST_BODY) {
            answerHere(413, "a body holds " + LARGEST_BODY + " bytes at most", null);
        } else if (details != null && details.getContentLength() != 0 && "GET".equals(head.verb())) {
            answerHere(400, "GET takes no body", null);
        } else if (connection.owed() > MOST_PIPELINED) {
            answerHere(503, "too many requests on one connection", null);
        } else if (details == null) {
            open();
        }
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        capacity.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer part) throws IOException {
        connection.read(part.remaining());
        if (answeredHere) {
            connection.discarded(part.remaining());
            part.position(part.limit());
            return;
        }
        if (body.size() + part.remaining() > LARGEST_BODY) {
            part.position(part.limit());
            try {
                answerHere(413, "a body holds " + LARGEST_BODY + " bytes at most", null);
            } catch (HttpException failed) {
                throw new IOException(failed);
            }
            return;
        }
        byte[] bytes = new byte[part.remaining()];
        part.get(bytes);
        body.write(bytes, 0, bytes.length);
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        connection.requestWhole();
        if (!answeredHere) {
            open();
        }
    }

    private void open() {
        opened = true;
        connection.waits(this);
        intake.open(head.opening(owner.arrivedMs(), body.toByteArray()), this);
    }

    // ---- The one answer ----

    @Override
    public void served(Message answer) {
        BasicHttpResponse response = new BasicHttpResponse(200);
        for (Message.Field field : answer.fields()) {
            response.addHeader(field.name(), field.value());
        }
        answer(response, answer.body());
    }

    @Override
    public void denied(double retryAfterMs) {
        BasicHttpResponse response = new BasicHttpResponse(503);
        if (retryAfterMs > 0) {
            response.addHeader("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfterMs / 1000));
        }
        answer(response, new byte[0]);
    }

    @Override
    public void failed(boolean late) {
        answer(new BasicHttpResponse(late ? 504 : 502), new byte[0]);
    }

    @Override
    public void duplicate() {
        if (rehearsing) {
            BasicHttpResponse response = new BasicHttpResponse(200);
            response.addHeader(Headers.LOAD, "inflight=1,queue=0,latency_ms=1");
            answer(response, REHEARSED);
            return;
        }
        answer(new BasicHttpResponse(409), "a session has this X-Txn\n".getBytes(StandardCharsets.UTF_8));
    }

    /** Answers without a session; after an unusable head nothing more on the connection can be trusted. */
    private void answerHere(int status, String text, String allow) throws HttpException, IOException {
        answeredHere = true;
        BasicHttpResponse response = new BasicHttpResponse(status);
        if (allow != null) {
            response.addHeader("Allow", allow);
        }
        if (status >= 400) {
            closeAsked = true;
            connection.endInput();
        }
        send(response, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private void answer(BasicHttpResponse response, byte[] content) {
        try {
            send(response, content);
        } catch (ClosedChannelException gone) {
            // The client left just now; its session has ended either way.
        } catch (HttpException | IOException failed) {
            Log.line("frontend", "an answer could not be written: " + failed);
        }
    }

    private void send(BasicHttpResponse response, byte[] content) throws HttpException, IOException {
        done = true;
        connection.answered(this);
        if (closeAsked || owner.closing() && connection.endInputIfIdle()) {
            response.setHeader("Connection", "close");
        }
        response.setHeader("Content-Length", Integer.toString(content.length));
        unsent = ByteBuffer.wrap(content);
        channel.sendResponse(response, content.length > 0 ? new BasicEntityDetails(content.length, null) : null,
                context);
    }

    @Override
    public int available() {
        return unsent.remaining();
    }

    @Override
    public void produce(DataStreamChannel output) throws IOException {
        output.write(unsent);
        if (!unsent.hasRemaining()) {
            output.endStream();
        }
    }

    // ---- Ends ----

    @Override
    public void failed(Exception cause) {
        clientGone();
    }

    @Override
    public void releaseResources() {
        // Nothing is held.
    }

    /** The connection ended; a session that waits for its answer ends with it. */
    void clientGone() {
        if (opened && !done) {
            done = true;
            intake.left(head.id(), this);
        }
    }
}
