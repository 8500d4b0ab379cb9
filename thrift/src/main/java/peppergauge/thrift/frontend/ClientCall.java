package peppergauge.thrift.frontend;

import peppergauge.memory.RequestMemory;
import peppergauge.request.IncomingRequest;
import peppergauge.request.Message;
import peppergauge.request.ResponseListener;
import peppergauge.thrift.method.CallAttributes;
import peppergauge.thrift.method.ErrorReply;
import peppergauge.thrift.method.MethodConfig;
import peppergauge.thrift.method.ThriftMessages;
import peppergauge.thrift.wire.MessageFactory;
import peppergauge.thrift.wire.MessageHeader;
import peppergauge.thrift.wire.MessageRewriter;
import peppergauge.thrift.wire.RawMessage;
import peppergauge.thrift.wire.WireFormat;

/** A client's call, from its arrival to its reply; a oneway call ends with its only attempt. Event-loop thread only. */
final class ClientCall implements ResponseListener {

    private static final byte[] NO_REPLY = {};
    /** A call is held as it arrived and as it is written to a server. */
    private static final int COPIES = 2;

    private final ThriftFrontend frontend;
    private final ThriftClientConnection connection;
    private final WireFormat format;
    private final MessageHeader header;
    private final boolean oneway;
    private final RequestMemory memory;
    /** Null unless the call was dispatched. */
    private String requestId;

    private byte[] encodedReply;
    private boolean isCompleted;

    /**
     * @param format of the client's connection
     * @param header of the call
     */
    ClientCall(
            ThriftFrontend frontend,
            ThriftClientConnection connection,
            WireFormat format,
            MessageHeader header,
            boolean oneway) {
        this.frontend = frontend;
        this.connection = connection;
        this.format = format;
        this.header = header;
        this.oneway = oneway;
        this.memory = new RequestMemory(frontend.messageMemory());
    }

    /**
     * Dispatches the call, unless there is too little memory for it.
     *
     * @param isPipelined whether an earlier call of the connection has no reply yet
     * @return whether the call was dispatched
     */
    boolean dispatch(RawMessage call, MethodConfig method, CallAttributes attributes, boolean isPipelined) {
        String id = attributes.id() == null ? frontend.newRequestId() : attributes.id();
        long neededBytes = (long) COPIES * call.bytes().length
                + (long) Character.BYTES * attributes.key().length();
        if (!memory.reserveMessage(id, isPipelined, neededBytes)) {
            return false;
        }
        requestId = id;
        frontend.requestHandler()
                .handle(
                        new IncomingRequest(
                                requestId,
                                method.requestClass(),
                                attributes.tenant(),
                                attributes.remainingMs(),
                                false,
                                frontend.arrivedMs(),
                                ThriftMessages.ofCall(call, attributes.key())),
                        this);
        return true;
    }

    /** Called when the reply is written or its connection has closed; may be called several times. */
    void releaseMemory() {
        memory.release();
    }

    boolean isDispatched() {
        return requestId != null;
    }

    boolean isOneway() {
        return oneway;
    }

    /** The reply as bytes, with its frame header; null until it is known. */
    byte[] encodedReply() {
        return encodedReply;
    }

    // ---- Response ----

    @Override
    public void onResponse(Message response) {
        if (oneway) {
            complete(null);
            return;
        }
        RawMessage reply = MessageRewriter.transcode(ThriftMessages.toThrift(response), format.encoding());
        complete(MessageRewriter.withSequenceId(reply, header.sequenceId()));
    }

    @Override
    public void onRejected(double retryAfterMs) {
        completeWithError(ErrorReply.rejected(retryAfterMs));
    }

    @Override
    public void onFailed(boolean timedOut) {
        completeWithError(timedOut ? ErrorReply.TIMED_OUT : ErrorReply.FAILED);
    }

    @Override
    public void onDuplicateId() {
        completeWithError(ErrorReply.DUPLICATE_ID);
    }

    /** A oneway call is sent even if its client has disconnected, since the client expects no reply. */
    @Override
    public boolean isClientWaiting() {
        if (!oneway && !isCompleted) {
            connection.detectDisconnect();
        }
        return oneway || !isCompleted;
    }

    /** Completes a call, dispatched or not, with an error. */
    void completeWithError(ErrorReply error) {
        if (oneway) {
            frontend.onOnewayCallLost(header.methodName(), error.text());
            complete(null);
        } else {
            complete(MessageFactory.exceptionReply(header, format.encoding(), error.exceptionType(), error.text()));
        }
    }

    /** @param reply null for a oneway call */
    private void complete(RawMessage reply) {
        if (!isCompleted) {
            isCompleted = true;
            encodedReply = reply == null ? NO_REPLY : MessageRewriter.frame(reply, format);
            memory.holdResponse(encodedReply.length);
            if (oneway) {
                memory.release();
            }
            connection.onOutcome(this);
        }
    }

    /**
     * The connection has closed, which cancels the request. A oneway call goes on: its client expects no reply and may
     * close the connection right after the call.
     */
    void onClientDisconnected() {
        memory.release();
        if (isDispatched() && !isCompleted && !oneway) {
            isCompleted = true;
            frontend.requestHandler().cancel(requestId, this);
        }
    }
}
