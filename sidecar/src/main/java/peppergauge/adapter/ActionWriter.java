package peppergauge.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Arrays;
import java.util.List;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Action;

/** Writes the actions of a batch as a line of the simulator's format, grouped by instance. */
final class ActionWriter {

    private static final int INITIAL_LINE_BYTES = 1 << 14;
    private static final int MAX_STACK_FRAMES = 3;

    private final JsonFactory json;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(INITIAL_LINE_BYTES);
    private JsonGenerator generator;

    ActionWriter(JsonFactory json) {
        this.json = json;
    }

    /** Begins the line of a batch. */
    void begin(long batchNumber) throws IOException {
        line.reset();
        generator = json.createGenerator(line);
        generator.writeStartObject();
        generator.writeNumberField("batch", batchNumber);
        generator.writeArrayFieldStart("proxys");
    }

    /** Ends the line and writes it to {@code out}. */
    void end(OutputStream out) throws IOException {
        generator.writeEndArray();
        generator.writeEndObject();
        generator.close();
        line.write('\n');
        line.writeTo(out);
        out.flush();
    }

    /** Writes the actions of an instance; writes nothing if there are none. */
    void writeActions(String instance, List<Action> actions) throws IOException {
        if (actions.isEmpty()) {
            return;
        }
        beginInstance(instance);
        for (Action action : actions) {
            generator.writeStartObject();
            writeAction(action);
            generator.writeEndObject();
        }
        endInstance();
    }

    /** Writes that the load balancer of an instance has failed, with the top of the stack trace. */
    void writeFailure(String instance, Throwable failure) throws IOException {
        StackTraceElement[] trace = failure.getStackTrace();
        beginInstance(instance);
        generator.writeStartObject();
        generator.writeStringField("op", "Fatal");
        generator.writeStringField(
                "bodyText",
                failure + " at " + Arrays.toString(Arrays.copyOf(trace, Math.min(trace.length, MAX_STACK_FRAMES))));
        generator.writeEndObject();
        endInstance();
    }

    private void beginInstance(String instance) throws IOException {
        generator.writeStartObject();
        generator.writeStringField("who", instance);
        generator.writeArrayFieldStart("decisions");
    }

    private void endInstance() throws IOException {
        generator.writeEndArray();
        generator.writeEndObject();
    }

    private void writeAction(Action action) throws IOException {
        if (action instanceof LoadBalancer.SendAttempt send) {
            writeSend(send);
        } else if (action instanceof LoadBalancer.ScheduleTimer timer) {
            generator.writeStringField("op", "SetTimer");
            generator.writeNumberField("momentMs", timer.dueMs());
            generator.writeNumberField("ref", timer.token());
        } else if (action instanceof LoadBalancer.RejectRequest rejection) {
            writeRejection(rejection);
        } else if (action instanceof LoadBalancer.FailRequest failure) {
            generator.writeStringField("op", "Fail");
            generator.writeStringField("id", failure.id());
        } else if (action instanceof LoadBalancer.CancelAttempt cancel) {
            generator.writeStringField("op", "UndoSend");
            generator.writeStringField("id", cancel.id());
            generator.writeNumberField("leg", cancel.attempt());
        } else if (action instanceof LoadBalancer.ProbeServer probe) {
            generator.writeStringField("op", "AskLoad");
            generator.writeStringField("host", probe.server());
        } else if (action instanceof LoadBalancer.OpenWatch) {
            generator.writeStringField("op", "Track");
            generator.writeBooleanField("on", true);
        } else if (action instanceof LoadBalancer.LogMessage log) {
            generator.writeStringField("op", "Debug");
            generator.writeStringField("bodyText", log.text());
        } else {
            throw new IllegalStateException("action cannot be written: " + action);
        }
    }

    private void writeSend(LoadBalancer.SendAttempt send) throws IOException {
        generator.writeStringField("op", "Dispatch");
        generator.writeStringField("id", send.id());
        generator.writeStringField("host", send.server());
        generator.writeNumberField("timeoutMs", send.timeoutMs());
    }

    private void writeRejection(LoadBalancer.RejectRequest rejection) throws IOException {
        generator.writeStringField("op", "Bounce");
        generator.writeStringField("id", rejection.id());
        if (rejection.retryAfterMs() > 0) {
            generator.writeNumberField("stayAwayMs", rejection.retryAfterMs());
        }
    }
}
