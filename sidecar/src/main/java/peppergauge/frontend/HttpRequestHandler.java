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
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import peppergauge.http.BodySender;
import peppergauge.http.Headers;
import peppergauge.http.ReceiveWindow;
import peppergauge.log.Log;
import peppergauge.request.BodyStream;
import peppergauge.request.BodyWriter;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;
import peppergauge.request.RequestHandler;
import peppergauge.request.ResponseListener;

/** One request of a client, from its head to the last byte of its answer. */
final class HttpRequestHandler implements AsyncServerExchangeHandler, ResponseListener {

    private static final int LARGEST_BODY = 64 * 1024;
    /** Requests whose answers may be owed on one connection: bounds memory where a client asks but does not read. */
    private static final int MOST_PIPELINED = 16;

    private static final byte[] REHEARSED = new byte[200];
    private static final byte[] NOTHING = new byte[0];
    private static final String READY_PATH = "/up";

    private final HttpFrontend owner;
    private final HttpClientConnection connection;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private RequestHead head;
    private RequestHandler intake;
    private boolean rehearsing;
    private ResponseChannel channel;
    private HttpContext context;
    /** Of this request on its connection. */
    private int number;

    private boolean closeAsked;
    private boolean answeredHere;
    private ByteBuffer unsent = ByteBuffer.allocate(0);
    private boolean opened;
    private boolean done;
    /** Of the request, where it is too long to be held here. */
    private StreamedRequestBody longBody;
    /** How much of a body without a length HttpCore was allowed to read until it turned out long. */
    private CapacityChannel capacity;

    private int granted;
    private boolean requestWhole;
    /** Of the answer, where it is. */
    private BodySender answering;

    HttpRequestHandler(HttpFrontend owner, HttpClientConnection connection) {
        this.owner = owner;
        this.connection = connection;
    }

    // ---- Request ----

    @Override
    public void handleRequest(
            HttpRequest request, EntityDetails details, ResponseChannel responses, HttpContext exchange)
            throws HttpException, IOException {
        channel = responses;
        context = exchange;
        Header option = request.getFirstHeader("Connection");
        closeAsked = option != null && "close".equalsIgnoreCase(option.getValue());
        boolean ignored = !connection.begins(closeAsked, details != null);
        number = connection.begun();
        if (details == null) {
            connection.requestWhole();
        }
        if (ignored) {
            // After a request that could not be used, what follows may be a part of it: nothing of it is passed on.
            answeredHere = true;
            return;
        }
        if (READY_PATH.equals(request.getRequestUri())) {
            answerHere(owner.isReady() ? 200 : 503, owner.isReady() ? "ready" : "not ready", null);
            return;
        }
        intake = owner.handlerFor(request);
        if (intake == null) {
            answerHere(503, "the rehearsal is over", null);
            return;
        }
        rehearsing = owner.isRehearsalHandler(intake);
        try {
            head = RequestHead.read(request, owner.classifier());
        } catch (RequestHead.InvalidRequestException unusable) {
            answerHere(unusable.status, unusable.getMessage(), unusable.allowedMethod);
            return;
        }
        boolean tooLong = details != null && details.getContentLength() > LARGEST_BODY;
        if (tooLong && !owner.bodies().acceptsLargeBodies()) {
            answerHere(413, "a body holds " + LARGEST_BODY + " bytes at most", null);
        } else if (details != null && details.getContentLength() != 0 && "GET".equals(head.method())) {
            answerHere(400, "GET takes no body", null);
        } else if (connection.owed() > MOST_PIPELINED) {
            answerHere(503, "too many requests on one connection", null);
        } else if (details == null) {
            requestWhole = true;
            open();
        } else if (!tooLong || takeLong(details.getContentLength())) {
            goOn(request);
        }
    }

    /** A client that waits for a word before it sends its body gets it; behind another answer it has to do without. */
    private void goOn(HttpRequest request) throws HttpException, IOException {
        Header expected = request.getFirstHeader("Expect");
        if (expected != null && "100-continue".equalsIgnoreCase(expected.getValue()) && connection.owed() == 1) {
            channel.sendInformation(new BasicHttpResponse(100), context);
        }
    }

    /** Whether it is taken; if not, it is answered. */
    private boolean takeLong(long length) throws IOException {
        longBody = new StreamedRequestBody(this, new ReceiveWindow(granted));
        if (capacity != null) {
            longBody.room(capacity);
        }
        IncomingRequest asked = head.toRequest(owner.arrivedMs(), NOTHING);
        BodyWriter feed = owner.bodies().openRequestBody(asked, length, longBody);
        if (feed == null) {
            return false;
        }
        longBody.begin(asked, feed);
        connection.takes(this);
        return true;
    }

    @Override
    public void updateCapacity(CapacityChannel more) throws IOException {
        if (longBody != null) {
            longBody.room(more);
        } else if (answeredHere || !owner.bodies().acceptsLargeBodies()) {
            more.update(Integer.MAX_VALUE);
        } else {
            capacity = more;
            granted += LARGEST_BODY;
            more.update(LARGEST_BODY);
        }
    }

    /** Whether more of a long body can be taken at once: one read of the connection brings 4 KiB. */
    boolean takesMore() {
        return longBody != null && longBody.takesMore();
    }

    @Override
    public void consume(ByteBuffer part) throws IOException {
        connection.read(part.remaining());
        if (longBody != null) {
            consumeRest(part);
            return;
        }
        if (answeredHere) {
            connection.discarded(part.remaining());
            part.position(part.limit());
            return;
        }
        if (body.size() + part.remaining() > LARGEST_BODY) {
            if (owner.bodies().acceptsLargeBodies()) {
                growsLong(part);
                return;
            }
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

    /** A body that told no length has turned out long. */
    private void growsLong(ByteBuffer part) throws IOException {
        if (takeLong(-1)) {
            longBody.takes(ByteBuffer.wrap(body.toByteArray()));
            body.reset();
        }
        consumeRest(part);
    }

    private void consumeRest(ByteBuffer part) {
        if (longBody == null || !longBody.takes(part)) {
            connection.discarded(part.remaining());
            part.position(part.limit());
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        requestWhole = true;
        connection.requestWhole();
        if (longBody != null) {
            longBody.ended();
        } else if (!answeredHere) {
            open();
        }
    }

    private void open() {
        IncomingRequest asked = head.toRequest(owner.arrivedMs(), body.toByteArray());
        if (owner.isStoppedBefore(asked.deadlineMs())) {
            onRejected(0);
            return;
        }
        opened = true;
        connection.waits(this);
        intake.handle(asked, this);
    }

    // ---- A long body ----

    /** It may be sent: it is whole, or is passed on as it comes. */
    void open(IncomingRequest asked, BodyStream flow) {
        opened = true;
        // What was whole long before its session opens came in for that alone: the client's time runs from here.
        intake.handle(asked.with(flow, owner.arrivedMs()), this);
    }

    void refused(int status, String text, double retryAfterMs) {
        if (done) {
            return;
        }
        if (opened) {
            intake.cancel(head.id(), this);
        }
        try {
            answerHere(status, text, null, retryAfterMs);
        } catch (HttpException | IOException failed) {
            Log.line("frontend", "an answer could not be written: " + failed);
        }
    }

    // ---- The one answer ----

    @Override
    public void onResponse(Message answer) {
        BasicHttpResponse response = new BasicHttpResponse(200);
        for (Message.Field field : answer.fields()) {
            response.addHeader(field.name(), field.value());
        }
        if (answer.stream() == null) {
            answer(response, answer.body());
        } else if (done || !answer.stream().isReadableFromStart()) {
            answer.stream().release();
            onFailed(false);
        } else if (answer.stream().length() < 0 && context.getProtocolVersion().lessEquals(HttpVersion.HTTP_1_0)) {
            // Such a client knows no chunks, and could not tell an end from a break.
            answer.stream().release();
            onFailed(false);
        } else {
            stream(response, answer.stream());
        }
    }

    /** The answer is passed on as it comes. While its request still comes too, both go on. */
    private void stream(BasicHttpResponse response, BodyStream flow) {
        done = true;
        answering = new BodySender(flow, this::cutShort);
        connection.answered(this);
        boolean last = closeAsked || !requestWhole || owner.isClosing() && connection.endInputAfter(number);
        if (last) {
            connection.endInput();
            response.setHeader("Connection", "close");
        }
        connection.streams(this);
        if (flow.length() < 0) {
            response.setHeader("Transfer-Encoding", "chunked");
        } else {
            response.setHeader("Content-Length", Long.toString(flow.length()));
        }
        try {
            channel.sendResponse(response, new BasicEntityDetails(flow.length(), null), context);
        } catch (HttpException | IOException gone) {
            cutShort();
        }
    }

    /** The client can tell: a length or a last chunk is missing. */
    private void cutShort() {
        answering.cancel();
        connection.cutOff();
    }

    @Override
    public void onRejected(double retryAfterMs) {
        BasicHttpResponse response = new BasicHttpResponse(503);
        retryAfter(response, retryAfterMs);
        answer(response, NOTHING);
    }

    private static void retryAfter(BasicHttpResponse response, double ms) {
        if (ms > 0) {
            response.addHeader("Retry-After", String.format(Locale.ROOT, "%.3f", ms / 1000));
        }
    }

    @Override
    public void onFailed(boolean late) {
        answer(new BasicHttpResponse(late ? 504 : 502), NOTHING);
    }

    @Override
    public void onDuplicateId() {
        if (rehearsing) {
            BasicHttpResponse response = new BasicHttpResponse(200);
            response.addHeader(Headers.LOAD_REPORT, "inflight=1,queue=0,latency_ms=1");
            answer(response, REHEARSED);
            return;
        }
        answer(new BasicHttpResponse(409), "a session has this X-Txn\n".getBytes(StandardCharsets.UTF_8));
    }

    /** Answers without a session; after an unusable head nothing more on the connection can be trusted. */
    private void answerHere(int status, String text, String allow) throws HttpException, IOException {
        answerHere(status, text, allow, 0);
    }

    private void answerHere(int status, String text, String allow, double retryAfterMs)
            throws HttpException, IOException {
        answeredHere = true;
        BasicHttpResponse response = new BasicHttpResponse(status);
        retryAfter(response, retryAfterMs);
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
        if (done) {
            // Its long body was refused, or its client left, before this session heard of it.
            return;
        }
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
        if (longBody != null) {
            letGo();
        }
        connection.answered(this);
        if (closeAsked || owner.isClosing() && connection.endInputAfter(number)) {
            response.setHeader("Connection", "close");
        }
        response.setHeader("Content-Length", Integer.toString(content.length));
        unsent = ByteBuffer.wrap(content);
        channel.sendResponse(
                response, content.length > 0 ? new BasicEntityDetails(content.length, null) : null, context);
    }

    /** Nothing of the request's body is needed any more; what still comes of it is read for some time. */
    private void letGo() {
        longBody.letGo();
        if (!requestWhole) {
            answeredHere = true;
            closeAsked = true;
            connection.endInput();
        }
    }

    @Override
    public int available() {
        return answering == null ? unsent.remaining() : answering.available();
    }

    @Override
    public void produce(DataStreamChannel output) throws IOException {
        if (answering != null) {
            if (answering.produce(output)) {
                if (longBody != null) {
                    letGo();
                }
                connection.answered(this);
            }
            return;
        }
        output.write(unsent);
        if (!unsent.hasRemaining()) {
            output.endStream();
        }
    }

    // ---- Ends ----

    /**
     * HttpCore reads 4 KiB in a round, and once: an end may stand behind a body or further requests for many rounds,
     * also where each of them is short.
     */
    @Override
    public boolean isClientWaiting() {
        if (!done) {
            connection.lookForEnd();
        }
        return !done;
    }

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
            intake.cancel(head.id(), this);
        }
        done = true;
        if (answering != null) {
            answering.cancel();
        }
        if (longBody != null) {
            longBody.letGo();
        }
    }
}
