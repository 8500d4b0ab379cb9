package peppergauge.lab.standin;

import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import peppergauge.lab.wire.Loop;
import peppergauge.lab.wire.Message;

/**
 * A server without limits: it takes all that comes at once and answers each request after the delay. What it reports
 * is true: a sidecar that is told less than it sees takes the server for crushed, and denies.
 */
public final class FixedService implements Service {

    private static final int BODY = 200;
    /** Weight of the latest service time in the mean that is reported. */
    private static final double LATEST = 0.1;

    private final AtomicLong requests = new AtomicLong();
    private final AtomicLong probes = new AtomicLong();
    private final AtomicLong connections = new AtomicLong();
    private final Loop loop;
    private final Delay delay;
    private final SplittableRandom random;
    private int inHand;
    private double serviceMs;

    /** @param random for delays that are drawn */
    public FixedService(Loop loop, Delay delay, SplittableRandom random) {
        this.loop = loop;
        this.delay = delay;
        this.random = random;
        this.serviceMs = delay.meanMs();
    }

    /** Requests so far; for any thread, like the other counts. */
    public long requests() {
        return requests.get();
    }

    public long probes() {
        return probes.get();
    }

    public long connections() {
        return connections.get();
    }

    @Override
    public void opened(Exchange connection) {
        connections.incrementAndGet();
    }

    /** A client that leaves does not stop the work. */
    @Override
    public void closed(Exchange connection) {}

    @Override
    public void asked(Message message, Exchange client) throws IOException {
        switch (message.word(1)) {
            case "/alive" -> probed(client, "");
            case "/metrics/load" -> probed(client, report());
            default -> serve(client, String.valueOf(message.header("X-Txn")));
        }
    }

    private void probed(Exchange client, String body) throws IOException {
        probes.incrementAndGet();
        answer(client, body);
    }

    private void serve(Exchange client, String id) throws IOException {
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
                client.broken();
            }
        });
    }

    /** A client that left meanwhile has not stopped the work, and is owed nothing. */
    private void end(Exchange client, String id, long startNs) throws IOException {
        inHand--;
        serviceMs += LATEST * ((System.nanoTime() - startNs) / 1e6 - serviceMs);
        if (client.isOpen()) {
            answer(client, id + " ".repeat(Math.max(0, BODY - id.length())));
        }
    }

    private void answer(Exchange client, String body) throws IOException {
        client.answer("200 OK", "X-Pressure: " + report() + "\r\n", body);
    }

    /** The request that is being answered is in hand no longer; none ever waits. */
    private String report() {
        return "inflight=" + inHand + ",queue=0,latency_ms=" + Math.round(serviceMs * 1e3) / 1e3;
    }
}
