package peppergauge.nomad.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import peppergauge.request.Scheduler;

/** One GET, from its connection's coming up to its end; all on the loop. */
final class HttpCall implements Call, AsyncClientExchangeHandler {

    private final String target;
    private final Agent agent;
    private final String token;
    private final Sink sink;
    private IOSession connection;
    private Scheduler.ScheduledTask until;
    private boolean over;

    HttpCall(String target, Agent agent, String token, Sink sink) {
        this.target = target;
        this.agent = agent;
        this.token = token;
        this.sink = sink;
    }

    void until(Scheduler.ScheduledTask wait) {
        until = wait;
    }

    boolean over() {
        return over;
    }

    /** False if the call ended before: the connection is closed. */
    boolean up(IOSession session) {
        connection = session;
        if (over) {
            session.close(CloseMode.IMMEDIATE);
        }
        return !over;
    }

    @Override
    public void close(String why) {
        if (finish()) {
            sink.failed(why);
        }
    }

    @Override
    public void drop() {
        finish();
    }

    private boolean finish() {
        if (over) {
            return false;
        }
        over = true;
        if (until != null) {
            until.cancel();
        }
        if (connection != null) {
            connection.close(CloseMode.IMMEDIATE);
        }
        return true;
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        BasicHttpRequest request = new BasicHttpRequest("GET", target);
        request.addHeader("Host", agent.toString());
        request.addHeader("Connection", "close");
        if (!token.isEmpty()) {
            request.addHeader("X-Nomad-Token", token);
        }
        channel.sendRequest(request, null, context);
    }

    @Override
    public int available() {
        return 0;
    }

    @Override
    public void produce(DataStreamChannel channel) {
        // The request has no body.
    }

    @Override
    public void consumeInformation(HttpResponse response, HttpContext context) {
        // Nothing to learn from an interim answer.
    }

    @Override
    public void consumeResponse(HttpResponse response, EntityDetails details, HttpContext context) throws IOException {
        if (!over) {
            sink.head(Head.of(response));
            if (details == null) {
                streamEnd(null);
            }
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        channel.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer part) throws IOException {
        if (!over) {
            sink.part(part);
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        if (finish()) {
            sink.ended();
        }
    }

    @Override
    public void failed(Exception cause) {
        close(cause.toString());
    }

    @Override
    public void cancel() {
        close("it was cancelled");
    }

    @Override
    public void releaseResources() {
        close("its connection ended");
    }
}
