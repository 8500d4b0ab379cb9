package peppergauge.thrift.frontend;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import org.apache.thrift.protocol.TMessageType;
import peppergauge.log.Log;
import peppergauge.memory.MessageMemory;
import peppergauge.memory.MessageMemory.Purpose;
import peppergauge.sockets.ClientConnection;
import peppergauge.sockets.ClientConnections;
import peppergauge.sockets.ConnectionPhase;
import peppergauge.thrift.method.CallAttributes;
import peppergauge.thrift.method.ErrorReply;
import peppergauge.thrift.method.MethodConfig;
import peppergauge.thrift.wire.MalformedMessageException;
import peppergauge.thrift.wire.MessageHeader;
import peppergauge.thrift.wire.MessageReader;
import peppergauge.thrift.wire.RawMessage;

/**
 * A client's Thrift connection: reads its calls, and writes their replies in the order of the calls. All methods run on
 * the event loop's thread.
 */
final class ThriftClientConnection extends ClientConnection {

    /** Calls of one connection whose replies are pending or not read; limits memory for clients that do not read. */
    private static final int MAX_PIPELINED_CALLS = 16;

    private final IOSession connection;
    private final ThriftFrontend frontend;
    private final ClientConnections connections;
    private final MessageReader reader;
    /** The memory of the reader's buffer. */
    private final MessageMemory.Reservation inputMemory;

    /** Calls whose replies are not handed to the socket yet, in the order of their arrival; no oneway calls. */
    private final Deque<ClientCall> pendingCalls = new ArrayDeque<>(2);

    private final Deque<Reply> unwrittenReplies = new ArrayDeque<>(2);
    /** Calls that were dispatched and have no outcome, oneway calls included. */
    private int dispatchedCalls;
    /** The part of the buffer for which memory is reserved. */
    private int inputBytes;

    /** A reply that is not completely written, and its call. */
    private record Reply(ByteBuffer bytes, ClientCall call) {}

    ThriftClientConnection(ProtocolIOSession connection, ThriftFrontend frontend, ClientConnections connections) {
        super(connection, connections, frontend.scheduler());
        this.connection = connection;
        this.frontend = frontend;
        this.connections = connections;
        this.reader = frontend.newMessageReader();
        this.inputMemory = frontend.messageMemory().newReservation();
    }

    // ---- Reactor events ----

    @Override
    public void connected(IOSession session) {
        onConnected();
        session.setEvent(EventMask.READ);
    }

    @Override
    public void inputReady(IOSession session, ByteBuffer source) throws IOException {
        if (phase() == ConnectionPhase.LINGERING) {
            discardInput();
            return;
        }
        for (int i = 0; i < MAX_READS && !phase().isAtLeast(ConnectionPhase.LINGERING) && read(session); i++) {
            if (phase() == ConnectionPhase.READING) {
                handleMessages();
            }
        }
        checkRequestStarted();
    }

    /** Reads once; returns whether any bytes arrived. */
    private boolean read(IOSession session) throws IOException {
        ByteBuffer buffer = frontend.readBuffer().clear();
        int bytes = session.read(buffer);
        if (bytes < 0) {
            onClosed();
        } else if (bytes > 0 && phase() == ConnectionPhase.RESPONDING) {
            discard(bytes);
        } else if (bytes > 0 && reserveInput(bytes)) {
            reader.feed(buffer.flip());
        } else if (bytes > 0) {
            discard(bytes);
            rejectForMemory();
        }
        return bytes > 0;
    }

    /** Reserves memory for the buffer with so many more bytes. The first read always has some, so as to be answered. */
    private boolean reserveInput(int added) {
        int neededBytes = reader.bufferBytesAfter(added);
        int moreBytes = neededBytes - inputBytes;
        if (moreBytes > 0 && !reader.hasBufferedInput()) {
            inputMemory.grow(moreBytes);
        } else if (moreBytes > 0 && !inputMemory.tryGrow(Purpose.ofBody(isPipelined(), neededBytes), moreBytes)) {
            return false;
        }
        inputBytes = neededBytes;
        return true;
    }

    private boolean isPipelined() {
        return !pendingCalls.isEmpty() || dispatchedCalls > 0;
    }

    private void releaseInput() {
        if (phase() != ConnectionPhase.READING) {
            reader.discardBuffer();
        }
        inputBytes = reader.bufferBytes();
        inputMemory.shrinkTo(inputBytes);
    }

    @Override
    public void outputReady(IOSession session) throws IOException {
        while (!unwrittenReplies.isEmpty()) {
            ByteBuffer bytes = unwrittenReplies.peek().bytes();
            session.write(bytes);
            if (bytes.hasRemaining()) {
                return;
            }
            ClientCall replied = unwrittenReplies.poll().call();
            replied.releaseMemory();
            onResponseWritten(replied.isDispatched());
        }
        session.clearEvent(EventMask.WRITE);
        if (phase().isAtLeast(ConnectionPhase.LINGERING) || !pendingCalls.isEmpty() || dispatchedCalls > 0) {
            return;
        }
        if (phase() == ConnectionPhase.RESPONDING) {
            endSending();
        } else if (frontend.isClosing()) {
            // A Thrift reply cannot announce that the connection closes, so calls that have arrived are still served.
            closeIfIdle();
        }
    }

    @Override
    public void timeout(IOSession session, Timeout timeout) {
        close();
    }

    /** I/O errors are expected and not logged; {@link #disconnected} follows. */
    @Override
    public void exception(IOSession session, Exception cause) {
        if (cause instanceof RuntimeException) {
            Log.error("thrift_client_connection_failed", cause);
        }
    }

    @Override
    public void disconnected(IOSession session) {
        onClosed();
        onDisconnected();
    }

    // ---- State for the base class ----

    @Override
    protected boolean hasOpenRequests() {
        return dispatchedCalls > 0;
    }

    @Override
    protected boolean hasUnwrittenResponses() {
        return !unwrittenReplies.isEmpty() || !pendingCalls.isEmpty();
    }

    @Override
    protected boolean isWritingLastResponse() {
        return phase() != ConnectionPhase.READING;
    }

    @Override
    protected boolean isReceivingRequest() {
        return phase() == ConnectionPhase.READING && reader.hasBufferedInput();
    }

    @Override
    protected long receivedBytes() {
        return reader.receivedBytes();
    }

    @Override
    protected String protocol() {
        return "thrift";
    }

    @Override
    protected void cancelOpenRequests() {
        List<ClientCall> cancelled = List.copyOf(pendingCalls);
        pendingCalls.clear();
        unwrittenReplies.forEach(reply -> reply.call().releaseMemory());
        unwrittenReplies.clear();
        inputMemory.release();
        cancelled.forEach(ClientCall::onClientDisconnected);
    }

    @Override
    protected boolean mayReadPending() {
        return phase() == ConnectionPhase.READING && super.mayReadPending();
    }

    @Override
    public void detectDisconnect() {
        if (phase() == ConnectionPhase.RESPONDING) {
            readOnce();
        } else {
            super.detectDisconnect();
        }
    }

    // ---- Calls ----

    private void handleMessages() {
        try {
            for (RawMessage message = reader.next(); message != null; message = reader.next()) {
                onRequestReceived();
                handle(message);
                if (phase() != ConnectionPhase.READING) {
                    return;
                }
            }
        } catch (MalformedMessageException malformed) {
            rejectMalformed(malformed);
        } finally {
            releaseInput();
        }
    }

    private void handle(RawMessage message) {
        MessageHeader header = message.header();
        boolean oneway = header.messageType() == TMessageType.ONEWAY;
        boolean overLimit =
                Math.max(dispatchedCalls, pendingCalls.size()) + unwrittenReplies.size() >= MAX_PIPELINED_CALLS;
        ClientCall call = createCall(header, oneway);
        if (!oneway && header.messageType() != TMessageType.CALL) {
            // A client that sends replies violates the protocol, so the rest of its input is not trusted.
            stopReading();
            call.completeWithError(ErrorReply.NOT_A_CALL);
            return;
        }
        Optional<MethodConfig> method = frontend.methods().find(header.methodName());
        if (overLimit) {
            stopReading();
            call.completeWithError(ErrorReply.rejected(0));
        } else if (method.isEmpty()) {
            call.completeWithError(ErrorReply.UNKNOWN_METHOD);
        } else {
            dispatch(call, message, method.get());
        }
    }

    private ClientCall createCall(MessageHeader header, boolean oneway) {
        ClientCall call = new ClientCall(frontend, this, reader.format(), header, oneway);
        if (!oneway) {
            pendingCalls.add(call);
        }
        return call;
    }

    private void dispatch(ClientCall call, RawMessage message, MethodConfig method) {
        CallAttributes attributes;
        try {
            attributes = CallAttributes.read(message, method, frontend.methods());
        } catch (MalformedMessageException malformed) {
            call.completeWithError(ErrorReply.malformed(malformed.getMessage()));
            return;
        }
        boolean isPipelined = dispatchedCalls > 0 || pendingCalls.size() > (call.isOneway() ? 0 : 1);
        dispatchedCalls++;
        if (!call.dispatch(message, method, attributes, isPipelined)) {
            dispatchedCalls--;
            call.completeWithError(ErrorReply.rejected(0));
        }
    }

    /** Stops reading after malformed input; replies with an error if the header shows that it belongs to a call. */
    private void rejectMalformed(MalformedMessageException malformed) {
        Log.event("thrift_message_malformed", "error", malformed.getMessage());
        rejectPresentMessage(ErrorReply.malformed(malformed.getMessage()));
    }

    /** Stops reading, since there is no memory for the rest of a call. */
    private void rejectForMemory() {
        Log.event("thrift_call_not_admitted", "reason", "memory", "needed_bytes", reader.expectedBytes());
        rejectPresentMessage(ErrorReply.rejected(0));
        releaseInput();
    }

    private void rejectPresentMessage(ErrorReply error) {
        MessageHeader header = reader.header();
        if (header != null && header.messageType() == TMessageType.CALL) {
            onRequestReceived();
            stopReading();
            createCall(header, false).completeWithError(error);
        } else if (!hasUnwrittenResponses() && dispatchedCalls == 0) {
            endSending();
        } else {
            stopReading();
        }
    }

    // ---- Replies ----

    /** A call has its outcome. Replies are written in the order of the calls; a oneway call has no reply. */
    void onOutcome(ClientCall call) {
        dispatchedCalls -= call.isDispatched() ? 1 : 0;
        if (phase().isAtLeast(ConnectionPhase.LINGERING)) {
            return;
        }
        if (call.isOneway()) {
            connections.onResponseSent(this, call.isDispatched());
        }
        while (!pendingCalls.isEmpty() && pendingCalls.peek().encodedReply() != null) {
            ClientCall next = pendingCalls.poll();
            unwrittenReplies.add(new Reply(ByteBuffer.wrap(next.encodedReply()), next));
        }
        if (pendingCalls.isEmpty() && dispatchedCalls == 0) {
            startIdleTimer();
        }
        connection.setEvent(EventMask.WRITE);
    }
}
