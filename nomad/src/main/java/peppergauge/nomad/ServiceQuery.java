package peppergauge.nomad;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import peppergauge.log.Log;
import peppergauge.nomad.api.AgentRotation;
import peppergauge.nomad.api.ApiCall;
import peppergauge.nomad.api.ApiClient;
import peppergauge.nomad.api.BackgroundExecutor;
import peppergauge.nomad.api.Backoff;
import peppergauge.nomad.api.BoundedJsonReader;
import peppergauge.nomad.api.ResponseCollector;
import peppergauge.nomad.api.ResponseHead;
import peppergauge.nomad.api.TokenFile;
import peppergauge.nomad.model.Registration;
import peppergauge.request.Clock;
import peppergauge.request.Scheduler;

/**
 * Polls the service's list ({@code GET /v1/service/:name}) with blocking queries, one at a time (Nomad API, Services
 * and "Blocking Queries"). Confined to the event loop's thread.
 */
final class ServiceQuery {

    /** Nomad extends a blocking wait by up to a sixteenth. */
    private static final double BLOCKING_WAIT_FACTOR = 17.0 / 16;

    /** Interval of queries while a list awaits confirmation. */
    private static final double CONFIRMATION_INTERVAL_MS = 1_000;

    /** Receives the results of the queries. */
    interface Listener {

        /**
         * A list was received.
         *
         * @param authoritative whether the responding server is in contact with its leader
         * @return the index for the next blocking query; 0 for a query that does not block
         */
        long onList(long index, boolean authoritative, List<Registration> list);

        /** A query failed; the next agent is called after a delay. */
        void onLost(String error);

        /** Returns whether a list awaits confirmation: it is requested again soon. */
        boolean isConfirmationPending();

        /** Returns whether changes are also reported by the stream. */
        boolean isStreamAlive();
    }

    private final NomadSettings settings;
    private final ApiClient http;
    private final BackgroundExecutor background;
    private final BoundedJsonReader json;
    private final TokenFile token;
    private final Scheduler loop;
    private final Clock clock;
    private final RandomGenerator random;
    private final Listener listener;
    private final AgentRotation agents;
    private final Backoff backoff;
    private Scheduler.ScheduledTask next;
    private ApiCall call;
    private boolean isParsing;
    private boolean isClosed;
    private long index;
    private double lastResponseMs = Double.NEGATIVE_INFINITY;
    /** Whether the next query is for the leader, since the last server was too far behind. */
    private boolean useLeader;

    ServiceQuery(
            NomadSettings settings,
            ApiClient http,
            BackgroundExecutor background,
            BoundedJsonReader json,
            TokenFile token,
            Scheduler loop,
            Clock clock,
            RandomGenerator random,
            Listener listener) {
        this.settings = settings;
        this.http = http;
        this.background = background;
        this.json = json;
        this.token = token;
        this.loop = loop;
        this.clock = clock;
        this.random = random;
        this.listener = listener;
        agents = new AgentRotation(settings.agents());
        backoff = new Backoff(settings.initialBackoffMs(), settings.maxBackoffMs(), random);
    }

    void start(double afterMs) {
        next = loop.schedule(afterMs, this::sendQuery);
    }

    void close() {
        isClosed = true;
        if (next != null) {
            next.cancel();
        }
        if (call != null) {
            call.abandon();
        }
    }

    /** Sends a scheduled query as soon as allowed, since the stream was lost. */
    void expedite() {
        if (!isClosed && next != null && call == null && !isParsing && backoff.failures() == 0) {
            next.cancel();
            next = loop.schedule(
                    Math.max(0, settings.minIntervalMs() - (clock.nowMs() - lastResponseMs)), this::sendQuery);
        }
    }

    private void sendQuery() {
        if (isClosed || call != null || isParsing) {
            return;
        }
        boolean isBlocking = index > 0;
        double timeoutMs =
                settings.responseTimeoutMs() + (isBlocking ? settings.blockingWaitMs() * BLOCKING_WAIT_FACTOR : 0);
        call = http.get(
                agents.current(),
                target(isBlocking),
                timeoutMs,
                timeoutMs,
                new ResponseCollector(settings.limits().maxBytes()) {
                    @Override
                    protected void onSuccess(ResponseHead head, byte[] body) {
                        call = null;
                        parse(head, body);
                    }

                    @Override
                    protected void onErrorStatus(ResponseHead head) {
                        call = null;
                        ServiceQuery.this.handleErrorStatus(head);
                    }

                    @Override
                    protected void onNoResponse(String error) {
                        call = null;
                        ServiceQuery.this.retryAfterFailure(error, 0);
                    }
                });
    }

    private String target(boolean isBlocking) {
        StringBuilder target = new StringBuilder("/v1/service/")
                .append(urlEncode(settings.service()))
                .append('?');
        if (!settings.namespace().isEmpty()) {
            target.append("namespace=").append(urlEncode(settings.namespace())).append('&');
        }
        if (!settings.filter().isEmpty()) {
            target.append("filter=").append(urlEncode(settings.filter())).append('&');
        }
        if (isBlocking) {
            target.append("index=")
                    .append(index)
                    .append("&wait=")
                    .append((long) settings.blockingWaitMs())
                    .append("ms&");
        }
        if (settings.allowStale() && !useLeader) {
            target.append("stale=&");
        }
        return target.substring(0, target.length() - 1);
    }

    static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private void handleErrorStatus(ResponseHead head) {
        if (head.status() == 403) {
            token.reload(changed -> {
                if (changed) {
                    next = loop.schedule(settings.minIntervalMs(), this::sendQuery);
                } else {
                    retryAfterFailure("Nomad refuses the token (403)", 0);
                }
            });
        } else {
            retryAfterFailure("Nomad responded with status " + head.status(), head.retryAfterMs());
        }
    }

    private void retryAfterFailure(String error, double minDelayMs) {
        if (isClosed) {
            return;
        }
        double delayMs = Math.max(minDelayMs, backoff.nextDelayMs());
        Log.event("nomad_list_failed", "agent", agents.current(), "retry_in_ms", (long) delayMs, "error", error);
        agents.rotate();
        // The index of another agent's server may differ.
        index = 0;
        next = loop.schedule(delayMs, this::sendQuery);
        listener.onLost(error);
    }

    private void parse(ResponseHead head, byte[] body) {
        isParsing = true;
        background.submit(
                () -> registrations(json.read(body, false)),
                list -> {
                    isParsing = false;
                    processList(head, list, body.length);
                },
                error -> {
                    isParsing = false;
                    retryAfterFailure("invalid response: " + error, 0);
                });
    }

    /** An invalid registration is logged and left out. */
    private static List<Registration> registrations(Object response) {
        if (!(response instanceof List<?> list)) {
            throw new IllegalArgumentException("not a list");
        }
        List<Registration> all = new ArrayList<>(list.size());
        for (Object each : list) {
            try {
                all.add(Registration.of(each));
            } catch (IllegalArgumentException unusable) {
                Log.event("nomad_registration_ignored", "error", unusable.getMessage());
            }
        }
        return all;
    }

    private void processList(ResponseHead head, List<Registration> list, int bytes) {
        if (isClosed) {
            return;
        }
        backoff.reset();
        lastResponseMs = clock.nowMs();
        boolean authoritative = head.knownLeader() && head.lastContactMs() <= settings.maxStalenessMs();
        useLeader = !authoritative && !useLeader;
        index = listener.onList(head.index(), authoritative, list);
        double intervalMs = settings.minIntervalMs();
        if (listener.isConfirmationPending() || !authoritative) {
            // A different agent confirms more than the same one does.
            agents.rotate();
            index = 0;
            intervalMs = Math.max(intervalMs, CONFIRMATION_INTERVAL_MS);
        } else if (listener.isStreamAlive()) {
            intervalMs = Math.max(intervalMs, 1e3 * bytes / settings.listBytesPerSecond());
        }
        next = loop.schedule(intervalMs * (0.9 + 0.2 * random.nextDouble()), this::sendQuery);
    }
}
