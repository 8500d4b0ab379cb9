package peppergauge.thrift.frontend;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.EventMask;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import org.apache.thrift.protocol.TMessageType;
import peppergauge.log.Log;
import peppergauge.request.Scheduler;
import peppergauge.sockets.ClientConnections;
import peppergauge.sockets.EvictableConnection;
import peppergauge.sockets.LingeringClose;
import peppergauge.thrift.method.Asked;
import peppergauge.thrift.method.Method;
import peppergauge.thrift.method.Refusal;
import peppergauge.thrift.wire.Head;
import peppergauge.thrift.wire.Malformed;
import peppergauge.thrift.wire.MessageReader;
import peppergauge.thrift.wire.RawMessage;

/**
 * A client's connection: which of its calls wait for replies, and how long it may take to send one. Its timers and its
 * claim are those of an HTTP client's. Everything here runs on the loop's thread.
 */
final class ThriftClientConnection implements IOEventHandler, EvictableConnection {

    /** A message must be whole so soon after connecting, or after its first byte on a connection in use. */
    private static final double LONGEST_SENDING_MS = 2_300;
    /** Clients that ask once and keep their connection for good would use up the descriptors. */
    private static final double LONGEST_IDLE_MS = 2_500;
    /** Times that the idle time may pass before a client that does not read its answer is cut off. */
    private static final int MOST_WAITS_FOR_READER = 4;
    /** Calls that may wait on one connection, with answers that its client has not read yet. */
    private static final int MOST_PIPELINED = 16;
    /** Reads at once, before other connections get their turn or before this one is closed. */
    private static final int MOST_READS = 24;

    /** What this side still does with a connection; it only moves forward. */
    private enum Phase {
        /** Calls are read; each that is read is owed its answer. */
        READING,
        /** What came in is no message, or out of step: nothing that follows is read as one. Answers are owed. */
        ANSWERING,
        /** Nothing is owed and sending has ended: what comes in is thrown away until the client ends, or a bound. */
        LINGERING,
        /** Nothing comes or goes; whoever still waited has been given up. */
        CLOSED;

        boolean atLeast(Phase other) {
            return compareTo(other) >= 0;
        }
    }

    private final IOSession connection;
    private final LingeringClose lingering;
    private final ThriftFrontend owner;
    private final ClientConnections all;
    private final MessageReader reader;
    /** Calls in the order of their arrival; the first one's answer goes out first. */
    private final Deque<Call> owed = new ArrayDeque<>(2);

    private final Deque<Answer> unwritten = new ArrayDeque<>(2);
    private Scheduler.ScheduledTask timer;
    /** Sessions that are open on it, those of oneway calls too. */
    private int open;
    /** Part of a message has come in, and the time for the rest runs. */
    private boolean sending;

    private boolean first = true;
    private Phase phase = Phase.READING;
    private int waitsForReader;
    private int discarded;

    /** An answer on its way out. */
    private record Answer(ByteBuffer bytes, boolean session) {}

    ThriftClientConnection(ProtocolIOSession connection, ThriftFrontend owner, ClientConnections all) {
        this.connection = connection;
        this.owner = owner;
        this.all = all;
        this.reader = owner.reader();
        this.lingering = new LingeringClose(connection, owner.scheduler());
    }

    // ---- What the reactor tells ----

    /** The time for the first message runs from here: a client that says nothing holds a descriptor too. */
    @Override
    public void connected(IOSession session) {
        all.onOpened(this);
        startTimer(LONGEST_SENDING_MS);
        session.setEvent(EventMask.READ);
    }

    @Override
    public void inputReady(IOSession session, ByteBuffer source) throws IOException {
        if (phase == Phase.LINGERING) {
            lingering.inputReady();
            return;
        }
        for (int i = 0; i < MOST_READS && !phase.atLeast(Phase.LINGERING) && read(session); i++) {
            if (phase == Phase.READING) {
                take();
            }
        }
        if (phase == Phase.READING && !sending && reader.begun()) {
            sending = true;
            all.onReading(this);
            if (!first) {
                startTimer(LONGEST_SENDING_MS);
            }
        }
    }

    /** Whether anything came in. */
    private boolean read(IOSession session) throws IOException {
        ByteBuffer input = owner.input().clear();
        int bytes = session.read(input);
        if (bytes < 0) {
            gone();
        } else if (bytes > 0 && phase == Phase.ANSWERING) {
            discarded += bytes;
            if (discarded > LingeringClose.MAX_DISCARDED_BYTES) {
                close();
            }
        } else if (bytes > 0) {
            reader.feed(input.flip());
        }
        return bytes > 0;
    }

    @Override
    public void outputReady(IOSession session) throws IOException {
        while (!unwritten.isEmpty()) {
            ByteBuffer bytes = unwritten.peek().bytes();
            session.write(bytes);
            if (bytes.hasRemaining()) {
                return;
            }
            boolean ofSession = unwritten.poll().session();
            waitsForReader = 0;
            all.onResponseSent(this, ofSession);
        }
        session.clearEvent(EventMask.WRITE);
        if (phase.atLeast(Phase.LINGERING) || !owed.isEmpty() || open > 0) {
            return;
        }
        if (phase == Phase.ANSWERING) {
            endSending();
        } else if (owner.closing()) {
            // No reply can say that this side is to close: what has come in by now is still served.
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
        gone();
        all.onClosed(this);
    }

    // ---- Calls ----

    private void take() {
        try {
            for (RawMessage message = reader.next(); message != null; message = reader.next()) {
                first = false;
                sending = false;
                stopTimer();
                all.onRequestReceived(this);
                whole(message);
                if (phase != Phase.READING) {
                    return;
                }
            }
        } catch (Malformed malformed) {
            spoil(malformed);
        }
    }

    private void whole(RawMessage message) {
        Head head = message.head();
        boolean oneway = head.type() == TMessageType.ONEWAY;
        boolean crowded = Math.max(open, owed.size()) + unwritten.size() >= MOST_PIPELINED;
        Call call = call(head, oneway);
        if (!oneway && head.type() != TMessageType.CALL) {
            // Who sends replies is out of step: nothing that follows can be trusted.
            endInput();
            call.refuse(Refusal.NO_CALL);
            return;
        }
        Optional<Method> method = owner.methods().find(head.name());
        if (crowded) {
            endInput();
            call.refuse(Refusal.denied(0));
        } else if (method.isEmpty()) {
            call.refuse(Refusal.UNKNOWN_METHOD);
        } else {
            open(call, message, method.get());
        }
    }

    private Call call(Head head, boolean oneway) {
        Call call = new Call(owner, this, reader.form(), head, oneway);
        if (!oneway) {
            owed.add(call);
        }
        return call;
    }

    private void open(Call call, RawMessage message, Method method) {
        Asked asked;
        try {
            asked = Asked.read(message, method, owner.methods());
        } catch (Malformed unusable) {
            call.refuse(Refusal.unusable(unusable.getMessage()));
            return;
        }
        open++;
        call.open(message, method, asked);
    }

    /** What comes is no message: it is answered if it is known whose answer it would be, after those that are owed. */
    private void spoil(Malformed malformed) {
        Head head = reader.head();
        Log.line("unusable", "a Thrift client's connection ends: " + malformed.getMessage());
        if (head != null && head.type() == TMessageType.CALL) {
            stopTimer();
            all.onRequestReceived(this);
            endInput();
            call(head, false).refuse(Refusal.unusable(malformed.getMessage()));
        } else if (owed.isEmpty() && unwritten.isEmpty() && open == 0) {
            endSending();
        } else {
            endInput();
        }
    }

    private void endInput() {
        if (phase == Phase.READING) {
            phase = Phase.ANSWERING;
        }
        sending = false;
    }

    // ---- Answers ----

    /** A call has its answer, which goes out once those before it have; a oneway call is over. */
    void answered(Call call) {
        open -= call.isSession() ? 1 : 0;
        if (phase.atLeast(Phase.LINGERING)) {
            return;
        }
        if (call.isOneway()) {
            all.onResponseSent(this, call.isSession());
        }
        while (!owed.isEmpty() && owed.peek().answer() != null) {
            Call next = owed.poll();
            unwritten.add(new Answer(ByteBuffer.wrap(next.answer()), next.isSession()));
        }
        if (owed.isEmpty() && open == 0) {
            startTimer(LONGEST_IDLE_MS);
        }
        connection.setEvent(EventMask.WRITE);
    }

    private boolean isWritten() {
        return unwritten.isEmpty() && owed.isEmpty();
    }

    // ---- Ends ----

    private void startTimer(double ms) {
        stopTimer();
        timer = owner.scheduler().schedule(ms, this::timeIsUp);
    }

    private void stopTimer() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }

    private void timeIsUp() {
        timer = null;
        boolean slow = sending;
        readWhatIsThere();
        if (phase.atLeast(Phase.LINGERING) || open > 0) {
            // A session is open now, or sessions before a slow message are still owed; the last one starts a timer.
            return;
        }
        if (!unwritten.isEmpty() && phase == Phase.READING && ++waitsForReader < MOST_WAITS_FOR_READER) {
            startTimer(LONGEST_IDLE_MS);
        } else if (!sending && unwritten.isEmpty() && phase == Phase.READING && !all.mayCloseIdleNow()) {
            // There is more to do than time for it: idle connections wait.
            startTimer(LONGEST_SENDING_MS);
        } else if (sending && !slow) {
            // It began in this very moment.
            startTimer(LONGEST_SENDING_MS);
        } else if (!isWritten()) {
            close();
        } else if (sending) {
            // Its last answer, if there was one, is long read: nothing is lost by a reset.
            Log.line("slow sender", "a Thrift message was not whole after " + LONGEST_SENDING_MS + " ms");
            close();
        } else {
            endSending();
        }
    }

    @Override
    public boolean closeIfIdle() {
        boolean idle = !isWanted(false);
        if (idle && phase != Phase.LINGERING) {
            endSending();
        }
        return idle;
    }

    @Override
    public boolean evict() {
        boolean idle = !isWanted(first);
        if (idle) {
            close();
        }
        return idle;
    }

    /** What came in while this thread had no CPU is read first. */
    private boolean isWanted(boolean evenMidMessage) {
        if (phase == Phase.LINGERING) {
            return false;
        }
        readWhatIsThere();
        if (phase == Phase.ANSWERING && isWritten() && open == 0) {
            return false;
        }
        boolean reading = reader.begun() && !(evenMidMessage && first);
        return phase == Phase.CLOSED || open > 0 || !isWritten() || reading;
    }

    /** Reads what has come in: the client's end may stand behind it. */
    void lookForEnd() {
        if (phase == Phase.READING) {
            readWhatIsThere();
        } else if (phase == Phase.ANSWERING) {
            readOn();
        }
    }

    private void readWhatIsThere() {
        long before = -1;
        while (phase == Phase.READING && connection.isOpen() && reader.taken() != before) {
            before = reader.taken();
            readOn();
            if (reader.taken() - before > LingeringClose.MAX_DISCARDED_BYTES) {
                return;
            }
        }
    }

    private void readOn() {
        try {
            inputReady(connection, null);
        } catch (IOException broken) {
            close();
        }
    }

    /** Nothing is owed: what the client still sends is not taken. */
    private void endSending() {
        if (!phase.atLeast(Phase.LINGERING)) {
            phase = Phase.LINGERING;
            stopTimer();
            lingering.begin();
        }
    }

    private void close() {
        connection.close(CloseMode.GRACEFUL);
        gone();
    }

    /** The connection is over: nobody waits for what is still out, and its sessions' clients get no answer. */
    private void gone() {
        if (phase != Phase.CLOSED) {
            phase = Phase.CLOSED;
            stopTimer();
            lingering.onClosed();
            connection.close(CloseMode.GRACEFUL);
            List<Call> left = List.copyOf(owed);
            owed.clear();
            unwritten.clear();
            left.forEach(Call::clientGone);
        }
    }
}
