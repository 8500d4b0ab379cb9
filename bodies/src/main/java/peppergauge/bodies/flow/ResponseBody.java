package peppergauge.bodies.flow;

import peppergauge.request.BodyWriter;

/** The body of a response: streamed as it arrives, a single time, and never stored. Event-loop thread only. */
public final class ResponseBody extends FlowControlledBody {

    private ResponseBody(FlowContext context, long declaredBytes, long maxBytes, BodyWriter.Producer producer) {
        super(context, declaredBytes, maxBytes, producer);
    }

    /**
     * Opens a response's body.
     *
     * @param declaredBytes its length, -1 if unknown until it ends
     * @param maxBytes the length over which it is cut off
     */
    public static ResponseBody open(
            FlowContext context, long declaredBytes, long maxBytes, BodyWriter.Producer producer) {
        ResponseBody body = new ResponseBody(context, declaredBytes, maxBytes, producer);
        body.start();
        return body;
    }

    @Override
    void onBytesReceived(int bytes) {}

    @Override
    void onForwarded(long offset) {
        buffer().dropBefore(offset);
        commit();
    }

    @Override
    boolean endsWithCompleteReading() {
        return true;
    }

    @Override
    boolean endsWithCancelledReading() {
        return true;
    }

    @Override
    void onProducerStalled() {
        context.listener().onCutOff(FlowContext.CutOffReason.BACKEND_STALLED);
    }

    @Override
    void onTooLong() {
        context.listener().onCutOff(FlowContext.CutOffReason.RESPONSE_TOO_LONG);
    }
}
