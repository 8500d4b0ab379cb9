package peppergauge.cost;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One backend server: it takes all that comes at once and answers each request after the delay. What it reports is
 * true: a sidecar that is told less than it sees takes the server for crushed, and denies.
 */
final class StandIn {

    private static final int BODY = 200;
    /** Weight of the latest service time in the mean that is reported. */
    private static final double LATEST = 0.1;

    final AtomicLong requests = new AtomicLong();
    final AtomicLong probes = new AtomicLong();
    final AtomicLong connections = new AtomicLong();
    private final Loop loop;
    private final Delay delay;
    private final SplittableRandom random;
    private int inHand;
    private double serviceMs;

    StandIn(Loop loop, Delay delay, SplittableRandom random) {
        this.loop = loop;
        this.delay = delay;
        this.random = random;
        this.serviceMs = delay.meanMs();
    }

    Peer accepted(SocketChannel channel) throws IOException {
        connections.incrementAndGet();
        return new Peer(channel) {
            @Override
            void received(Message message) throws IOException {
                switch (message.word(1)) {
                    case "/alive" -> probed(this, "");
                    case "/metrics/load" -> probed(this, report());
                    default -> serve(this, String.valueOf(message.header("X-Txn")));
                }
            }
        };
    }

    private void probed(Peer client, String body) throws IOException {
        probes.incrementAndGet();
        answer(client, body);
    }

    private void serve(Peer client, String id) throws IOException {
        requests.incrementAndGet();
        inHand++;
        long startNs = System.nanoTime();
        long delayNs = delay.drawNs(random);
        if (delayNs == 0) {
            end(client, id, startNs);
            return;
        }
        loop.at(startNs + delayNs, () -> {
            try {
                end(client, id, startNs);
            } catch (IOException gone) {
                client.close();
            }
        });
    }

    /** A client that left meanwhile has not stopped the work, and is owed nothing. */
    private void end(Peer client, String id, long startNs) throws IOException {
        inHand--;
        serviceMs += LATEST * ((System.nanoTime() - startNs) / 1e6 - serviceMs);
        if (client.isOpen()) {
            answer(client, id + " ".repeat(Math.max(0, BODY - id.length())));
        }
    }

    private void answer(Peer client, String body) throws IOException {
        client.write(("HTTP/1.1 200 OK\r\nX-Pressure: " + report() + "\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1));
    }

    /** The request that is being answered is in hand no longer; none ever waits. */
    private String report() {
        return "inflight=" + inHand + ",queue=0,latency_ms=" + Math.round(serviceMs * 1e3) / 1e3;
    }
}
