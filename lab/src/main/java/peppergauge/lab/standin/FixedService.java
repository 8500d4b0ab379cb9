package peppergauge.lab.standin;

import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import peppergauge.lab.wire.Loop;
import peppergauge.lab.wire.Message;

/**
 * A server without limits, which answers each request after a delay. Its load reports are accurate, since a sidecar
 * that sees more requests in flight than the server reports takes the server for overloaded and rejects requests.
 */
public final class FixedService implements RequestHandler {

    private static final int BODY_BYTES = 200;
    /** Weight of the newest sample in the moving average of the reported service time. */
    private static final double NEWEST_WEIGHT = 0.1;

    private final AtomicLong requests = new AtomicLong();
    private final AtomicLong probes = new AtomicLong();
    private final AtomicLong connections = new AtomicLong();
    private final Loop loop;
    private final Delay delay;
    private final SplittableRandom random;
    private int inFlight;
    private double serviceMs;

    /** @param random draws the delays */
    public FixedService(Loop loop, Delay delay, SplittableRandom random) {
        this.loop = loop;
        this.delay = delay;
        this.random = random;
        this.serviceMs = delay.meanMs();
    }

    /** Returns the number of requests so far. Like the other counts, for any thread. */
    public long requests() {
        return requests.get();
    }

    /** Returns the number of health checks and load polls so far. */
    public long probes() {
        return probes.get();
    }

    /** Returns the number of connections so far. */
    public long connections() {
        return connections.get();
    }

    @Override
    public void opened(ServerConnection connection) {
        connections.incrementAndGet();
    }

    /** A client that disconnects does not stop the execution of its request. */
    @Override
    public void closed(ServerConnection connection) {}

    @Override
    public void asked(Message message, ServerConnection client) throws IOException {
        switch (message.startLineToken(1)) {
            case "/alive" -> answerProbe(client, "");
            case "/metrics/load" -> answerProbe(client, report());
            default -> serve(client, String.valueOf(message.header("X-Txn")));
        }
    }

    private void answerProbe(ServerConnection client, String body) throws IOException {
        probes.incrementAndGet();
        answer(client, body);
    }

    private void serve(ServerConnection client, String id) throws IOException {
        requests.incrementAndGet();
        inFlight++;
        long startNs = System.nanoTime();
        long delayNs = delay.drawNs(random);
        if (delayNs == 0) {
            complete(client, id, startNs);
            return;
        }
        loop.at(startNs + delayNs, () -> {
            try {
                complete(client, id, startNs);
            } catch (IOException gone) {
                client.close();
                client.broken();
            }
        });
    }

    /** Completes a request, and answers it if the client is still connected. */
    private void complete(ServerConnection client, String id, long startNs) throws IOException {
        inFlight--;
        serviceMs += NEWEST_WEIGHT * ((System.nanoTime() - startNs) / 1e6 - serviceMs);
        if (client.isOpen()) {
            answer(client, id + " ".repeat(Math.max(0, BODY_BYTES - id.length())));
        }
    }

    private void answer(ServerConnection client, String body) throws IOException {
        client.answer("200 OK", "X-Pressure: " + report() + "\r\n", body);
    }

    /** Returns the load report. The request that is being answered no longer counts, and no request ever waits. */
    private String report() {
        return "inflight=" + inFlight + ",queue=0,latency_ms=" + Math.round(serviceMs * 1e3) / 1e3;
    }
}
