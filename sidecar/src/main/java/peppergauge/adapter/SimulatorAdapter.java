package peppergauge.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Action;

/**
 * Runs load balancers for the simulator: reads lines of events and writes one line of actions for each. A line is
 * parsed completely before its first event is delivered.
 */
public final class SimulatorAdapter {

    private final LineReader lines;
    private final OutputStream out;
    private final BatchReader reader;
    private final ActionWriter writer;
    private final Map<String, LoadBalancer> instances = new HashMap<>();

    /** Creates an adapter between the given streams, which it does not close. */
    public SimulatorAdapter(InputStream in, OutputStream out) {
        JsonFactory json = new JsonFactory();
        this.lines = new LineReader(in);
        this.out = out;
        this.reader = new BatchReader(json);
        this.writer = new ActionWriter(json);
    }

    /**
     * Handles all lines until the end of the input.
     *
     * @throws MalformedLineException at the first line that is not a batch of events
     */
    public void run() throws IOException, MalformedLineException {
        for (long line = 1; lines.next(); line++) {
            handle(read(line));
        }
    }

    private InstanceInput.Batch read(long line) throws IOException, MalformedLineException {
        try {
            return reader.read(lines);
        } catch (JsonProcessingException invalid) {
            String position =
                    "line " + line + ", column " + invalid.getLocation().getColumnNr();
            String problem = "not valid JSON: " + firstLine(invalid.getOriginalMessage());
            throw new MalformedLineException(position, problem, invalid);
        } catch (MalformedEventException | IllegalArgumentException invalid) {
            throw new MalformedLineException("line " + line, invalid.getMessage(), invalid);
        }
    }

    private static String firstLine(String text) {
        return text.lines().findFirst().orElse("");
    }

    private void handle(InstanceInput.Batch batch) throws IOException {
        writer.begin(batch.number());
        for (InstanceInput.Group group : batch.groups()) {
            handle(group, batch.timeMs());
        }
        writer.end(out);
    }

    private void handle(InstanceInput.Group group, double nowMs) throws IOException {
        List<Action> actions = new ArrayList<>();
        try {
            for (InstanceInput input : group.inputs()) {
                deliver(group.instance(), input, nowMs, actions);
            }
            writer.writeActions(group.instance(), actions);
        } catch (UncheckedIOException failed) {
            throw failed.getCause();
        } catch (RuntimeException | StackOverflowError bug) {
            writer.writeFailure(group.instance(), bug);
        }
    }

    private void deliver(String instance, InstanceInput input, double nowMs, List<Action> actions) {
        if (input instanceof InstanceInput.Start start) {
            instances.put(instance, start.balancer());
        } else if (input instanceof InstanceInput.Stop) {
            instances.remove(instance);
        } else if (input instanceof InstanceInput.Deliver delivery) {
            LoadBalancer balancer = instances.get(instance);
            if (balancer != null) {
                balancer.handle(nowMs, delivery.event(), action -> add(action, actions));
            }
        }
    }

    /** Adds an action, except for timer cancellations, which the simulator's format does not have. */
    private static void add(Action action, List<Action> actions) {
        if (!(action instanceof LoadBalancer.CancelTimer)) {
            actions.add(action);
        }
    }
}
