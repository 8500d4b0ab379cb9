package peppergauge.decision;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import peppergauge.decision.LoadBalancer.Endpoint;
import peppergauge.decision.LoadBalancer.EndpointState;
import peppergauge.decision.LoadBalancer.Idempotency;
import peppergauge.decision.LoadBalancer.KeyScope;
import peppergauge.decision.LoadBalancer.Limits;
import peppergauge.decision.LoadBalancer.LoadField;
import peppergauge.decision.LoadBalancer.Outcome;
import peppergauge.decision.LoadBalancer.RequestClass;
import peppergauge.decision.LoadBalancer.RetryBudgetConfig;
import peppergauge.decision.LoadBalancer.Rules;
import peppergauge.decision.LoadBalancer.Settings;
import peppergauge.decision.LoadBalancer.Tenant;

/**
 * A text recording of the calls made to one load balancer and of everything it answered.
 *
 * <p>The text names events and actions by fixed words of its own, so that a recording stays readable when types are
 * renamed. Numbers are written so that they read back as the same value.
 *
 * <p>Format, one record a line with tabs between fields: {@code settings}, then one line a call, then one line for each
 * answer to it, which begins with {@code >}.
 */
public final class DecisionRecording {

    private static final String ANSWER = ">";
    private static final String NONE = "-";

    private DecisionRecording() {}

    /** Writes each call to a balancer, and each answer, to a compressed file. */
    public static final class Recorder implements LoadBalancer, AutoCloseable {

        private final LoadBalancer balancer;
        private final BufferedWriter out;
        private long events;

        /** Starts a recording; {@code balancer} must be new. */
        public Recorder(LoadBalancer balancer, Settings settings, long seed, Path file) throws IOException {
            this.balancer = balancer;
            out = new BufferedWriter(
                    new OutputStreamWriter(new GZIPOutputStream(Files.newOutputStream(file)), StandardCharsets.UTF_8));
            line(settingsLine(settings, seed));
        }

        @Override
        public void handle(double nowMs, Event event, Consumer<Action> actions) {
            events++;
            line(nowMs + "\t" + eventLine(event));
            balancer.handle(nowMs, event, action -> {
                line(ANSWER + "\t" + actionLine(action));
                actions.accept(action);
            });
        }

        @Override
        public LearnedState exportState(double nowMs, int from, int most) {
            LearnedState learned = balancer.exportState(nowMs, from, most);
            line(nowMs + "\tlearned\t" + from + "\t" + most);
            line(ANSWER + "\t" + learnedLine(learned));
            return learned;
        }

        @Override
        public void importState(double nowMs, LearnedState learned, double ageMs) {
            line(nowMs + "\trecall\t" + ageMs + "\t" + learnedLine(learned));
            balancer.importState(nowMs, learned, ageMs);
        }

        /** How many events have been recorded. */
        public long events() {
            return events;
        }

        private void line(String text) {
            try {
                out.write(text);
                out.write('\n');
            } catch (IOException failed) {
                throw new UncheckedIOException(failed);
            }
        }

        @Override
        public void close() throws IOException {
            out.close();
        }
    }

    /** Makes the balancer that a recording is compared with. */
    public interface Factory {

        /** A new instance. */
        LoadBalancer create(Settings settings, long seed);
    }

    /**
     * Repeats the calls of a recording and compares the answers.
     *
     * @return how many events were compared
     * @throws AssertionError at the first answer that differs, with the line of the recording
     */
    public static long replay(Path file, Factory factory) throws IOException {
        List<String> lines = read(file);
        Fields settings = new Fields(lines.get(0));
        LoadBalancer balancer = readSettings(settings, factory);
        long events = 0;
        for (int i = 1; i < lines.size(); ) {
            int at = i++;
            List<String> recorded = new ArrayList<>();
            while (i < lines.size() && lines.get(i).startsWith(ANSWER)) {
                recorded.add(lines.get(i++));
            }
            List<String> answered = new ArrayList<>();
            Fields call = new Fields(lines.get(at));
            events += repeat(call.number(), call, balancer, line -> answered.add(ANSWER + "\t" + line)) ? 1 : 0;
            if (!answered.equals(recorded)) {
                throw new AssertionError(file.getFileName() + ", line " + (at + 1) + ": " + lines.get(at)
                        + "\nrecorded " + recorded + "\nanswered " + answered);
            }
        }
        return events;
    }

    private static List<String> read(Path file) throws IOException {
        try (BufferedReader reader = new BufferedReader(
                new InputStreamReader(new GZIPInputStream(Files.newInputStream(file)), StandardCharsets.UTF_8))) {
            return reader.lines().toList();
        }
    }

    /** Returns whether the call was an event. */
    private static boolean repeat(double nowMs, Fields call, LoadBalancer balancer, Consumer<String> answers) {
        String kind = call.text();
        if (kind.equals("learned")) {
            answers.accept(learnedLine(balancer.exportState(nowMs, call.integer(), call.integer())));
            return false;
        }
        if (kind.equals("recall")) {
            double ageMs = call.number();
            balancer.importState(nowMs, readLearned(call), ageMs);
            return false;
        }
        balancer.handle(nowMs, readEvent(kind, call), action -> answers.accept(actionLine(action)));
        return true;
    }

    // ---- Writing ----

    private static String settingsLine(Settings settings, long seed) {
        List<Object> fields = new ArrayList<>(List.of(
                seed,
                settings.instance(),
                settings.instances(),
                settings.zone(),
                settings.tickMs(),
                settings.watchRequired(),
                settings.overQuotaWeight(),
                settings.classes().size()));
        for (RequestClass each : settings.classes()) {
            fields.addAll(List.of(
                    each.latencyObjectiveMs(),
                    each.deadlineMs(),
                    each.priorityWeight(),
                    each.lateWeightShare(),
                    each.idempotency().ordinal(),
                    each.keyScope().ordinal(),
                    each.keyWindowMs()));
        }
        fields.add(settings.tenants().size());
        settings.tenants().forEach(tenant -> fields.add(tenant.quotaPerS()));
        Limits limits = settings.limits();
        fields.addAll(List.of(
                limits.maxAttempts(),
                limits.parallelAttempts(),
                limits.cancellation(),
                limits.healthChecks(),
                limits.retryAfter(),
                limits.maxRetryAfterMs(),
                limits.costlyConnections(),
                limits.connectionIdleMs()));
        Rules rules = settings.rules();
        fields.addAll(List.of(
                rules.warmUpInitialCapacity(),
                rules.warmUpMs(),
                rules.overloadMultiple(),
                rules.overloadWindowMs(),
                rules.removalForbidsSends(),
                rules.retryBudget().minRetries(),
                rules.retryBudget().retryRatio(),
                rules.retryBudget().windowMs()));
        fields.add(settings.loadFields().size());
        settings.loadFields().forEach(field -> fields.add(field.ordinal()));
        return join(fields);
    }

    private static String eventLine(LoadBalancer.Event event) {
        if (event instanceof LoadBalancer.EndpointsUpdated listed) {
            List<Object> fields = new ArrayList<>(List.of(
                    "list",
                    listed.complete(),
                    listed.watchResponse(),
                    listed.endpoints().size()));
            for (Endpoint entry : listed.endpoints()) {
                fields.addAll(List.of(
                        entry.server(),
                        entry.zone(),
                        entry.cell(),
                        entry.state().ordinal(),
                        entry.startedMs(),
                        entry.kind()));
            }
            return join(fields);
        } else if (event instanceof LoadBalancer.DiscoveryFailed) {
            return "discovery-failed";
        } else if (event instanceof LoadBalancer.RequestArrived arrived) {
            return join(List.of(
                    "request",
                    arrived.id(),
                    arrived.requestClass(),
                    arrived.tenant(),
                    arrived.timeoutMs(),
                    arrived.clientRetry()));
        } else if (event instanceof LoadBalancer.AttemptEnded ended) {
            return join(List.of(
                    "end",
                    ended.id(),
                    ended.attempt(),
                    ended.server(),
                    ended.outcome().ordinal(),
                    ended.latencyMs(),
                    ended.requestCompleted(),
                    ended.localDelayMs(),
                    numbers(ended.loadReport())));
        } else if (event instanceof LoadBalancer.ResponseStarted started) {
            return join(List.of("response", started.id(), started.attempt()));
        } else if (event instanceof LoadBalancer.ClientDisconnected left) {
            return join(List.of("client-left", left.id()));
        } else if (event instanceof LoadBalancer.TimerFired due) {
            return join(List.of("timer", due.token()));
        } else if (event instanceof LoadBalancer.ProbeEnded ended) {
            return join(List.of(
                    "probe",
                    ended.server(),
                    ended.outcome().ordinal(),
                    ended.latencyMs(),
                    numbers(ended.loadReport())));
        } else if (event instanceof LoadBalancer.ZoneWeightsUpdated steered) {
            List<Object> fields = new ArrayList<>(List.of("zones", steered.weights().length));
            for (double[] row : steered.weights()) {
                fields.add(numbers(row));
            }
            return join(fields);
        }
        throw new IllegalArgumentException("no form for " + event);
    }

    private static String actionLine(LoadBalancer.Action action) {
        if (action instanceof LoadBalancer.SendAttempt send) {
            return join(List.of("send", send.id(), send.server(), send.timeoutMs()));
        } else if (action instanceof LoadBalancer.RejectRequest refuse) {
            return join(List.of("reject", refuse.id(), refuse.retryAfterMs()));
        } else if (action instanceof LoadBalancer.FailRequest fail) {
            return join(List.of("fail", fail.id()));
        } else if (action instanceof LoadBalancer.CancelAttempt cancel) {
            return join(List.of("cancel", cancel.id(), cancel.attempt()));
        } else if (action instanceof LoadBalancer.ProbeServer probe) {
            return join(List.of("probe", probe.server()));
        } else if (action instanceof LoadBalancer.OpenWatch) {
            return "watch";
        } else if (action instanceof LoadBalancer.ScheduleTimer timer) {
            return join(List.of("set-timer", timer.dueMs(), timer.token()));
        } else if (action instanceof LoadBalancer.CancelTimer timer) {
            return join(List.of("clear-timer", timer.token()));
        }
        throw new IllegalArgumentException("no form for " + action);
    }

    private static String learnedLine(LearnedState learned) {
        List<Object> fields = new ArrayList<>(List.of("state", learned.serverCount(), learned.cluster() != null));
        if (learned.cluster() != null) {
            LearnedState.ClusterStatistics fleet = learned.cluster();
            fields.add(fleet.observedMs());
            for (LearnedState.WeightedSum figure : List.of(
                    fleet.latency(),
                    fleet.idleLatency(),
                    fleet.errors(),
                    fleet.inFlight(),
                    fleet.othersInFlight(),
                    fleet.reportedServiceTime(),
                    fleet.reportedUtilization(),
                    fleet.reportedRate(),
                    fleet.covariance(),
                    fleet.variance(),
                    fleet.arrivals())) {
                add(fields, figure);
            }
            fields.add(fleet.queueingSlope());
            fields.add(fleet.unloadedMs());
        }
        fields.add(learned.classes().size());
        for (LearnedState.ClassStatistics kind : learned.classes()) {
            add(fields, kind.latency());
            add(fields, kind.overall());
            fields.add(kind.factor());
        }
        fields.add(learned.servers().size());
        for (LearnedState.ServerStatistics known : learned.servers()) {
            fields.addAll(List.of(known.server(), known.startedMs()));
            add(fields, known.latency());
            add(fields, known.failures());
            add(fields, known.errors());
            add(fields, known.recentErrors());
            fields.addAll(List.of(known.unloadedMs(), known.ejectionLeftMs()));
        }
        return join(fields);
    }

    private static void add(List<Object> fields, LearnedState.WeightedSum figure) {
        fields.add(figure.sum());
        fields.add(figure.weight());
    }

    private static String numbers(double[] values) {
        return values == null ? NONE : Arrays.toString(values).replaceAll("[\\[\\] ]", "") + ",";
    }

    private static String join(List<Object> fields) {
        return String.join("\t", fields.stream().map(String::valueOf).toList());
    }

    // ---- Reading ----

    /** The fields of one line, taken in order. */
    private static final class Fields {

        private final String[] fields;
        private int next;

        Fields(String line) {
            fields = line.split("\t", -1);
        }

        String text() {
            return fields[next++];
        }

        double number() {
            return Double.parseDouble(text());
        }

        int integer() {
            return Integer.parseInt(text());
        }

        boolean flag() {
            return Boolean.parseBoolean(text());
        }

        double[] numbers() {
            String text = text();
            if (text.equals(NONE)) {
                return null;
            }
            return Arrays.stream(text.split(","))
                    .filter(each -> !each.isEmpty())
                    .mapToDouble(Double::parseDouble)
                    .toArray();
        }
    }

    private static LoadBalancer readSettings(Fields fields, Factory factory) {
        long seed = Long.parseLong(fields.text());
        int self = fields.integer();
        int balancers = fields.integer();
        int zone = fields.integer();
        double tickMs = fields.number();
        boolean mustWatch = fields.flag();
        double overShareWorth = fields.number();
        List<RequestClass> classes = new ArrayList<>();
        for (int i = fields.integer(); i > 0; i--) {
            classes.add(new RequestClass(
                    fields.number(),
                    fields.number(),
                    fields.number(),
                    fields.number(),
                    Idempotency.values()[fields.integer()],
                    KeyScope.values()[fields.integer()],
                    fields.number()));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = fields.integer(); i > 0; i--) {
            tenants.add(new Tenant(fields.number()));
        }
        Limits limits = new Limits(
                fields.integer(),
                fields.flag(),
                fields.flag(),
                fields.flag(),
                fields.flag(),
                fields.number(),
                fields.flag(),
                fields.number());
        Rules rules = new Rules(
                fields.number(),
                fields.number(),
                fields.number(),
                fields.number(),
                fields.flag(),
                new RetryBudgetConfig(fields.number(), fields.number(), fields.number()));
        List<LoadField> loadFields = new ArrayList<>();
        for (int i = fields.integer(); i > 0; i--) {
            loadFields.add(LoadField.values()[fields.integer()]);
        }
        return factory.create(
                new Settings(
                        self,
                        balancers,
                        zone,
                        tickMs,
                        mustWatch,
                        overShareWorth,
                        classes,
                        tenants,
                        limits,
                        rules,
                        loadFields),
                seed);
    }

    private static LoadBalancer.Event readEvent(String kind, Fields fields) {
        return switch (kind) {
            case "list" -> readList(fields);
            case "discovery-failed" -> new LoadBalancer.DiscoveryFailed();
            case "request" ->
                new LoadBalancer.RequestArrived(
                        fields.text(), fields.integer(), fields.integer(), fields.number(), fields.flag());
            case "end" -> readEnd(fields);
            case "response" -> new LoadBalancer.ResponseStarted(fields.text(), fields.integer());
            case "client-left" -> new LoadBalancer.ClientDisconnected(fields.text());
            case "timer" -> new LoadBalancer.TimerFired(Long.parseLong(fields.text()));
            case "probe" ->
                new LoadBalancer.ProbeEnded(
                        fields.text(), Outcome.values()[fields.integer()], fields.number(), fields.numbers());
            case "zones" -> {
                double[][] factors = new double[fields.integer()][];
                Arrays.setAll(factors, i -> fields.numbers());
                yield new LoadBalancer.ZoneWeightsUpdated(factors);
            }
            default -> throw new IllegalArgumentException("no event " + kind);
        };
    }

    private static LoadBalancer.Event readList(Fields fields) {
        boolean whole = fields.flag();
        boolean answersWatch = fields.flag();
        List<Endpoint> entries = new ArrayList<>();
        for (int i = fields.integer(); i > 0; i--) {
            entries.add(new Endpoint(
                    fields.text(),
                    fields.integer(),
                    fields.integer(),
                    EndpointState.values()[fields.integer()],
                    fields.number(),
                    fields.integer()));
        }
        return new LoadBalancer.EndpointsUpdated(whole, answersWatch, entries);
    }

    private static LoadBalancer.Event readEnd(Fields fields) {
        String id = fields.text();
        int attempt = fields.integer();
        String server = fields.text();
        Outcome outcome = Outcome.values()[fields.integer()];
        double tookMs = fields.number();
        boolean requestDone = fields.flag();
        double lagMs = fields.number();
        return new LoadBalancer.AttemptEnded(
                id, attempt, server, outcome, tookMs, requestDone, fields.numbers(), lagMs);
    }

    private static LearnedState readLearned(Fields fields) {
        fields.text();
        int servers = fields.integer();
        LearnedState.ClusterStatistics fleet = fields.flag() ? readFleet(fields) : null;
        List<LearnedState.ClassStatistics> classes = new ArrayList<>();
        for (int i = fields.integer(); i > 0; i--) {
            classes.add(new LearnedState.ClassStatistics(readFigure(fields), readFigure(fields), fields.number()));
        }
        List<LearnedState.ServerStatistics> known = new ArrayList<>();
        for (int i = fields.integer(); i > 0; i--) {
            known.add(new LearnedState.ServerStatistics(
                    fields.text(),
                    fields.number(),
                    readFigure(fields),
                    readFigure(fields),
                    readFigure(fields),
                    readFigure(fields),
                    fields.number(),
                    fields.number()));
        }
        return new LearnedState(servers, fleet, classes, known);
    }

    private static LearnedState.ClusterStatistics readFleet(Fields fields) {
        return new LearnedState.ClusterStatistics(
                fields.number(),
                readFigure(fields),
                readFigure(fields),
                readFigure(fields),
                readFigure(fields),
                readFigure(fields),
                readFigure(fields),
                readFigure(fields),
                readFigure(fields),
                readFigure(fields),
                readFigure(fields),
                readFigure(fields),
                fields.number(),
                fields.number());
    }

    private static LearnedState.WeightedSum readFigure(Fields fields) {
        return new LearnedState.WeightedSum(fields.number(), fields.number());
    }
}
