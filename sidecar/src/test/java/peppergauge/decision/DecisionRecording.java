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
 * Records the calls to a load balancer and its answers as text, and replays them.
 *
 * <p>The text has fixed names for events and actions, so that a recording can still be read after types were renamed.
 * Numbers are written so that the same value is read back.
 *
 * <p>The first line holds the seed and the settings. Each call follows on a line of its own, and then each answer to it
 * on a line that begins with {@code >}. Fields are separated by tabs.
 */
public final class DecisionRecording {

    private static final String ANSWER = ">";
    private static final String NONE = "-";

    private DecisionRecording() {}

    /** Passes calls to a load balancer, and writes the calls and answers to a compressed file. */
    public static final class Recorder implements LoadBalancer, AutoCloseable {

        private final LoadBalancer balancer;
        private final BufferedWriter out;
        private long events;

        /** Starts a recording; the load balancer must not have been called yet. */
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
        public LearnedState exportState(double nowMs, int offset, int maxServers) {
            LearnedState learned = balancer.exportState(nowMs, offset, maxServers);
            line(nowMs + "\tlearned\t" + offset + "\t" + maxServers);
            line(ANSWER + "\t" + learnedLine(learned));
            return learned;
        }

        @Override
        public void importState(double nowMs, LearnedState learned, double ageMs) {
            line(nowMs + "\trecall\t" + ageMs + "\t" + learnedLine(learned));
            balancer.importState(nowMs, learned, ageMs);
        }

        /** The number of events recorded so far. */
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

    /** Creates the load balancer whose answers are compared with a recording. */
    public interface Factory {

        /** Creates a new instance. */
        LoadBalancer create(Settings settings, long seed);
    }

    /**
     * Replays the calls of a recording and compares the answers with the recorded ones.
     *
     * @return the number of events
     * @throws AssertionError at the first call whose answers differ, with its line in the recording
     */
    public static long replay(Path file, Factory factory) throws IOException {
        return replay(read(file), factory, (at, call, recorded, answered) -> {
            if (!answered.equals(recorded)) {
                throw new AssertionError(file.getFileName() + ", line " + (at + 1) + ": " + call + "\nrecorded "
                        + recorded + "\nanswered " + answered);
            }
        });
    }

    /** Takes one call of a replay: its index in the lines, and the answers as recorded and as in the replay. */
    interface Comparison {

        void compare(int at, String call, List<String> recorded, List<String> answered);
    }

    /** Replays the calls among the lines of a recording; returns the number of events. */
    static long replay(List<String> lines, Factory factory, Comparison comparison) {
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
            events += replayCall(call.number(), call, balancer, line -> answered.add(ANSWER + "\t" + line)) ? 1 : 0;
            comparison.compare(at, lines.get(at), recorded, answered);
        }
        return events;
    }

    static List<String> read(Path file) throws IOException {
        try (BufferedReader reader = new BufferedReader(
                new InputStreamReader(new GZIPInputStream(Files.newInputStream(file)), StandardCharsets.UTF_8))) {
            return reader.lines().toList();
        }
    }

    /** Replays one call; returns whether it was an event. */
    private static boolean replayCall(double nowMs, Fields call, LoadBalancer balancer, Consumer<String> answers) {
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
        for (RequestClass requestClass : settings.classes()) {
            fields.addAll(List.of(
                    requestClass.latencyObjectiveMs(),
                    requestClass.deadlineMs(),
                    requestClass.priorityWeight(),
                    requestClass.lateWeightShare(),
                    requestClass.idempotency().ordinal(),
                    requestClass.keyScope().ordinal(),
                    requestClass.keyWindowMs()));
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
        if (event instanceof LoadBalancer.EndpointsUpdated update) {
            List<Object> fields = new ArrayList<>(List.of(
                    "list",
                    update.complete(),
                    update.watchResponse(),
                    update.endpoints().size()));
            for (Endpoint endpoint : update.endpoints()) {
                fields.addAll(List.of(
                        endpoint.server(),
                        endpoint.zone(),
                        endpoint.cell(),
                        endpoint.state().ordinal(),
                        endpoint.startedMs(),
                        endpoint.kind()));
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
        } else if (event instanceof LoadBalancer.ClientDisconnected disconnected) {
            return join(List.of("client-left", disconnected.id()));
        } else if (event instanceof LoadBalancer.TimerFired fired) {
            return join(List.of("timer", fired.token()));
        } else if (event instanceof LoadBalancer.ProbeEnded ended) {
            return join(List.of(
                    "probe",
                    ended.server(),
                    ended.outcome().ordinal(),
                    ended.latencyMs(),
                    numbers(ended.loadReport())));
        } else if (event instanceof LoadBalancer.ZoneWeightsUpdated update) {
            List<Object> fields = new ArrayList<>(List.of("zones", update.weights().length));
            for (double[] row : update.weights()) {
                fields.add(numbers(row));
            }
            return join(fields);
        }
        throw new IllegalArgumentException("event cannot be recorded: " + event);
    }

    private static String actionLine(LoadBalancer.Action action) {
        if (action instanceof LoadBalancer.SendAttempt send) {
            return join(List.of("send", send.id(), send.server(), send.timeoutMs()));
        } else if (action instanceof LoadBalancer.RejectRequest rejection) {
            return join(List.of("reject", rejection.id(), rejection.retryAfterMs()));
        } else if (action instanceof LoadBalancer.FailRequest failure) {
            return join(List.of("fail", failure.id()));
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
        throw new IllegalArgumentException("action cannot be recorded: " + action);
    }

    private static String learnedLine(LearnedState learned) {
        List<Object> fields = new ArrayList<>(List.of("state", learned.serverCount(), learned.cluster() != null));
        if (learned.cluster() != null) {
            LearnedState.ClusterStatistics cluster = learned.cluster();
            fields.add(cluster.observedMs());
            for (LearnedState.WeightedSum sum : List.of(
                    cluster.latency(),
                    cluster.idleLatency(),
                    cluster.errors(),
                    cluster.inFlight(),
                    cluster.othersInFlight(),
                    cluster.reportedServiceTime(),
                    cluster.reportedUtilization(),
                    cluster.reportedRate(),
                    cluster.covariance(),
                    cluster.variance(),
                    cluster.arrivals())) {
                add(fields, sum);
            }
            fields.add(cluster.queueingSlope());
            fields.add(cluster.unloadedMs());
        }
        fields.add(learned.classes().size());
        for (LearnedState.ClassStatistics requestClass : learned.classes()) {
            add(fields, requestClass.latency());
            add(fields, requestClass.overall());
            fields.add(requestClass.factor());
        }
        fields.add(learned.servers().size());
        for (LearnedState.ServerStatistics server : learned.servers()) {
            fields.addAll(List.of(server.server(), server.startedMs()));
            add(fields, server.latency());
            add(fields, server.failures());
            add(fields, server.errors());
            add(fields, server.recentErrors());
            fields.addAll(List.of(server.unloadedMs(), server.ejectionLeftMs()));
        }
        return join(fields);
    }

    private static void add(List<Object> fields, LearnedState.WeightedSum sum) {
        fields.add(sum.sum());
        fields.add(sum.weight());
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
        int instance = fields.integer();
        int instances = fields.integer();
        int zone = fields.integer();
        double tickMs = fields.number();
        boolean watchRequired = fields.flag();
        double overQuotaWeight = fields.number();
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
                        instance,
                        instances,
                        zone,
                        tickMs,
                        watchRequired,
                        overQuotaWeight,
                        classes,
                        tenants,
                        limits,
                        rules,
                        loadFields),
                seed);
    }

    private static LoadBalancer.Event readEvent(String kind, Fields fields) {
        return switch (kind) {
            case "list" -> readEndpoints(fields);
            case "discovery-failed" -> new LoadBalancer.DiscoveryFailed();
            case "request" ->
                new LoadBalancer.RequestArrived(
                        fields.text(), fields.integer(), fields.integer(), fields.number(), fields.flag());
            case "end" -> readAttemptEnded(fields);
            case "response" -> new LoadBalancer.ResponseStarted(fields.text(), fields.integer());
            case "client-left" -> new LoadBalancer.ClientDisconnected(fields.text());
            case "timer" -> new LoadBalancer.TimerFired(Long.parseLong(fields.text()));
            case "probe" ->
                new LoadBalancer.ProbeEnded(
                        fields.text(), Outcome.values()[fields.integer()], fields.number(), fields.numbers());
            case "zones" -> {
                double[][] weights = new double[fields.integer()][];
                Arrays.setAll(weights, i -> fields.numbers());
                yield new LoadBalancer.ZoneWeightsUpdated(weights);
            }
            default -> throw new IllegalArgumentException("unknown event: " + kind);
        };
    }

    private static LoadBalancer.Event readEndpoints(Fields fields) {
        boolean complete = fields.flag();
        boolean watchResponse = fields.flag();
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = fields.integer(); i > 0; i--) {
            endpoints.add(new Endpoint(
                    fields.text(),
                    fields.integer(),
                    fields.integer(),
                    EndpointState.values()[fields.integer()],
                    fields.number(),
                    fields.integer()));
        }
        return new LoadBalancer.EndpointsUpdated(complete, watchResponse, endpoints);
    }

    private static LoadBalancer.Event readAttemptEnded(Fields fields) {
        String id = fields.text();
        int attempt = fields.integer();
        String server = fields.text();
        Outcome outcome = Outcome.values()[fields.integer()];
        double latencyMs = fields.number();
        boolean requestCompleted = fields.flag();
        double localDelayMs = fields.number();
        return new LoadBalancer.AttemptEnded(
                id, attempt, server, outcome, latencyMs, requestCompleted, fields.numbers(), localDelayMs);
    }

    private static LearnedState readLearned(Fields fields) {
        fields.text();
        int serverCount = fields.integer();
        LearnedState.ClusterStatistics cluster = fields.flag() ? readCluster(fields) : null;
        List<LearnedState.ClassStatistics> classes = new ArrayList<>();
        for (int i = fields.integer(); i > 0; i--) {
            classes.add(new LearnedState.ClassStatistics(readSum(fields), readSum(fields), fields.number()));
        }
        List<LearnedState.ServerStatistics> servers = new ArrayList<>();
        for (int i = fields.integer(); i > 0; i--) {
            servers.add(new LearnedState.ServerStatistics(
                    fields.text(),
                    fields.number(),
                    readSum(fields),
                    readSum(fields),
                    readSum(fields),
                    readSum(fields),
                    fields.number(),
                    fields.number()));
        }
        return new LearnedState(serverCount, cluster, classes, servers);
    }

    private static LearnedState.ClusterStatistics readCluster(Fields fields) {
        return new LearnedState.ClusterStatistics(
                fields.number(),
                readSum(fields),
                readSum(fields),
                readSum(fields),
                readSum(fields),
                readSum(fields),
                readSum(fields),
                readSum(fields),
                readSum(fields),
                readSum(fields),
                readSum(fields),
                readSum(fields),
                fields.number(),
                fields.number());
    }

    private static LearnedState.WeightedSum readSum(Fields fields) {
        return new LearnedState.WeightedSum(fields.number(), fields.number());
    }
}
