package peppergauge.fleet.service;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import peppergauge.fleet.http.HttpReply;
import peppergauge.fleet.http.HttpServer;
import peppergauge.fleet.planner.ChangeQuery;
import peppergauge.fleet.planner.ForecastAnswer;
import peppergauge.fleet.state.ReportValidator;
import peppergauge.fleet.state.ReportVerdict;
import peppergauge.fleet.wire.DaemonReport;
import peppergauge.fleet.wire.GossipRequest;
import peppergauge.fleet.wire.JsonCodec;
import peppergauge.fleet.wire.ReportResponse;
import peppergauge.fleet.wire.TableResponse;
import peppergauge.log.Log;

/**
 * The HTTP endpoints of an instance. Requests are handled on the server's thread, which validates them, sends messages
 * to the workers and never blocks.
 */
final class FleetEndpoint implements HttpServer.Handler {

    private static final int RETRY_AFTER_S = 1;
    private static final String CHANGE_PARAMETER = "change=";

    private final FleetServiceConfig settings;
    private final LongSupplier clock;
    private final ReportValidator validator;
    private final MergeWorker merging;
    private final TablePublisher publisher;
    private final GossipWorker gossip;
    private final ForecastWorker forecasts;
    private final Supplier<Map<String, Object>> status;
    private final ReportCounters counters = new ReportCounters();
    /** Start time of the request that is being handled, 0 while idle. */
    private volatile long busySinceNanos;

    private volatile long failures;

    /** @param status builds the status page */
    FleetEndpoint(
            FleetServiceConfig settings,
            LongSupplier clock,
            ReportValidator validator,
            MergeWorker merging,
            TablePublisher publisher,
            GossipWorker gossip,
            ForecastWorker forecasts,
            Supplier<Map<String, Object>> status) {
        this.settings = settings;
        this.clock = clock;
        this.validator = validator;
        this.merging = merging;
        this.publisher = publisher;
        this.gossip = gossip;
        this.forecasts = forecasts;
        this.status = status;
    }

    @Override
    public void handle(String method, String path, byte[] body, Consumer<HttpReply> reply) {
        busySinceNanos = System.nanoTime() | 1;
        try {
            int query = path.indexOf('?');
            switch (method + " " + (query < 0 ? path : path.substring(0, query))) {
                case "POST /fleet/v1/reports" -> reply.accept(report(body));
                case "GET /fleet/v1/table" -> reply.accept(table(query < 0 ? "known=0" : path.substring(query + 1)));
                case "POST /fleet/v1/gossip" -> gossip(body, reply);
                case "GET /fleet/v1/forecast" -> reply.accept(forecast(query < 0 ? "" : path.substring(query + 1)));
                case "GET /fleet/v1/status" -> reply.accept(HttpReply.json(200, status.get()));
                default -> reply.accept(error(404, "unknown"));
            }
        } catch (RuntimeException unexpected) {
            Log.error("fleet_request_failed", unexpected);
            replyFailed(reply);
        } catch (AssertionError broken) {
            Log.bug("invariant", broken);
            replyFailed(reply);
        } finally {
            busySinceNanos = 0;
        }
    }

    /** Replies to the request that failed; an exception that is passed on would end the server's thread. */
    private void replyFailed(Consumer<HttpReply> reply) {
        failures++;
        reply.accept(error(500, "failed"));
    }

    private static HttpReply error(int status, String error) {
        return HttpReply.json(status, Map.of("error", error));
    }

    private HttpReply report(byte[] body) {
        ReportVerdict verdict = accept(body);
        counters.increment(verdict);
        HttpReply reply = HttpReply.json(
                verdict.status(),
                new ReportResponse(
                        ReportCounters.textOf(verdict),
                        settings.reportRate().intervalMs(merging.expectedDaemons()),
                        settings.pollRate().intervalMs(merging.expectedDaemons())));
        return verdict == ReportVerdict.BUSY ? reply.withRetryAfter(RETRY_AFTER_S) : reply;
    }

    private ReportVerdict accept(byte[] body) {
        if (body == null) {
            return ReportVerdict.OVERSIZED;
        }
        DaemonReport report;
        try {
            report = JsonCodec.read(body, DaemonReport.class);
        } catch (IllegalArgumentException malformed) {
            return ReportVerdict.MALFORMED;
        }
        ReportVerdict verdict = validator.validate(
                report,
                clock.getAsLong(),
                report.daemon() == null ? null : merging.newest(report.daemon()),
                merging.storeSize());
        boolean full = verdict == ReportVerdict.TAKEN
                && !merging.offer(new MergeWorker.ReportsReceived(List.of(report), true));
        return full ? ReportVerdict.BUSY : verdict;
    }

    private HttpReply table(String query) {
        try {
            long known = Long.parseLong(query.replaceFirst("^known=", ""));
            return HttpReply.json(
                    200,
                    new TableResponse(
                            publisher.newerThan(known), settings.pollRate().intervalMs(merging.expectedDaemons())));
        } catch (NumberFormatException malformed) {
            return error(400, "malformed");
        }
    }

    /** Returns a reply with the latest forecast, which another thread has computed. */
    private HttpReply forecast(String query) {
        try {
            if (!query.startsWith(CHANGE_PARAMETER) || query.indexOf('&') >= 0) {
                throw new IllegalArgumentException("malformed");
            }
            String change = ChangeQuery.parse(
                            URLDecoder.decode(query.substring(CHANGE_PARAMETER.length()), StandardCharsets.UTF_8))
                    .text();
            ForecastAnswer answer = forecasts.answers().get(change);
            if (answer == null) {
                return HttpReply.json(404, Map.of("error", "not-known", "change", change));
            }
            return HttpReply.json(200, Map.of("age_ms", clock.getAsLong() - answer.atMs(), "forecast", answer));
        } catch (IllegalArgumentException malformed) {
            // Error names consist of these characters; messages of the URL decoder are not sent.
            return error(400, malformed.getMessage().matches("[a-z-]+") ? malformed.getMessage() : "malformed");
        }
    }

    private void gossip(byte[] body, Consumer<HttpReply> reply) {
        GossipRequest request;
        try {
            request = JsonCodec.read(body == null ? new byte[0] : body, GossipRequest.class);
        } catch (IllegalArgumentException malformed) {
            reply.accept(error(400, "malformed"));
            return;
        }
        GossipWorker.Rejection rejection = gossip.rejectionOf(request);
        if (rejection != null) {
            reply.accept(error(409, rejection.text()));
            return;
        }
        gossip.onRequest(request);
        boolean accepted = merging.offer(new MergeWorker.ChangesRequested(
                gossip.positionOf(request),
                request.includeRelayed(),
                changes -> reply.accept(HttpReply.json(200, gossip.respond(changes)))));
        if (!accepted) {
            reply.accept(error(503, "busy").withRetryAfter(RETRY_AFTER_S));
        }
    }

    /** Returns the counts of reports by verdict. Any thread. */
    Map<String, Long> reportCounts() {
        return counters.snapshot();
    }

    /** Returns the state for the status page, in the form of {@link PeriodicWorker#describeState}. Any thread. */
    String describeState(long stallTimeoutMs) {
        long since = busySinceNanos;
        if (since != 0 && TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since) > stallTimeoutMs) {
            return "stalled";
        }
        return failures > 0 ? "failed " + failures + " times" : "fine";
    }
}
