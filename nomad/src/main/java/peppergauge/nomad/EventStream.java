package peppergauge.nomad;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.apache.hc.core5.http.HttpStatus;
import peppergauge.log.Log;
import peppergauge.nomad.api.AgentRotation;
import peppergauge.nomad.api.ApiCall;
import peppergauge.nomad.api.ApiClient;
import peppergauge.nomad.api.BackgroundExecutor;
import peppergauge.nomad.api.Backoff;
import peppergauge.nomad.api.BoundedJsonReader;
import peppergauge.nomad.api.LineSplitter;
import peppergauge.nomad.api.ResponseHandler;
import peppergauge.nomad.api.ResponseHead;
import peppergauge.request.Scheduler;

/**
 * Reads Nomad's event stream ({@code GET /v1/event/stream}; Nomad API, Events): lines of JSON on one connection, with a
 * heartbeat <code>{}</code> every 10 s. After a failure it resumes from the last index. Confined to the event loop's
 * thread.
 */
final class EventStream {

    /** Delay after a client error, such as a missing permission. */
    private static final double CLIENT_ERROR_RETRY_MS = 60_000;

    /** Number of jobs above which the events of all allocations are requested, rather than those of each job. */
    private static final int MAX_JOB_TOPICS = 16;

    /** Receives the events of the stream. */
    interface Listener {

        /** An event was received; topic, type, key and payload are named as by Nomad. */
        void onEvent(long index, String topic, String type, String key, Map<?, ?> payload);

        /** The stream responded or sent a line. */
        void onAlive();

        /** The stream ended after it had responded; it is opened again. */
        void onLost();
    }

    private final NomadSettings settings;
    private final ApiClient http;
    private final BackgroundExecutor background;
    private final BoundedJsonReader json;
    private final Scheduler loop;
    private final Listener listener;
    private final AgentRotation agents;
    private final Backoff backoff;
    private ApiCall openCall;
    private Scheduler.ScheduledTask scheduledOpen;
    private Set<String> jobs = Set.of();
    private long index;
    private boolean isStarted;
    private boolean isClosed;
    private boolean isAlive;

    EventStream(
            NomadSettings settings,
            ApiClient http,
            BackgroundExecutor background,
            BoundedJsonReader json,
            Scheduler loop,
            RandomGenerator random,
            Listener listener) {
        this.settings = settings;
        this.http = http;
        this.background = background;
        this.json = json;
        this.loop = loop;
        this.listener = listener;
        agents = new AgentRotation(settings.agents());
        backoff = new Backoff(settings.initialBackoffMs(), settings.maxBackoffMs(), random);
    }

    /** Returns whether the stream is open and has responded. */
    boolean isAlive() {
        return isAlive;
    }

    /** Opens the stream for the allocations of these jobs, or opens it again if a job is new. */
    void watchJobs(long fromIndex, Set<String> requested) {
        if (isClosed || isStarted && jobs.containsAll(requested)) {
            return;
        }
        Set<String> all = new TreeSet<>(jobs);
        all.addAll(requested);
        jobs = all;
        index = Math.max(index, fromIndex);
        isStarted = true;
        if (openCall != null) {
            openCall.abandon();
            openCall = null;
        }
        if (scheduledOpen != null) {
            scheduledOpen.cancel();
        }
        open();
    }

    /** Opens the stream again after a backoff; for a stream that lacks events. */
    void reopen() {
        if (openCall != null) {
            openCall.abort("it lacks changes that the list has");
        }
    }

    void close() {
        isClosed = true;
        if (scheduledOpen != null) {
            scheduledOpen.cancel();
        }
        if (openCall != null) {
            openCall.abandon();
        }
    }

    private void open() {
        if (isClosed) {
            return;
        }
        Reader reader = new Reader();
        reader.call =
                http.get(agents.current(), target(), settings.streamIdleTimeoutMs(), Double.POSITIVE_INFINITY, reader);
        openCall = reader.call;
    }

    private String target() {
        StringBuilder target = new StringBuilder("/v1/event/stream?index=")
                .append(index)
                .append("&topic=Node")
                .append("&topic=Service:")
                .append(ServiceQuery.urlEncode(settings.service()));
        if (jobs.size() > MAX_JOB_TOPICS) {
            target.append("&topic=Allocation");
        } else {
            jobs.forEach(job -> target.append("&topic=Allocation:").append(ServiceQuery.urlEncode(job)));
        }
        if (!settings.namespace().isEmpty()) {
            target.append("&namespace=").append(ServiceQuery.urlEncode(settings.namespace()));
        }
        return target.toString();
    }

    private void end(ApiCall ended, String error, double delayMs) {
        if (isClosed || openCall != ended) {
            return;
        }
        openCall = null;
        ended.abandon();
        boolean wasAlive = isAlive;
        isAlive = false;
        Log.event("nomad_stream_lost", "agent", agents.current(), "retry_in_ms", (long) delayMs, "error", error);
        agents.rotate();
        scheduledOpen = loop.schedule(delayMs, this::open);
        if (wasAlive) {
            listener.onLost();
        }
    }

    /** Reads the lines of one connection; lines of a connection that was replaced are ignored. */
    private final class Reader implements ResponseHandler {

        private ApiCall call;
        private ResponseHead head;
        private final LineSplitter splitter = new LineSplitter(settings.limits().maxBytes(), this::onLine);

        @Override
        public void onHead(ResponseHead received) throws IOException {
            head = received;
            if (received.status() != HttpStatus.SC_OK) {
                throw new IOException("Nomad responded with status " + received.status());
            }
            isAlive = true;
            listener.onAlive();
        }

        @Override
        public void onBody(ByteBuffer part) throws IOException {
            splitter.write(part);
        }

        private void onLine(byte[] line) {
            background.submit(() -> json.read(line, false), this::onObject, error -> {
                // The index is not advanced, so that the events of this line are sent again.
                end(call, "invalid line: " + error, backoff.nextDelayMs());
            });
        }

        private void onObject(Object line) {
            if (openCall != call || !(line instanceof Map<?, ?> object)) {
                return;
            }
            backoff.reset();
            listener.onAlive();
            if (object.get("Index") instanceof Number lineIndex && object.get("Events") instanceof List<?> events) {
                for (Object each : events) {
                    if (each instanceof Map<?, ?> event && event.get("Payload") instanceof Map<?, ?> payload) {
                        listener.onEvent(
                                lineIndex.longValue(),
                                String.valueOf(event.get("Topic")),
                                String.valueOf(event.get("Type")),
                                String.valueOf(event.get("Key")),
                                payload);
                    }
                }
                index = lineIndex.longValue();
            }
        }

        @Override
        public void onComplete() {
            end(call, "Nomad ended the stream", backoff.nextDelayMs());
        }

        @Override
        public void onFailure(String error) {
            boolean isClientError = head != null
                    && head.status() >= HttpStatus.SC_CLIENT_ERROR
                    && head.status() < HttpStatus.SC_SERVER_ERROR
                    && head.status() != HttpStatus.SC_TOO_MANY_REQUESTS;
            end(
                    call,
                    error,
                    isClientError
                            ? CLIENT_ERROR_RETRY_MS
                            : Math.max(backoff.nextDelayMs(), head == null ? 0 : head.retryAfterMs()));
        }
    }
}
