package peppergauge.cost;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/**
 * A client on one thread. In the open loop requests come at Poisson times drawn ahead, whatever the answers do; one
 * that finds all connections busy waits here, and its latency counts from the time at which it came. In the closed
 * loop each connection sends its next request when it has the answer.
 */
final class Generator implements Closeable {

    /** A client that has waited for its time and this much more closes the connection. */
    private static final long GRACE_NS = 50_000_000;
    private static final long RECONNECT_NS = 50_000_000;

    private record Call(Requests.Request request, long wantedNs) {

        long giveUpNs() {
            return wantedNs + request.patienceMs() * 1_000_000;
        }
    }

    private final Loop loop = new Loop("generator");
    private final InetSocketAddress target;
    private final double ratePerS;
    private final Requests requests;
    private final SplittableRandom random;
    /** Longest idle first: all connections stay in use, none is closed for being idle. */
    private final Queue<Client> idle = new ArrayDeque<>();
    private final Queue<Call> waiting = new ArrayDeque<>();
    private Tally tally = new Tally();

    Generator(InetSocketAddress target, Scenario scenario, Map<String, Object> settings, long seed)
            throws IOException {
        this.target = target;
        this.ratePerS = scenario.ratePerS();
        this.random = new SplittableRandom(seed);
        this.requests = new Requests(settings, random.split());
        loop.post(() -> {
            for (int i = 0; i < scenario.connections(); i++) {
                connect();
            }
            if (isOpenLoop()) {
                arriveAt(System.nanoTime() + gapNs());
            }
        });
        loop.start();
    }

    /** Ends a round: what ended since the last call, and a new tally from now on. */
    Tally nextRound() {
        CompletableFuture<Tally> round = new CompletableFuture<>();
        loop.post(() -> {
            round.complete(tally);
            tally = new Tally();
        });
        return round.join();
    }

    private boolean isOpenLoop() {
        return ratePerS > 0;
    }

    private long gapNs() {
        return (long) Delay.exponential(random, 1e9 / ratePerS);
    }

    private void arriveAt(long atNs) {
        loop.at(atNs, () -> {
            tally.lags.add(System.nanoTime() - atNs);
            arriveAt(atNs + gapNs());
            waiting.add(new Call(requests.next(), atNs));
            sendWaiting();
        });
    }

    private void sendWaiting() {
        while (!waiting.isEmpty() && !idle.isEmpty()) {
            Call call = waiting.poll();
            if (call.giveUpNs() - System.nanoTime() < 1_000_000) {
                tally.ended(Tally.UNSENT);
            } else {
                idle.poll().send(call);
            }
        }
    }

    private void connect() {
        try {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(target);
            loop.register(channel, SelectionKey.OP_CONNECT, new Client(channel));
        } catch (IOException failed) {
            loop.at(System.nanoTime() + RECONNECT_NS, this::connect);
        }
    }

    /** A connection, and the request that waits for its answer there. */
    private final class Client extends Peer {

        private Call call;

        Client(SocketChannel channel) throws IOException {
            super(channel);
        }

        @Override
        void connected() {
            becomeIdle();
        }

        private void becomeIdle() {
            if (isOpenLoop()) {
                idle.add(this);
                sendWaiting();
            } else {
                send(new Call(requests.next(), System.nanoTime()));
            }
        }

        void send(Call next) {
            call = next;
            long remainingMs = (call.giveUpNs() - System.nanoTime()) / 1_000_000;
            loop.at(call.giveUpNs() + GRACE_NS, () -> giveUp(next));
            try {
                write(call.request.text(remainingMs));
            } catch (IOException failed) {
                close();
                broken();
            }
        }

        private void giveUp(Call late) {
            if (call == late) {
                tally.ended(Tally.GAVE_UP);
                replace();
            }
        }

        @Override
        void received(Message answer) throws IOException {
            if (call == null) {
                throw new IOException("an answer that nothing asked for");
            }
            String status = answer.word(1);
            if (!status.equals("200")) {
                tally.ended(status);
            } else if (!answer.text().startsWith(call.request.id() + " ")) {
                tally.ended(Tally.WRONG);
            } else {
                tally.served(System.nanoTime() - call.wantedNs);
            }
            call = null;
            if (answer.closes()) {
                replace();
            } else {
                becomeIdle();
            }
        }

        private void replace() {
            call = null;
            close();
            connect();
        }

        @Override
        public void broken() {
            if (call != null) {
                tally.ended(Tally.CLOSED);
                call = null;
            }
            idle.remove(this);
            // Not at once: where nobody listens this would be a busy loop.
            loop.at(System.nanoTime() + RECONNECT_NS, Generator.this::connect);
        }
    }

    @Override
    public void close() throws IOException {
        loop.close();
    }
}
