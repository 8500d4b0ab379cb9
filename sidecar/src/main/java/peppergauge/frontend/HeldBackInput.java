package peppergauge.frontend;

import java.io.IOException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOSession;
import peppergauge.http.HeadReader;
import peppergauge.log.Log;
import peppergauge.sockets.ReadControl;

/**
 * Input that a connection holds back while as many responses as may be pending are not written yet: it stays in
 * HttpCore's buffer and in the socket, so that the client cannot send more (back pressure). Only the event loop's
 * thread uses it.
 */
final class HeldBackInput {

    /** Parses what HttpCore has buffered. */
    interface Parser {

        void parse() throws IOException;
    }

    private final HeadReader<HttpRequest> headReader;
    private final PipelinedRequests pipeline;
    /** The earliest time at which the input can have arrived, ms; NaN if none is held back. */
    private double arrivedMs = Double.NaN;

    private boolean isResumeScheduled;
    private boolean isLogged;

    HeldBackInput(HeadReader<HttpRequest> headReader, PipelinedRequests pipeline) {
        this.headReader = headReader;
        this.pipeline = pipeline;
    }

    /** Called when input was read and some of it was held back, which arrived at {@code nowArrivedMs} or later. */
    void onHeldBack(IOSession session, double nowArrivedMs) {
        session.clearEvent(EventMask.READ);
        if (Double.isNaN(arrivedMs)) {
            arrivedMs = nowArrivedMs;
        }
        if (!isLogged) {
            isLogged = true;
            Log.event(
                    "client_input_held_back",
                    "protocol",
                    "http",
                    "client",
                    session.getRemoteAddress(),
                    "requests",
                    pipeline.started(),
                    "unanswered",
                    pipeline.unanswered());
        }
    }

    /** Called when input was read and nothing was held back. */
    void onNothingHeldBack() {
        arrivedMs = Double.NaN;
    }

    /**
     * The earliest time at which the request that is being read can have arrived, ms.
     *
     * @param nowArrivedMs the earliest time at which input that was not held back can have arrived
     */
    double earliestArrivalMs(double nowArrivedMs) {
        return Double.isNaN(arrivedMs) ? nowArrivedMs : Math.min(arrivedMs, nowArrivedMs);
    }

    /** Whether the connection is to read on, and is not about to do so yet; true once until {@link #resume}. */
    boolean startResuming() {
        boolean starts = headReader.isHeldBack() && pipeline.hasRoom() && !isResumeScheduled;
        isResumeScheduled |= starts;
        return starts;
    }

    /** Parses the input; reading on at once would enlarge HttpCore's buffer, which is full. */
    void resume(IOSession session, Parser parser) throws IOException {
        session.setEvent(EventMask.READ);
        ReadControl reads = (ReadControl) session;
        reads.suspendReads(true);
        try {
            parser.parse();
        } finally {
            reads.suspendReads(false);
        }
    }

    /** Called when a scheduled resumption is due, whether or not the connection is still open. */
    void onResumptionDue() {
        isResumeScheduled = false;
    }
}
