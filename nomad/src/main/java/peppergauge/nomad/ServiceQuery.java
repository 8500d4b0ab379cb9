package peppergauge.nomad;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.apache.hc.core5.http.HttpStatus;
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
 * Polls the list of a service's registrations ({@code GET /v1/service/:name}; Nomad API, Services and "Blocking
 * Queries") with blocking queries, one at a time. Confined to the event loop's thread.
 */
final class ServiceQuery {

    /** Nomad extends the wait of a blocking query by up to a sixteenth. */
    private static final double BLOCKING_WAIT_FACTOR = 17.0 / 16;

    /** Least interval between queries while a list awaits confirmation. */
    private static final double CONFIRMATION_INTERVAL_MS = 1_000;

    /** Share by which the interval between queries varies randomly. */
    private static final double INTERVAL_JITTER = 0.1;

    /** Receives the results of the queries. */
    interface Listener {

        /**
         * A list was received.
         *
         * @param authoritative whether the responding server was in contact with the leader recently
         * @return the index for the next blocking query; 0 for a query that does not block
         */
        long onList(long index, boolean authoritative, List<Registration> list);

        /** A query failed; the next agent is called after a delay. */
        void onLost(String error);

        /** Returns whether a list awaits confirmation, so that it should be requested again soon. */
        boolean isConfirmationPending();

        /** Returns whether the event stream reports changes as well. */
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
    private Scheduler.ScheduledTask scheduledQuery;
    private ApiCall currentCall;
    private boolean isParsing;
    private boolean isClosed;
    private long index;
    private double lastResponseMs = Double.NEGATIVE_INFINITY;
    /** Whether the next query must be answered by the leader, because the last list was not authoritative. */
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
        scheduledQuery = loop.schedule(afterMs, this::sendQuery);
    }

    void close() {
        isClosed = true;
        if (scheduledQuery != null) {
            scheduledQuery.cancel();
        }
        if (currentCall != null) {
            currentCall.abandon();
        }
    }

    /** Sends the next query as soon as the least interval allows; for a stream that was lost. */
    void expedite() {
        if (!isClosed && scheduledQuery != null && currentCall == null && !isParsing && backoff.failures() == 0) {
            scheduledQuery.cancel();
            scheduledQuery = loop.schedule(
                    Math.max(0, settings.minIntervalMs() - (clock.nowMs() - lastResponseMs)), this::sendQuery);
        }
    }

    private void sendQuery() {
        if (isClosed || currentCall != null || isParsing) {
            return;
        }
        boolean isBlocking = index > 0;
        double timeoutMs =
                settings.responseTimeoutMs() + (isBlocking ? settings.blockingWaitMs() * BLOCKING_WAIT_FACTOR : 0);
        currentCall = http.get(
                agents.current(),
                target(isBlocking),
                timeoutMs,
                timeoutMs,
                new ResponseCollector(settings.limits().maxBytes()) {
                    @Override
                    protected void onSuccess(ResponseHead head, byte[] body) {
                        currentCall = null;
                        parse(head, body);
                    }

                    @Override
                    protected void onErrorStatus(ResponseHead head) {
                        currentCall = null;
                        ServiceQuery.this.handleErrorStatus(head);
                    }

                    @Override
                    protected void onNoResponse(String error) {
                        currentCall = null;
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
        if (head.status() == HttpStatus.SC_FORBIDDEN) {
            token.reload(changed -> {
                if (changed) {
                    scheduledQuery = loop.schedule(settings.minIntervalMs(), this::sendQuery);
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
        // The server behind another agent may have a different index.
        index = 0;
        scheduledQuery = loop.schedule(delayMs, this::sendQuery);
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

    /** Reads the registrations of a list; an invalid one is logged and skipped. */
    private static List<Registration> registrations(Object response) {
        if (!(response instanceof List<?> list)) {
            throw new IllegalArgumentException("expected a JSON array of registrations");
        }
        List<Registration> all = new ArrayList<>(list.size());
        for (Object each : list) {
            try {
                all.add(Registration.of(each));
            } catch (IllegalArgumentException invalid) {
                Log.event("nomad_registration_ignored", "error", invalid.getMessage());
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
            // Another agent is called, because its confirmation is independent of the first agent's.
            agents.rotate();
            index = 0;
            intervalMs = Math.max(intervalMs, CONFIRMATION_INTERVAL_MS);
        } else if (listener.isStreamAlive()) {
            intervalMs = Math.max(intervalMs, 1e3 * bytes / settings.listBytesPerSecond());
        }
        double jitter = 1 - INTERVAL_JITTER + 2 * INTERVAL_JITTER * random.nextDouble();
        scheduledQuery = loop.schedule(intervalMs * jitter, this::sendQuery);
    }
}
