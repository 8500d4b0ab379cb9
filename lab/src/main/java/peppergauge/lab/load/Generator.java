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
import peppergauge.lab.wire.Peer;
import peppergauge.lab.wire.Speech;

/**
 * The clients of one address, on a loop. In the open loop requests come when the source says, whatever the answers
 * do; one that finds all connections busy opens another, or waits here if there are as many as may be, and its latency
 * counts from the time at which it came. In the closed loop each connection sends its next request when it has the
 * answer. A connection that is closed when a request is on its way, before anything came back, is what a server may do
 * between requests: the request is sent once more.
 */
public final class Generator {

    /**
     * Connections.
     *
     * @param first opened at the start
     * @param most open at once
     * @param closedLoop whether each has its own loop
     * @param resends whether a request that crossed a close is sent once more
     */
    public record Shape(int first, int most, boolean closedLoop, boolean resends) {

        /** One whose clients do as the protocol says. */
        public Shape(int first, int most, boolean closedLoop) {
            this(first, most, closedLoop, true);
        }
    }

    /** A client that has waited for its time and this much more closes the connection. */
    private static final long GRACE_NS = 50_000_000;

    private static final long RECONNECT_NS = 50_000_000;

    /** A request and when it was wanted; {@code again}: it crossed a close and is on its second connection. */
    private record Call(Request request, long wantedNs, boolean again) {

        long giveUpNs() {
            return wantedNs + request.patienceNs();
        }
    }

    private final Loop loop;
    private final InetSocketAddress target;
    private final Supplier<Speech> speeches;
    private final Shape shape;
    private final Source source;
    /** Longest idle first: all connections stay in use, none is closed for being idle. */
    private final Queue<Client> idle = new ArrayDeque<>();

    private final Set<Client> open = new LinkedHashSet<>();
    private final Deque<Call> waiting = new ArrayDeque<>();
    private Tally tally = new Tally();
    private int connecting;
    private boolean stopped;

    /** Starts once the loop runs. */
    public Generator(Loop loop, InetSocketAddress target, Shape shape, Source source) {
        this(loop, target, () -> Speech.HTTP, shape, source);
    }

    /** Starts once the loop runs; {@code speeches} has one for each connection. */
    public Generator(Loop loop, InetSocketAddress target, Supplier<Speech> speeches, Shape shape, Source source) {
        this.loop = loop;
        this.speeches = speeches;
        this.target = target;
        this.shape = shape;
        this.source = source;
        loop.post(() -> {
            for (int i = 0; i < shape.first(); i++) {
                connect();
            }
            if (!shape.closedLoop()) {
                arriveAfter(System.nanoTime());
            }
        });
    }

    /** Ends a round: what ended since the last call, and a new tally from now on. For other threads. */
    public Tally nextRound() {
        CompletableFuture<Tally> round = new CompletableFuture<>();
        loop.post(() -> {
            round.complete(tally);
            tally = new Tally();
        });
        return round.join();
    }

    /** Asks for this one too, at a time of System.nanoTime; on the loop's thread. */
    public void ask(Request request, long atNs) {
        loop.at(atNs, () -> {
            if (!stopped) {
                waiting.add(new Call(request, atNs, false));
                sendWaiting();
            }
        });
    }

    /** Nothing new is asked from now on, and connections are closed; on the loop's thread. */
    public void stop() {
        stopped = true;
        open.forEach(Peer::close);
    }

    private void arriveAfter(long lastNs) {
        long atNs = source.nextNs(lastNs);
        if (atNs == Source.NEVER) {
            return;
        }
        loop.at(atNs, () -> {
            if (stopped) {
                return;
            }
            tally.lag(System.nanoTime() - atNs);
            waiting.add(new Call(source.next(), atNs, false));
            arriveAfter(atNs);
            sendWaiting();
        });
    }

    private void sendWaiting() {
        while (!waiting.isEmpty() && !idle.isEmpty()) {
            Call call = waiting.poll();
            if (call.giveUpNs() - System.nanoTime() < 1_000_000) {
                ended(call, Ending.UNSENT);
            } else {
                idle.poll().send(call);
            }
        }
        // No more than are wanted, or each burst while one connection comes up would open as many again.
        while (connecting < waiting.size() && open.size() < shape.most()) {
            connect();
        }
    }

    private void ended(Call call, String how) {
        ended(call, new Ending(how, 0));
    }

    private void ended(Call call, Ending ending) {
        tally.ended(ending, System.nanoTime() - call.wantedNs);
        source.ended(call.request, ending, call.wantedNs);
    }

    private void connect() {
        if (stopped || open.size() >= shape.most()) {
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

    /** A connection, and the request that waits for its answer there. */
    private final class Client extends Peer {

        private Call call;
        private boolean up;
        /** Whether a request was answered here. */
        private boolean used;

        Client(SocketChannel channel) throws IOException {
            super(channel, speeches.get());
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
            long remainingMs = Math.max(0, (call.wantedNs + call.request.saysNs() - System.nanoTime()) / 1_000_000);
            giveUpAt(call.giveUpNs() + GRACE_NS, next);
            try {
                write(call.request.text(remainingMs));
            } catch (IOException failed) {
                close();
                broken();
            }
        }

        private void giveUpAt(long atNs, Call late) {
            loop.at(atNs, () -> {
                // A loop that stalled runs its timers before it reads: the answer may have come meanwhile.
                long nowNs = System.nanoTime();
                if (call == late && nowNs - atNs > GRACE_NS) {
                    giveUpAt(nowNs + GRACE_NS, late);
                } else {
                    giveUp(late);
                }
            });
        }

        private void giveUp(Call late) {
            if (call == late) {
                call = null;
                ended(late, Ending.GAVE_UP);
                replace();
            }
        }

        @Override
        protected void received(Message answer) throws IOException {
            if (call == null) {
                throw new IOException("an answer that nothing asked for");
            }
            Call answered = call;
            call = null;
            used = true;
            String status = answer.word(1);
            boolean wrong = status.equals(Ending.SERVED) && !answer.text().startsWith(answered.request.id() + " ");
            ended(answered, new Ending(wrong ? Ending.WRONG : status, (long) (1e9 * answer.number("Retry-After", 0))));
            if (answer.closes()) {
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
                    ended(waiting.poll(), Ending.REFUSED);
                }
            }
            if (call != null) {
                Call cut = call;
                call = null;
                if (used && shape.resends() && !cut.again && !stopped) {
                    waiting.addFirst(new Call(cut.request, cut.wantedNs, true));
                    sendWaiting();
                } else {
                    ended(cut, Ending.CLOSED);
                }
            }
            // Not at once: where nobody listens this would be a busy loop.
            loop.at(System.nanoTime() + RECONNECT_NS, this::makeUp);
        }

        private void makeUp() {
            if (open.size() < shape.first()) {
                connect();
            }
            sendWaiting();
        }
    }
}
