package peppergauge.nomad;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import peppergauge.log.Log;
import peppergauge.nomad.wire.Agents;
import peppergauge.nomad.wire.Backoff;
import peppergauge.nomad.wire.Call;
import peppergauge.nomad.wire.Head;
import peppergauge.nomad.wire.Http;
import peppergauge.nomad.wire.Json;
import peppergauge.nomad.wire.Lines;
import peppergauge.nomad.wire.Sink;
import peppergauge.nomad.wire.Work;
import peppergauge.request.Scheduler;

/**
 * {@code GET /v1/event/stream} (Nomad API, Events): one connection, lines of JSON, a heartbeat {@code {}} every 10 s;
 * asked for again from the last index when it ends. All on the loop.
 */
final class EventStream {

    /** A stream that is not allowed is asked for again this seldom, ms. */
    private static final double REFUSED_MS = 60_000;

    private static final int MOST_JOBS = 16;

    /** What the stream tells. */
    interface Listener {

        /** One event: its topic, type, key and payload as Nomad names them. */
        void event(long index, String topic, String type, String key, Map<?, ?> payload);

        void lives();

        void lost();
    }

    private final NomadSettings settings;
    private final Http http;
    private final Work work;
    private final Json json;
    private final Scheduler loop;
    private final Listener listener;
    private final Agents agents;
    private final Backoff backoff;
    private Call out;
    private Scheduler.ScheduledTask next;
    private Set<String> jobs = Set.of();
    private long index;
    private boolean started;
    private boolean closed;
    private boolean lives;

    EventStream(
            NomadSettings settings,
            Http http,
            Work work,
            Json json,
            Scheduler loop,
            RandomGenerator random,
            Listener listener) {
        this.settings = settings;
        this.http = http;
        this.work = work;
        this.json = json;
        this.loop = loop;
        this.listener = listener;
        agents = new Agents(settings.agents());
        backoff = new Backoff(settings.firstBackoffMs(), settings.longestBackoffMs(), random);
    }

    boolean lives() {
        return lives;
    }

    /** Allocations of these jobs matter from now on; opens the stream, anew if it does not tell of one of them. */
    void watch(long from, Set<String> wanted) {
        if (closed || started && jobs.containsAll(wanted)) {
            return;
        }
        Set<String> all = new TreeSet<>(jobs);
        all.addAll(wanted);
        jobs = all;
        index = Math.max(index, from);
        started = true;
        if (out != null) {
            out.drop();
            out = null;
        }
        if (next != null) {
            next.cancel();
        }
        open();
    }

    /** Nomad told otherwise what the stream should have: it is opened anew. */
    void mute() {
        if (out != null) {
            out.close("it does not tell what the list does");
        }
    }

    void close() {
        closed = true;
        if (next != null) {
            next.cancel();
        }
        if (out != null) {
            out.drop();
        }
    }

    private void open() {
        if (closed) {
            return;
        }
        StringBuilder target = new StringBuilder("/v1/event/stream?index=")
                .append(index)
                .append("&topic=Node")
                .append("&topic=Service:")
                .append(ServiceQuery.escaped(settings.service()));
        if (jobs.size() > MOST_JOBS) {
            target.append("&topic=Allocation");
        } else {
            jobs.forEach(job -> target.append("&topic=Allocation:").append(ServiceQuery.escaped(job)));
        }
        if (!settings.namespace().isEmpty()) {
            target.append("&namespace=").append(ServiceQuery.escaped(settings.namespace()));
        }
        Reader reader = new Reader();
        reader.call =
                http.get(agents.present(), target.toString(), settings.silenceMs(), Double.POSITIVE_INFINITY, reader);
        out = reader.call;
    }

    private void end(Call ended, String why, double waitMs) {
        if (closed || out != ended) {
            return;
        }
        out = null;
        ended.drop();
        boolean lived = lives;
        lives = false;
        Log.line("nomad", "no events from " + agents.present() + ", asking again in " + (long) waitMs + " ms: " + why);
        agents.next();
        next = loop.schedule(waitMs, this::open);
        if (lived) {
            listener.lost();
        }
    }

    /** Reads one connection's lines; those of one that has ended change nothing. */
    private final class Reader implements Sink {

        private Call call;
        private Head head;
        private final Lines lines = new Lines(settings.bounds().bytes(), this::line);

        @Override
        public void head(Head told) throws IOException {
            head = told;
            if (told.status() != 200) {
                throw new IOException("Nomad answered " + told.status());
            }
            lives = true;
            listener.lives();
        }

        @Override
        public void part(ByteBuffer part) throws IOException {
            lines.part(part);
        }

        private void line(byte[] line) {
            work.run(() -> json.read(line, false), this::took, why -> {
                // The index stays: what the line held is told again.
                end(call, "a line is unusable: " + why, backoff.failed());
            });
        }

        private void took(Object line) {
            if (out != call || !(line instanceof Map<?, ?> object)) {
                return;
            }
            backoff.worked();
            listener.lives();
            if (object.get("Index") instanceof Number at && object.get("Events") instanceof List<?> events) {
                for (Object each : events) {
                    if (each instanceof Map<?, ?> event && event.get("Payload") instanceof Map<?, ?> payload) {
                        listener.event(
                                at.longValue(),
                                String.valueOf(event.get("Topic")),
                                String.valueOf(event.get("Type")),
                                String.valueOf(event.get("Key")),
                                payload);
                    }
                }
                index = at.longValue();
            }
        }

        @Override
        public void ended() {
            end(call, "Nomad ended it", backoff.failed());
        }

        @Override
        public void failed(String why) {
            boolean refused = head != null && head.status() >= 400 && head.status() < 500 && head.status() != 429;
            end(call, why, refused ? REFUSED_MS : Math.max(backoff.failed(), head == null ? 0 : head.retryAfterMs()));
        }
    }
}
