package peppergauge.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import peppergauge.decision.AdaptiveLoadBalancer;
import peppergauge.decision.LoadBalancer;
import peppergauge.decision.LoadBalancer.Action;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.Event;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.settings.JsonTree;
import peppergauge.settings.SettingsReader;

/**
 * Hosts balancer instances on the simulator's wire: one line of events in, one line of actions out. Each
 * line is parsed whole before anything acts on it. Nothing is decided here.
 */
public final class Drill {

    private static final int LIST_NUMBERS = 16;

    private final JsonFactory json = new JsonFactory();
    private final LineReader lines;
    private final OutputStream out;
    private final ByteArrayOutputStream reply = new ByteArrayOutputStream(1 << 14);
    private final Map<String, LoadBalancer> instances = new HashMap<>();
    private final List<List<Endpoint>> lists = new ArrayList<>();
    private double nowMs;
    private long batch;

    public Drill(InputStream in, OutputStream out) {
        this.lines = new LineReader(in);
        this.out = out;
        for (int i = 0; i < LIST_NUMBERS; i++) {
            lists.add(List.of());
        }
    }

    public void run() throws IOException, MalformedLine {
        for (long line = 1; lines.next(); line++) {
            List<Arrivals> groups;
            try (JsonParser parser = json.createParser(lines.bytes(), lines.offset(), lines.length())) {
                groups = readBatch(parser);
            } catch (JsonProcessingException bad) {
                throw new MalformedLine("line " + line + ", column "
                        + bad.getLocation().getColumnNr() + ": not valid JSON: " + firstLine(bad.getOriginalMessage()));
            } catch (MalformedLine | IllegalArgumentException bad) {
                throw new MalformedLine("line " + line + ": " + bad.getMessage());
            }
            answer(groups);
        }
    }

    private static String firstLine(String text) {
        return text.lines().findFirst().orElse("");
    }

    /** What came in for one instance, in order; a {@code Runnable}-like start or end stands among the events. */
    private record Arrivals(String instance, List<Object> events) {}

    /** The instance comes up. */
    private record Start(LoadBalancer balancer) {}

    /** The instance was killed. */
    private record Kill() {}

    private List<Arrivals> readBatch(JsonParser parser) throws IOException, MalformedLine {
        List<Arrivals> groups = new ArrayList<>();
        boolean timed = false;
        expect(parser.nextToken() == JsonToken.START_OBJECT, "a batch is an object");
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            JsonToken value = parser.nextToken();
            switch (key) {
                case "timeMs" -> {
                    expect(value.isNumeric(), "timeMs is a number");
                    nowMs = parser.getDoubleValue();
                    timed = true;
                }
                case "batch" -> {
                    expect(value == JsonToken.VALUE_NUMBER_INT, "batch is a whole number");
                    batch = parser.getLongValue();
                }
                case "proxys" -> {
                    expect(value == JsonToken.START_ARRAY, "proxys is an array");
                    while (parser.nextToken() != JsonToken.END_ARRAY) {
                        groups.add(readGroup(parser));
                    }
                }
                default -> parser.skipChildren();
            }
        }
        expect(parser.nextToken() == null, "a line holds one value");
        expect(timed, "a batch has timeMs");
        return groups;
    }

    private Arrivals readGroup(JsonParser parser) throws IOException, MalformedLine {
        expect(parser.currentToken() == JsonToken.START_OBJECT, "an element of proxys is an object");
        String instance = null;
        List<Object> events = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            JsonToken value = parser.nextToken();
            switch (key) {
                case "who" -> instance = parser.getText();
                case "in" -> {
                    expect(value == JsonToken.START_ARRAY, "in is an array");
                    while (parser.nextToken() != JsonToken.END_ARRAY) {
                        expect(parser.currentToken() == JsonToken.START_OBJECT, "an event is an object");
                        Object event = translate(new Fields(parser));
                        if (event != null) {
                            events.add(event);
                        }
                    }
                }
                default -> parser.skipChildren();
            }
        }
        expect(instance != null || events.isEmpty(), "events come with who");
        return new Arrivals(instance, events);
    }

    private static void expect(boolean holds, String what) throws MalformedLine {
        if (!holds) {
            throw new MalformedLine("malformed: " + what);
        }
    }

    /** One event, read whole, so that the order of its keys does not matter. */
    private static final class Fields {

        private final Map<String, Object> values;

        Fields(JsonParser parser) throws IOException {
            values = JsonTree.readObject(parser);
        }

        String text(String key) throws MalformedLine {
            expect(values.get(key) instanceof String, "event " + values.get("op") + " has text " + key);
            return (String) values.get(key);
        }

        double number(String key) throws MalformedLine {
            Object value = values.get(key);
            expect(value == null || value instanceof Number, key + " is a number");
            return value == null ? 0 : ((Number) value).doubleValue();
        }

        long whole(String key) throws MalformedLine {
            Object value = values.get(key);
            expect(value == null || value instanceof Number, key + " is a number");
            return value == null ? 0 : ((Number) value).longValue();
        }

        boolean flag(String key) {
            return Boolean.TRUE.equals(values.get(key));
        }

        double[] row(String key) throws MalformedLine {
            if (!(values.get(key) instanceof List<?> list)) {
                return null;
            }
            double[] row = new double[list.size()];
            for (int i = 0; i < row.length; i++) {
                row[i] = list.get(i) instanceof Number number ? number.doubleValue() : Double.NaN;
            }
            return row;
        }

        @SuppressWarnings("unchecked")
        Map<String, Object> object(String key) throws MalformedLine {
            expect(values.get(key) instanceof Map, key + " is an object");
            return (Map<String, Object>) values.get(key);
        }
    }

    /** The event in the module's terms; null for one that the module has no use for. */
    private Object translate(Fields event) throws MalformedLine {
        return switch (event.text("op")) {
            case "Create" ->
                new Start(new AdaptiveLoadBalancer(SettingsReader.read(event.object("params")), event.whole("salt")));
            case "Retire" -> new Kill();
            case "List" -> {
                lists.set(listNumber(event), entries(event));
                yield null;
            }
            case "RosterChange" -> roster(event);
            case "NewRequest" ->
                new LoadBalancer.RequestArrived(
                        event.text("id"),
                        (int) event.whole("priority"),
                        (int) event.whole("party"),
                        event.number("timeBudgetMs"),
                        event.flag("againByClient"));
            case "Outcome" ->
                new LoadBalancer.AttemptEnded(
                        event.text("id"),
                        (int) event.whole("leg"),
                        event.text("host"),
                        outcome(event.text("rc")),
                        event.number("tookMs"),
                        event.flag("final"),
                        event.row("serverStats"));
            case "First" -> new LoadBalancer.ResponseStarted(event.text("id"), (int) event.whole("leg"));
            case "Left" -> new LoadBalancer.ClientDisconnected(event.text("id"));
            case "Wake" -> new LoadBalancer.TimerFired(event.whole("ref"));
            case "ProbeDone" ->
                new LoadBalancer.ProbeEnded(
                        event.text("host"),
                        outcome(event.text("rc")),
                        event.number("tookMs"),
                        event.row("serverStats"));
            default -> null;
        };
    }

    private static int listNumber(Fields event) throws MalformedLine {
        long number = event.whole("rosterId");
        expect(number >= 0 && number < LIST_NUMBERS, "rosterId lies in 0 to 15");
        return (int) number;
    }

    private Event roster(Fields event) throws MalformedLine {
        return switch (event.text("form")) {
            case "broken" -> new LoadBalancer.DiscoveryFailed();
            case "patch" -> new LoadBalancer.EndpointsUpdated(false, true, lists.get(listNumber(event)));
            case "whole" -> new LoadBalancer.EndpointsUpdated(true, true, lists.get(listNumber(event)));
            case "stale_copy" -> new LoadBalancer.EndpointsUpdated(true, false, lists.get(listNumber(event)));
            default -> throw new MalformedLine("malformed: unknown form " + event.text("form"));
        };
    }

    private static List<Endpoint> entries(Fields event) throws MalformedLine {
        expect(event.values.get("elements") instanceof List, "elements is an array");
        List<Endpoint> entries = new ArrayList<>();
        for (Object element : (List<?>) event.values.get("elements")) {
            expect(element instanceof Map, "an entry is an object");
            entries.add(entry((Map<?, ?>) element));
        }
        return entries;
    }

    private static Endpoint entry(Map<?, ?> entry) throws MalformedLine {
        expect(entry.get("host") instanceof String, "an entry has a host");
        EndpointState state = switch (String.valueOf(entry.get("mode"))) {
            case "on" -> EndpointState.READY;
            case "fading" -> EndpointState.DRAINING;
            case "off" -> EndpointState.REMOVED;
            default -> throw new MalformedLine("malformed: unknown mode " + entry.get("mode"));
        };
        return new Endpoint(
                (String) entry.get("host"),
                (int) entryNumber(entry, "failureDomain"),
                (int) entryNumber(entry, "unitGroup"),
                state,
                entryNumber(entry, "startTimeMs"),
                (int) entryNumber(entry, "kind"));
    }

    private static double entryNumber(Map<?, ?> entry, String key) {
        return entry.get(key) instanceof Number number ? number.doubleValue() : 0;
    }

    private static Outcome outcome(String rc) throws MalformedLine {
        return switch (rc) {
            case "success" -> Outcome.SUCCESS;
            case "failure" -> Outcome.ERROR;
            case "overloaded" -> Outcome.OVERLOADED;
            case "timed_out" -> Outcome.TIMED_OUT;
            case "unreachable" -> Outcome.UNREACHABLE;
            case "broken" -> Outcome.BROKEN;
            case "withdrawn" -> Outcome.CANCELLED;
            case "void" -> Outcome.NEVER_SENT;
            default -> throw new MalformedLine("malformed: unknown rc " + rc);
        };
    }

    private void answer(List<Arrivals> groups) throws IOException {
        reply.reset();
        try (JsonGenerator writer = json.createGenerator(reply)) {
            writer.writeStartObject();
            writer.writeNumberField("batch", batch);
            writer.writeArrayFieldStart("proxys");
            for (Arrivals group : groups) {
                answerGroup(group, writer);
            }
            writer.writeEndArray();
            writer.writeEndObject();
        }
        reply.write('\n');
        reply.writeTo(out);
        out.flush();
    }

    private void answerGroup(Arrivals group, JsonGenerator writer) throws IOException {
        List<Action> actions = new ArrayList<>();
        try {
            for (Object arrival : group.events()) {
                deliver(group.instance(), arrival, actions);
            }
            writeGroup(group.instance(), actions, writer);
        } catch (UncheckedIOException broken) {
            throw broken.getCause();
        } catch (RuntimeException | StackOverflowError bug) {
            writeFault(group.instance(), bug, writer);
        }
    }

    private void deliver(String instance, Object arrival, List<Action> actions) {
        if (arrival instanceof Start start) {
            instances.put(instance, start.balancer());
        } else if (arrival instanceof Kill) {
            instances.remove(instance);
        } else {
            LoadBalancer balancer = instances.get(instance);
            if (balancer != null) {
                balancer.handle(nowMs, (Event) arrival, action -> {
                    // On the wire a timer cannot be taken back.
                    if (!(action instanceof LoadBalancer.CancelTimer)) {
                        actions.add(action);
                    }
                });
            }
        }
    }

    private static void writeFault(String instance, Throwable bug, JsonGenerator writer) throws IOException {
        StackTraceElement[] trace = bug.getStackTrace();
        writer.writeStartObject();
        writer.writeStringField("who", instance);
        writer.writeArrayFieldStart("decisions");
        writer.writeStartObject();
        writer.writeStringField("op", "Fatal");
        writer.writeStringField(
                "bodyText", bug + " at " + Arrays.toString(Arrays.copyOf(trace, Math.min(trace.length, 3))));
        writer.writeEndObject();
        writer.writeEndArray();
        writer.writeEndObject();
    }

    private static void writeGroup(String instance, List<Action> actions, JsonGenerator writer) throws IOException {
        if (actions.isEmpty()) {
            return;
        }
        writer.writeStartObject();
        writer.writeStringField("who", instance);
        writer.writeArrayFieldStart("decisions");
        for (Action action : actions) {
            writer.writeStartObject();
            writeAction(action, writer);
            writer.writeEndObject();
        }
        writer.writeEndArray();
        writer.writeEndObject();
    }

    private static void writeAction(Action action, JsonGenerator writer) throws IOException {
        if (action instanceof LoadBalancer.SendAttempt send) {
            writer.writeStringField("op", "Dispatch");
            writer.writeStringField("id", send.id());
            writer.writeStringField("host", send.server());
            writer.writeNumberField("timeoutMs", send.timeoutMs());
        } else if (action instanceof LoadBalancer.ScheduleTimer timer) {
            writer.writeStringField("op", "SetTimer");
            writer.writeNumberField("momentMs", timer.dueMs());
            writer.writeNumberField("ref", timer.token());
        } else if (action instanceof LoadBalancer.RejectRequest refuse) {
            writer.writeStringField("op", "Bounce");
            writer.writeStringField("id", refuse.id());
            if (refuse.retryAfterMs() > 0) {
                writer.writeNumberField("stayAwayMs", refuse.retryAfterMs());
            }
        } else if (action instanceof LoadBalancer.FailRequest fail) {
            writer.writeStringField("op", "Fail");
            writer.writeStringField("id", fail.id());
        } else if (action instanceof LoadBalancer.CancelAttempt cancel) {
            writer.writeStringField("op", "UndoSend");
            writer.writeStringField("id", cancel.id());
            writer.writeNumberField("leg", cancel.attempt());
        } else if (action instanceof LoadBalancer.ProbeServer probe) {
            writer.writeStringField("op", "AskLoad");
            writer.writeStringField("host", probe.server());
        } else if (action instanceof LoadBalancer.OpenWatch) {
            writer.writeStringField("op", "Track");
            writer.writeBooleanField("on", true);
        } else if (action instanceof LoadBalancer.LogMessage log) {
            writer.writeStringField("op", "Debug");
            writer.writeStringField("bodyText", log.text());
        } else {
            throw new IllegalStateException("no wire form for " + action);
        }
    }
}
