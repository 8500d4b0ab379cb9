package peppergauge.fleet.service;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import peppergauge.fleet.decide.Asked;
import peppergauge.fleet.decide.ForecastAnswer;
import peppergauge.fleet.decide.Planner;
import peppergauge.fleet.disk.KeptFile;
import peppergauge.fleet.disk.KeptState;
import peppergauge.fleet.disk.KeptVersions;
import peppergauge.fleet.http.Reply;
import peppergauge.fleet.http.Server;
import peppergauge.fleet.member.Membership;
import peppergauge.fleet.state.Intake;
import peppergauge.fleet.state.Verdict;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.FleetTable;
import peppergauge.fleet.wire.Gossip;
import peppergauge.fleet.wire.Json;
import peppergauge.fleet.wire.ReportAnswer;
import peppergauge.fleet.wire.TableAnswer;
import peppergauge.log.Log;
import peppergauge.snapshot.storage.FileSystem;

/** One instance, put together. The thread that takes requests judges them and hands in; it never waits for another. */
public final class FleetService implements AutoCloseable {

    private final ServiceSettings settings;
    private final LongSupplier clock;
    private final Merging merging;
    private final Deciding deciding;
    private final Forecasting forecasting;
    private final Publisher publisher;
    private final Keeping keeping;
    private final Gossiping gossiping;
    private final Intake intake;
    private final Counts counts = new Counts();
    /** The merge first. */
    private final List<Duty> duties;

    private final Server server;
    private final KeptFile<KeptState> stateFile;
    /** Set while the intake's thread is in a request. */
    private volatile long intakeSinceNs;

    private volatile long intakeFailures;

    /**
     * Starts it.
     *
     * @param clock Unix time, ms
     * @throws IOException if it cannot listen, or its folder cannot be used
     */
    public FleetService(ServiceSettings settings, Planner planner, FileSystem disk, LongSupplier clock)
            throws IOException, InterruptedException {
        this.settings = settings;
        this.clock = clock;
        long started = clock.getAsLong();
        intake = new Intake(settings.site(), settings.limits());
        stateFile = new KeptFile<>(disk, settings.folder(), settings.name(), "state", KeptState.class);
        merging = new Merging(settings, clock, kept());
        deciding = new Deciding(planner, merging);
        forecasting = new Forecasting(planner, merging);
        keeping = new Keeping(stateFile, merging.kept(), clock);
        Membership membership = new Membership(
                settings.name(),
                started,
                settings.peers().stream().map(ServiceSettings.Peer::name).collect(Collectors.toSet()),
                settings.patience(),
                started);
        publisher = new Publisher(
                settings,
                clock,
                deciding.plans(),
                this::onDuty,
                new KeptFile<>(disk, settings.folder(), settings.name(), "versions", KeptVersions.class));
        gossiping = new Gossiping(settings, clock, merging, publisher, intake, membership, started);
        duties = List.of(
                new Duty("merge", merging::step),
                new Duty("decide", deciding::step),
                new Duty("publish", publisher::step),
                new Duty("gossip", gossiping::step),
                new Duty("keep", keeping::step),
                new Duty("forecast", forecasting::step));
        duties.forEach(Duty::start);
        server = new Server(
                settings.listen(),
                settings.sizes().reportBytes(),
                settings.sizes().connections(),
                this::handle);
        Log.line(
                "fleet",
                settings.name() + " of " + settings.site() + " serves on " + server.address() + " with "
                        + merging.held().daemons() + " daemons known");
    }

    private KeptState kept() {
        return stateFile
                .read(line -> Log.line("fleet", line))
                .filter(state -> {
                    try {
                        return state.reports() != null
                                && state.totals() != null
                                && state.planner() != null
                                && state.tally() != null
                                && state.reports().stream()
                                        .allMatch(report -> intake.mayJoin(report, clock.getAsLong()));
                    } catch (IllegalArgumentException garbage) {
                        Log.line("fleet", "what was kept is not used: " + garbage.getMessage());
                        return false;
                    }
                })
                .orElse(null);
    }

    private boolean onDuty() {
        return gossiping == null || gossiping.onDuty();
    }

    public InetSocketAddress address() {
        return server.address();
    }

    // ---- On the thread that takes requests ----

    private void handle(String method, String path, byte[] body, Consumer<Reply> reply) {
        intakeSinceNs = System.nanoTime() | 1;
        try {
            int query = path.indexOf('?');
            switch (method + " " + (query < 0 ? path : path.substring(0, query))) {
                case "POST /fleet/v1/reports" -> reply.accept(report(body));
                case "GET /fleet/v1/table" -> reply.accept(table(query < 0 ? "known=0" : path.substring(query + 1)));
                case "POST /fleet/v1/gossip" -> gossip(body, reply);
                case "GET /fleet/v1/forecast" -> reply.accept(forecast(query < 0 ? "" : path.substring(query + 1)));
                case "GET /fleet/v1/status" -> reply.accept(Reply.json(200, status()));
                default -> reply.accept(Reply.json(404, Map.of("error", "unknown")));
            }
        } catch (RuntimeException | AssertionError bug) {
            // Each request is judged by itself: the next is, too. Thrown on, it would end the thread unseen.
            intakeFailures++;
            Log.bug(bug instanceof AssertionError ? "invariant" : "fleet", bug);
            reply.accept(Reply.json(500, Map.of("error", "failed")));
        } finally {
            intakeSinceNs = 0;
        }
    }

    private Reply report(byte[] body) {
        Verdict verdict = verdict(body);
        counts.count(verdict);
        Reply reply = Reply.json(
                verdict.status(),
                new ReportAnswer(
                        Counts.word(verdict),
                        settings.reports().intervalMs(merging.expected()),
                        settings.asks().intervalMs(merging.expected())));
        return verdict == Verdict.BUSY ? reply.retryAfter(1) : reply;
    }

    private Verdict verdict(byte[] body) {
        if (body == null) {
            return Verdict.OVERSIZED;
        }
        DaemonReport report;
        try {
            report = Json.read(body, DaemonReport.class);
        } catch (IllegalArgumentException malformed) {
            return Verdict.MALFORMED;
        }
        Verdict verdict = intake.judge(
                report,
                clock.getAsLong(),
                report.daemon() == null ? null : merging.newest(report.daemon()),
                merging.held());
        return verdict == Verdict.TAKEN && !merging.offer(new Merging.Reported(List.of(report), true))
                ? Verdict.BUSY
                : verdict;
    }

    private Reply table(String query) {
        try {
            long known = Long.parseLong(query.replaceFirst("^known=", ""));
            return Reply.json(
                    200,
                    new TableAnswer(publisher.newerThan(known), settings.asks().intervalMs(merging.expected())));
        } catch (NumberFormatException malformed) {
            return Reply.json(400, Map.of("error", "malformed"));
        }
    }

    /** The last that was reckoned: nothing is reckoned on this thread. */
    private Reply forecast(String query) {
        try {
            if (!query.startsWith("change=") || query.indexOf('&') >= 0) {
                throw new IllegalArgumentException("malformed");
            }
            String asked = Asked.read(URLDecoder.decode(query.substring("change=".length()), StandardCharsets.UTF_8))
                    .text();
            ForecastAnswer answer = forecasting.answers().get(asked);
            if (answer == null) {
                return Reply.json(404, Map.of("error", "not-known", "change", asked));
            }
            return Reply.json(200, Map.of("age_ms", clock.getAsLong() - answer.atMs(), "forecast", answer));
        } catch (IllegalArgumentException wrong) {
            // Of the library's own complaint about %-codes nothing is told on.
            return Reply.json(
                    400, Map.of("error", wrong.getMessage().matches("[a-z-]+") ? wrong.getMessage() : "malformed"));
        }
    }

    private void gossip(byte[] body, Consumer<Reply> reply) {
        Gossip asked;
        try {
            asked = Json.read(body == null ? new byte[0] : body, Gossip.class);
        } catch (IllegalArgumentException malformed) {
            reply.accept(Reply.json(400, Map.of("error", "malformed")));
            return;
        }
        String objection = gossiping.objection(asked);
        if (objection != null) {
            reply.accept(Reply.json(409, Map.of("error", objection)));
            return;
        }
        gossiping.heard(asked);
        boolean taken = merging.offer(new Merging.Asked(
                gossiping.since(asked),
                asked.all(),
                changes -> reply.accept(Reply.json(200, gossiping.answer(asked, changes)))));
        if (!taken) {
            reply.accept(Reply.json(503, Map.of("error", "busy")).retryAfter(1));
        }
    }

    // ---- For people ----

    /** Any thread. */
    public Map<String, Object> status() {
        FleetTable table = publisher.newerThan(0);
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("site", settings.site());
        status.put("name", settings.name());
        status.put("members", gossiping.standings());
        status.put("on_duty", gossiping.onDuty());
        status.put("daemons", merging.held().daemons());
        status.put("held_bytes", merging.held().bytes());
        status.put("daemons_live", merging.live());
        status.put("report_ms", settings.reports().intervalMs(merging.expected()));
        status.put("version", publisher.highest());
        status.put(
                "table",
                table == null
                        ? Map.of()
                        : Map.of(
                                "version",
                                table.version(),
                                "issuer",
                                table.issuer(),
                                "age_ms",
                                clock.getAsLong() - table.issuedMs()));
        status.put("planner", deciding.report());
        status.put("duties", duties());
        status.put("reports", counts.report());
        status.put(
                "rings",
                Map.of(
                        "merge_full",
                        merging.refused(),
                        "views_let_go",
                        merging.views().letGo(),
                        "kept_let_go",
                        merging.kept().letGo(),
                        "forecasts_let_go",
                        merging.forecastFrom().letGo(),
                        "told_full",
                        publisher.refused()));
        status.put(
                "failed",
                Map.of(
                        "gossip",
                        gossiping.failures(),
                        "keep",
                        keeping.failed(),
                        "versions",
                        publisher.unwritten(),
                        "unbelieved",
                        publisher.unbelieved()));
        return status;
    }

    private Map<String, String> duties() {
        Map<String, String> states = new LinkedHashMap<>();
        long since = intakeSinceNs;
        states.put(
                "intake",
                since != 0
                                && (System.nanoTime() - since) / 1_000_000
                                        > settings.times().stallMs()
                        ? "stalled"
                        : intakeFailures > 0 ? "failed " + intakeFailures + " times" : "fine");
        duties.forEach(
                duty -> states.put(duty.name(), duty.state(settings.times().stallMs())));
        return states;
    }

    /** Ends in order: the others are told, and what was merged is on disk. */
    @Override
    public void close() {
        server.close();
        duties.forEach(Duty::close);
        gossiping.leave();
        if (!duties.get(0).ended()) {
            keeping.write(merging.lastAccount());
        }
        try {
            stateFile.close();
            publisher.close();
        } catch (IOException left) {
            Log.line("fleet", "a lock was not let go: " + left.getMessage());
        }
    }

    /** Ends as a crash would: nobody is told and nothing is written. For tests. */
    void crash() throws IOException {
        server.close();
        duties.forEach(Duty::close);
        stateFile.close();
        publisher.close();
    }
}
