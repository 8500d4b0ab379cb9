package peppergauge.lab.rig;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import peppergauge.lab.history.Event;
import peppergauge.lab.history.EventKind;
import peppergauge.lab.standin.BackendServer;
import peppergauge.lab.standin.DiscoveryStandIn;
import peppergauge.lab.standin.EndpointEntry;
import peppergauge.lab.standin.ServiceCapacity;
import peppergauge.lab.wire.Loop;

/**
 * Main class of a stand-in for a backend server or discovery. It reads its task as one line of JSON from standard input
 * and then one line for each change. Events are written to standard output, one per line, before the action that they
 * report. The process ends with its input, so that it does not outlive the rig.
 */
public final class ChildMain {

    /**
     * Task of a backend server.
     *
     * @param workMs mean processing time of each request class
     * @param room limit of requests in flight; further ones are rejected
     */
    record ServerTask(String name, long seed, Map<String, Double> workMs, int room) {}

    /**
     * Task of discovery.
     *
     * @param clerks calls in progress at the same time
     * @param callMs duration of a call; 0: calls neither take time nor wait
     * @param patienceMs waiting calls are discarded after this time
     * @param answered share of the calls that get a response
     * @param version version of the first endpoint list
     * @param rows endpoints for each sidecar, since addresses differ between sidecars
     */
    record DiscoveryTask(
            int clerks,
            double callMs,
            double patienceMs,
            double answered,
            long version,
            List<List<EndpointEntry>> rows) {}

    private static final JsonMapper JSON = new JsonMapper();

    private final PrintStream out =
            new PrintStream(new java.io.FileOutputStream(java.io.FileDescriptor.out), false, StandardCharsets.UTF_8);
    private final Loop loop = Loop.sleeping("child");

    private ChildMain() throws IOException {}

    /** @param args {@code server} or {@code discovery} */
    public static void main(String[] args) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        new ChildMain().run(args[0].equals("server"), in);
        Runtime.getRuntime().halt(0);
    }

    private void run(boolean server, BufferedReader in) throws IOException {
        loop.onFailure(thrown -> {
            thrown.printStackTrace();
            Runtime.getRuntime().halt(3);
        });
        if (server) {
            server(JSON.readValue(in.readLine(), ServerTask.class));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                // A server gets no changes; it only ends with its input.
            }
        } else {
            discovery(JSON.readValue(in.readLine(), DiscoveryTask.class), in);
        }
    }

    /** Writes an event in a single write, so that a killed process leaves complete lines except possibly the last. */
    private synchronized void writeEvent(Event event) {
        byte[] line = (event.json() + "\n").getBytes(StandardCharsets.UTF_8);
        out.write(line, 0, line.length);
        out.flush();
    }

    private void up(String name, List<InetSocketAddress> addresses) {
        writeEvent(Event.of(System.nanoTime(), EventKind.UP, name)
                .withText(addresses.stream()
                        .map(address -> Integer.toString(address.getPort()))
                        .collect(Collectors.joining(","))));
    }

    private void server(ServerTask task) throws IOException {
        BackendServer server = new BackendServer(loop, new RecordingService(loop, task, this::writeEvent));
        loop.post(() -> SchedulingDelayMonitor.start(loop, task.name(), this::writeEvent));
        loop.start();
        up(task.name(), List.of(server.socketAddress()));
    }

    private void discovery(DiscoveryTask task, BufferedReader in) throws IOException {
        ServiceCapacity capacity = task.callMs() == 0
                ? ServiceCapacity.UNLIMITED
                : new ServiceCapacity(
                        loop,
                        task.clerks(),
                        (long) (1e6 * task.callMs()),
                        (long) (1e6 * task.patienceMs()),
                        task.answered());
        capacity.onCallDropped(() -> writeEvent(Event.of(System.nanoTime(), EventKind.CALL_GIVEN_UP, "discovery")));
        List<DiscoveryStandIn> agents = new ArrayList<>();
        for (List<EndpointEntry> rows : task.rows()) {
            agents.add(new DiscoveryStandIn(loop, rows, capacity, task.version()));
        }
        loop.post(() -> SchedulingDelayMonitor.start(loop, "discovery", this::writeEvent));
        loop.start();
        up("discovery", agents.stream().map(DiscoveryStandIn::address).toList());
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            List<EndpointEntry> changed = JSON.readValue(line, new TypeReference<List<EndpointEntry>>() {});
            loop.post(() -> {
                for (int i = 0; i < agents.size(); i++) {
                    agents.get(i).publish(List.of(changed.get(i)));
                }
            });
        }
    }
}
