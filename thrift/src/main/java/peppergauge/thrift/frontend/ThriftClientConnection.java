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
import peppergauge.sockets.ClientConnection;
import peppergauge.sockets.ClientConnections;
import peppergauge.sockets.ConnectionPhase;
import peppergauge.thrift.method.Asked;
import peppergauge.thrift.method.Method;
import peppergauge.thrift.method.Refusal;
import peppergauge.thrift.wire.Head;
import peppergauge.thrift.wire.Malformed;
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
    /** Calls whose replies are not handed to the socket yet, in the order of their arrival; no oneway calls. */
    private final Deque<Call> pendingCalls = new ArrayDeque<>(2);

    private final Deque<Reply> unwrittenReplies = new ArrayDeque<>(2);
    /** Calls that were dispatched and have no outcome, oneway calls included. */
    private int dispatchedCalls;

    /** A reply being written; {@code dispatched}: whether its call was dispatched. */
    private record Reply(ByteBuffer bytes, boolean dispatched) {}

    ThriftClientConnection(ProtocolIOSession connection, ThriftFrontend frontend, ClientConnections connections) {
        super(connection, connections, frontend.scheduler());
        this.connection = connection;
        this.frontend = frontend;
        this.connections = connections;
        this.reader = frontend.reader();
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

    /** Reads once; returns whether anything came in. */
    private boolean read(IOSession session) throws IOException {
        ByteBuffer input = frontend.input().clear();
        int bytes = session.read(input);
        if (bytes < 0) {
            onClosed();
        } else if (bytes > 0 && phase() == ConnectionPhase.RESPONDING) {
            discard(bytes);
        } else if (bytes > 0) {
            reader.feed(input.flip());
        }
        return bytes > 0;
    }

    @Override
    public void outputReady(IOSession session) throws IOException {
        while (!unwrittenReplies.isEmpty()) {
            ByteBuffer bytes = unwrittenReplies.peek().bytes();
            session.write(bytes);
            if (bytes.hasRemaining()) {
                return;
            }
            onResponseWritten(unwrittenReplies.poll().dispatched());
        }
        session.clearEvent(EventMask.WRITE);
        if (phase().isAtLeast(ConnectionPhase.LINGERING) || !pendingCalls.isEmpty() || dispatchedCalls > 0) {
            return;
        }
        if (phase() == ConnectionPhase.RESPONDING) {
            endSending();
        } else if (frontend.closing()) {
            // A reply cannot announce the close: calls that have arrived by now are still served.
            closeIfIdle();
        }
    }

    @Override
    public void timeout(IOSession session, Timeout timeout) {
        close();
    }

    /** A broken connection is an ordinary end; {@link #disconnected} follows. */
    @Override
    public void exception(IOSession session, Exception cause) {
        if (cause instanceof RuntimeException) {
            Log.bug("thrift", cause);
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
        return phase() == ConnectionPhase.READING && reader.begun();
    }

    @Override
    protected long receivedBytes() {
        return reader.taken();
    }

    @Override
    protected String protocol() {
        return "thrift";
    }

    @Override
    protected void cancelOpenRequests() {
        List<Call> cancelled = List.copyOf(pendingCalls);
        pendingCalls.clear();
        unwrittenReplies.clear();
        cancelled.forEach(Call::clientGone);
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
        } catch (Malformed malformed) {
            rejectMalformed(malformed);
        }
    }

    private void handle(RawMessage message) {
        Head head = message.head();
        boolean oneway = head.type() == TMessageType.ONEWAY;
        boolean overLimit =
                Math.max(dispatchedCalls, pendingCalls.size()) + unwrittenReplies.size() >= MAX_PIPELINED_CALLS;
        Call call = createCall(head, oneway);
        if (!oneway && head.type() != TMessageType.CALL) {
            // A client that sends replies is out of step: what follows cannot be trusted.
            stopReading();
            call.refuse(Refusal.NO_CALL);
            return;
        }
        Optional<Method> method = frontend.methods().find(head.name());
        if (overLimit) {
            stopReading();
            call.refuse(Refusal.denied(0));
        } else if (method.isEmpty()) {
            call.refuse(Refusal.UNKNOWN_METHOD);
        } else {
            dispatch(call, message, method.get());
        }
    }

    private Call createCall(Head head, boolean oneway) {
        Call call = new Call(frontend, this, reader.form(), head, oneway);
        if (!oneway) {
            pendingCalls.add(call);
        }
        return call;
    }

    private void dispatch(Call call, RawMessage message, Method method) {
        Asked asked;
        try {
            asked = Asked.read(message, method, frontend.methods());
        } catch (Malformed unusable) {
            call.refuse(Refusal.unusable(unusable.getMessage()));
            return;
        }
        dispatchedCalls++;
        call.open(message, method, asked);
    }

    /** Ends the input after bytes that are no message; responds if they are known to be a call's. */
    private void rejectMalformed(Malformed malformed) {
        Head head = reader.head();
        Log.event("thrift_message_malformed", "error", malformed.getMessage());
        if (head != null && head.type() == TMessageType.CALL) {
            onRequestReceived();
            stopReading();
            createCall(head, false).refuse(Refusal.unusable(malformed.getMessage()));
        } else if (!hasUnwrittenResponses() && dispatchedCalls == 0) {
            endSending();
        } else {
            stopReading();
        }
    }

    // ---- Replies ----

    /** A call has its outcome. Replies go out in the order of the calls; a oneway call has none. */
    void onOutcome(Call call) {
        dispatchedCalls -= call.isSession() ? 1 : 0;
        if (phase().isAtLeast(ConnectionPhase.LINGERING)) {
            return;
        }
        if (call.isOneway()) {
            connections.onResponseSent(this, call.isSession());
        }
        while (!pendingCalls.isEmpty() && pendingCalls.peek().answer() != null) {
            Call next = pendingCalls.poll();
            unwrittenReplies.add(new Reply(ByteBuffer.wrap(next.answer()), next.isSession()));
        }
        if (pendingCalls.isEmpty() && dispatchedCalls == 0) {
            startIdleTimer();
        }
        connection.setEvent(EventMask.WRITE);
    }
}
