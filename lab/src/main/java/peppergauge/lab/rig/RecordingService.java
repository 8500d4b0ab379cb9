package peppergauge.lab.rig;

import java.io.IOException;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.EventKind;
import peppergauge.lab.standin.RequestHandler;
import peppergauge.lab.standin.ServerConnection;
import peppergauge.lab.wire.Loop;
import peppergauge.lab.wire.Message;

/** Requests of a backend server with an in-flight limit. Records each request before processing it. */
final class RecordingService implements RequestHandler {

    private static final String HEALTH_CHECK_PATH = "/alive";
    private static final int BODY_BYTES = 200;
    /** Weight of the newest sample in the reported processing time. */
    private static final double NEWEST_WEIGHT = 0.1;

    private final Loop loop;
    private final ChildMain.ServerTask task;
    private final Consumer<Event> listener;
    private final UniformRandomProvider random;
    private int inFlight;
    private double serviceMs;

    RecordingService(Loop loop, ChildMain.ServerTask task, Consumer<Event> listener) {
        this.loop = loop;
        this.task = task;
        this.listener = listener;
        random = RandomSource.XO_SHI_RO_256_PP.create(task.seed());
        serviceMs = task.workMs().values().stream()
                .mapToDouble(each -> each)
                .average()
                .orElse(0);
    }

    @Override
    public void opened(ServerConnection connection) {}

    /** Does nothing: a closed connection does not stop the work. */
    @Override
    public void closed(ServerConnection connection) {}

    @Override
    public void asked(Message message, ServerConnection client) throws IOException {
        String id = message.header("X-Txn");
        String path = message.startLineToken(1);
        if (path.equals(HEALTH_CHECK_PATH) || path.equals("/metrics/load")) {
            answer(client, "200 OK", "", path.equals(HEALTH_CHECK_PATH) ? "" : report());
        } else if (id == null) {
            answer(client, "404 Not Found", "", "");
        } else if (inFlight >= task.room()) {
            record(EventKind.TURNED_AWAY, id, "");
            answer(client, "503 Service Unavailable", "X-Turned-Away: 1\r\n", "");
        } else {
            process(client, id, message);
        }
    }

    private void process(ServerConnection client, String id, Message message) {
        record(EventKind.BEGUN, id, message.startLineToken(0));
        inFlight++;
        long startNs = System.nanoTime();
        String[] path = message.startLineToken(1).split("/");
        double meanMs = task.workMs().getOrDefault(path.length > 1 ? path[1] : "", serviceMs);
        // At least half of the mean and a short tail, so that results depend on rules and not on chance.
        double workMs = meanMs * (0.5 + random.nextDouble());
        loop.at(startNs + (long) (workMs * 1e6), () -> {
            inFlight--;
            serviceMs += NEWEST_WEIGHT * ((System.nanoTime() - startNs) / 1e6 - serviceMs);
            if (client.isOpen()) {
                try {
                    answer(client, "200 OK", "", id + " ".repeat(Math.max(1, BODY_BYTES - id.length())));
                } catch (IOException gone) {
                    client.close();
                    client.broken();
                }
            }
        });
    }

    private void record(EventKind what, String id, String text) {
        listener.accept(new Event(System.nanoTime(), what, task.name(), "", id, 0, text));
    }

    private void answer(ServerConnection client, String status, String headers, String body) throws IOException {
        client.answer(status, headers + "X-Pressure: " + report() + "\r\n", body);
    }

    private String report() {
        return "active=" + inFlight + ",waiting=0,avg_ms=" + Math.round(serviceMs * 1e3) / 1e3;
    }
}
