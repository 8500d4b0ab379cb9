package peppergauge.lab.syscall;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import peppergauge.lab.standin.RequestHandler;
import peppergauge.lab.standin.ServerConnection;
import peppergauge.lab.wire.Loop;
import peppergauge.lab.wire.Message;

/** A sound server that answers after a fixed time and closes each connection, so that each attempt connects anew. */
final class ClosingService implements RequestHandler {

    private static final long SERVICE_NS = 10_000_000;
    private static final String NON_REPEATABLE_METHOD = "POST";

    private final Loop loop;
    private final Map<String, AtomicInteger> runs;
    private int inFlight;

    /** @param runs counts how often each request that may run once has run; shared by all servers */
    ClosingService(Loop loop, Map<String, AtomicInteger> runs) {
        this.loop = loop;
        this.runs = runs;
    }

    /** Returns an empty count of runs. */
    static Map<String, AtomicInteger> newRuns() {
        return new ConcurrentHashMap<>();
    }

    /** Returns the requests that have run more than once. */
    static List<String> repeated(Map<String, AtomicInteger> runs) {
        return runs.entrySet().stream()
                .filter(run -> run.getValue().get() > 1)
                .map(Map.Entry::getKey)
                .toList();
    }

    @Override
    public void opened(ServerConnection connection) {}

    @Override
    public void closed(ServerConnection connection) {}

    @Override
    public void asked(Message message, ServerConnection client) throws IOException {
        inFlight++;
        if (message.startLineToken(0).equals(NON_REPEATABLE_METHOD)) {
            runs.computeIfAbsent(String.valueOf(message.header("X-Txn")), id -> new AtomicInteger())
                    .incrementAndGet();
        }
        loop.at(System.nanoTime() + SERVICE_NS, () -> complete(client));
    }

    private void complete(ServerConnection client) {
        inFlight--;
        try {
            if (client.isOpen()) {
                String report = "inflight=" + inFlight + ",queue=0,latency_ms=10";
                client.answer("200 OK", "Connection: close\r\nX-Pressure: " + report + "\r\n", "served");
            }
        } catch (IOException gone) {
            // The sidecar has given the attempt up.
        }
        client.close();
        client.broken();
    }
}
