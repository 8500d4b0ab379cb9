package peppergauge.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
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

    /** What one instance replies to a batch, since it last started. */
    private static final class Reply {

        private final List<Action> actions = new ArrayList<>();
        /** The exception that the load balancer has thrown; null if there is none. */
        private Throwable failure;

        /** Withdraws the reply of an instance that has been killed or started anew. */
        void clear() {
            actions.clear();
            failure = null;
        }
    }

    private void handle(InstanceInput.Batch batch) throws IOException {
        Map<String, Reply> replies = new LinkedHashMap<>();
        for (InstanceInput.Group group : batch.groups()) {
            Reply reply = replies.computeIfAbsent(group.instance(), instance -> new Reply());
            for (InstanceInput input : group.inputs()) {
                handle(group.instance(), input, batch.timeMs(), reply);
            }
        }
        writer.begin(batch.number());
        for (Map.Entry<String, Reply> instance : replies.entrySet()) {
            write(instance.getKey(), instance.getValue());
        }
        writer.end(out);
    }

    private void handle(String instance, InstanceInput input, double nowMs, Reply reply) {
        if (input instanceof InstanceInput.Start start) {
            reply.clear();
            instances.put(instance, start.balancer());
        } else if (input instanceof InstanceInput.Stop) {
            // The actions of the whole batch take effect at its end, when the killed instance no longer exists.
            reply.clear();
            instances.remove(instance);
        } else if (input instanceof InstanceInput.Deliver delivery && reply.failure == null) {
            deliver(instance, delivery, nowMs, reply);
        }
    }

    private void deliver(String instance, InstanceInput.Deliver delivery, double nowMs, Reply reply) {
        LoadBalancer balancer = instances.get(instance);
        if (balancer == null) {
            return;
        }
        try {
            balancer.handle(nowMs, delivery.event(), action -> add(action, reply.actions));
        } catch (RuntimeException | StackOverflowError bug) {
            reply.failure = bug;
        }
    }

    private void write(String instance, Reply reply) throws IOException {
        if (reply.failure == null) {
            try {
                writer.writeActions(instance, reply.actions);
                return;
            } catch (IllegalStateException unknownAction) {
                reply.failure = unknownAction;
            }
        }
        writer.writeFailure(instance, reply.failure);
    }

    /** Adds an action, except for timer cancellations, which the simulator's format does not have. */
    private static void add(Action action, List<Action> actions) {
        if (!(action instanceof LoadBalancer.CancelTimer)) {
            actions.add(action);
        }
    }
}
