package peppergauge.lab.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import peppergauge.lab.wire.Loop;
import peppergauge.lab.wire.Message;
import peppergauge.lab.wire.MessageCodec;
import peppergauge.lab.wire.Peer;

/**
 * Generates the load of one address's clients, on an event loop. In the open loop requests arrive at the times of the
 * source, independently of responses. A request that finds all connections busy opens another one, or waits if the
 * maximum is open; its latency counts from its arrival. In the closed loop each connection sends its next request when
 * it has the response. A server may close an idle connection while a request is on its way; such a request is sent once
 * more.
 */
public final class Generator {

    /**
     * How a generator uses connections.
     *
     * @param initialConnections number of connections opened at the start
     * @param maxConnections maximum of open connections
     * @param closedLoop whether each connection sends its next request when it has the response
     * @param resends whether a request that crossed the server's close is sent once more
     */
    public record Shape(int initialConnections, int maxConnections, boolean closedLoop, boolean resends) {

        /** Creates a shape whose clients resend a request that crossed a close, as HTTP allows. */
        public Shape(int initialConnections, int maxConnections, boolean closedLoop) {
            this(initialConnections, maxConnections, closedLoop, true);
        }
    }

    /** A client closes the connection this long after its timeout. */
    private static final long TIMEOUT_GRACE_NS = 50_000_000;

    private static final long RECONNECT_NS = 50_000_000;
    /** A request with less time than this before its timeout is not sent. */
    private static final long MIN_REMAINING_NS = 1_000_000;

    /** A request and the time of its arrival; {@code resent} if it crossed a close and is on its second connection. */
    private record Call(Request request, long arrivalNs, boolean resent) {

        long deadlineNs() {
            return arrivalNs + request.timeoutNs();
        }
    }

    private final Loop loop;
    private final InetSocketAddress target;
    private final Supplier<MessageCodec> codecs;
    private final Shape shape;
    private final ArrivalSource source;
    /** Longest idle first, so that all connections stay in use and none is closed for idleness. */
    private final Queue<Client> idle = new ArrayDeque<>();

    private final Set<Client> open = new LinkedHashSet<>();
    private final Deque<Call> waiting = new ArrayDeque<>();
    private Tally tally = new Tally();
    private int connecting;
    private boolean stopped;

    /** Creates a generator that uses HTTP; it starts when the loop runs. */
    public Generator(Loop loop, InetSocketAddress target, Shape shape, ArrivalSource source) {
        this(loop, target, () -> MessageCodec.HTTP, shape, source);
    }

    /** Creates a generator, which starts when the loop runs; {@code codecs} creates the codec of each connection. */
    public Generator(
            Loop loop, InetSocketAddress target, Supplier<MessageCodec> codecs, Shape shape, ArrivalSource source) {
        this.loop = loop;
        this.codecs = codecs;
        this.target = target;
        this.shape = shape;
        this.source = source;
        loop.post(() -> {
            for (int i = 0; i < shape.initialConnections(); i++) {
                connect();
            }
            if (!shape.closedLoop()) {
                scheduleArrivalAfter(System.nanoTime());
            }
        });
    }

    /** Returns the tally since the last call and starts a new one. Not for the loop's thread. */
    public Tally nextRound() {
        CompletableFuture<Tally> round = new CompletableFuture<>();
        loop.post(() -> {
            round.complete(tally);
            tally = new Tally();
        });
        return round.join();
    }

    /** Adds a request that arrives at a time of System.nanoTime. For the loop's thread only. */
    public void submit(Request request, long atNs) {
        loop.at(atNs, () -> {
            if (!stopped) {
                waiting.add(new Call(request, atNs, false));
                sendWaiting();
            }
        });
    }

    /** Stops the arrivals and closes all connections. For the loop's thread only. */
    public void stop() {
        stopped = true;
        open.forEach(Peer::close);
    }

    private void scheduleArrivalAfter(long lastNs) {
        long atNs = source.nextNs(lastNs);
        if (atNs == ArrivalSource.NEVER) {
            return;
        }
        loop.at(atNs, () -> {
            if (stopped) {
                return;
            }
            tally.lag(System.nanoTime() - atNs);
            waiting.add(new Call(source.next(), atNs, false));
            scheduleArrivalAfter(atNs);
            sendWaiting();
        });
    }

    private void sendWaiting() {
        while (!waiting.isEmpty() && !idle.isEmpty()) {
            Call call = waiting.poll();
            if (call.deadlineNs() - System.nanoTime() < MIN_REMAINING_NS) {
                ended(call, RequestOutcome.UNSENT);
            } else {
                idle.poll().send(call);
            }
        }
        // At most one connection per waiting request, or each arrival during a connect would open further ones.
        while (connecting < waiting.size() && open.size() < shape.maxConnections()) {
            connect();
        }
    }

    private void ended(Call call, String how) {
        ended(call, new RequestOutcome(how, 0));
    }

    private void ended(Call call, RequestOutcome ending) {
        tally.ended(ending, System.nanoTime() - call.arrivalNs);
        source.ended(call.request, ending, call.arrivalNs);
    }

    private void connect() {
        if (stopped || open.size() >= shape.maxConnections()) {
            return;
        }
        try {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(target);
            Client client = new Client(channel);
            open.add(client);
            connecting++;
            loop.register(channel, SelectionKey.OP_CONNECT, client);
        } catch (IOException failed) {
            loop.at(System.nanoTime() + RECONNECT_NS, this::connect);
        }
    }

    /** A connection, and the request that waits for its response on it. */
    private final class Client extends Peer {

        private Call call;
        private boolean up;
        /** Whether a response was received on this connection. */
        private boolean used;

        Client(SocketChannel channel) throws IOException {
            super(channel, codecs.get());
        }

        @Override
        protected void connected() {
            up = true;
            connecting--;
            becomeIdle();
        }

        private void becomeIdle() {
            if (shape.closedLoop()) {
                send(new Call(source.next(), System.nanoTime(), false));
            } else {
                idle.add(this);
                sendWaiting();
            }
        }

        void send(Call next) {
            call = next;
            long remainingMs =
                    Math.max(0, (call.arrivalNs + call.request.statedTimeoutNs() - System.nanoTime()) / 1_000_000);
            timeOutAt(call.deadlineNs() + TIMEOUT_GRACE_NS, next);
            try {
                write(call.request.text(remainingMs));
            } catch (IOException failed) {
                close();
                broken();
            }
        }

        private void timeOutAt(long atNs, Call late) {
            loop.at(atNs, () -> {
                // A loop that stalled runs its timers before it reads, so the response may have arrived meanwhile.
                long nowNs = System.nanoTime();
                if (call == late && nowNs - atNs > TIMEOUT_GRACE_NS) {
                    timeOutAt(nowNs + TIMEOUT_GRACE_NS, late);
                } else {
                    timeOut(late);
                }
            });
        }

        private void timeOut(Call late) {
            if (call == late) {
                call = null;
                ended(late, RequestOutcome.GAVE_UP);
                replace();
            }
        }

        @Override
        protected void received(Message response) throws IOException {
            if (call == null) {
                throw new IOException("response without a request: " + response.startLineToken(1));
            }
            Call answered = call;
            call = null;
            used = true;
            String status = response.startLineToken(1);
            boolean wrong =
                    status.equals(RequestOutcome.SERVED) && !response.text().startsWith(answered.request.id() + " ");
            long retryAfterNs = (long) (1e9 * response.number("Retry-After", 0));
            ended(answered, new RequestOutcome(wrong ? RequestOutcome.WRONG : status, retryAfterNs));
            if (response.closes()) {
                replace();
            } else {
                becomeIdle();
            }
        }

        private void replace() {
            close();
            open.remove(this);
            connect();
        }

        @Override
        public void broken() {
            open.remove(this);
            idle.remove(this);
            if (!up) {
                up = true;
                connecting--;
                if (!waiting.isEmpty()) {
                    ended(waiting.poll(), RequestOutcome.REFUSED);
                }
            }
            if (call != null) {
                Call cut = call;
                call = null;
                if (used && shape.resends() && !cut.resent && !stopped) {
                    waiting.addFirst(new Call(cut.request, cut.arrivalNs, true));
                    sendWaiting();
                } else {
                    ended(cut, RequestOutcome.CLOSED);
                }
            }
            // Delayed, since reconnecting at once to a closed port would be a busy loop.
            loop.at(System.nanoTime() + RECONNECT_NS, this::restoreConnections);
        }

        private void restoreConnections() {
            if (open.size() < shape.initialConnections()) {
                connect();
            }
            sendWaiting();
        }
    }
}
