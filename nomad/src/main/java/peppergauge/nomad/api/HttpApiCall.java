package peppergauge.nomad.api;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import peppergauge.http.GetExchangeHandler;
import peppergauge.request.Scheduler;

/** A GET request over HTTP, from connecting to its end. Confined to the event loop's thread. */
final class HttpApiCall extends GetExchangeHandler implements ApiCall {

    private final String target;
    private final AgentAddress agent;
    private final String token;
    private final ResponseHandler handler;
    private IOSession connection;
    private Scheduler.ScheduledTask deadline;
    private boolean isEnded;

    HttpApiCall(String target, AgentAddress agent, String token, ResponseHandler handler) {
        this.target = target;
        this.agent = agent;
        this.token = token;
        this.handler = handler;
    }

    /** Sets the task that aborts the call at its deadline; the task is cancelled when the call ends. */
    void setDeadline(Scheduler.ScheduledTask task) {
        deadline = task;
    }

    boolean isEnded() {
        return isEnded;
    }

    /** Takes over the connection; closes it and returns false if the call has already ended. */
    boolean onConnected(IOSession session) {
        connection = session;
        if (isEnded) {
            session.close(CloseMode.IMMEDIATE);
        }
        return !isEnded;
    }

    @Override
    public void abort(String error) {
        if (finish()) {
            handler.onFailure(error);
        }
    }

    @Override
    public void abandon() {
        finish();
    }

    /** Ends the call and closes its connection; returns false if it has already ended. */
    private boolean finish() {
        if (isEnded) {
            return false;
        }
        isEnded = true;
        if (deadline != null) {
            deadline.cancel();
        }
        if (connection != null) {
            connection.close(CloseMode.IMMEDIATE);
        }
        return true;
    }

    @Override
    protected HttpRequest createRequest() {
        BasicHttpRequest request = new BasicHttpRequest("GET", target);
        request.addHeader("Host", agent.toString());
        request.addHeader("Connection", "close");
        if (!token.isEmpty()) {
            request.addHeader("X-Nomad-Token", token);
        }
        return request;
    }

    @Override
    public void consumeResponse(HttpResponse response, EntityDetails details, HttpContext context) throws IOException {
        if (!isEnded) {
            handler.onHead(ResponseHead.of(response));
            if (details == null) {
                streamEnd(null);
            }
        }
    }

    @Override
    public void consume(ByteBuffer part) throws IOException {
        if (!isEnded) {
            handler.onBody(part);
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        if (finish()) {
            handler.onComplete();
        }
    }

    @Override
    public void failed(Exception cause) {
        abort(cause.toString());
    }

    @Override
    public void cancel() {
        abort("the call was cancelled");
    }

    @Override
    public void releaseResources() {
        abort("the connection ended");
    }
}
