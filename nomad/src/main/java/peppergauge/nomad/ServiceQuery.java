package peppergauge.nomad;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import peppergauge.log.Log;
import peppergauge.nomad.picture.Registration;
import peppergauge.nomad.wire.Agents;
import peppergauge.nomad.wire.Backoff;
import peppergauge.nomad.wire.Body;
import peppergauge.nomad.wire.Call;
import peppergauge.nomad.wire.Head;
import peppergauge.nomad.wire.Http;
import peppergauge.nomad.wire.Json;
import peppergauge.nomad.wire.TokenFile;
import peppergauge.nomad.wire.Work;
import peppergauge.request.Clock;
import peppergauge.request.Scheduler;

/**
 * {@code GET /v1/service/:name} as blocking queries, one after the other, never two at once (Nomad API, Services and
 * "Blocking Queries"). All on the loop.
 */
final class ServiceQuery {

    /** Nomad itself adds up to a sixteenth to a wait. */
    private static final double ADDED = 17.0 / 16;

    /** What became of a query. */
    interface Listener {

        /**
         * A list.
         *
         * @param firm whether the answering server is sure of it
         * @return the index to ask after; 0 to ask for everything at once
         */
        long listed(long index, boolean firm, List<Registration> list);

        /** No list; the next agent is asked after a wait. */
        void lost(String why);

        /** Whether a list should be told again soon, by whichever agent. */
        boolean confirms();

        /** Whether changes are also told by the stream. */
        boolean streams();
    }

    private final NomadSettings settings;
    private final Http http;
    private final Work work;
    private final Json json;
    private final TokenFile token;
    private final Scheduler loop;
    private final Clock clock;
    private final RandomGenerator random;
    private final Listener listener;
    private final Agents agents;
    private final Backoff backoff;
    private Scheduler.ScheduledTask next;
    private Call out;
    private boolean parsing;
    private boolean closed;
    private long index;
    private double answeredMs = Double.NEGATIVE_INFINITY;
    /** The leader is asked in place of any server, once one was too far behind. */
    private boolean fresh;

    ServiceQuery(
            NomadSettings settings,
            Http http,
            Work work,
            Json json,
            TokenFile token,
            Scheduler loop,
            Clock clock,
            RandomGenerator random,
            Listener listener) {
        this.settings = settings;
        this.http = http;
        this.work = work;
        this.json = json;
        this.token = token;
        this.loop = loop;
        this.clock = clock;
        this.random = random;
        this.listener = listener;
        agents = new Agents(settings.agents());
        backoff = new Backoff(settings.firstBackoffMs(), settings.longestBackoffMs(), random);
    }

    void start(double afterMs) {
        next = loop.schedule(afterMs, this::ask);
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

    /** The stream no longer tells: a query that waits for its turn need not wait any more. */
    void hurry() {
        if (!closed && next != null && out == null && !parsing && backoff.failures() == 0) {
            next.cancel();
            next = loop.schedule(Math.max(0, settings.leastGapMs() - (clock.nowMs() - answeredMs)), this::ask);
        }
    }

    private void ask() {
        if (closed || out != null || parsing) {
            return;
        }
        boolean blocks = index > 0;
        double wholeMs = settings.answerMs() + (blocks ? settings.waitMs() * ADDED : 0);
        out = http.get(
                agents.present(),
                target(blocks),
                wholeMs,
                wholeMs,
                new Body(settings.bounds().bytes()) {
                    @Override
                    protected void answered(Head head, byte[] body) {
                        out = null;
                        parse(head, body);
                    }

                    @Override
                    protected void refused(Head head) {
                        out = null;
                        ServiceQuery.this.refused(head);
                    }

                    @Override
                    protected void lost(String why) {
                        out = null;
                        ServiceQuery.this.failed(why, 0);
                    }
                });
    }

    private String target(boolean blocks) {
        StringBuilder target = new StringBuilder("/v1/service/")
                .append(escaped(settings.service()))
                .append('?');
        if (!settings.namespace().isEmpty()) {
            target.append("namespace=").append(escaped(settings.namespace())).append('&');
        }
        if (!settings.filter().isEmpty()) {
            target.append("filter=").append(escaped(settings.filter())).append('&');
        }
        if (blocks) {
            target.append("index=")
                    .append(index)
                    .append("&wait=")
                    .append((long) settings.waitMs())
                    .append("ms&");
        }
        if (settings.stale() && !fresh) {
            target.append("stale=&");
        }
        return target.substring(0, target.length() - 1);
    }

    static String escaped(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private void refused(Head head) {
        if (head.status() == 403) {
            token.reread(changed -> {
                if (changed) {
                    next = loop.schedule(settings.leastGapMs(), this::ask);
                } else {
                    failed("Nomad refuses the token (403)", 0);
                }
            });
        } else {
            failed("Nomad answered " + head.status(), head.retryAfterMs());
        }
    }

    private void failed(String why, double atLeastMs) {
        if (closed) {
            return;
        }
        double waitMs = Math.max(atLeastMs, backoff.failed());
        Log.line("nomad", "no list from " + agents.present() + ", asking again in " + (long) waitMs + " ms: " + why);
        agents.next();
        // The next agent may be another server's: what it has is asked for in whole.
        index = 0;
        next = loop.schedule(waitMs, this::ask);
        listener.lost(why);
    }

    private void parse(Head head, byte[] body) {
        parsing = true;
        work.run(
                () -> registrations(json.read(body, false)),
                list -> {
                    parsing = false;
                    took(head, list, body.length);
                },
                why -> {
                    parsing = false;
                    failed("its answer is unusable: " + why, 0);
                });
    }

    /** A registration that cannot be used is passed over, for the others' news must not be kept back. */
    private static List<Registration> registrations(Object answer) {
        if (!(answer instanceof List<?> list)) {
            throw new IllegalArgumentException("not a list");
        }
        List<Registration> all = new ArrayList<>(list.size());
        for (Object each : list) {
            try {
                all.add(Registration.of(each));
            } catch (IllegalArgumentException unusable) {
                Log.line("nomad", "passed over: " + unusable.getMessage());
            }
        }
        return all;
    }

    private void took(Head head, List<Registration> list, int bytes) {
        if (closed) {
            return;
        }
        backoff.worked();
        answeredMs = clock.nowMs();
        boolean firm = head.knownLeader() && head.lastContactMs() <= settings.stalestMs();
        fresh = !firm && !fresh;
        index = listener.listed(head.index(), firm, list);
        double gapMs = settings.leastGapMs();
        if (listener.confirms() || !firm) {
            // Another agent's word is worth more than the same one's again.
            agents.next();
            index = 0;
            gapMs = Math.max(gapMs, 1_000);
        } else if (listener.streams()) {
            gapMs = Math.max(gapMs, 1e3 * bytes / settings.checkBytes());
        }
        next = loop.schedule(gapMs * (0.9 + 0.2 * random.nextDouble()), this::ask);
    }
}
